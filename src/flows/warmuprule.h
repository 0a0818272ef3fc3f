#pragma once

// Limits the new flows of cold targets.

#include "balancing/warmupbudget.h"
#include "core/clock.h"
#include "flows/flowsettings.h"
#include "flows/placementrule.h"
#include "flows/routetable.h"
#include "flows/targetdirectory.h"

#include <map>
#include <string>

namespace hornbeam {

/** Counts of cold targets. */
struct ColdTargets
{
    size_t all = 0;
    size_t limitedInOwnZone = 0; // of which this instance may have shares
};

/** Not thread safe: owned by one event loop. */
class WarmupRule final : public PlacementRule
{
public:
    /** Precondition: the settings and the routes outlive the rule. */
    WarmupRule(const FlowSettings &settings, const RouteTable &routes, ZoneId ownZone);

    /** Precondition: `shares` outlives the rule. Without shares, cold targets that have a limit get no new flows. */
    void setShares(const BudgetShares &shares);
    /** A target has been listed. It is cold if it has started while its service had traffic here. */
    void onListed(Target &target, TimePoint now) const;
    /** The opening packets that a cold target may receive in a second from all instances; nothing if there is no limit. */
    std::optional<uint32_t> limitOf(const Target &target) const;
    ColdTargets count(const std::vector<TargetPtr> &targets, TimePoint now) const;
    /** Drops what is no longer needed. */
    void expire(TimePoint now);

    CandidateStatus statusOf(const Target &target, TimePoint now) const override;
    void onPlaced(const Target &target, TimePoint now) override;

private:
    const FlowSettings &settings;
    const RouteTable &routes;
    const ZoneId ownZone;
    WarmupBudget budget;
    std::map<std::string, TimePoint> trafficSince; // by service: its first flow through this instance
};

} // namespace hornbeam
