#pragma once

// What operators and targets write into the store: routes, entries of targets, and entries of other writers.

#include "findings.h"
#include "platform/blockingplatform.h"
#include "routeprobes.h"
#include "targets.h"

#include <boost/beast/http/verb.hpp>
#include <deque>
#include <functional>
#include <random>
#include <set>

namespace hornbeam::soak {

/** Writes block until the store has acknowledged them. Not thread safe: one event loop owns it. */
class Operators
{
public:
    /** Precondition: the clock, the findings and the probes outlive this object. */
    Operators(const Clock &clock, Findings &findings, RouteProbes &probes, const Endpoint &store, uint64_t seed);

    /** Waits until the store answers, for `patience` at most. */
    void awaitStore(Duration patience);
    /** Keeps writes back while the store's process stands still, and writes them when it goes on. */
    void setStorePaused(bool isPaused);

    /** Writes a target's entry. */
    void list(SoakTarget &target);
    /** Removes a target's entry. `isGone`: the target has ended, or will. */
    void unlist(SoakTarget &target, bool isGone);
    /** Reports that a target drains. Calls `done` when the store has acknowledged it. */
    void drain(SoakTarget &target, std::function<void()> done);
    /** Leaves an unusable entry among those of the targets. Returns its key. */
    std::string addOddEntry(uint32_t kind);
    /** Removes an entry by its key. */
    void removeEntry(const std::string &key);

    /** Evacuates a zone. */
    void evacuate(const std::string &zone);
    /** Ends the evacuation of a zone. */
    void endEvacuation(const std::string &zone);
    /** Whether a zone has been evacuated for so long that no instance may place a flow there. */
    bool isEvacuatedForLong(const std::string &zone, TimePoint now) const;

    /** Adds a route to the next configuration that is written. */
    void addRoute(const std::string &name, RequestKind kind, const std::string &service);
    /** Adds a route of requests that a later dropRoute may take away, and writes a configuration. */
    void addExtraRoute(RequestKind kind);
    /** Writes a configuration without one of the extra routes that are left. */
    void dropRoute(uint32_t subject);
    /** Writes a configuration with a new version. */
    void writeConfiguration();

    /** A route of any version so far; null if there never was one. */
    const Route *findRoute(const Endpoint &address) const;
    bool isDropped(const Endpoint &address) const;
    /** Whether a route was dropped so long ago that no instance may place its flows. */
    bool isDroppedForLong(const Endpoint &address, TimePoint now) const;
    /** A route that has to be in force at each instance; null if there is none. */
    const Route *pickRoute(RequestKind kind, std::minstd_rand &choice) const;

private:
    struct RouteLife
    {
        Route route;
        TimePoint acknowledged; // by the store
        TimePoint dropped;      // the same; TimePoint{} while it is in force
    };

    void write(std::function<void()> change);
    void put(const std::string &key, const std::string &value);
    void putEntry(SoakTarget &target);
    void call(boost::beast::http::verb verb, const std::string &path, const std::string &body);
    const RouteLife *findLife(const Endpoint &address) const;
    bool isDropping(const RouteLife &life) const;

    const Clock &clock;
    Findings &findings;
    RouteProbes &probes;
    const Endpoint store;
    BlockingPlatform client;
    std::minstd_rand random;
    std::deque<RouteLife> routes;                 // also dropped ones
    std::set<std::string> dropping;               // names of routes that the next configuration leaves out
    std::map<std::string, TimePoint> evacuations; // by zone: when the store acknowledged it
    uint64_t version = 0;                         // of the last configuration
    uint32_t oddEntries = 0;                      // left so far
    bool isStorePaused = false;
    std::deque<std::function<void()>> writes; // kept back
};

} // namespace hornbeam::soak
