#include "slots/targetchoice.h"

#include <cmath>

namespace hornbeam {

namespace {

bool isFree(const Candidate &candidate)
{
    return candidate.used < candidate.limit;
}

double scoreOf(const Candidate &candidate, uint64_t flow)
{
    return rendezvousScore(flow, candidate.row->id, candidate.row->weight);
}

/** Utilization of the target with one more request, relative to its slots and weight. */
double utilization(const Candidate &candidate)
{
    return (candidate.used + candidate.reportedExcess + 1) / (static_cast<double>(candidate.limit) * candidate.row->weight);
}

/** Number of feeds at which the target is skipped in favor of others (consistent hashing with bounded loads). */
uint32_t feedLimit(const Candidate &candidate, double feeds, double weights, uint32_t boundedLoadPercent)
{
    return static_cast<uint32_t>(std::ceil(feeds * candidate.row->weight / weights * boundedLoadPercent / 100.0));
}

} // namespace

double rendezvousScore(uint64_t flow, TargetId target, uint32_t weight)
{
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    const double uniform = (static_cast<double>(mixHash(flow, target)) + 1) / (hashRange + 2);
    return -static_cast<double>(weight) / std::log(uniform);
}

const TargetRow *chooseForRequest(const std::vector<Candidate> &candidates, uint64_t flow, Preference preference)
{
    const Candidate *first = nullptr;
    const Candidate *best = nullptr;
    for (const Candidate &candidate : candidates) {
        if (first == nullptr || scoreOf(candidate, flow) > scoreOf(*first, flow)) {
            first = &candidate;
        }
        if (!isFree(candidate)) {
            continue;
        }
        const bool isTie = best != nullptr && utilization(candidate) == utilization(*best);
        if (best == nullptr || utilization(candidate) < utilization(*best) || (isTie && scoreOf(candidate, flow) > scoreOf(*best, flow))) {
            best = &candidate;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    return preference == Preference::Persistence && isFree(*first) ? first->row : best->row;
}

const TargetRow *chooseForFeed(const std::vector<Candidate> &candidates, uint64_t flow, Preference preference, uint32_t boundedLoadPercent)
{
    double feeds = 1; // including the new feed
    double weights = 0;
    for (const Candidate &candidate : candidates) {
        feeds += candidate.used;
        weights += candidate.row->weight;
    }
    const Candidate *available = nullptr;
    const Candidate *withinLimit = nullptr;
    for (const Candidate &candidate : candidates) {
        if (!isFree(candidate)) {
            continue;
        }
        if (available == nullptr || scoreOf(candidate, flow) > scoreOf(*available, flow)) {
            available = &candidate;
        }
        const bool isWithinLimit = candidate.used < feedLimit(candidate, feeds, weights, boundedLoadPercent);
        if (isWithinLimit && (withinLimit == nullptr || scoreOf(candidate, flow) > scoreOf(*withinLimit, flow))) {
            withinLimit = &candidate;
        }
    }
    const Candidate *chosen = preference == Preference::Balance && withinLimit != nullptr ? withinLimit : available;
    return chosen == nullptr ? nullptr : chosen->row;
}

} // namespace hornbeam
