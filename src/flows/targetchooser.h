#pragma once

// Which target a new flow goes to.

#include "core/clock.h"
#include "flows/flowsettings.h"
#include "flows/targetdirectory.h"

#include <random>

namespace hornbeam {

/** Not thread safe: one event loop owns it. */
class TargetChooser
{
public:
    /** `seed` breaks ties, so that instances don't all prefer the same target. */
    TargetChooser(const FlowSettings &settings, ZoneId ownZone, uint64_t seed);

    /**
     * The target with the fewest open flows a slot, weighted by its speed, of the own availability zone unless that is much busier than others. Targets
     * that the store has just ceased to list come after all others, and last those that refused a connection and may have been replaced since. Null when no
     * target can take a flow.
     */
    TargetPtr choose(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, TimePoint now);

private:
    double loadOf(const Target &target, TimePoint now) const;
    TargetPtr leastLoaded(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, TargetPhase phase, bool isIdentityUnverified, TimePoint now);

    const FlowSettings &settings;
    const ZoneId ownZone;
    std::minstd_rand random;
};

} // namespace hornbeam
