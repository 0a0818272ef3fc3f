#pragma once

// The records of all known members, the precedence between two records of one member, and the queue of updates that are piggybacked
// on probes. Not thread safe: guarded by Membership.

#include "core/clock.h"
#include "core/counters.h"
#include "membership/memberview.h"

#include <map>

namespace hornbeam {

struct MemberEntry
{
    MemberRecord record;
    TimePoint changedAt;   // when the record last changed locally
    TimePoint suspectedAt; // valid while `suspected` is set
    bool suspected = false;
    TimePoint missingSince; // valid while `missing` is set
    bool missing = false;   // absent from the latest list of its own zone
};

/** Whether `incoming` replaces `current`, of the same member: higher incarnation, then revision, then later state. Left is final within an incarnation. */
bool supersedes(const MemberRecord &incoming, const MemberRecord &current);

class MemberTable
{
public:
    /** Suspicion is tracked for members of `ownZone` only; the state of members of other zones is taken over as their zone reports it. */
    MemberTable(ZoneId ownZone, Counters &counters);

    /** Applies a record of another member. Returns whether anything changed. Precondition: not this process's own identifier. */
    bool update(const MemberRecord &incoming, TimePoint now);
    /** Starts suspecting a live member. Returns whether its record changed. */
    bool beginSuspicion(MemberId member, TimePoint now);
    /** Declares members dead that have been suspected since `cutoff` or earlier. Returns whether any record changed. */
    bool expireSuspicions(TimePoint cutoff, TimePoint now);
    /** Extends all suspicions by `pause`, the time for which this process itself was paused. */
    void extendSuspicions(Duration pause);
    /** Removes dead and departed members whose record last changed at `cutoff` or earlier. Returns whether any was removed. */
    bool purgeInactive(TimePoint cutoff);
    /** Compares with the full list of another zone; removes members missing from its lists since `cutoff` or earlier. Returns whether any was removed. */
    bool reconcileWithList(ZoneId zone, const std::vector<MemberRecord> &listed, TimePoint now, TimePoint cutoff);

    /** Returns nullptr when the member is unknown. The pointer is valid until the next change. */
    const MemberEntry *find(MemberId member) const;
    const std::map<MemberId, MemberEntry> &all() const
    {
        return this->entries;
    }
    /** The live members of a zone, sorted by identifier. */
    std::vector<MemberRecord> liveMembersIn(ZoneId zone) const;
    /** All records of a zone, including those of dead and departed members. */
    std::vector<MemberRecord> recordsIn(ZoneId zone) const;
    /** A hash over the live members of a zone; equal for two members with the same view. */
    uint64_t zoneHash(ZoneId zone) const;

    /** Takes up to `maxCount` updates, least transmitted first; each update is transmitted at most `transmitLimit` times. */
    std::vector<MemberRecord> takeUpdates(size_t maxCount, unsigned transmitLimit);

private:
    /** A queued update. */
    struct Update
    {
        MemberId member = 0;
        unsigned transmitCount = 0;
    };

    void enqueueUpdate(MemberId member);
    void countTransition(MemberState before, const MemberRecord &after, bool isNewIncarnation);

    ZoneId ownZone;
    Counters &counters;
    std::map<MemberId, MemberEntry> entries;
    std::vector<Update> updateQueue;
};

/** The contribution of one live record to the hash of its zone. Thread safe. */
uint64_t recordHash(const MemberRecord &record);

} // namespace hornbeam
