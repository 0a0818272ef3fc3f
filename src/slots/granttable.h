#pragma once

// The granted slots of one service in a zone and their holders, and the recently released grants.

#include "core/clock.h"
#include "peer/messages.h"

#include <deque>
#include <map>
#include <set>
#include <tuple>

namespace hornbeam {

/** Identifies a slot request; retransmissions carry the same key. */
struct GrantKey
{
    MemberId holder = 0;
    Incarnation incarnation = 0;
    uint64_t request = 0;

    bool operator==(const GrantKey &) const = default;
    bool operator<(const GrantKey &other) const
    {
        return std::tie(this->holder, this->incarnation, this->request) < std::tie(other.holder, other.incarnation, other.request);
    }
};

struct GrantRecord
{
    TargetId target = 0;
    SlotKind kind = SlotKind::Request;
    TimePoint grantedAt;
    TimePoint checkedAt; // when it was granted, confirmed by its holder or last audited
    uint64_t epoch = 0;  // of the grant, or of the last report that contained it
};

/** Not thread safe: guarded by the mutex of SlotAllocator. */
class GrantTable
{
public:
    /** The grant for a slot request, or null. */
    const GrantRecord *find(const GrantKey &key) const;
    /** Adds a grant; replaces an earlier grant with the same key. */
    void add(const GrantKey &key, const GrantRecord &grant);
    /** Removes a grant. Returns false when there is none. */
    bool remove(const GrantKey &key);
    /** Resets the audit age of a grant. Precondition: the grant exists. */
    void markChecked(const GrantKey &key, TimePoint now);
    /** Records that the holder's report contained the grant. Precondition: the grant exists. */
    void markConfirmed(const GrantKey &key, TimePoint now, uint64_t epoch);
    /** Number of slots in use at a target. */
    uint32_t used(TargetId target, SlotKind kind) const;
    /** All grants, sorted by holder. */
    const std::map<GrantKey, GrantRecord> &all() const
    {
        return this->grants;
    }
    /** Members that hold feed slots of a target, sorted. */
    std::set<MemberId> feedHolders(TargetId target) const;

    /** Remembers a release. `target` 0 stands for any target. Beyond `maxReleases`, the oldest entry is removed. */
    void addRelease(const GrantKey &key, TargetId target, TimePoint expires, size_t maxReleases);
    /** Whether a release with this key is remembered. */
    bool isReleased(const GrantKey &key) const;
    /** Whether a release of this key's slot at `target` is remembered. */
    bool isReleased(const GrantKey &key, TargetId target) const;
    /** Removes releases that have expired. */
    void removeExpired(TimePoint now);

private:
    struct Usage
    {
        uint32_t requests = 0;
        uint32_t feeds = 0;
    };
    struct Release
    {
        TargetId target = 0;
        TimePoint expires;
    };
    uint32_t &count(TargetId target, SlotKind kind);
    void removeOldest();

    std::map<GrantKey, GrantRecord> grants;
    std::map<TargetId, Usage> usage;
    std::map<GrantKey, Release> releases;
    std::deque<GrantKey> releaseOrder;
};

} // namespace hornbeam
