#include "flows/evacuationrule.h"

namespace hornbeam {

EvacuationRule::EvacuationRule(const FlowSettings &settings) : settings(settings)
{
}

void EvacuationRule::update(const std::set<ZoneId> &zones)
{
    this->evacuated = zones;
    this->loaded = true;
}

void EvacuationRule::beginWait(TimePoint now)
{
    if (this->waitingSince == TimePoint{}) {
        this->waitingSince = now;
    }
}

bool EvacuationRule::mayPlace(TimePoint now) const
{
    const bool isTimedOut = this->waitingSince != TimePoint{} && now - this->waitingSince >= this->settings.evacuationsTimeout;
    return this->loaded || !this->settings.needsEvacuations || isTimedOut;
}

bool EvacuationRule::isLoaded() const
{
    return this->loaded;
}

const std::set<ZoneId> &EvacuationRule::zones() const
{
    return this->evacuated;
}

CandidateStatus EvacuationRule::statusOf(const Target &target, TimePoint) const
{
    return this->evacuated.contains(target.record.zone) ? CandidateStatus::Evacuated : CandidateStatus::Eligible;
}

} // namespace hornbeam
