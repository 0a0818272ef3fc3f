#pragma once

// Selects the target for a new flow.

#include "flows/flowsettings.h"
#include "flows/placementrule.h"
#include "flows/targetdirectory.h"

#include <optional>
#include <random>
#include <set>

namespace hornbeam {

/** Not thread safe: owned by one event loop. */
class TargetChooser
{
public:
    /** `seed` randomizes the choice between equally loaded targets, so that instances do not all prefer the same one. */
    TargetChooser(const FlowSettings &settings, ZoneId ownZone, uint64_t seed);

    /**
     * Returns the target with the fewest outstanding requests and open flows per slot, weighted by its speed. Targets in the own availability zone are
     * preferred unless they are much busier than the others. Targets that refuse connections or are in an unreachable zone come after all others of their
     * phase. Missing targets that were not draining are used only if no ready target is available, and targets that refused a connection and may have been
     * replaced by another process only as a last resort. Returns null if no target accepts new flows. `excluded` may be null. Targets that the filter excludes
     * are not used at all. `hasReports`: other members report their outstanding requests. These count, too, but the choice is then among a few random targets,
     * because all members would choose the target that was the least loaded one of the last reports.
     */
    TargetPtr choose(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, bool hasReports = false);
    /** The same among the ready targets of one zone. Returns null if none of them accepts new flows. */
    TargetPtr chooseInZone(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, ZoneId zone,
                           bool hasReports = false);
    /** Sets the zones whose members can't be reached, as far as the membership knows. */
    void setUnreachableZones(std::set<ZoneId> zones);
    /** The load by which targets are compared. `reported`: requests that other members have reported. */
    double loadOf(const Target &target, double reported) const;

private:
    double slownessOf(const Target &target) const;
    double requestsOf(const Target &target) const; // own outstanding ones for each slot
    TargetPtr bestOfFew(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, std::optional<ZoneId> zone);
    static bool isUsable(const Target &target, TargetPhase phase, bool isIdentityUnverified);
    TargetPtr leastLoaded(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, TargetPhase phase,
                          bool isIdentityUnverified, std::optional<ZoneId> zone);

    const FlowSettings &settings;
    const ZoneId ownZone;
    std::set<ZoneId> unreachableZones;
    std::minstd_rand random;
};

} // namespace hornbeam
