#pragma once

// Selects the target of a new flow: the route's service, the targets that may be given a flow, the least loaded one among them, and admission control.

#include "core/clock.h"
#include "flows/admission.h"
#include "flows/flowsettings.h"
#include "flows/routetable.h"
#include "flows/targetchooser.h"
#include "flows/targetdirectory.h"
#include "flows/zonerouting.h"

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
    TargetPtr target;           // also set for Overloaded
    std::string service;        // empty if no share of the route has a weight
    size_t candidates = 0;      // listed and missing targets of the service
    ZoneChoice zoneChoice;      // what the shares of the zones say
    bool isByZoneShare = false; // the target is in the zone of `zoneChoice`
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

    AdmissionControl &admissionControl();
    ZoneRouting &zoneRouting();
    const ZoneRouting &zoneRouting() const;
    /** Updates the shares of the zones if that is due. Returns those that have changed noticeably. */
    std::vector<ZoneShareChange> updateZoneShares(TimePoint now);

private:
    Placement decide(const Route &route, const PlacementRequest &request, TimePoint now);
    TargetPtr choose(const std::vector<TargetPtr> &candidates, const TargetPtr &excluded, const CandidateFilter &filter, Placement &placement);

    const TargetDirectory &directory;
    TargetChooser chooser;
    AdmissionControl admission;
    ZoneRouting zones;
    std::vector<PlacementRule *> rules;
};

} // namespace hornbeam
