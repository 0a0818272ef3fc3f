#pragma once

// Sockets that receive packets from callers: one address per service, with one socket per worker.

#include "table/servicetable.h"
#include "transport/udpsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

namespace hornbeam {

using CallerPacketHandler = std::function<void(ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size)>;

/** Keeps the open sockets in line with the tables in force. All methods are thread safe. */
class ServiceSockets
{
public:
    /** Sockets are opened on `address`, one per service and worker. Precondition: the context outlives this object. */
    ServiceSockets(boost::asio::io_context &context, uint32_t address, size_t workers, CallerPacketHandler handler);

    /** Opens the sockets of new services and closes those of removed services and changed ports. Returns one error message per service that failed. */
    std::vector<std::string> update(const std::vector<std::shared_ptr<const ServiceTable>> &tables);
    /** Sends a packet from the service's address. The packet is dropped if the service has no socket. */
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
    mutable std::shared_mutex mutex; // guards services; never held together with another lock or while a packet is handled
    std::map<ServiceId, Service> services;
};

} // namespace hornbeam
