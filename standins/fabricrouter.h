#pragma once

// A stand-in for the fabric: hands each packet of a caller to any instance. It opens one UDP port for each caller and service, so that
// the caller's identity stays and any instance can answer. It can lose, double and reorder packets.

#include "core/types.h"
#include "transport/udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <random>

struct FabricInstance
{
    uint32_t address = 0;
    std::string zone;
};

struct FabricFaults
{
    double loss = 0;      // share of packets lost, each way
    double duplicate = 0; // share of packets sent twice
    double reorder = 0;   // share of packets held back for reorderMs
    uint32_t reorderMs = 20;
};

struct FabricReport
{
    uint64_t fromCallers = 0;
    uint64_t toCallers = 0;
    uint64_t lost = 0;
    uint64_t duplicated = 0;
    uint64_t reordered = 0;
};

/** Not thread safe: runs on one thread of its context. */
class FabricRouter
{
public:
    FabricRouter(boost::asio::io_context &context, uint64_t seed);

    /** Opens the address that callers of a service send to; packets go to `instancePort` of an instance. Returns what failed, or nothing. */
    std::string addService(const hornbeam::Endpoint &address, uint16_t instancePort);
    /** Replaces the instances that get packets. */
    void updateInstances(std::vector<FabricInstance> instances);
    void updateFaults(const FabricFaults &faults);
    const FabricReport &report() const;

private:
    struct Service
    {
        std::unique_ptr<hornbeam::UdpSocket> socket;
        uint16_t instancePort = 0;
        std::map<hornbeam::Endpoint, std::unique_ptr<hornbeam::UdpSocket>> callers;
    };

    void onCallerPacket(Service &service, const hornbeam::Endpoint &caller, const hornbeam::Bytes &packet);
    hornbeam::UdpSocket *findCaller(Service &service, const hornbeam::Endpoint &caller);
    void send(hornbeam::UdpSocket &socket, const hornbeam::Endpoint &to, const hornbeam::Bytes &packet);
    bool draw(double probability);

    boost::asio::io_context &context;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<Service>> services;
    std::vector<FabricInstance> instances;
    FabricFaults faults;
    FabricReport counts;
};
