#pragma once

// Admission control. Open flows can't be refused requests, but the flows that callers open when all others are busy or when a target has shed their request
// can. Under overload, these would fill the targets' queues until every answer is late.

#include "balancing/waitingadmission.h"
#include "core/clock.h"
#include "flows/flowsettings.h"
#include "flows/routetable.h"
#include "flows/targetdirectory.h"

#include <map>
#include <string>
#include <unordered_map>

namespace hornbeam {

/** An answer of a target, as measured from the caller's packets. */
struct MeasuredAnswer
{
    Duration elapsed{ 0 };
    uint32_t bytes = 0; // acknowledged by the caller's first acknowledgement
};

/** Result of a check whether a target may be given a new flow, with the values that led to it. */
struct AdmissionVerdict
{
    bool isAdmitted = true;
    double congestion = 0;  // of the target
    double limit = 0;       // congestion above which the route's new flows are rejected; 0 if there is none
    WaitingVerdict waiting; // of the service
};

/** Updates Target::congestion. Not thread safe: owned by one event loop. */
class AdmissionControl
{
public:
    /** Precondition: `settings` outlives the admission control. */
    explicit AdmissionControl(const FlowSettings &settings);

    /** Updates the congestion of a target from its answer to a request of a route. */
    void addAnswer(const Route &route, Target &target, const MeasuredAnswer &answer, TimePoint now);
    /**
     * Whether a flow of a route to one of its services may be opened at `target`. Routes without enough measured answers are always admitted: they don't cause
     * the load, and a reset of a flow on a new route would look as if the route did not exist.
     */
    AdmissionVerdict admit(const Route &route, const std::string &service, const Target &target, TimePoint now);
    /**
     * Moving average of the queueing times of a target's answers, relative to the time that their latency targets leave for queueing. 0: no queue; 1: the
     * average answer takes as long as its latency target. Decreases while no answers are measured.
     */
    static double congestionOf(const Target &target, TimePoint now);
    /** Discards the measurements of routes that no longer exist, and applies the priorities of the others. */
    void retainRoutes(const RouteTable &routes);

private:
    struct RouteLoad
    {
        uint32_t answers = 0; // saturates at the minimum for admission control
        double windowSeconds = 0;
        uint32_t windowAnswers = 0;
        double unqueuedSeconds = 0; // lowest mean of a window of answers; 0 before the first one
    };
    struct ServiceLoad
    {
        double rejectedShare = 0; // moving average of the share of new flows that were rejected
        TimePoint lastOpening;
        uint32_t lowestPriority = 0; // of the routes with enough answers; a higher number is a lower priority
    };

    void addPriority(const Route &route);
    static void updateUnqueuedTime(RouteLoad &load, double answerSeconds);
    double limitOf(const Route &route, const ServiceLoad &load) const;

    const FlowSettings &settings;
    std::unordered_map<Endpoint, RouteLoad> routes;
    std::map<std::string, ServiceLoad> services;
};

} // namespace hornbeam
