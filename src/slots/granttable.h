#pragma once

// The exact account of one service's places in a zone: who holds which, and the releases that came lately.

#include "core/clock.h"
#include "peer/messages.h"

#include <deque>
#include <map>
#include <set>
#include <tuple>

namespace hornbeam {

/** Names an ask; its repeats carry the same key. */
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
    PlaceKind kind = PlaceKind::Request;
    TimePoint grantedAt;
    TimePoint checkedAt; // when it was granted, confirmed or last checked with its holder
    uint64_t epoch = 0;  // of the grant, or of the last report that named it
};

/** Not thread safe: the keeper's mutex guards it. */
class GrantTable
{
public:
    /** The place of an ask, or nothing. */
    const GrantRecord *find(const GrantKey &key) const;
    /** Books a place; one that the same ask had before is freed. */
    void add(const GrantKey &key, const GrantRecord &grant);
    /** Frees a place. Returns false when there is none. */
    bool remove(const GrantKey &key);
    /** Notes that a place was checked. Precondition: it is booked. */
    void markChecked(const GrantKey &key, TimePoint now);
    /** Notes that its holder named a place in a report. Precondition: it is booked. */
    void markConfirmed(const GrantKey &key, TimePoint now, uint64_t epoch);
    /** Places in use at a target. */
    uint32_t used(TargetId target, PlaceKind kind) const;
    /** Every place, sorted by holder. */
    const std::map<GrantKey, GrantRecord> &all() const
    {
        return this->grants;
    }
    /** Members that hold feed places of a target, sorted. */
    std::set<MemberId> feedHolders(TargetId target) const;

    /** Remembers that an ask was given up. `target` 0: whatever it holds. The oldest go when there are more than `most`. */
    void addRelease(const GrantKey &key, TargetId target, TimePoint expires, size_t maxReleases);
    /** Whether an ask was given up lately. */
    bool isReleased(const GrantKey &key) const;
    /** Whether its place at `target` was given back lately. */
    bool isReleased(const GrantKey &key, TargetId target) const;
    /** Forgets releases that have expired. */
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
    uint32_t &count(TargetId target, PlaceKind kind);
    void removeOldest();

    std::map<GrantKey, GrantRecord> grants;
    std::map<TargetId, Usage> usage;
    std::map<GrantKey, Release> releases;
    std::deque<GrantKey> releaseOrder;
};

} // namespace hornbeam
