#include "flows/warmuprule.h"

#include <algorithm>

namespace hornbeam {

namespace {
// At the first start of a deployment, targets register one after another while the first flows arrive.
constexpr Duration minTrafficAge = seconds(10);
}

WarmupRule::WarmupRule(const FlowSettings &settings, const RouteTable &routes, ZoneId ownZone)
    : settings(settings), routes(routes), ownZone(ownZone), budget(settings.warmupWindow)
{
}

void WarmupRule::setShares(const BudgetShares &shares)
{
    this->budget.setShares(shares);
}

void WarmupRule::onListed(Target &target, TimePoint now) const
{
    if (target.firstListed != TimePoint{}) {
        return; // its entry has returned
    }
    target.firstListed = now;
    const auto traffic = this->trafficSince.find(target.record.service);
    if (traffic != this->trafficSince.end() && now - traffic->second >= minTrafficAge) {
        target.startColdUntil = now + this->routes.warmupOf(target.record.service).time;
    }
}

std::optional<uint32_t> WarmupRule::limitOf(const Target &target) const
{
    if (!this->settings.warmupExcess.has_value()) {
        return std::nullopt;
    }
    return warmupLimitOf(this->routes.warmupOf(target.record.service).ratePerMille, this->settings.warmupExcess, this->settings.warmupSlack);
}

ColdTargets WarmupRule::count(const std::vector<TargetPtr> &targets, TimePoint now) const
{
    ColdTargets counts;
    for (const TargetPtr &target : targets) {
        if (target->isCold(now) && target->phase != TargetPhase::Departed && target->phase != TargetPhase::Unlisted) {
            ++counts.all;
            counts.limitedInOwnZone += target->record.zone == this->ownZone && this->limitOf(*target).has_value() ? 1 : 0;
        }
    }
    return counts;
}

void WarmupRule::expire(TimePoint now)
{
    this->budget.expire(now);
}

CandidateStatus WarmupRule::statusOf(const Target &target, TimePoint now) const
{
    if (!target.isCold(now)) {
        return CandidateStatus::Eligible;
    }
    const std::optional<uint32_t> limit = this->limitOf(target);
    if (!limit.has_value()) {
        return CandidateStatus::Eligible;
    }
    // The limit of a target is divided among the instances of its own zone.
    const bool hasRoom = target.record.zone == this->ownZone && this->budget.hasRoom(target.token, *limit, now);
    return hasRoom ? CandidateStatus::Eligible : CandidateStatus::WarmupLimited;
}

void WarmupRule::onPlaced(const Target &target, TimePoint now)
{
    this->trafficSince.try_emplace(target.record.service, now);
    if (target.isCold(now)) {
        this->budget.record(target.token, now);
    }
}

} // namespace hornbeam
