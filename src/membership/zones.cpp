// The part of Membership that zones tell each other: digests, lists and the first contact with seeds.

#include "membership/membership.h"

#include <algorithm>

namespace hornbeam {

void Membership::onMessage(const ZoneDigest &digest, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->hearFrom(digest.sender, digest.tableDigest, out) || digest.zone != digest.sender.zone) {
        return;
    }
    const MemberId peer = digest.sender.id;
    const TimePoint now = this->clock.now();
    const MemberEntry *entry = this->table.find(peer);
    const bool isBelievedGone = entry == nullptr || !isLive(entry->record.state);
    if (entry != nullptr && isBelievedGone) {
        this->sendPing(peer, this->nextSequence++, out); // carries the record, so that it can refute
    }
    if (!digest.members.empty()) {
        this->updateFrom(digest.members);
        this->isListed = this->isListed || digest.zone == this->own.zone;
        if (digest.zone != this->own.zone) {
            this->changed = this->table.updateMissing(digest.zone, digest.members, now, now - this->settings.missingKept) || this->changed;
        }
    } else if (!isBelievedGone) {
        const uint64_t known = digest.zone == this->own.zone ? this->ownZoneHash() : this->table.hashOf(digest.zone);
        if (known != digest.hash) {
            this->askForList(peer, digest.zone, out);
        }
    }
    if (digest.wantsMembers && !isBelievedGone) {
        this->sendList(peer, out);
    }
    this->publish();
}

uint64_t Membership::ownZoneHash() const
{
    const uint64_t others = this->table.hashOf(this->own.zone);
    return isLive(this->own.state) ? others ^ recordHash(this->own) : others;
}

ZoneDigest Membership::makeDigest() const
{
    return ZoneDigest{ this->own.zone, this->own, this->ownZoneHash(), this->tableDigest, {}, false };
}

/** Live members of each zone, and seeds of other zones. */
std::map<ZoneId, std::vector<MemberId>> Membership::contactsByZone() const
{
    std::map<ZoneId, std::vector<MemberId>> byZone;
    for (const auto &[member, entry] : this->table.all()) {
        if (isLive(entry.record.state)) {
            byZone[entry.record.zone].push_back(member);
        }
    }
    for (const auto &[member, seed] : this->seeds) {
        if (seed.zone != this->own.zone && seed.zone != unknownZone) {
            byZone[seed.zone].push_back(member);
        }
    }
    return byZone;
}

/** Tells one member of one zone, the own one included, what this zone looks like. Zones take turns. */
void Membership::tellZone(Actions &out)
{
    auto byZone = this->contactsByZone();
    if (byZone.empty()) {
        return;
    }
    auto turn = byZone.begin();
    std::advance(turn, static_cast<std::ptrdiff_t>(this->nextZone++ % byZone.size()));
    for (const MemberId member : this->someOf(std::move(turn->second), 1)) {
        out.sendToPeer(member, this->makeDigest());
    }
}

/** Tells one member of each other zone what this zone looks like now. */
void Membership::tellOtherZones(Actions &out)
{
    for (auto &[zone, members] : this->contactsByZone()) {
        if (zone == this->own.zone) {
            continue;
        }
        for (const MemberId member : this->someOf(std::move(members), 1)) {
            out.sendToPeer(member, this->makeDigest());
        }
    }
}

/** Contacts instances of the own zone that have not answered yet, or that were declared dead and may be back in reach. */
void Membership::contactSeeds(Actions &out)
{
    std::vector<MemberId> silent;
    for (const auto &[member, seed] : this->seeds) {
        if (seed.zone == this->own.zone || seed.zone == unknownZone) {
            silent.push_back(member);
        }
    }
    for (const MemberId member : this->someOf(std::move(silent), this->settings.seedsContacted)) {
        this->sendPing(member, this->nextSequence++, out);
    }
    std::vector<MemberId> dead;
    for (const auto &[member, entry] : this->table.all()) {
        if (entry.record.zone == this->own.zone && entry.record.state == MemberState::Dead) {
            dead.push_back(member);
        }
    }
    for (const MemberId member : this->someOf(std::move(dead), 1)) {
        this->sendPing(member, this->nextSequence++, out);
    }
}

void Membership::askForList(MemberId peer, ZoneId zone, Actions &out)
{
    const TimePoint now = this->clock.now();
    const auto [asked, isFirst] = this->listAsked.emplace(zone, now);
    if (!isFirst && now - asked->second < this->settings.digestInterval) {
        return;
    }
    asked->second = now;
    ZoneDigest question = this->makeDigest();
    question.wantsMembers = true;
    out.sendToPeer(peer, std::move(question));
}

void Membership::sendList(MemberId peer, Actions &out)
{
    if (this->listsLeft == 0) {
        return; // it will ask again, another member as a rule
    }
    --this->listsLeft;
    ZoneDigest list = this->makeDigest();
    list.members = this->table.recordsOf(this->own.zone);
    list.members.push_back(this->own);
    if (list.members.size() <= this->settings.listRecordsPerDatagram) {
        out.sendToPeer(peer, std::move(list));
    } else {
        out.sendToStream(peer, std::move(list));
    }
}

} // namespace hornbeam
