#include "membership/membertable.h"

#include <algorithm>

namespace hornbeam {

bool supersedes(const MemberRecord &incoming, const MemberRecord &current)
{
    if (incoming.incarnation != current.incarnation) {
        return incoming.incarnation > current.incarnation;
    }
    if (current.state == MemberState::Left) {
        return false;
    }
    if (incoming.revision != current.revision) {
        return incoming.revision > current.revision;
    }
    return incoming.state > current.state;
}

uint64_t recordHash(const MemberRecord &record)
{
    const uint64_t leavingBit = record.state == MemberState::Leaving ? 1 : 0;
    return mixHash(mixHash(record.id, record.incarnation), leavingBit);
}

MemberTable::MemberTable(ZoneId ownZone, Counters &counters) : ownZone(ownZone), counters(counters)
{
}

bool MemberTable::update(const MemberRecord &incoming, TimePoint now)
{
    MemberRecord record = incoming;
    if (record.zone != this->ownZone && record.state == MemberState::Suspect) {
        record.state = MemberState::Alive; // suspicions are only handled within the member's own zone
    }
    auto it = this->entries.find(record.id);
    if (it == this->entries.end()) {
        if (!isLive(record.state)) {
            return false; // otherwise members would keep relearning it from each other and never purge it everywhere
        }
        it = this->entries.emplace(record.id, MemberEntry()).first;
        it->second.record.state = MemberState::Left;
    } else if (!supersedes(record, it->second.record)) {
        return false;
    }
    MemberEntry &entry = it->second;
    this->countTransition(entry.record.state, record, entry.record.incarnation != record.incarnation);
    entry.record = record;
    entry.changedAt = now;
    entry.suspected = record.state == MemberState::Suspect;
    entry.suspectedAt = now;
    entry.missing = false;
    this->enqueueUpdate(record.id);
    return true;
}

void MemberTable::countTransition(MemberState before, const MemberRecord &after, bool isNewIncarnation)
{
    if (after.state == MemberState::Suspect) {
        this->counters.add(Counter::MembersSuspected);
    }
    const bool wasReplaced = isNewIncarnation && isLive(before); // the previous process ended without leaving
    if (wasReplaced || after.state == MemberState::Dead) {
        this->counters.add(Counter::MembersFailed);
    }
}

bool MemberTable::beginSuspicion(MemberId member, TimePoint now)
{
    const auto it = this->entries.find(member);
    if (it == this->entries.end() || !isLive(it->second.record.state) || it->second.suspected) {
        return false;
    }
    MemberEntry &entry = it->second;
    if (entry.record.state == MemberState::Alive) {
        MemberRecord suspect = entry.record;
        suspect.state = MemberState::Suspect;
        return this->update(suspect, now);
    }
    entry.suspected = true; // a leaving member keeps its state for others until it is declared dead
    entry.suspectedAt = now;
    return false;
}

bool MemberTable::expireSuspicions(TimePoint cutoff, TimePoint now)
{
    bool changed = false;
    for (auto &[member, entry] : this->entries) {
        if (entry.suspected && entry.suspectedAt <= cutoff) {
            MemberRecord dead = entry.record;
            dead.state = MemberState::Dead;
            changed = this->update(dead, now) || changed;
        }
    }
    return changed;
}

void MemberTable::extendSuspicions(Duration pause)
{
    for (auto &[member, entry] : this->entries) {
        entry.suspectedAt += pause;
    }
}

bool MemberTable::purgeInactive(TimePoint cutoff)
{
    return std::erase_if(this->entries, [cutoff](const auto &item) { return !isLive(item.second.record.state) && item.second.changedAt <= cutoff; }) > 0;
}

bool MemberTable::reconcileWithList(ZoneId zone, const std::vector<MemberRecord> &listed, TimePoint now, TimePoint cutoff)
{
    for (auto &[member, entry] : this->entries) {
        if (entry.record.zone != zone || !isLive(entry.record.state)) {
            continue;
        }
        const bool isListed = std::any_of(listed.begin(), listed.end(), [id = member](const MemberRecord &record) { return record.id == id; });
        if (!isListed && !entry.missing) {
            entry.missingSince = now;
        }
        entry.missing = !isListed;
    }
    return std::erase_if(
               this->entries,
               [zone, cutoff](const auto &item) { return item.second.record.zone == zone && item.second.missing && item.second.missingSince <= cutoff; })
        > 0;
}

const MemberEntry *MemberTable::find(MemberId member) const
{
    const auto it = this->entries.find(member);
    return it == this->entries.end() ? nullptr : &it->second;
}

std::vector<MemberRecord> MemberTable::liveMembersIn(ZoneId zone) const
{
    std::vector<MemberRecord> records;
    for (const auto &[member, entry] : this->entries) {
        if (entry.record.zone == zone && isLive(entry.record.state)) {
            records.push_back(entry.record);
        }
    }
    return records;
}

std::vector<MemberRecord> MemberTable::recordsIn(ZoneId zone) const
{
    std::vector<MemberRecord> records;
    for (const auto &[member, entry] : this->entries) {
        if (entry.record.zone == zone) {
            records.push_back(entry.record);
        }
    }
    return records;
}

uint64_t MemberTable::zoneHash(ZoneId zone) const
{
    uint64_t hash = 0;
    for (const auto &[member, entry] : this->entries) {
        if (entry.record.zone == zone && isLive(entry.record.state)) {
            hash ^= recordHash(entry.record);
        }
    }
    return hash;
}

void MemberTable::enqueueUpdate(MemberId member)
{
    std::erase_if(this->updateQueue, [member](const Update &update) { return update.member == member; });
    this->updateQueue.push_back(Update{ member, 0 });
}

std::vector<MemberRecord> MemberTable::takeUpdates(size_t maxCount, unsigned transmitLimit)
{
    std::stable_sort(this->updateQueue.begin(), this->updateQueue.end(), [](const Update &a, const Update &b) { return a.transmitCount < b.transmitCount; });
    std::vector<MemberRecord> selected;
    for (Update &update : this->updateQueue) {
        if (selected.size() >= maxCount) {
            break;
        }
        ++update.transmitCount;
        const MemberEntry *entry = this->find(update.member);
        if (entry != nullptr) {
            selected.push_back(entry->record);
        }
    }
    std::erase_if(this->updateQueue, [transmitLimit](const Update &update) { return update.transmitCount >= transmitLimit; });
    return selected;
}

} // namespace hornbeam
