#pragma once

// The records of all members that were heard of, the order of precedence between two records of one member, and the queue of
// changes that ride along on probes. Not thread safe: Membership guards it.

#include "core/clock.h"
#include "core/counters.h"
#include "membership/memberview.h"

#include <map>

namespace hornbeam {

struct MemberEntry
{
    MemberRecord record;
    TimePoint changedAt;   // when the record last changed here
    TimePoint suspectedAt; // meaningful while `suspected`
    bool suspected = false;
    TimePoint missingSince; // meaningful while `missing`
    bool missing = false;   // its own zone's newest list left it out
};

/** Whether `news` replaces `known`, both of the same member: higher incarnation, then higher revision, then later state; Left is final. */
bool supersedes(const MemberRecord &incoming, const MemberRecord &current);

class MemberTable
{
public:
    /** Records of `ownZone` are suspected and expire; those of other zones are as their zone says. */
    MemberTable(ZoneId ownZone, Counters &counters);

    /** Takes in a record of another member. Returns whether anything changed. Precondition: not this process's own identifier. */
    bool update(const MemberRecord &incoming, TimePoint now);
    /** Starts to suspect a live member. Returns whether its record changed. */
    bool beginSuspicion(MemberId member, TimePoint now);
    /** Declares dead whoever was suspected before `bound`. Returns whether any record changed. */
    bool expireSuspicions(TimePoint cutoff, TimePoint now);
    /** Moves all suspicions later by `pause`, in which this process itself stood still. */
    void extendSuspicions(Duration pause);
    /** Forgets dead and departed members that changed before `bound`. Returns whether any was. */
    bool purgeInactive(TimePoint cutoff);
    /** Compares with the whole list of another zone; drops whoever its lists have left out since before `bound`. Returns whether any was dropped. */
    bool reconcileWithList(ZoneId zone, const std::vector<MemberRecord> &listed, TimePoint now, TimePoint cutoff);

    /** Nothing when the member was never heard of. Valid until the next change. */
    const MemberEntry *find(MemberId member) const;
    const std::map<MemberId, MemberEntry> &all() const
    {
        return this->entries;
    }
    /** The live members of a zone, in the order of their identifiers. */
    std::vector<MemberRecord> liveMembersIn(ZoneId zone) const;
    /** All records of a zone, dead and departed ones included. */
    std::vector<MemberRecord> recordsIn(ZoneId zone) const;
    /** A hash over the live members of a zone, which two members with the same view share. */
    uint64_t zoneHash(ZoneId zone) const;

    /** The least-told changes, at most `most`; each is told `sends` times at most. */
    std::vector<MemberRecord> takeUpdates(size_t maxCount, unsigned transmitLimit);

private:
    /** A change that has to be told. */
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

/** What one live record adds to the hash of its zone. Thread safe. */
uint64_t recordHash(const MemberRecord &record);

} // namespace hornbeam
