#pragma once

// Chooses among the targets that may take a request or a feed.

#include "table/servicetable.h"

namespace hornbeam {

/** A target that takes new work. */
struct Candidate
{
    const TargetRow *row = nullptr;
    uint32_t used = 0;         // places in use
    uint32_t limit = 0;        // places that may be in use now
    double reportedExcess = 0; // places reported as busy beyond `used`
};

/** Weighted rendezvous hashing: the target with the highest score is the flow's first choice. Precondition: weight > 0. Thread safe. */
double rendezvousScore(uint64_t flow, TargetId target, uint32_t weight);

/**
 * The least busy target relative to its slots and weight; ties go by rendezvous score. With Persistence the flow's first choice
 * is taken while it has a free slot. Null when none is free. Thread safe.
 */
const TargetRow *chooseForRequest(const std::vector<Candidate> &candidates, uint64_t flow, Preference preference);

/**
 * The first target in rendezvous order that has a free place. With Balance, those over `boundedLoadPercent` of their weighted share of
 * the feeds are passed over while another one is free. Null when none is free. Thread safe.
 */
const TargetRow *chooseForFeed(const std::vector<Candidate> &candidates, uint64_t flow, Preference preference, uint32_t boundedLoadPercent);

} // namespace hornbeam
