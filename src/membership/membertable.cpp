#include "membership/membertable.h"

#include <algorithm>

namespace hornbeam {

bool supersedes(const MemberRecord &news, const MemberRecord &known)
{
    if (news.incarnation != known.incarnation) {
        return news.incarnation > known.incarnation;
    }
    if (known.state == MemberState::Left) {
        return false;
    }
    if (news.revision != known.revision) {
        return news.revision > known.revision;
    }
    return news.state > known.state;
}

uint64_t recordHash(const MemberRecord &record)
{
    const uint64_t leaving = record.state == MemberState::Leaving ? 1 : 0;
    return mixHash(mixHash(record.id, record.incarnation), leaving);
}

MemberTable::MemberTable(ZoneId ownZone, Counters &counters) : ownZone(ownZone), counters(counters)
{
}

bool MemberTable::update(const MemberRecord &news, TimePoint now)
{
    MemberRecord record = news;
    if (record.zone != this->ownZone && record.state == MemberState::Suspect) {
        record.state = MemberState::Alive; // suspicion is its own zone's concern
    }
    auto at = this->entries.find(record.id);
    if (at == this->entries.end()) {
        if (!isLive(record.state)) {
            return false; // learnt anew it would never be forgotten by all
        }
        at = this->entries.emplace(record.id, MemberEntry()).first;
        at->second.record.state = MemberState::Left;
    } else if (!supersedes(record, at->second.record)) {
        return false;
    }
    MemberEntry &entry = at->second;
    this->count(entry.record.state, record, entry.record.incarnation != record.incarnation);
    entry.record = record;
    entry.changedAt = now;
    entry.suspected = record.state == MemberState::Suspect;
    entry.suspectedAt = now;
    entry.missing = false;
    this->addUpdate(record.id);
    return true;
}

void MemberTable::count(MemberState before, const MemberRecord &after, bool newLife)
{
    if (after.state == MemberState::Suspect) {
        this->counters.add(Counter::MembersSuspected);
    }
    const bool replaced = newLife && isLive(before); // the old life ended without a word
    if (replaced || after.state == MemberState::Dead) {
        this->counters.add(Counter::MembersFailed);
    }
}

bool MemberTable::beginSuspicion(MemberId member, TimePoint now)
{
    const auto at = this->entries.find(member);
    if (at == this->entries.end() || !isLive(at->second.record.state) || at->second.suspected) {
        return false;
    }
    MemberEntry &entry = at->second;
    if (entry.record.state == MemberState::Alive) {
        MemberRecord suspect = entry.record;
        suspect.state = MemberState::Suspect;
        return this->update(suspect, now);
    }
    entry.suspected = true; // a leaving one stays so for all others until it is declared dead
    entry.suspectedAt = now;
    return false;
}

bool MemberTable::endSuspicions(TimePoint bound, TimePoint now)
{
    bool changed = false;
    for (auto &[member, entry] : this->entries) {
        if (entry.suspected && entry.suspectedAt <= bound) {
            MemberRecord dead = entry.record;
            dead.state = MemberState::Dead;
            changed = this->update(dead, now) || changed;
        }
    }
    return changed;
}

void MemberTable::delaySuspicions(Duration pause)
{
    for (auto &[member, entry] : this->entries) {
        entry.suspectedAt += pause;
    }
}

bool MemberTable::forgetGone(TimePoint bound)
{
    return std::erase_if(this->entries, [bound](const auto &item) { return !isLive(item.second.record.state) && item.second.changedAt <= bound; }) > 0;
}

bool MemberTable::updateMissing(ZoneId zone, const std::vector<MemberRecord> &listed, TimePoint now, TimePoint bound)
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
               [zone, bound](const auto &item) { return item.second.record.zone == zone && item.second.missing && item.second.missingSince <= bound; })
        > 0;
}

const MemberEntry *MemberTable::find(MemberId member) const
{
    const auto at = this->entries.find(member);
    return at == this->entries.end() ? nullptr : &at->second;
}

std::vector<MemberRecord> MemberTable::liveIn(ZoneId zone) const
{
    std::vector<MemberRecord> found;
    for (const auto &[member, entry] : this->entries) {
        if (entry.record.zone == zone && isLive(entry.record.state)) {
            found.push_back(entry.record);
        }
    }
    return found;
}

std::vector<MemberRecord> MemberTable::recordsOf(ZoneId zone) const
{
    std::vector<MemberRecord> found;
    for (const auto &[member, entry] : this->entries) {
        if (entry.record.zone == zone) {
            found.push_back(entry.record);
        }
    }
    return found;
}

uint64_t MemberTable::hashOf(ZoneId zone) const
{
    uint64_t hash = 0;
    for (const auto &[member, entry] : this->entries) {
        if (entry.record.zone == zone && isLive(entry.record.state)) {
            hash ^= recordHash(entry.record);
        }
    }
    return hash;
}

void MemberTable::addUpdate(MemberId member)
{
    std::erase_if(this->updates, [member](const Update &update) { return update.member == member; });
    this->updates.push_back(Update{ member, 0 });
}

std::vector<MemberRecord> MemberTable::takeUpdates(size_t most, unsigned sends)
{
    std::stable_sort(this->updates.begin(), this->updates.end(), [](const Update &a, const Update &b) { return a.sent < b.sent; });
    std::vector<MemberRecord> taken;
    for (Update &update : this->updates) {
        if (taken.size() >= most) {
            break;
        }
        ++update.sent;
        const MemberEntry *entry = this->find(update.member);
        if (entry != nullptr) {
            taken.push_back(entry->record);
        }
    }
    std::erase_if(this->updates, [sends](const Update &update) { return update.sent >= sends; });
    return taken;
}

} // namespace hornbeam
