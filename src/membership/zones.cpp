// The exchange between zones in Membership: digests, member lists and the first contact with seeds.

#include "membership/membership.h"

#include <algorithm>

namespace hornbeam {

void Membership::onMessage(const ZoneDigest &digest, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->processSender(digest.sender, digest.tableDigest, out) || digest.zone != digest.sender.zone) {
        return;
    }
    const MemberId peer = digest.sender.id;
    const TimePoint now = this->clock.now();
    const MemberEntry *entry = this->table.find(peer);
    const bool isUnknownOrInactive = entry == nullptr || !isLive(entry->record.state);
    if (entry != nullptr && isUnknownOrInactive) {
        this->sendPing(peer, this->nextSequence++, out); // carries the record of the peer, which can then refute it
    }
    if (!digest.members.empty()) {
        this->applyUpdates(digest.members);
        this->hasMemberList = this->hasMemberList || digest.zone == this->ownRecord.zone;
        if (digest.zone != this->ownRecord.zone) {
            this->isViewOutdated =
                this->table.reconcileWithList(digest.zone, digest.members, now, now - this->settings.missingMemberRetention) || this->isViewOutdated;
        }
    } else if (!isUnknownOrInactive) {
        const uint64_t known = digest.zone == this->ownRecord.zone ? this->ownZoneHash() : this->table.zoneHash(digest.zone);
        if (known != digest.hash) {
            this->requestMemberList(peer, digest.zone, out);
        }
    }
    if (digest.wantsMembers && !isUnknownOrInactive) {
        this->sendMemberList(peer, out);
    }
    this->publishView();
}

uint64_t Membership::ownZoneHash() const
{
    const uint64_t others = this->table.zoneHash(this->ownRecord.zone);
    return isLive(this->ownRecord.state) ? others ^ recordHash(this->ownRecord) : others;
}

ZoneDigest Membership::makeDigest() const
{
    return ZoneDigest{ this->ownRecord.zone, this->ownRecord, this->ownZoneHash(), this->tableDigest, {}, false };
}

/** The live members of each zone, and the seeds of other zones. */
std::map<ZoneId, std::vector<MemberId>> Membership::peersByZone() const
{
    std::map<ZoneId, std::vector<MemberId>> byZone;
    for (const auto &[member, entry] : this->table.all()) {
        if (isLive(entry.record.state)) {
            byZone[entry.record.zone].push_back(member);
        }
    }
    for (const auto &[member, seed] : this->seeds) {
        if (seed.zone != this->ownRecord.zone && seed.zone != unknownZone) {
            byZone[seed.zone].push_back(member);
        }
    }
    return byZone;
}

/** Sends the digest of the local zone to one member of one zone. Rotates over all zones including the local one. */
void Membership::sendNextZoneDigest(Actions &out)
{
    auto byZone = this->peersByZone();
    if (byZone.empty()) {
        return;
    }
    auto selectedZone = byZone.begin();
    std::advance(selectedZone, static_cast<std::ptrdiff_t>(this->nextZoneIndex++ % byZone.size()));
    for (const MemberId member : this->randomSample(std::move(selectedZone->second), 1)) {
        out.sendToPeer(member, this->makeDigest());
    }
}

/** Sends the digest of the local zone to one member of each other zone. */
void Membership::sendDigestToOtherZones(Actions &out)
{
    for (auto &[zone, members] : this->peersByZone()) {
        if (zone == this->ownRecord.zone) {
            continue;
        }
        for (const MemberId member : this->randomSample(std::move(members), 1)) {
            out.sendToPeer(member, this->makeDigest());
        }
    }
}

/** Pings seeds of the local or an unknown zone that have not answered yet, and one dead member of the local zone, which may be reachable again. */
void Membership::pingSeedsAndDeadMembers(Actions &out)
{
    std::vector<MemberId> unansweredSeeds;
    for (const auto &[member, seed] : this->seeds) {
        if (seed.zone == this->ownRecord.zone || seed.zone == unknownZone) {
            unansweredSeeds.push_back(member);
        }
    }
    for (const MemberId member : this->randomSample(std::move(unansweredSeeds), this->settings.seedFanout)) {
        this->sendPing(member, this->nextSequence++, out);
    }
    std::vector<MemberId> deadMembers;
    for (const auto &[member, entry] : this->table.all()) {
        if (entry.record.zone == this->ownRecord.zone && entry.record.state == MemberState::Dead) {
            deadMembers.push_back(member);
        }
    }
    for (const MemberId member : this->randomSample(std::move(deadMembers), 1)) {
        this->sendPing(member, this->nextSequence++, out);
    }
}

void Membership::requestMemberList(MemberId peer, ZoneId zone, Actions &out)
{
    const TimePoint now = this->clock.now();
    const auto [previousRequest, isFirst] = this->listRequestedAt.emplace(zone, now);
    if (!isFirst && now - previousRequest->second < this->settings.digestInterval) {
        return;
    }
    previousRequest->second = now;
    ZoneDigest request = this->makeDigest();
    request.wantsMembers = true;
    out.sendToPeer(peer, std::move(request));
}

void Membership::sendMemberList(MemberId peer, Actions &out)
{
    if (this->remainingLists == 0) {
        return; // the peer will repeat the request, usually to another member
    }
    --this->remainingLists;
    ZoneDigest list = this->makeDigest();
    list.members = this->table.recordsIn(this->ownRecord.zone);
    list.members.push_back(this->ownRecord);
    if (list.members.size() <= this->settings.listRecordsPerDatagram) {
        out.sendToPeer(peer, std::move(list));
    } else {
        out.sendToStream(peer, std::move(list));
    }
}

} // namespace hornbeam
