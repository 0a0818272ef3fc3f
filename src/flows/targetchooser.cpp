#include "flows/targetchooser.h"

#include <algorithm>

namespace hornbeam {

namespace {
// Above any ratio of loads. A target that refuses connections is full or has ended: it gets new flows only if all targets refuse. The same applies to targets
// in an unreachable zone, each of which would otherwise get flows until its own connection checks fail.
constexpr double avoidedTargetFactor = 1000;
constexpr uint32_t maxDraws = 40; // of random targets, until enough usable ones are found
}

TargetChooser::TargetChooser(const FlowSettings &settings, ZoneId ownZone, uint64_t seed)
    : settings(settings), ownZone(ownZone), random(static_cast<std::minstd_rand::result_type>(seed))
{
}

TargetPtr TargetChooser::choose(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, bool hasReports)
{
    if (hasReports && this->settings.choiceCandidates > 0) {
        TargetPtr best = this->bestOfFew(targets, excluded, filter, std::nullopt);
        if (best != nullptr) {
            return best;
        }
    }
    for (const TargetPhase phase : { TargetPhase::Ready, TargetPhase::Missing }) {
        TargetPtr best = this->leastLoaded(targets, excluded, filter, phase, false, std::nullopt);
        if (best != nullptr) {
            return best;
        }
    }
    return this->leastLoaded(targets, excluded, filter, TargetPhase::Ready, true, std::nullopt);
}

TargetPtr TargetChooser::chooseInZone(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, ZoneId zone,
                                      bool hasReports)
{
    if (hasReports && this->settings.choiceCandidates > 0) {
        return this->bestOfFew(targets, excluded, filter, zone);
    }
    return this->leastLoaded(targets, excluded, filter, TargetPhase::Ready, false, zone);
}

void TargetChooser::setUnreachableZones(std::set<ZoneId> zones)
{
    this->unreachableZones = std::move(zones);
}

double TargetChooser::slownessOf(const Target &target) const
{
    return target.answers < this->settings.minAnswersForSlowness ? 1.0 : std::clamp<double>(target.slowness, 1.0, this->settings.maxSlowness);
}

double TargetChooser::requestsOf(const Target &target) const
{
    return target.outstandingRequests * this->slownessOf(target) / target.record.slots;
}

double TargetChooser::loadOf(const Target &target, double reported) const
{
    constexpr double percent = 100;
    const double distance = target.record.zone == this->ownZone ? 1.0 : this->settings.ownZonePercent / percent;
    const double load = target.outstandingRequests + reported + (target.openFlows + 1) * (this->settings.openFlowPercent / percent);
    const double avoidance = target.isRefusing() || this->unreachableZones.contains(target.record.zone) ? avoidedTargetFactor : 1.0;
    return load * this->slownessOf(target) * distance * avoidance / target.record.slots;
}

bool TargetChooser::isUsable(const Target &target, TargetPhase phase, bool isIdentityUnverified)
{
    // A missing target that had drained has ended, or is about to. Another process may have its name and address already.
    const bool hasDrained = phase == TargetPhase::Missing && target.record.isDraining;
    return target.phase == phase && !hasDrained && target.isIdentityUnverified == isIdentityUnverified && (!target.isSilent() || isIdentityUnverified)
        && !target.isTokenTaken;
}

// The own counts decide on the zone: reports say nothing of the requests that members of other zones send to their targets. Within the zone they come first,
// too, because they are exact; the reports, which are older, decide between a few of the targets with the fewest own outstanding requests.
TargetPtr TargetChooser::bestOfFew(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, std::optional<ZoneId> zone)
{
    const TargetPtr reference = this->leastLoaded(targets, excluded, filter, TargetPhase::Ready, false, zone);
    if (reference == nullptr) {
        return nullptr;
    }
    TargetPtr best;
    double bestLoad = 0;
    // Each draw may hit a target that can't be used.
    uint32_t left = this->settings.choiceCandidates;
    for (uint32_t draws = 0; draws < maxDraws && left > 0; ++draws) {
        const TargetPtr &target = targets[this->random() % targets.size()];
        const bool isCandidate = target->record.zone == reference->record.zone && target != excluded && isUsable(*target, TargetPhase::Ready, false)
            && this->requestsOf(*target) <= this->requestsOf(*reference);
        if (!isCandidate || !filter.isEligible(*target)) {
            continue;
        }
        --left;
        const double load = this->loadOf(*target, target->reportedRequests);
        if (best == nullptr || load < bestLoad) {
            best = target;
            bestLoad = load;
        }
    }
    return best == nullptr ? reference : best;
}

TargetPtr TargetChooser::leastLoaded(const std::vector<TargetPtr> &targets, const TargetPtr &excluded, const CandidateFilter &filter, TargetPhase phase,
                                     bool isIdentityUnverified, std::optional<ZoneId> zone)
{
    TargetPtr best;
    double bestLoad = 0;
    uint32_t ties = 0;
    for (const TargetPtr &target : targets) {
        const bool isInZone = !zone.has_value() || target->record.zone == *zone;
        if (!isInZone || !isUsable(*target, phase, isIdentityUnverified) || target == excluded) {
            continue;
        }
        const double load = this->loadOf(*target, 0);
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
