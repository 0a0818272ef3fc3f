#pragma once

// Excludes the targets of evacuated availability zones from new flows.

#include "flows/flowsettings.h"
#include "flows/placementrule.h"

#include <set>

namespace hornbeam {

/** Not thread safe: owned by one event loop. */
class EvacuationRule final : public PlacementRule
{
public:
    /** Precondition: the settings outlive the rule. */
    explicit EvacuationRule(const FlowSettings &settings);

    /** Replaces the set of evacuated zones. */
    void update(const std::set<ZoneId> &zones);
    /** Everything else that is needed to place flows is known. The first call starts `evacuationsTimeout`. */
    void beginWait(TimePoint now);
    /** Whether flows may be placed: the set is known, is not needed, or did not arrive in time. */
    bool mayPlace(TimePoint now) const;
    /** Whether the set has been loaded. */
    bool isLoaded() const;
    const std::set<ZoneId> &zones() const;

    CandidateStatus statusOf(const Target &target, TimePoint now) const override;

private:
    const FlowSettings &settings;
    std::set<ZoneId> evacuated;
    bool loaded = false;
    TimePoint waitingSince; // TimePoint{}: the wait has not begun
};

} // namespace hornbeam
