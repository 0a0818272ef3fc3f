#pragma once

// Passive health checking of targets. Unanswered packets of callers only trigger a connection check; the result of the check decides whether the target is
// marked silent. So packet loss or a faulty link of a caller marks no target silent, while a single flow is enough to detect a dead target. A check that
// times out is inconclusive while no other target accepts connections, because this instance's own link may be saturated or down.

#include "balancing/answerqueries.h"
#include "core/clock.h"
#include "flows/flowcounters.h"
#include "flows/flowsettings.h"
#include "flows/targetdirectory.h"

namespace hornbeam {

/** Result of a connection check of a target. */
enum class CheckOutcome : uint8_t {
    Connected,
    Refused,  // the host answers, but nothing listens on the port
    TimedOut, // no response
    Count,
};

std::string_view nameOf(CheckOutcome outcome);

/** Conclusion from a check's outcome for its target. */
enum class HealthVerdict : uint8_t {
    Unchanged,
    CheckAgain,      // inconclusive, as after a single timed-out check; repeat the check now
    Silent,          // the target has just been marked silent
    StillSilent,     // the target remains silent; new flows may have arrived during the check
    CheckLater,      // a draining, full or overloaded target refuses connections but may still be answering its flows
    QueryMembers,    // the target refuses connections; other members may have had answers from it
    AwaitMembers,    // the query about it has not ended
    AnsweringOthers, // another member has had an answer from it
};

/** What is known about a target when one of its checks ends. */
struct CheckContext
{
    TimePoint listed;             // when the store last listed the target; TimePoint{} if it is not listed
    bool mayBeFull = false;       // it may have as many connections as it accepts, and then it refuses the check's
    bool mayBeOverloaded = false; // see mayBeOverloaded()
    Duration overloadGrace{ 0 };  // see overloadGraceOf()
    AnswerEvidence otherMembers = AnswerEvidence::Unanswered;
    Duration queryDuration{ 0 }; // of a query to them
};

/** Not thread safe: owned by one event loop. */
class PassiveHealth
{
public:
    PassiveHealth(const FlowSettings &settings, FlowCounters &counters);

    /** Records that the target answered a flow. */
    void recordProgress(Target &target, TimePoint now);
    /** Records that a request on an open flow has been waiting for an answer since `since`, longer than usual. `routeMean`: mean answer time of its route. */
    static void recordOverdueRequest(Target &target, TimePoint since, Duration routeMean);
    /** Whether to check the target's connection now, given a flow that has waited for its answer since `since`. */
    bool needsCheck(Target &target, TimePoint since, TimePoint now);
    /** Whether the recheck of a silent target, or of one whose refusal of a connection was inconclusive, is due. */
    bool isDue(const Target &target, TimePoint now) const;
    /** Marks the start of a check. Returns its timeout. */
    Duration beginCheck(Target &target, TimePoint now);
    /** Whether the target is silent according to a check recent enough that its flows may be reset without another one. */
    bool isConfirmedSilent(const Target &target, TimePoint now) const;
    /** Processes the outcome of a check. */
    HealthVerdict endCheck(Target &target, CheckOutcome outcome, const CheckContext &context, TimePoint now);

private:
    bool isAnswering(const Target &target) const;
    bool applyRefusalGrace(Target &target, TimePoint now) const;
    bool applyOverloadGrace(Target &target, const CheckContext &context, TimePoint now) const;
    bool isRefusalInconclusive(Target &target, const CheckContext &context, TimePoint now) const;
    HealthVerdict awaitOtherMembers(Target &target, const CheckContext &context, TimePoint now) const;
    void handlePassedCheck(Target &target, TimePoint listed, TimePoint now);

    const FlowSettings &settings;
    FlowCounters &counters;
    TimePoint lastPromptCheck; // start of the latest check of any target that passed promptly; without a recent one, the own link may be saturated
};

} // namespace hornbeam
