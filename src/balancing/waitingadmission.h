#pragma once

// Admission of new flows by the expected waiting time of a service: the requests that its targets hold beyond their slots, times the mean service time. This
// also works for services all of whose answers fit into one packet, and without an earlier measurement of answers without a queue.

#include "balancing/servicetimes.h"
#include "core/types.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace hornbeam {

/** Plain values of a route. */
struct RouteDemand
{
    Endpoint address;
    uint32_t priority = 0; // 0 is the highest
    Duration latencyTarget{ 0 };
};

/** The load and the capacity of a service's usable targets; both are one instance's share of those of all instances. */
struct ServiceOccupancy
{
    double outstanding = 0;         // requests without an answer
    double slots = 0;               // requests that the targets process at a time
    double slotsPerTarget = 1;      // mean
    double reportedOutstanding = 0; // requests that the targets process or queue for other instances: sum of their reports
    size_t reports = 0;             // 0 unless most members of the zone report their load
    bool isReportExpected = false;  // other members would report their load if the service had no capacity
};

/** Where the time between a request and its answer was spent. */
struct AnswerParts
{
    Duration inTarget{ 0 }; // processing and waiting
    Duration overhead{ 0 }; // network and delayed acknowledgement
    bool isRejection = false;
};

/** Result of a check whether a new flow may be opened, with the values that led to it. */
struct WaitingVerdict
{
    bool isAdmitted = true;
    double waitingSeconds = 0; // expected
    double limitSeconds = 0;   // expected waiting time above which the route's new flows are refused; 0 if there is none
    double outstanding = 0;    // requests at the targets; an instance's share
    double slots = 0;
    double demand = 0; // of the route and of those with a higher priority, relative to the slots
};

/** Not thread safe: owned by one event loop. */
class WaitingAdmission
{
public:
    /** Precondition: `settings` outlives this object. */
    explicit WaitingAdmission(const WaitingSettings &settings);

    /** A flow of the route was opened at a target of the service; time from its opening packet to the caller's next packet. */
    void addRoundTrip(const Endpoint &route, const std::string &service, Duration elapsed);
    /** A request of the route was sent to a target of the service. */
    void addRequest(const RouteDemand &route, const std::string &service);
    /** A target of the service answered a request of the route. */
    AnswerParts addAnswer(const RouteDemand &route, const std::string &service, const AnswerSample &answer, TimePoint now);
    /** Sets the occupancy of a service and updates its estimates; call it about every 20 ms. */
    void update(const std::string &service, const ServiceOccupancy &occupancy, TimePoint now);
    /** Whether a new flow of the route may be opened at the service, by the estimates of the last update; changes no state. */
    WaitingVerdict check(const RouteDemand &route, const std::string &service) const;
    /** Records what became of a new flow of the route for which check() was called. */
    void record(const RouteDemand &route, const std::string &service, bool isRefused);
    /** Whether the service has room for flows of the route that another service would refuse. */
    bool hasRoom(const RouteDemand &route, const std::string &service) const;
    /** Discards what is known of the routes for which `isRoute` returns false. */
    void retainRoutes(const std::function<bool(const Endpoint &)> &isRoute);

    /** A service's state, for gauges. */
    struct ServiceState
    {
        double waitingSeconds = 0;
        double serviceSeconds = 0;
        double outstanding = 0; // the larger of the own count and the mean of the instances that report theirs
        double ownOutstanding = 0;
        double slots = 0;
        double refusedShare = 0;
    };
    std::map<std::string, ServiceState> states() const;

private:
    /** Requests of the routes of a priority; sums that decay. */
    struct PriorityLoad
    {
        double attempts = 0; // requests on open flows, and refused new flows
        double failures = 0; // of these, refused by this instance or rejected by targets
    };
    struct ServiceLoad
    {
        ServiceOccupancy occupancy;
        double outstanding = 0; // moving average
        // as of the last update
        double waitingSeconds = 0;
        double serviceSeconds = 0;
        // sums that decay at each update, so that sum / window is a rate
        TimePoint updatedAt;
        TimePoint exceededSince; // when the own outstanding requests began to exceed the slots without reports of other members; TimePoint{} if they don't
        TimePoint exceededAt;    // when this was last so
        double overhead = 0;     // seconds that answered requests have spent outside of the targets
        double answers = 0;      // without errors
        TimePoint firstAnswerAt;
        double serviceTime = 0; // seconds; sum of the mean service times of the answers
        double refused = 0;     // of the flows below
        double openings = 0;    // new flows of the lowest priority
        std::map<uint32_t, PriorityLoad> loadByPriority;
    };

    void decay(ServiceLoad &load, TimePoint now) const;
    void confirm(ServiceLoad &load, TimePoint now) const;
    double ownOutstandingOf(const ServiceLoad &load) const;
    double outstandingOf(const ServiceLoad &load) const;
    double serviceSecondsOf(const ServiceLoad &load, TimePoint now) const;
    double waitingSecondsOf(const ServiceLoad &load, TimePoint now) const;
    double refusedShareOf(const ServiceLoad &load) const;
    bool isPreferred(const ServiceLoad &load, uint32_t priority) const;
    static double requestsOf(const PriorityLoad &load);
    double demandOf(const ServiceLoad &load, uint32_t priority) const;

    const WaitingSettings &settings;
    std::unordered_map<Endpoint, ServiceTimes> routes;
    std::map<std::string, ServiceLoad> services;
};

} // namespace hornbeam
