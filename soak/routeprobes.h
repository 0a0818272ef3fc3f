#pragma once

// Routes that move from service to service, and probes of them at each instance: which configuration does it forward by?

#include "findings.h"
#include "flows/flowpacket.h"
#include "flows/routetable.h"

#include <deque>
#include <functional>
#include <map>

namespace hornbeam::soak {

constexpr size_t probedRoutes = 2;
constexpr size_t probedServices = 8; // a route that moves at most each 0.4 s is back at a service only after the bound of a change

/** Not thread safe: one event loop owns it. */
class RouteProbes
{
public:
    struct Hooks
    {
        std::function<bool(uint32_t instanceAddress, TimePoint now)> isInTouch;
        std::function<uint64_t(uint32_t instanceAddress)> processOf; // a number for each start of an instance
    };

    /** Precondition: the clock and the findings outlive this object. */
    RouteProbes(const Clock &clock, Findings &findings, Hooks hooks);

    /** Moves a route to its next service with the next configuration that is written. */
    void move(uint32_t subject);
    /** The routes for a configuration that is about to be written. */
    std::vector<Route> routesFor(uint64_t version);
    /** The store has acknowledged the configuration that routesFor was last called for. */
    void onAcknowledged();
    /** Whether the address is that of a probed route. */
    bool isProbed(const Endpoint &address) const;
    /** An opening packet of a new flow of each probed route. */
    std::vector<FlowPacket> nextPackets(uint32_t callerAddress);

    /** A target of `service` took the opening packet of a probe from an instance. */
    void onOpening(const Endpoint &address, const std::string &service, uint32_t instanceAddress);
    /** An instance reset the opening packet of a probe. */
    void onReset(const Endpoint &address, uint32_t instanceAddress);

private:
    void report(uint32_t instanceAddress, const std::string &problem);

    /** The versions in a row that send a route's flows to one service. */
    struct Span
    {
        size_t service = 0;
        uint64_t firstVersion = 0; // 0: not written yet
        uint64_t endVersion = 0;   // the first version after the span; 0: it is the last span
        TimePoint replaced{};      // when the store acknowledged `endVersion`; TimePoint{} before
    };
    /** The newest version that an instance's process is known to forward by. */
    struct Effect
    {
        uint64_t process = 0;
        uint64_t version = 0;
        TimePoint at;
    };

    const Clock &clock;
    Findings &findings;
    const Hooks hooks;
    std::map<Endpoint, std::deque<Span>> routes; // oldest span first
    std::map<uint32_t, Effect> effects;          // by instance
    std::map<uint32_t, TimePoint> reported;      // by instance: one finding a second
    uint32_t packetCount = 0;
};

/** Name of a probed service. Thread safe. */
std::string probedServiceName(size_t service);

} // namespace hornbeam::soak
