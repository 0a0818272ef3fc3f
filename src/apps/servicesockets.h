#pragma once

// The sockets on which callers' packets arrive: one address for each service, one socket for each worker on it.

#include "table/servicetable.h"
#include "transport/udpsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

namespace hornbeam {

using CallerPacketHandler = std::function<void(ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size)>;

/** Follows the tables in force. All methods are thread safe. */
class ServiceSockets
{
public:
    /** Sockets are opened on `address`, as many for each service as there are workers. Precondition: the context outlives this object. */
    ServiceSockets(boost::asio::io_context &context, uint32_t address, size_t workers, CallerPacketHandler handler);

    /** Opens the sockets of new services and closes those of services that are gone. Returns what failed, a line each. */
    std::vector<std::string> update(const std::vector<std::shared_ptr<const ServiceTable>> &tables);
    /** Sends a packet from the address of a service. A packet for a service without a socket is dropped. */
    void send(ServiceId service, const Endpoint &caller, const Bytes &packet);

private:
    struct Service
    {
        uint16_t port = 0;
        std::vector<std::unique_ptr<UdpSocket>> sockets;
    };

    std::string openService(const ServiceTable &table);

    boost::asio::io_context &context;
    const uint32_t address;
    const size_t workers;
    const CallerPacketHandler handler;
    mutable std::shared_mutex mutex; // guards services; held alone, and not while a packet is handled
    std::map<ServiceId, Service> services;
};

} // namespace hornbeam
