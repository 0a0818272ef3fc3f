#include "flows/passivehealth.h"

#include <algorithm>
#include <array>

namespace hornbeam {

std::string_view nameOf(CheckOutcome outcome)
{
    constexpr std::array<std::string_view, static_cast<size_t>(CheckOutcome::Count)> names{ "connected", "refused", "timed_out" };
    return names[static_cast<size_t>(outcome)];
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
    return !isAnswering && !isRecent && !target.isChecking && !target.isSilent();
}

bool PassiveHealth::isDue(const Target &target, TimePoint now) const
{
    return target.isSilent() && !target.isChecking && now >= target.nextCheck;
}

void PassiveHealth::beginCheck(Target &target, TimePoint now)
{
    target.isChecking = true;
    target.checkedAt = now;
    this->counters.add(FlowCounter::ChecksBegun);
}

HealthVerdict PassiveHealth::endCheck(Target &target, CheckOutcome outcome, TimePoint now)
{
    target.isChecking = false;
    if (outcome == CheckOutcome::Connected) {
        this->counters.add(FlowCounter::TargetsRecovered, target.isSilent() ? 1 : 0);
        target.failedChecks = 0;
        target.silentSince = TimePoint{};
        target.checkWait = Duration{ 0 };
        return HealthVerdict::Unchanged;
    }
    this->counters.add(FlowCounter::ChecksFailed);
    ++target.failedChecks;
    if (target.isSilent()) {
        target.checkWait = std::min(this->settings.silentCheckMax, target.checkWait * 2);
        target.nextCheck = now + target.checkWait;
        return HealthVerdict::Unchanged;
    }
    if (target.lastProgress > target.checkedAt) {
        target.failedChecks = 0; // it answered a flow during the check
        return HealthVerdict::Unchanged;
    }
    if (outcome != CheckOutcome::Refused && target.failedChecks < this->settings.checksToFail) {
        return HealthVerdict::CheckAgain;
    }
    target.silentSince = now;
    target.checkWait = this->settings.silentCheck;
    target.nextCheck = now + target.checkWait;
    this->counters.add(FlowCounter::TargetsSilenced);
    return HealthVerdict::Silent;
}

} // namespace hornbeam
