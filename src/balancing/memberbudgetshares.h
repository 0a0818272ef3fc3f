#pragma once

// Divides limits among a few members of the own zone, from each instance's own view of the zone's members, without messages of its own.

#include "balancing/budgetshares.h"
#include "core/clock.h"
#include "core/types.h"
#include "membership/memberview.h"
#include "peer/messages.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace hornbeam {

/** How many of the instances that the settings or the store name this one has heard of. */
struct SeedContact
{
    size_t seeds = 0;
    size_t met = 0;
};

struct BudgetShareSettings
{
    Duration settlingTime = seconds(4);               // a failure is detected within 2 s by most members, and a limit holds for a second
    Duration maxUpdateGap = milliseconds(500);        // a longer time between two updates is a pause of the process, in which the view became outdated
    Duration memberRetention = std::chrono::hours(1); // a dead member counts towards the size of the zone for this long
    uint32_t holdersPerKey = 4;                       // members that share the limit of one key
    uint32_t concurrentViews = 2;                     // that may be in use at once: the one before a change, and the one after it
};

/**
 * The members with the highest rendezvous hashes of a key have equal shares of its limit. An instance uses its shares only
 * - while its view of the zone has not changed for the settling time. Members that learn of a change late use the view before it until then, so a share is
 *   part of the limit divided by `concurrentViews`.
 * - while it knows two thirds of all members that it has ever known to be alive, so that only one side of a partition uses shares.
 * - if it has met two thirds of its seeds, so that an instance that was never connected uses none.
 * Not thread safe: owned by one event loop.
 */
class MemberBudgetShares final : public BudgetShares
{
public:
    /** Precondition: `self` has an identifier and a zone. */
    MemberBudgetShares(const BudgetShareSettings &settings, const MemberRecord &self, TimePoint now);

    /** Sets the records of the members of all zones, including this one. Call it about every 50 ms. */
    void setMembers(const std::vector<MemberRecord> &members, const SeedContact &contact, TimePoint now);
    /** Whether this instance may use its shares. */
    bool isSettled(TimePoint now) const;
    uint32_t shareOf(uint64_t key, uint32_t total, TimePoint now) const override;
    /** Number of live members of the zone, and of those that count towards its size. */
    size_t liveMembers() const;
    size_t knownMembers() const;

private:
    size_t rankOf(uint64_t key) const;

    const BudgetShareSettings settings;
    const MemberId self;
    const ZoneId zone;
    std::set<MemberId> live;
    std::map<MemberId, TimePoint> known; // when last alive or newly dead
    std::map<MemberId, Incarnation> incarnations;
    bool hasMetSeeds = false;
    TimePoint settledFrom;
    TimePoint updatedAt;
    mutable std::unordered_map<uint64_t, size_t> ranks; // by key, in the present view
};

} // namespace hornbeam
