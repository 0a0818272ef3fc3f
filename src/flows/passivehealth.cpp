#include "flows/passivehealth.h"

#include <algorithm>
#include <array>

namespace hornbeam {

std::string_view nameOf(CheckOutcome outcome)
{
    constexpr std::array<std::string_view, static_cast<size_t>(CheckOutcome::Count)> names{ "connected", "refused", "timed_out" };
    return names[static_cast<size_t>(outcome)];
}

namespace {
// A connection that takes longer than 1/promptDivisor of the check timeout was queued behind other packets on the own link.
constexpr int promptDivisor = 4;
}

PassiveHealth::PassiveHealth(const FlowSettings &settings, FlowCounters &counters) : settings(settings), counters(counters)
{
}

void PassiveHealth::recordProgress(Target &target, TimePoint now)
{
    target.lastProgress = now;
    target.waitingSince = TimePoint{};
}

void PassiveHealth::recordOverdueRequest(Target &target, TimePoint since, Duration routeMean)
{
    const TimePoint waitingSince = std::max(since, target.lastProgress);
    if (target.waitingSince == TimePoint{} || waitingSince < target.waitingSince) {
        target.waitingSince = waitingSince;
        target.waitingRouteMean = routeMean;
    }
}

bool PassiveHealth::needsCheck(Target &target, TimePoint since, TimePoint now)
{
    const bool isAnswering = target.lastProgress > since;
    const bool isRecent = target.checkedAt != TimePoint{} && now - target.checkedAt < this->settings.checkInterval;
    const bool isScheduled = target.isOverloadSuspected && target.isRefusing() && now < target.nextCheck;
    return !isAnswering && !isRecent && !isScheduled && !target.isChecking && (!target.isSilent() || !target.isIdentityUnverified);
}

bool PassiveHealth::isDue(const Target &target, TimePoint now) const
{
    return (target.isSilent() || target.refusedAt != TimePoint{}) && !target.isChecking && now >= target.nextCheck;
}

Duration PassiveHealth::beginCheck(Target &target, TimePoint now)
{
    target.isChecking = true;
    target.checkedAt = now;
    this->counters.add(FlowCounter::ChecksBegun);
    return target.failedChecks < this->settings.checkFailureThreshold ? this->settings.checkTimeout : this->settings.longCheckTimeout;
}

bool PassiveHealth::isConfirmedSilent(const Target &target, TimePoint now) const
{
    return target.isSilent() && !target.isIdentityUnverified && now - target.checkedAt < this->settings.checkInterval;
}

HealthVerdict PassiveHealth::endCheck(Target &target, CheckOutcome outcome, const CheckContext &context, TimePoint now)
{
    target.isChecking = false;
    if (outcome == CheckOutcome::Connected) {
        this->handlePassedCheck(target, context.listed, now);
        return HealthVerdict::Unchanged;
    }
    this->counters.add(FlowCounter::ChecksFailed);
    ++target.failedChecks;
    target.isIdentityUnverified = false;
    if (outcome == CheckOutcome::Refused && !target.isSilent() && this->isRefusalInconclusive(target, context, now)) {
        return HealthVerdict::CheckLater;
    }
    if (outcome == CheckOutcome::Refused) {
        target.refusedAt = now;
    }
    if (target.isSilent()) {
        target.recheckDelay = std::min(this->settings.maxRecheckDelay, target.recheckDelay * 2);
        target.nextCheck = now + target.recheckDelay;
        return HealthVerdict::StillSilent;
    }
    if (target.lastProgress > target.checkedAt) {
        target.failedChecks = 0; // the target answered a flow during the check
        return HealthVerdict::Unchanged;
    }
    const bool isLinkWorking = this->lastPromptCheck >= target.checkedAt;
    const bool isLongCheck = target.failedChecks > this->settings.checkFailureThreshold;
    const bool isProof = outcome == CheckOutcome::Refused || isLongCheck || (isLinkWorking && target.failedChecks == this->settings.checkFailureThreshold);
    if (!isProof) {
        return HealthVerdict::CheckAgain;
    }
    // A request that has waited for longer than a full queue takes shows that this instance can't reach the target, whoever else can.
    const Duration longestQueue = std::min(this->settings.maxOverloadGrace, std::max(this->settings.overloadGrace, 2 * context.overloadGrace));
    const bool hasRequestWaited = target.waitingSince != TimePoint{} && now - target.waitingSince >= longestQueue;
    if (outcome == CheckOutcome::Refused && context.otherMembers != AnswerEvidence::Unanswered && !hasRequestWaited) {
        return this->awaitOtherMembers(target, context, now);
    }
    target.silentSince = now;
    target.isOverloadSuspected = false;
    target.recheckDelay = this->settings.initialRecheckDelay;
    target.nextCheck = now + target.recheckDelay;
    this->counters.add(FlowCounter::TargetsSilenced);
    return HealthVerdict::Silent;
}

bool PassiveHealth::isRefusalInconclusive(Target &target, const CheckContext &context, TimePoint now) const
{
    const bool wasSuspected = target.isOverloadSuspected && target.isRefusing() && target.phase != TargetPhase::Unlisted;
    if (target.phase != TargetPhase::Draining && (wasSuspected || context.mayBeOverloaded)) {
        return this->applyOverloadGrace(target, context, now);
    }
    target.isOverloadSuspected = false;
    const bool mayRefuse = target.phase == TargetPhase::Draining || context.mayBeFull || this->isAnswering(target);
    return mayRefuse && this->applyRefusalGrace(target, now);
}

// Callers of other instances may have filled the target, and this instance sees nothing of their flows.
HealthVerdict PassiveHealth::awaitOtherMembers(Target &target, const CheckContext &context, TimePoint now) const
{
    target.failedChecks = 0; // its host responds
    target.isOverloadSuspected = false;
    if (context.otherMembers == AnswerEvidence::Unqueried) {
        target.nextCheck = now + context.queryDuration;
        return HealthVerdict::QueryMembers;
    }
    target.nextCheck = now + context.queryDuration / 2;
    return context.otherMembers == AnswerEvidence::Answered ? HealthVerdict::AnsweringOthers : HealthVerdict::AwaitMembers;
}

// An overloaded target answers the requests of its open flows after the time that its queue takes. So only a request that has waited through the grace period
// proves that the process has ended. An opening packet proves nothing: a full target refuses it, which only its caller sees.
bool PassiveHealth::applyOverloadGrace(Target &target, const CheckContext &context, TimePoint now) const
{
    // The entry of a process that had ended by refusedAt would have expired.
    const bool wasAlive = context.listed != TimePoint{} && context.listed - target.refusedAt >= this->settings.entryExpiryDelay;
    if (!target.isRefusing() || wasAlive) {
        target.refusedAt = now;
    }
    target.isOverloadSuspected = true;
    target.failedChecks = 0; // its host responds
    const bool hasRefusedThroughout = now - target.refusedAt >= context.overloadGrace;
    const bool hasRequestWaited = target.waitingSince != TimePoint{} && now - target.waitingSince >= context.overloadGrace;
    const TimePoint graceEnd = std::max(target.refusedAt, target.waitingSince) + context.overloadGrace;
    target.nextCheck =
        graceEnd > now ? std::min(graceEnd, now + std::max(this->settings.checkInterval, context.overloadGrace / 2)) : now + this->settings.checkInterval;
    return !hasRefusedThroughout || !hasRequestWaited;
}

// An overloaded target may refuse connections and still answer its flows.
bool PassiveHealth::isAnswering(const Target &target) const
{
    const bool hasJustAnswered = target.lastProgress != TimePoint{} && target.checkedAt - target.lastProgress <= this->settings.recentAnswerAge;
    const bool hasAnsweredSinceRefusal = target.refusedAt != TimePoint{} && target.lastProgress > target.refusedAt;
    return hasJustAnswered || hasAnsweredSinceRefusal;
}

// A target that shuts down gracefully no longer accepts connections while it works on its last requests, however long they take: it has not ended before its
// entry is gone. One that is full refuses connections, too; its grace period starts with the first refusal after an answer. Returns whether to check again
// later.
bool PassiveHealth::applyRefusalGrace(Target &target, TimePoint now) const
{
    if (target.refusedAt == TimePoint{} || target.lastProgress > target.refusedAt) {
        target.refusedAt = now;
        target.nextCheck = now + this->settings.refusalGrace;
    }
    if (target.phase == TargetPhase::Draining) {
        target.nextCheck = now + this->settings.checkInterval;
        return true;
    }
    return now - target.refusedAt < this->settings.refusalGrace;
}

// After a refused connection, another process may have bound the address. The target is only known to be alive if the store still lists it at a time when
// the entry of an ended process would have expired.
void PassiveHealth::handlePassedCheck(Target &target, TimePoint listed, TimePoint now)
{
    if (now - target.checkedAt <= this->settings.checkTimeout / promptDivisor) {
        this->lastPromptCheck = std::max(this->lastPromptCheck, target.checkedAt);
    }
    target.failedChecks = 0;
    const bool isProcessConfirmed = target.refusedAt == TimePoint{} || (listed != TimePoint{} && listed - target.refusedAt >= this->settings.entryExpiryDelay);
    if (target.isSilent() && !isProcessConfirmed) {
        target.isIdentityUnverified = true;
        target.recheckDelay = this->settings.initialRecheckDelay;
        target.nextCheck = now + target.recheckDelay;
        return;
    }
    this->counters.add(FlowCounter::TargetsRecovered, target.isSilent() ? 1 : 0);
    target.silentSince = TimePoint{};
    target.refusedAt = TimePoint{};
    target.isOverloadSuspected = false;
    target.isIdentityUnverified = false;
    target.recheckDelay = Duration{ 0 };
}

} // namespace hornbeam
