#include "flows/targetchooser.h"

#include <algorithm>

namespace hornbeam {

TargetChooser::TargetChooser(const FlowSettings &settings, ZoneId ownZone, uint64_t seed)
    : settings(settings), ownZone(ownZone), random(static_cast<std::minstd_rand::result_type>(seed))
{
}

TargetPtr TargetChooser::choose(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter)
{
    for (const TargetPhase phase : { TargetPhase::Ready, TargetPhase::Missing }) {
        TargetPtr best = this->leastLoaded(targets, excluded, filter, phase, false, std::nullopt);
        if (best != nullptr) {
            return best;
        }
    }
    return this->leastLoaded(targets, excluded, filter, TargetPhase::Ready, true, std::nullopt);
}

TargetPtr TargetChooser::chooseInZone(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, ZoneId zone)
{
    return this->leastLoaded(targets, excluded, filter, TargetPhase::Ready, false, zone);
}

double TargetChooser::loadOf(const Target &target) const
{
    constexpr double percent = 100;
    const double slowness = target.answers < this->settings.minAnswersForSlowness ? 1.0 : std::clamp<double>(target.slowness, 1.0, this->settings.maxSlowness);
    const double distance = target.record.zone == this->ownZone ? 1.0 : this->settings.ownZonePercent / percent;
    const double load = target.outstandingRequests + (target.openFlows + 1) * (this->settings.openFlowPercent / percent);
    return load * slowness * distance / target.record.slots;
}

TargetPtr TargetChooser::leastLoaded(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, TargetPhase phase,
                                     bool isIdentityUnverified, std::optional<ZoneId> zone)
{
    TargetPtr best;
    double bestLoad = 0;
    uint32_t ties = 0;
    for (const TargetPtr &target : targets) {
        // A missing target that had drained has ended, or is about to. Another process may have its name and address already.
        const bool hasDrained = phase == TargetPhase::Missing && target->record.isDraining;
        if (target->phase != phase || hasDrained || target->isIdentityUnverified != isIdentityUnverified || (target->isSilent() && !isIdentityUnverified)
            || target->isTokenTaken || target == excluded || (zone.has_value() && target->record.zone != *zone)) {
            continue;
        }
        const double load = this->loadOf(*target);
        if ((best != nullptr && load > bestLoad) || !filter.isEligible(*target)) {
            continue;
        }
        if (best == nullptr || load < bestLoad) {
            best = target;
            bestLoad = load;
            ties = 1;
        } else if (load == bestLoad && this->random() % ++ties == 0) {
            best = target;
        }
    }
    return best;
}

} // namespace hornbeam
