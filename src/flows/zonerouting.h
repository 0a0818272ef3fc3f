#pragma once

// Applies the zone decision to new flows: collects the values about the services' targets, has the shares of the zones updated and selects the zone of a flow.

#include "balancing/waitingadmission.h"
#include "balancing/zoneloads.h"
#include "balancing/zoneshares.h"
#include "balancing/zonewaiting.h"
#include "flows/flowsettings.h"
#include "flows/placementrule.h"
#include "flows/targetdirectory.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeam {

/** Shares of a service's new flows that have changed noticeably. */
struct ZoneShareChange
{
    std::string service;
    double before = 0; // share that left the own zone
    double share = 0;  // share that leaves it now
    Duration ownWaiting{ 0 };
    Duration expectedGain{ 0 };
    std::vector<ZoneShare> destinations;
};

/** Not thread safe: owned by one event loop. */
class ZoneRouting
{
public:
    /** Precondition: the settings and the directory outlive this object. */
    ZoneRouting(const FlowSettings &settings, const TargetDirectory &directory, ZoneId ownZone);

    /** Sets where reports of other zones come from; without them nothing is decided. Precondition: `loads` outlives its use or is reset to null. */
    void setLoads(ZoneLoads *loads);
    /** A flow was opened at a target; time from its opening packet to the caller's next packet. */
    void addRoundTrip(Target &target, Duration elapsed);
    /** Records a response to a request of a route's flow. `bytes` is the size of the response. */
    void addAnswer(const Endpoint &route, Target &target, const AnswerParts &times, uint32_t bytes);
    /** Updates the shares if that is due, and returns those that have changed noticeably since they were last returned. */
    std::vector<ZoneShareChange> tick(const std::vector<PlacementRule *> &rules, TimePoint now);

    /** The zone for a new flow; the same for each call until the next update. */
    ZoneChoice choose(const std::string &service, const FlowKey &flow) const;
    /** The zones of targets whose members could not be reached at the last update. */
    const std::set<ZoneId> &unreachableZones() const;
    /** The decisions by service. */
    const std::map<std::string, ZoneShares> &decisions() const;

private:
    /** Values of one service that are collected from its targets. */
    struct ZoneTotals
    {
        uint32_t slots = 0;
        uint32_t outstanding = 0;
        ObservedTraffic traffic;
    };
    struct Service
    {
        ZoneWaiting waiting;
        double loggedShare = 0;
    };

    std::map<std::string, std::map<ZoneId, ZoneTotals>> collect(const std::vector<PlacementRule *> &rules, TimePoint now) const;
    ServiceZones describe(const std::string &service, const std::map<ZoneId, ZoneTotals> &totals, const ZoneWaiting &waiting, TimePoint now) const;
    void updateUnreachable(const std::map<std::string, std::map<ZoneId, ZoneTotals>> &totals);
    void reportChange(const std::string &name, Service &service, const ZoneShares &shares, std::vector<ZoneShareChange> &changes) const;

    const FlowSettings &settings;
    const TargetDirectory &directory;
    const ZoneId ownZone;
    ZoneLoads *loads = nullptr;
    BaseTimes baseTimes;
    std::map<std::string, Service> services;
    std::map<std::string, ZoneShares> shares; // by service; an entry for each in `services`
    std::set<ZoneId> unreachable;
    TimePoint lastUpdate;
    TimePoint nextUpdate;
};

} // namespace hornbeam
