#include "flows/placementrule.h"

#include <array>

namespace hornbeam {

std::string_view nameOf(CandidateStatus status)
{
    constexpr std::array<std::string_view, static_cast<size_t>(CandidateStatus::Count)> names{ "eligible", "evacuated", "warmup_limited" };
    return names[static_cast<size_t>(status)];
}

CandidateFilter::CandidateFilter(const std::vector<PlacementRule *> &rules, TimePoint now) : rules(rules), now(now)
{
}

CandidateStatus CandidateFilter::statusOf(const Target &target) const
{
    for (const PlacementRule *rule : this->rules) {
        const CandidateStatus status = rule->statusOf(target, this->now);
        if (status != CandidateStatus::Eligible) {
            return status;
        }
    }
    return CandidateStatus::Eligible;
}

bool CandidateFilter::isEligible(const Target &target) const
{
    const CandidateStatus status = this->statusOf(target);
    if (status != CandidateStatus::Eligible) {
        this->lastRestriction = status;
    }
    return status == CandidateStatus::Eligible;
}

CandidateStatus CandidateFilter::restriction() const
{
    return this->lastRestriction;
}

} // namespace hornbeam
