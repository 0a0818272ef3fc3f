#pragma once

// Progress of an allocator's rebuild after a takeover: which members have reported the slots that they hold.

#include "core/clock.h"
#include "peer/directory.h"

#include <map>
#include <set>

namespace hornbeam {

/** The epoch of a term: milliseconds in the high bits, bits of the allocator's identifier below, so that epochs of two allocators differ. Thread safe. */
uint64_t makeEpoch(uint64_t millis, MemberId allocator);
/** The smallest epoch of `allocator` that is later than `epoch`. Thread safe. */
uint64_t epochAfter(uint64_t epoch, MemberId allocator);

/** Whether a member's process has ended: it is dead, has left, is unknown to the directory, or was restarted with a later incarnation. Thread safe. */
bool hasProcessEnded(const MemberDirectory &directory, MemberId member, Incarnation incarnation);

/** Not thread safe: guarded by the mutex of SlotAllocator. */
class RebuildProgress
{
public:
    /** Starts waiting for reports of `members`. */
    void begin(const std::vector<MemberRecord> &members, TimePoint deadline);
    /** Adds a member that appeared after begin; does nothing when this incarnation is already known. */
    void addMember(const MemberRecord &member);
    /** Records one part of a report. */
    void addReport(const HeldSlotsReport &report);
    /** Whether all parts of a member's report have arrived. */
    bool isComplete(MemberId member, Incarnation incarnation) const;
    /** Stops waiting for members whose process has ended. */
    void removeEnded(const MemberDirectory &directory);
    /** Whether all reports are complete or the deadline has passed. */
    bool isFinished(TimePoint now) const;
    /** Members whose report is incomplete, sorted. */
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
