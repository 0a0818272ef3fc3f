#pragma once

// The routes in force: which service the new flows of an address go to.

#include "core/clock.h"
#include "core/types.h"
#include "flows/flowpacket.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hornbeam {

/** What may be done with a request that was lost. */
enum class RequestKind : uint8_t {
    Idempotent,    // may run again
    NonIdempotent, // may run once at most
    Count,
};

std::string_view nameOf(RequestKind kind);

/** A share of a route's new flows. */
struct RouteShare
{
    std::string service;
    uint32_t weight = 0; // relative to the other shares of the route

    bool operator==(const RouteShare &) const = default;
};

struct Route
{
    std::string name;
    Endpoint address; // callers send to it
    RequestKind kind = RequestKind::NonIdempotent;
    Duration latencyTarget{ 0 };
    Duration timeout{ 0 };
    std::vector<RouteShare> shares; // at least one with a weight above 0

    bool operator==(const Route &) const = default;
};

struct RouteConfiguration
{
    uint64_t version = 0; // only rises
    std::vector<Route> routes;
    Duration idleTimeout = seconds(60); // of a flow
};

/** Not thread safe: one event loop owns it. */
class RouteTable
{
public:
    enum class Update : uint8_t {
        Applied,
        Unchanged, // the version in force again
        Older,     // ignored: versions never fall in the life of a process
    };

    /** Puts a configuration in force. */
    Update update(const RouteConfiguration &configuration);
    /** Whether any configuration is in force. */
    bool isLoaded() const;
    uint64_t version() const;
    /** The route of an address, or null. The pointer is valid until the next update. */
    const Route *find(const Endpoint &address) const;
    /** Whether an address had a route in an earlier version in force here, and has none now. */
    bool isDropped(const Endpoint &address) const;
    Duration idleTimeout() const;
    size_t size() const;
    /** The routes in force, in the order of their names. */
    std::vector<Route> all() const;

    /** The service that a flow of a route belongs to: the same at each instance, spread over the shares by weight. */
    static const std::string *serviceOf(const Route &route, const FlowKey &flow);

private:
    uint64_t currentVersion = 0;
    bool loaded = false;
    std::unordered_map<Endpoint, Route> routes;
    std::unordered_set<Endpoint> droppedAddresses;
    Duration flowIdleTimeout = seconds(60);
};

} // namespace hornbeam
