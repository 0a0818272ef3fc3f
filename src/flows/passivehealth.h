#pragma once

// Which targets have fallen silent. The callers' packets give the evidence, a connection to the target the verdict: a lost packet or one
// harmed link of a caller condemns no target, and one flow of a dead target is enough to find it. A check that times out proves nothing while no other
// target can be connected to: the own link may be full or cut.

#include "core/clock.h"
#include "flows/flowcounters.h"
#include "flows/flowsettings.h"
#include "flows/targetdirectory.h"

namespace hornbeam {

/** How a connection check of a target ended. */
enum class CheckOutcome : uint8_t {
    Connected,
    Refused,  // the host answers, and nothing listens there
    TimedOut, // nothing answered
    Count,
};

std::string_view nameOf(CheckOutcome outcome);

/** What a check's outcome means for its target. */
enum class HealthVerdict : uint8_t {
    Unchanged,
    CheckAgain,  // one check that timed out is no proof
    Silent,      // the target has just become silent
    StillSilent, // and flows may have come during the check
    CheckLater,  // a draining target refuses connections while it sends its last answers
};

/** Not thread safe: one event loop owns it. */
class PassiveHealth
{
public:
    PassiveHealth(const FlowSettings &settings, FlowCounters &counters);

    /** A flow showed that the target answers. */
    void recordProgress(Target &target, TimePoint now);
    /** A flow has waited for the target's answer since `since`. Returns whether its connection is to be checked now. */
    bool needsCheck(Target &target, TimePoint since, TimePoint now);
    /** Whether a silent target, or a draining one that refused a connection, is to be checked again. */
    bool isDue(const Target &target, TimePoint now) const;
    /** A check has begun. Returns how long it may take. */
    Duration beginCheck(Target &target, TimePoint now);
    /** Whether the target's flows may be reset now: it is silent by a check that has just ended. */
    bool isConfirmedSilent(const Target &target, TimePoint now) const;
    /** Takes what the check gave. `listed` is when the store last listed the target, TimePoint{} while it doesn't. */
    HealthVerdict endCheck(Target &target, CheckOutcome outcome, TimePoint listed, TimePoint now);

private:
    bool applyDrainRefusalGrace(Target &target, TimePoint now) const;
    void handlePassedCheck(Target &target, TimePoint listed, TimePoint now);

    const FlowSettings &settings;
    FlowCounters &counters;
    TimePoint lastPromptCheck; // when the latest check of any target began that passed promptly: without one, the own link may be full
};

} // namespace hornbeam
