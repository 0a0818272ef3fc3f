#include "slots/rebuild.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned keeperBits = 20; // the wall clock takes 41 more

} // namespace

uint64_t makeEpoch(uint64_t millis, MemberId keeper)
{
    return (millis << keeperBits) | (keeper & ((1ULL << keeperBits) - 1));
}

uint64_t epochAfter(uint64_t epoch, MemberId keeper)
{
    return makeEpoch((epoch >> keeperBits) + 1, keeper);
}

bool isGone(const MemberDirectory &directory, MemberId member, Incarnation incarnation)
{
    const auto record = directory.find(member);
    if (!record.has_value()) {
        return true;
    }
    return record->state == MemberState::Dead || record->state == MemberState::Left || record->incarnation > incarnation;
}

void Rebuild::begin(const std::vector<MemberRecord> &members, TimePoint deadline)
{
    this->members.clear();
    this->deadline = deadline;
    for (const MemberRecord &member : members) {
        this->addMember(member);
    }
}

void Rebuild::addMember(const MemberRecord &member)
{
    Progress &progress = this->members[member.id];
    if (progress.incarnation < member.incarnation) {
        progress = Progress{ member.incarnation, {}, 0, false };
    }
}

void Rebuild::updateReport(const HeldReport &report)
{
    const auto found = this->members.find(report.holder);
    if (found == this->members.end() || found->second.incarnation != report.incarnation) {
        return;
    }
    Progress &progress = found->second;
    if (progress.partCount != report.parts) { // split anew: parts of two splits don't add up
        progress.parts.clear();
        progress.partCount = report.parts;
    }
    progress.parts.insert(report.part);
    progress.isComplete = progress.isComplete || progress.parts.size() >= report.parts;
}

bool Rebuild::isComplete(MemberId member, Incarnation incarnation) const
{
    const auto found = this->members.find(member);
    return found != this->members.end() && found->second.incarnation == incarnation && found->second.isComplete;
}

void Rebuild::removeGone(const MemberDirectory &directory)
{
    std::erase_if(this->members, [&directory](const auto &entry) { return isGone(directory, entry.first, entry.second.incarnation); });
}

bool Rebuild::isOver(TimePoint now) const
{
    const bool complete = std::all_of(this->members.begin(), this->members.end(), [](const auto &entry) { return entry.second.isComplete; });
    return complete || now >= this->deadline;
}

std::vector<MemberId> Rebuild::missing() const
{
    std::vector<MemberId> missing;
    for (const auto &[member, progress] : this->members) {
        if (!progress.isComplete) {
            missing.push_back(member);
        }
    }
    return missing;
}

} // namespace hornbeam
