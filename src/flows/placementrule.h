#pragma once

// Restrictions on the targets of new flows.

#include "core/clock.h"
#include "flows/targetdirectory.h"

#include <string_view>
#include <vector>

namespace hornbeam {

/** Whether a target may be given a new flow, apart from its health and phase. */
enum class CandidateStatus : uint8_t {
    Eligible,
    Evacuated,     // its availability zone is evacuated
    WarmupLimited, // cold, and its rate of new flows is used up
    Count,
};

std::string_view nameOf(CandidateStatus status);

/** A restriction on the targets of new flows. Not thread safe: owned by one event loop. */
class PlacementRule
{
public:
    virtual ~PlacementRule() = default;
    /** Eligible, or why the target may not be given a new flow now. Must not change any state. */
    virtual CandidateStatus statusOf(const Target &target, TimePoint now) const = 0;
    /** A new flow or a repeated opening packet is sent to the target. */
    virtual void onPlaced(const Target &target, TimePoint now)
    {
        static_cast<void>(target);
        static_cast<void>(now);
    }
};

/** All rules at one time. Remembers the last restriction that it found. Not thread safe. */
class CandidateFilter
{
public:
    /** Precondition: `rules` outlives the filter. */
    CandidateFilter(const std::vector<PlacementRule *> &rules, TimePoint now);

    CandidateStatus statusOf(const Target &target) const;
    bool isEligible(const Target &target) const;
    /** Why the last target without isEligible() was excluded; Eligible if there was none. */
    CandidateStatus restriction() const;

private:
    const std::vector<PlacementRule *> &rules;
    const TimePoint now;
    mutable CandidateStatus lastRestriction = CandidateStatus::Eligible;
};

} // namespace hornbeam
