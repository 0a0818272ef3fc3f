#pragma once

// An immutable snapshot of the members with rendezvous hashing over it. Rebuilt on each change, read by all workers without a lock.

#include "peer/messages.h"

#include <optional>
#include <vector>

namespace hornbeam {

/** The eligible members of one zone. */
struct ZoneView
{
    ZoneId zone = 0;
    bool reachable = false;             // heard of recently, or the local zone
    std::vector<MemberRecord> eligible; // sorted by identifier
};

/** All methods are const and thread safe, and allocate only when they return a list. */
class MemberView
{
public:
    MemberView() = default;
    /** Precondition: `records` is sorted by identifier and contains `self`; `reachable` is sorted. */
    MemberView(const MemberRecord &self, std::vector<MemberRecord> records, const std::vector<ZoneId> &reachable, uint64_t version);

    const MemberRecord &self() const
    {
        return this->ownRecord;
    }
    uint64_t version() const
    {
        return this->versionNumber;
    }
    const std::vector<MemberRecord> &records() const
    {
        return this->members;
    }
    std::optional<MemberRecord> find(MemberId member) const;
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const;
    std::vector<ZoneId> reachableZones() const;
    /** The member with the `rank`-th highest hash of (key, member), counted from 0; 0 when there are fewer members. */
    MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const;
    /** Weighted rendezvous hashing over the reachable zones, by their number of eligible members, then over the members of the selected zone. */
    MemberId flowOwner(uint64_t flow) const;

private:
    const ZoneView *findZone(ZoneId zone) const;

    MemberRecord ownRecord;
    std::vector<MemberRecord> members;
    std::vector<ZoneView> zones; // sorted by zone
    uint64_t versionNumber = 0;
};

/** Whether a member may be selected as an owner. Thread safe. */
constexpr bool isEligible(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/** Whether a member takes part in gossip, i.e. is running or may be running. Thread safe. */
constexpr bool isLive(MemberState state)
{
    return isEligible(state) || state == MemberState::Leaving;
}

} // namespace hornbeam
