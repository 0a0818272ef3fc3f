#pragma once

// The active routes, which map a service address to the services that receive its new flows.

#include "core/clock.h"
#include "core/types.h"
#include "flows/flowpacket.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hornbeam {

/** Whether a request may be retried after its answer was lost. */
enum class RequestKind : uint8_t {
    Idempotent,    // may be executed more than once
    NonIdempotent, // must be executed at most once
    Count,
};

std::string_view nameOf(RequestKind kind);

/** The fraction of a route's new flows that goes to a service. */
struct RouteShare
{
    std::string service;
    uint32_t weight = 0; // relative to the other shares of the route

    bool operator==(const RouteShare &) const = default;
};

struct Route
{
    std::string name;
    Endpoint address; // destination address of the callers' packets
    RequestKind kind = RequestKind::NonIdempotent;
    Duration latencyTarget{ 0 };
    Duration timeout{ 0 };
    std::vector<RouteShare> shares; // at least one has a weight above 0
    uint32_t priority = 0;          // 0 is the highest

    bool operator==(const Route &) const = default;
};

/** How the cold targets of a service are warmed up. */
struct ServiceWarmup
{
    std::optional<uint32_t> ratePerMille; // thousandths of an opening packet per second and target
    Duration time{ 0 };                   // that a target is cold after a start during traffic

    bool operator==(const ServiceWarmup &) const = default;
};

struct RouteConfiguration
{
    uint64_t version = 0; // increases monotonically
    std::vector<Route> routes;
    Duration idleTimeout = seconds(60);               // of a flow
    std::map<std::string, uint32_t> connectionLimits; // by service: open flows that each of its targets accepts; no entry if unknown
    std::map<std::string, ServiceWarmup> warmups;     // by service; no entry if the service has none
};

/** Not thread safe: owned by one event loop. */
class RouteTable
{
public:
    enum class Update : uint8_t {
        Applied,
        Unchanged, // same version as the active one
        Older,     // ignored; the active version never decreases during the lifetime of a process
    };

    /** Activates a configuration if it is newer than the active one. */
    Update update(const RouteConfiguration &configuration);
    /** Whether a configuration is active. */
    bool isLoaded() const;
    uint64_t version() const;
    /** The route of an address, or null. The pointer is valid until the next update. */
    const Route *find(const Endpoint &address) const;
    /** Whether an address had a route in an earlier version that was active in this process, but has none now. */
    bool isDropped(const Endpoint &address) const;
    Duration idleTimeout() const;
    /** Number of open flows that each target of a service accepts; 0 if unknown. */
    uint32_t connectionLimitOf(const std::string &service) const;
    /** How a service's targets are warmed up; defaults if the configuration says nothing about it. */
    const ServiceWarmup &warmupOf(const std::string &service) const;
    size_t size() const;
    /** The active routes, sorted by name. */
    std::vector<Route> all() const;

    /**
     * The service for a flow of a route, chosen by a hash of the flow in proportion to the weights. All instances return the same service. Null if no share
     * has a weight above 0.
     */
    static const std::string *serviceOf(const Route &route, const FlowKey &flow);
    /** Whether some new flows of a route go to a service. */
    static bool hasShare(const Route &route, const std::string &service);

private:
    uint64_t currentVersion = 0;
    bool loaded = false;
    std::unordered_map<Endpoint, Route> routes;
    std::unordered_set<Endpoint> droppedAddresses;
    Duration flowIdleTimeout = seconds(60);
    std::map<std::string, uint32_t> connectionLimits;
    std::map<std::string, ServiceWarmup> warmups;
};

} // namespace hornbeam
