#include "flows/refusalevidence.h"

#include <algorithm>

namespace hornbeam {

namespace {

// Answers of a target are about one mean answer time apart for its callers. Four of them cover a full queue in front of a request.
constexpr int answerTimesInGrace = 4;
// The refusal of a single other target may be a second ended process.
constexpr size_t refusingSiblings = 2;

// How long the requests that a target has accepted may take.
Duration queueTimeOf(const Target &target, const FlowSettings &settings)
{
    const double slowness = std::clamp<double>(target.slowness, 1.0, settings.maxSlowness);
    const auto time = std::chrono::duration_cast<Duration>(answerTimesInGrace * slowness * target.waitingRouteMean);
    return std::min(settings.maxOverloadGrace, time);
}

bool isWithin(TimePoint time, Duration age, TimePoint now)
{
    return time != TimePoint{} && now - time <= age;
}

/** Whether the instances may have more outstanding requests at the target than it has slots. */
bool mayExceedSlots(const Target &target, const LoadView &view)
{
    return view.instances * std::max<uint64_t>(1, target.outstandingRequests) > target.record.slots;
}

// The target itself is left out: requests pile up at an ended one, too.
bool isServiceOverloaded(const Target &target, const std::vector<TargetPtr> &siblings, const LoadView &view, const FlowSettings &settings, TimePoint now)
{
    uint64_t outstanding = 0;
    uint64_t slots = 0;
    size_t refusing = 0;
    bool isAnySiblingAnswering = false;
    bool hasRefusingSiblingAnswered = false;
    for (const TargetPtr &sibling : siblings) {
        if (sibling.get() == &target) {
            continue;
        }
        isAnySiblingAnswering = isAnySiblingAnswering || isWithin(sibling->lastProgress, settings.overloadAnswerAge, now);
        refusing += sibling->isRefusing() && isWithin(sibling->checkedAt, settings.overloadAnswerAge, now) ? 1 : 0;
        hasRefusingSiblingAnswered =
            hasRefusingSiblingAnswered || (isWithin(sibling->refusedAt, settings.overloadAnswerAge, now) && sibling->lastProgress > sibling->refusedAt);
        if (!sibling->isSilent()) {
            outstanding += sibling->outstandingRequests;
            slots += sibling->record.slots;
        }
    }
    const bool isLoaded = slots > 0 && outstanding * view.instances >= slots;
    return isLoaded || hasRefusingSiblingAnswered || (refusing >= refusingSiblings && isAnySiblingAnswering);
}

}

bool mayBeOverloaded(const Target &target, const std::vector<TargetPtr> &siblings, const LoadView &view, const FlowSettings &settings, TimePoint now)
{
    if (target.phase == TargetPhase::Unlisted || target.phase == TargetPhase::Departed || !mayExceedSlots(target, view)) {
        return false;
    }
    const bool isInOtherZone = target.record.zone != view.ownZone; // this instance sees little of that zone's load
    const bool hasJustStarted = target.phase == TargetPhase::Ready && isWithin(target.phaseSince, settings.overloadAnswerAge, now);
    const Duration answerAge = std::max(settings.overloadAnswerAge, queueTimeOf(target, settings));
    return isInOtherZone || hasJustStarted || isWithin(target.lastProgress, answerAge, now) || isServiceOverloaded(target, siblings, view, settings, now);
}

Duration overloadGraceOf(const Target &target, const LoadView &view, const FlowSettings &settings)
{
    const Duration shared = std::min(settings.overloadGrace, static_cast<int64_t>(view.instances) * settings.overloadGracePerInstance);
    return std::max({ settings.refusalGrace, shared, queueTimeOf(target, settings) });
}

Duration memberAnswerAgeOf(const Target &target, const FlowSettings &settings)
{
    return std::max(settings.memberAnswerAge, std::min(settings.overloadAnswerAge, queueTimeOf(target, settings)));
}

} // namespace hornbeam
