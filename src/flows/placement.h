#pragma once

// Selects the target of a new flow: the route's service, the targets that may be given a flow, the least loaded one among them, and admission control by
// congestion and by expected waiting time. A flow that its service would refuse goes to another share of the route that has room.

#include "balancing/loadreports.h"
#include "balancing/waitingadmission.h"
#include "core/clock.h"
#include "flows/admission.h"
#include "flows/flowsettings.h"
#include "flows/flowtracker.h"
#include "flows/routetable.h"
#include "flows/targetchooser.h"
#include "flows/targetdirectory.h"
#include "flows/zonerouting.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeam {

enum class PlacementOutcome : uint8_t {
    Placed,
    NoTarget,   // no target of the service accepts new flows
    Restricted, // rules exclude all targets that would accept new flows
    Overloaded, // the best target is congested
    Count,
};

std::string_view nameOf(PlacementOutcome outcome);

/** An opening packet for which a target is needed. */
struct PlacementRequest
{
    FlowKey flow;
    TargetPtr previousTarget; // of an earlier copy of the opening packet; may be null
    bool isRepeated = false;  // the caller has sent the opening packet before, possibly through another instance
};

/** Result of a placement, with the values that led to it. */
struct Placement
{
    PlacementOutcome outcome = PlacementOutcome::NoTarget;
    TargetPtr target;            // also set for Overloaded
    std::string service;         // empty if no share of the route has a weight
    std::string selectedService; // whose weight selected the flow; differs from `service` if that one had no capacity
    size_t candidates = 0;       // listed and missing targets of the service
    ZoneChoice zoneChoice;       // what the shares of the zones say
    bool isByZoneShare = false;  // the target is in the zone of `zoneChoice`
    AdmissionVerdict verdict;
    CandidateStatus restriction = CandidateStatus::Eligible; // for Restricted: of one of the excluded targets
};

/** A target as seen by the placement of a new flow. */
struct CandidateView
{
    TargetPtr target;
    double load = 0;                                    // by which targets are compared
    CandidateStatus status = CandidateStatus::Eligible; // by the rules
    bool isUsable = false;                              // ready, its health and identity are not in doubt, and not excluded by a rule
};

/** A placement that was not carried out. */
struct PlacementPreview
{
    Placement placement;
    std::vector<CandidateView> candidates; // sorted by name
};

/** Not thread safe: owned by one event loop. */
class FlowPlacement
{
public:
    /** Precondition: the settings and the directory outlive the placement. */
    FlowPlacement(const FlowSettings &settings, const TargetDirectory &directory, ZoneId ownZone, uint64_t seed);

    /** Adds a restriction on the targets of new flows. Precondition: `rule` outlives the placement. */
    void addRule(PlacementRule &rule);
    /** Chooses the target of a new flow. A target that is placed is reported to the rules. */
    Placement place(const Route &route, const PlacementRequest &request, TimePoint now);
    /** What place() would return now for a new flow, and the values that it would compare. Changes nothing. */
    PlacementPreview preview(const Route &route, const FlowKey &flow, TimePoint now) const;
    /** Reports a repeated opening packet to the rules that is sent to the same target as before. */
    void recordOpening(const Target &target, TimePoint now);
    /** Why the rules exclude a target from new flows; Eligible if they don't. */
    CandidateStatus statusOf(const Target &target, TimePoint now) const;

    /** Applies the routes in force. */
    void onRoutes(const RouteTable &routes);
    /** Records what a packet of an open flow revealed. */
    void onObservation(const Route &route, Target &target, const FlowObservation &observation, TimePoint now);
    /** A request was sent to a target through this instance. place() does this for the targets that it places. */
    void recordRequest(const TargetPtr &target);
    /** Call it whenever targets, their records, their phases or their health have changed, or a zone's evacuation. */
    void onTargetsChanged();
    /** Sets the number of live instances, including this one, in all zones and in the own zone. */
    void setInstanceCounts(size_t allZones, size_t ownZone);
    /** Updates the load of all services. Call it about every 20 ms. */
    void tick(TimePoint now);
    /** The load that this instance causes, to be reported to other members of the zone. */
    OwnLoad ownLoad() const;
    /** Applies the load that other members of the zone have reported. */
    void onReportedLoad(const ReportedLoad &load);
    /** Load and expected waiting time of the services. */
    std::map<std::string, WaitingAdmission::ServiceState> serviceStates() const;

    ZoneRouting &zoneRouting();
    const ZoneRouting &zoneRouting() const;
    /** Updates the shares of the zones if that is due. Returns those that have changed noticeably. */
    std::vector<ZoneShareChange> updateZoneShares(TimePoint now);

private:
    /** Requests and new flows of a service; moving sums. */
    struct FlowReuse
    {
        double requests = 0;
        double openings = 0;
    };

    /** Capacity of the usable targets of a service. */
    struct Capacity
    {
        double slots = 0;
        double zoneSlots = 0; // in the own zone
        size_t targets = 0;
        TimePoint summedAt;
    };

    Placement decide(const Route &route, const PlacementRequest &request, TimePoint now);
    void choose(Placement &placement, const PlacementRequest &request, TimePoint now);
    TargetPtr chooseTarget(const std::vector<TargetPtr> &candidates, const TargetPtr &excluded, const CandidateFilter &filter, Placement &placement);
    void admit(Placement &placement, const Route &route, TimePoint now);
    bool placeOnOtherShare(Placement &placement, const Route &route, const PlacementRequest &request, TimePoint now);
    bool mayUseReports(const std::string &service) const;
    bool isUnresponsive(const Target &target, TimePoint now) const;
    Capacity capacityOf(const std::string &service, const CandidateFilter &filter, TimePoint now);
    ServiceOccupancy occupancyOf(const std::string &service, const CandidateFilter &filter, TimePoint now);

    const FlowSettings &settings;
    const TargetDirectory &directory;
    const ZoneId ownZone;
    TargetChooser chooser;
    AdmissionControl admission;
    WaitingAdmission waiting;
    ZoneRouting zones;
    std::vector<PlacementRule *> rules;
    std::set<std::string> services; // of the routes in force
    std::map<std::string, ReportedLoad::Service> reportedServices;
    std::map<std::string, FlowReuse> reuse;                    // by service
    std::map<std::string, Capacity> capacities;                // by service; discarded when targets change
    std::map<std::string, std::vector<TargetPtr>> busyTargets; // by service; all with outstanding requests, as of the last tick or later
    std::vector<TargetPtr> reportedTargets;                    // with requests of other members
    bool hasReports = false;                                   // most members of the zone report their load
    size_t instances = 1;                                      // in all zones
    size_t zoneInstances = 1;
};

} // namespace hornbeam
