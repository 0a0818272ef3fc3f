#pragma once

// What speaks for overload when a target refuses a connection check: docs/design/overloaded-targets.md.

#include "core/clock.h"
#include "flows/flowsettings.h"
#include "flows/targetdirectory.h"

#include <cstddef>
#include <vector>

namespace hornbeam {

/** How much of a service's load this instance can see. */
struct LoadView
{
    size_t instances = 1; // live instances in all zones, including this one
    ZoneId ownZone = 0;
};

/**
 * Whether a target that refuses a connection may be overloaded instead of ended. False if the outstanding requests of all instances, estimated from those of
 * this one, fit into the target's slots. Otherwise true if the target has just become ready, answered this instance recently, is in another zone, or if its
 * service is overloaded. `siblings`: the targets of its service; may include the target itself. Thread safe.
 */
bool mayBeOverloaded(const Target &target, const std::vector<TargetPtr> &siblings, const LoadView &view, const FlowSettings &settings, TimePoint now);

/** How long a target that may be overloaded must refuse connections and leave a request unanswered until its process counts as ended. Thread safe. */
Duration overloadGraceOf(const Target &target, const LoadView &view, const FlowSettings &settings);

/** How recently another member must have had an answer from a target that refuses connections, so that its process has not ended. Thread safe. */
Duration memberAnswerAgeOf(const Target &target, const FlowSettings &settings);

} // namespace hornbeam
