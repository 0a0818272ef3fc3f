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
bool supersedes(const MemberRecord &news, const MemberRecord &known);

class MemberTable
{
public:
    /** Records of `ownZone` are suspected and expire; those of other zones are as their zone says. */
    MemberTable(ZoneId ownZone, Counters &counters);

    /** Takes in a record of another member. Returns whether anything changed. Precondition: not this process's own identifier. */
    bool update(const MemberRecord &news, TimePoint now);
    /** Starts to suspect a live member. Returns whether its record changed. */
    bool beginSuspicion(MemberId member, TimePoint now);
    /** Declares dead whoever was suspected before `bound`. Returns whether any record changed. */
    bool endSuspicions(TimePoint bound, TimePoint now);
    /** Moves all suspicions later by `pause`, in which this process itself stood still. */
    void delaySuspicions(Duration pause);
    /** Forgets dead and departed members that changed before `bound`. Returns whether any was. */
    bool forgetGone(TimePoint bound);
    /** Compares with the whole list of another zone; drops whoever its lists have left out since before `bound`. Returns whether any was dropped. */
    bool updateMissing(ZoneId zone, const std::vector<MemberRecord> &listed, TimePoint now, TimePoint bound);

    /** Nothing when the member was never heard of. Valid until the next change. */
    const MemberEntry *find(MemberId member) const;
    const std::map<MemberId, MemberEntry> &all() const
    {
        return this->entries;
    }
    /** The live members of a zone, in the order of their identifiers. */
    std::vector<MemberRecord> liveIn(ZoneId zone) const;
    /** All records of a zone, dead and departed ones included. */
    std::vector<MemberRecord> recordsOf(ZoneId zone) const;
    /** A hash over the live members of a zone, which two members with the same view share. */
    uint64_t hashOf(ZoneId zone) const;

    /** The least-told changes, at most `most`; each is told `sends` times at most. */
    std::vector<MemberRecord> takeUpdates(size_t most, unsigned sends);

private:
    /** A change that has to be told. */
    struct Update
    {
        MemberId member = 0;
        unsigned sent = 0;
    };

    void addUpdate(MemberId member);
    void count(MemberState before, const MemberRecord &after, bool newLife);

    ZoneId ownZone;
    Counters &counters;
    std::map<MemberId, MemberEntry> entries;
    std::vector<Update> updates;
};

/** What one live record adds to the hash of its zone. Thread safe. */
uint64_t recordHash(const MemberRecord &record);

} // namespace hornbeam
