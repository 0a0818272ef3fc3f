#pragma once

// Progress of a keeper that has just taken over: which members have reported the places they hold.

#include "core/clock.h"
#include "peer/directory.h"

#include <map>
#include <set>

namespace hornbeam {

/** The epoch of a term: milliseconds, then bits of the keeper's identifier, so that two keepers never share one. Thread safe. */
uint64_t makeEpoch(uint64_t millis, MemberId allocator);
/** The least epoch of `keeper` that is later than another one. Thread safe. */
uint64_t epochAfter(uint64_t epoch, MemberId allocator);

/** Whether a member's process has ended: it is dead, has left, was forgotten, or runs again with a later incarnation. Thread safe. */
bool hasProcessEnded(const MemberDirectory &directory, MemberId member, Incarnation incarnation);

/** Not thread safe: the keeper's mutex guards it. */
class RebuildProgress
{
public:
    /** Starts to wait for the members given. */
    void begin(const std::vector<MemberRecord> &members, TimePoint deadline);
    /** Waits for a member that turned up meanwhile; does nothing when it is known. */
    void addMember(const MemberRecord &member);
    /** Takes in one part of a report. */
    void addReport(const HeldReport &report);
    /** Whether a member's process has reported in full. */
    bool isComplete(MemberId member, Incarnation incarnation) const;
    /** Ends the wait for members that are gone. */
    void removeEnded(const MemberDirectory &directory);
    /** Whether nobody is waited for, or the time is up. */
    bool isFinished(TimePoint now) const;
    /** The members that have not reported, sorted. */
    std::vector<MemberId> pendingMembers() const;

private:
    struct MemberProgress
    {
        Incarnation incarnation = 0;
        std::set<uint16_t> parts;
        uint16_t partCount = 0;
        bool isComplete = false;
    };
    std::map<MemberId, MemberProgress> members;
    TimePoint deadline;
};

} // namespace hornbeam
