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
// of the time for a check: a connection that takes longer waited behind other packets of the own link
constexpr int promptShare = 4;
}

PassiveHealth::PassiveHealth(const FlowSettings &settings, FlowCounters &counters) : settings(settings), counters(counters)
{
}

void PassiveHealth::addProgress(Target &target, TimePoint now)
{
    target.lastProgress = now;
}

bool PassiveHealth::addEvidence(Target &target, TimePoint since, TimePoint now)
{
    const bool isAnswering = target.lastProgress > since;
    const bool isRecent = target.checkedAt != TimePoint{} && now - target.checkedAt < this->settings.checkInterval;
    return !isAnswering && !isRecent && !target.isChecking && (!target.isSilent() || !target.isReconnected);
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
    return target.failedChecks < this->settings.checksToFail ? this->settings.checkTimeout : this->settings.longCheckTimeout;
}

bool PassiveHealth::isKnownSilent(const Target &target, TimePoint now) const
{
    return target.isSilent() && !target.isReconnected && now - target.checkedAt < this->settings.checkInterval;
}

HealthVerdict PassiveHealth::endCheck(Target &target, CheckOutcome outcome, TimePoint listed, TimePoint now)
{
    target.isChecking = false;
    if (outcome == CheckOutcome::Connected) {
        this->endPassed(target, listed, now);
        return HealthVerdict::Unchanged;
    }
    this->counters.add(FlowCounter::ChecksFailed);
    ++target.failedChecks;
    target.isReconnected = false;
    if (outcome == CheckOutcome::Refused && this->grantEndingPatience(target, now)) {
        return HealthVerdict::CheckLater;
    }
    if (outcome == CheckOutcome::Refused) {
        target.refusedAt = now;
    }
    if (target.isSilent()) {
        target.checkWait = std::min(this->settings.silentCheckMax, target.checkWait * 2);
        target.nextCheck = now + target.checkWait;
        return HealthVerdict::StillSilent;
    }
    if (target.lastProgress > target.checkedAt) {
        target.failedChecks = 0; // it answered a flow during the check
        return HealthVerdict::Unchanged;
    }
    const bool isLinkGood = this->lastPrompt >= target.checkedAt;
    const bool isLong = target.failedChecks > this->settings.checksToFail;
    const bool isProof = outcome == CheckOutcome::Refused || isLong || (isLinkGood && target.failedChecks == this->settings.checksToFail);
    if (!isProof) {
        return HealthVerdict::CheckAgain;
    }
    target.silentSince = now;
    target.checkWait = this->settings.silentCheck;
    target.nextCheck = now + target.checkWait;
    this->counters.add(FlowCounter::TargetsSilenced);
    return HealthVerdict::Silent;
}

// A target that leaves as planned accepts no more connections while it sends its last answers.
// Returns whether it is given the time for that, which begins with its first refusal after an answer.
bool PassiveHealth::grantEndingPatience(Target &target, TimePoint now) const
{
    if (target.phase != TargetPhase::Draining || target.isSilent()) {
        return false;
    }
    if (target.refusedAt == TimePoint{} || target.lastProgress > target.refusedAt) {
        target.refusedAt = now;
        target.nextCheck = now + this->settings.endingPatience;
    }
    return now - target.refusedAt < this->settings.endingPatience;
}

// Where a connection was refused, another process may have taken the address since. The target lives when the store lists it after the entry of a process
// that had ended would have lapsed.
void PassiveHealth::endPassed(Target &target, TimePoint listed, TimePoint now)
{
    if (now - target.checkedAt <= this->settings.checkTimeout / promptShare) {
        this->lastPrompt = std::max(this->lastPrompt, target.checkedAt);
    }
    target.failedChecks = 0;
    const bool isProven = target.refusedAt == TimePoint{} || (listed != TimePoint{} && listed - target.refusedAt >= this->settings.entryLapse);
    if (target.isSilent() && !isProven) {
        target.isReconnected = true;
        target.checkWait = this->settings.silentCheck;
        target.nextCheck = now + target.checkWait;
        return;
    }
    this->counters.add(FlowCounter::TargetsRecovered, target.isSilent() ? 1 : 0);
    target.silentSince = TimePoint{};
    target.refusedAt = TimePoint{};
    target.isReconnected = false;
    target.checkWait = Duration{ 0 };
}

} // namespace hornbeam
