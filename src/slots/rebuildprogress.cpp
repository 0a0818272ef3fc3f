#include "slots/rebuildprogress.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned allocatorBits = 20; // the wall clock in ms takes another 41

} // namespace

uint64_t makeEpoch(uint64_t millis, MemberId allocator)
{
    return (millis << allocatorBits) | (allocator & ((1ULL << allocatorBits) - 1));
}

uint64_t epochAfter(uint64_t epoch, MemberId allocator)
{
    return makeEpoch((epoch >> allocatorBits) + 1, allocator);
}

bool hasProcessEnded(const MemberDirectory &directory, MemberId member, Incarnation incarnation)
{
    const auto record = directory.find(member);
    if (!record.has_value()) {
        return true;
    }
    return record->state == MemberState::Dead || record->state == MemberState::Left || record->incarnation > incarnation;
}

void RebuildProgress::begin(const std::vector<MemberRecord> &members, TimePoint deadline)
{
    this->members.clear();
    this->deadline = deadline;
    for (const MemberRecord &member : members) {
        this->addMember(member);
    }
}

void RebuildProgress::addMember(const MemberRecord &member)
{
    MemberProgress &progress = this->members[member.id];
    if (progress.incarnation < member.incarnation) {
        progress = MemberProgress{ member.incarnation, {}, 0, false };
    }
}

void RebuildProgress::addReport(const HeldSlotsReport &report)
{
    const auto found = this->members.find(report.holder);
    if (found == this->members.end() || found->second.incarnation != report.incarnation) {
        return;
    }
    MemberProgress &progress = found->second;
    if (progress.partCount != report.parts) { // the holder repartitioned its report: parts of different partitions can't be combined
        progress.parts.clear();
        progress.partCount = report.parts;
    }
    progress.parts.insert(report.part);
    progress.isComplete = progress.isComplete || progress.parts.size() >= report.parts;
}

bool RebuildProgress::isComplete(MemberId member, Incarnation incarnation) const
{
    const auto found = this->members.find(member);
    return found != this->members.end() && found->second.incarnation == incarnation && found->second.isComplete;
}

void RebuildProgress::removeEnded(const MemberDirectory &directory)
{
    std::erase_if(this->members, [&directory](const auto &entry) { return hasProcessEnded(directory, entry.first, entry.second.incarnation); });
}

bool RebuildProgress::isFinished(TimePoint now) const
{
    const bool complete = std::all_of(this->members.begin(), this->members.end(), [](const auto &entry) { return entry.second.isComplete; });
    return complete || now >= this->deadline;
}

std::vector<MemberId> RebuildProgress::pendingMembers() const
{
    std::vector<MemberId> pending;
    for (const auto &[member, progress] : this->members) {
        if (!progress.isComplete) {
            pending.push_back(member);
        }
    }
    return pending;
}

} // namespace hornbeam
