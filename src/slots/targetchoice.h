#pragma once

// Load balancing policy: selects a target for a request or a feed.

#include "table/servicetable.h"

namespace hornbeam {

/** A target that accepts new requests or feeds. */
struct Candidate
{
    const TargetRow *row = nullptr;
    uint32_t used = 0;         // slots in use
    uint32_t limit = 0;        // slots that may be in use now
    double reportedExcess = 0; // slots that the target reports as busy beyond `used`
};

/** Weighted rendezvous hashing: the flow prefers the target with the highest score. Precondition: weight > 0. Thread safe. */
double rendezvousScore(uint64_t flow, TargetId target, uint32_t weight);

/**
 * Returns the target with the lowest utilization relative to its slots and weight; ties are broken by rendezvous score. With Persistence,
 * the flow's preferred target is returned while it has a free slot. Returns null when no target has a free slot. Thread safe.
 */
const TargetRow *chooseForRequest(const std::vector<Candidate> &candidates, uint64_t flow, Preference preference);

/**
 * Returns the first target in rendezvous order that has a free slot. With Balance, targets above `boundedLoadPercent` of their weighted share of
 * the feeds are skipped while another target has a free slot. Returns null when no target has a free slot. Thread safe.
 */
const TargetRow *chooseForFeed(const std::vector<Candidate> &candidates, uint64_t flow, Preference preference, uint32_t boundedLoadPercent);

} // namespace hornbeam
