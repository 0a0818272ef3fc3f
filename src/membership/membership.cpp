// Sections: construction and queries | messages | updates | leaving

#include "membership/membership.h"

#include <algorithm>

namespace hornbeam {

std::string_view nameOf(MemberState state)
{
    constexpr std::string_view names[] = { "alive", "suspect", "leaving", "left", "dead" };
    return names[static_cast<size_t>(state)];
}

namespace {

constexpr unsigned retransmitMultiplier = 3; // sends of an update for each doubling of the number of members

} // namespace

//--- Construction and queries

Membership::Membership(const MembershipSettings &settings, const MemberRecord &self, const Clock &clock, Counters &counters, uint64_t seed)
    : settings(settings)
    , clock(clock)
    , ownRecord(self)
    , table(self.zone, counters)
    , contacts(settings.zoneTimeout)
    , random(seed)
    , lastTick(clock.now())
    , nextProbe(clock.now())
    , nextDigest(clock.now())
{
    this->publishView();
}

void Membership::addSeed(MemberId member, ZoneId zone, const Endpoint &peer)
{
    const std::lock_guard lock(this->mutex);
    const bool isKnown = member == this->ownRecord.id || this->table.find(member) != nullptr;
    if (isKnown || (this->seeds.size() >= this->settings.maxSeeds && this->seeds.count(member) == 0)) {
        return;
    }
    this->seeds[member] = Seed{ zone, peer };
    if (zone == unknownZone && this->table.all().empty()) {
        this->nextDigest = this->clock.now(); // ping the seed immediately, since no other member is known
    }
}

std::optional<Endpoint> Membership::endpointOf(MemberId member) const
{
    const std::optional<MemberRecord> known = this->find(member);
    if (known.has_value()) {
        return known->peer;
    }
    const std::lock_guard lock(this->mutex);
    const auto it = this->seeds.find(member);
    return it == this->seeds.end() ? std::nullopt : std::optional<Endpoint>(it->second.peer);
}

void Membership::setTableDigest(uint64_t digest)
{
    const std::lock_guard lock(this->mutex);
    if (digest != this->tableDigest) {
        this->tableDigest = digest;
        this->membersWithDifferentTables.clear(); // the entries were compared with the previous digest
    }
}

void Membership::sendTableDigest(MemberId peer, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (peer != 0 && peer != this->ownRecord.id) {
        this->sendPing(peer, this->nextSequence++, out);
    }
}

TableAgreement Membership::tableAgreement() const
{
    const std::lock_guard lock(this->mutex);
    TableAgreement agreement{ 1, 1, {} };
    const std::shared_ptr<const MemberView> known = this->currentView();
    for (const MemberRecord &member : known->records()) {
        if (member.zone != this->ownRecord.zone || member.id == this->ownRecord.id || !isLive(member.state)) {
            continue;
        }
        ++agreement.members;
        const auto reportedDigest = this->peerTableDigests.find(member.id);
        if (reportedDigest != this->peerTableDigests.end() && reportedDigest->second == this->tableDigest) {
            ++agreement.agreeing;
        } else {
            agreement.laggards.push_back(member.peer);
        }
    }
    return agreement;
}

std::vector<MemberId> Membership::takeMembersWithDifferentTables()
{
    const std::lock_guard lock(this->mutex);
    std::vector<MemberId> members(this->membersWithDifferentTables.begin(), this->membersWithDifferentTables.end());
    this->membersWithDifferentTables.clear();
    return members;
}

std::shared_ptr<const MemberView> Membership::currentView() const
{
    const std::lock_guard lock(this->viewMutex);
    return this->view;
}

void Membership::setOwnZoneHealth(bool isHealthy)
{
    const std::lock_guard lock(this->mutex);
    this->isOwnZoneHealthy = isHealthy;
}

std::vector<ZoneContact> Membership::zoneContacts() const
{
    const std::lock_guard lock(this->mutex);
    return this->contacts.report(this->clock.now());
}

std::vector<MemberRecord> Membership::members() const
{
    return this->currentView()->records();
}

MemberRecord Membership::self() const
{
    return this->currentView()->self();
}

std::optional<MemberRecord> Membership::find(MemberId member) const
{
    return this->currentView()->find(member);
}

std::vector<MemberRecord> Membership::eligibleIn(ZoneId zone) const
{
    return this->currentView()->eligibleIn(zone);
}

std::vector<ZoneId> Membership::reachableZones() const
{
    return this->currentView()->reachableZones();
}

MemberId Membership::ownerIn(ZoneId zone, uint64_t key, size_t rank) const
{
    return this->currentView()->ownerIn(zone, key, rank);
}

MemberId Membership::flowOwner(uint64_t flow) const
{
    return this->currentView()->flowOwner(flow);
}

uint64_t Membership::viewVersion() const
{
    return this->currentView()->version();
}

void Membership::publishView()
{
    std::vector<ZoneId> reachable = this->contacts.reachable(this->clock.now());
    reachable.insert(std::lower_bound(reachable.begin(), reachable.end(), this->ownRecord.zone), this->ownRecord.zone);
    if (!this->isViewOutdated && reachable == this->publishedZones) {
        return;
    }
    std::vector<MemberRecord> records;
    for (const auto &[member, entry] : this->table.all()) {
        if (member > this->ownRecord.id && (records.empty() || records.back().id < this->ownRecord.id)) {
            records.push_back(this->ownRecord);
        }
        records.push_back(entry.record);
    }
    if (records.empty() || records.back().id < this->ownRecord.id) {
        records.push_back(this->ownRecord);
    }
    const auto before = this->currentView();
    const uint64_t version = before == nullptr ? 1 : before->version() + 1;
    auto next = std::make_shared<const MemberView>(this->ownRecord, std::move(records), reachable, version);
    const std::lock_guard lock(this->viewMutex);
    this->view = std::move(next);
    this->publishedZones = std::move(reachable);
    this->isViewOutdated = false;
}

//--- Messages

void Membership::onMessage(const Ping &ping, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->processSender(ping.sender, ping.tableDigest, out)) {
        return;
    }
    this->applyUpdates(ping.updates);
    this->applyZoneContacts(ping.sender.zone, ping.contacts);
    if (ping.sender.state != MemberState::Left) {
        const MemberId peer = ping.sender.id;
        PingAck ack{ ping.sequence, this->ownRecord, this->tableDigest, this->updatesFor(peer), 0, this->zoneContactsFor(peer) };
        const std::vector<MemberRecord> bootstrapRecords = this->bootstrapRecordsFor(ping.sender);
        ack.updates.insert(ack.updates.end(), bootstrapRecords.begin(), bootstrapRecords.end());
        out.sendToPeer(peer, std::move(ack));
    }
    this->publishView();
}

void Membership::onMessage(const PingAck &ack, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->processSender(ack.sender, ack.tableDigest, out)) {
        return;
    }
    this->timeRoundTrip(ack);
    this->applyUpdates(ack.updates);
    this->applyZoneContacts(ack.sender.zone, ack.contacts);
    std::erase_if(this->burstProbes, [&ack](const BurstProbe &sentProbe) { return sentProbe.sequence == ack.sequence && sentProbe.subject == ack.sender.id; });
    const MemberId responder = ack.subject == 0 ? ack.sender.id : ack.subject;
    if (ack.sequence == this->probe.sequence && responder == this->probe.subject) {
        this->probe.subject = 0;
    }
    const auto it = std::find_if(this->pendingIndirectProbes.begin(), this->pendingIndirectProbes.end(),
                                 [&ack](const IndirectProbe &sentProbe) { return sentProbe.sequence == ack.sequence; });
    if (it != this->pendingIndirectProbes.end() && ack.subject == 0) {
        const MemberId requester = it->requester;
        out.sendToPeer(requester,
                       PingAck{ it->requesterSequence, this->ownRecord, this->tableDigest, { ack.sender }, ack.sender.id, this->zoneContactsFor(requester) });
        this->pendingIndirectProbes.erase(it);
    }
    this->publishView();
}

void Membership::onMessage(const PingRequest &request, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->processSender(request.sender, this->tableDigest, out)) {
        return;
    }
    this->applyUpdate(request.subject);
    if (this->table.find(request.subject.id) != nullptr) {
        const uint64_t sequence = this->nextSequence++;
        this->pendingIndirectProbes.push_back(IndirectProbe{ sequence, request.sender.id, request.sequence, this->clock.now() });
        this->sendPing(request.subject.id, sequence, out);
    }
    this->publishView();
}

//--- Updates

/** Applies the sender's record and table digest. Returns false when this member has left, or the sender is this member or has no identifier. */
bool Membership::processSender(const MemberRecord &sender, uint64_t digest, Actions &out)
{
    if (this->ownRecord.state == MemberState::Left || sender.id == this->ownRecord.id || sender.id == 0) {
        return false;
    }
    this->applyUpdate(sender);
    if (sender.zone != this->ownRecord.zone) {
        this->contacts.recordDirectContact(sender.zone, this->clock.now());
    } else if (!this->hasMemberList && isLive(sender.state)) {
        this->requestMemberList(sender.id, sender.zone, out);
    }
    if (sender.zone == this->ownRecord.zone) {
        this->peerTableDigests[sender.id] = digest;
    }
    const MemberEntry *entry = this->table.find(sender.id);
    const bool isRunning = entry != nullptr && isLive(entry->record.state);
    if (digest == this->tableDigest || !isRunning) {
        this->membersWithDifferentTables.erase(sender.id);
    } else {
        this->membersWithDifferentTables.insert(sender.id);
    }
    return true;
}

void Membership::applyUpdates(const std::vector<MemberRecord> &records)
{
    for (const MemberRecord &record : records) {
        this->applyUpdate(record);
    }
}

void Membership::applyUpdate(const MemberRecord &record)
{
    if (record.id == this->ownRecord.id) {
        this->refute(record);
        return;
    }
    if (record.id == 0 || !this->table.update(record, this->clock.now())) {
        return;
    }
    this->seeds.erase(record.id);
    this->isViewOutdated = true;
}

/** Overrides what other members believe about this member with a higher revision or incarnation. */
void Membership::refute(const MemberRecord &record)
{
    if (record.incarnation > this->ownRecord.incarnation) {
        this->ownRecord.incarnation = record.incarnation + 1; // the wall clock was stepped back between two process starts
        this->isViewOutdated = true;
        return;
    }
    const bool isOlder = record.incarnation < this->ownRecord.incarnation || record.revision < this->ownRecord.revision;
    if (isOlder || (record.revision == this->ownRecord.revision && record.state == this->ownRecord.state)) {
        return;
    }
    this->ownRecord.revision = record.revision + 1;
    this->isViewOutdated = true;
}

std::vector<MemberRecord> Membership::updatesFor(MemberId peer)
{
    std::vector<MemberRecord> updates;
    const MemberEntry *entry = this->table.find(peer);
    if (entry != nullptr && entry->record.state != MemberState::Alive) {
        updates.push_back(entry->record); // lets the peer refute it
    }
    if (entry == nullptr || entry->record.zone != this->ownRecord.zone) {
        return updates; // other zones are updated by digests
    }
    for (const MemberRecord &record : this->table.takeUpdates(this->settings.updatesPerMessage, this->updateTransmitLimit())) {
        if (record.id != peer) {
            updates.push_back(record);
        }
    }
    return updates;
}

/** For a sender in another zone, which may know only this member as a seed: some members of its zone, and one of each further zone. */
std::vector<MemberRecord> Membership::bootstrapRecordsFor(const MemberRecord &sender)
{
    std::vector<MemberRecord> records;
    if (sender.zone == this->ownRecord.zone) {
        return records;
    }
    std::map<ZoneId, std::vector<MemberId>> byZone;
    for (const auto &[member, entry] : this->table.all()) {
        if (member != sender.id && entry.record.zone != this->ownRecord.zone && isLive(entry.record.state)) {
            byZone[entry.record.zone].push_back(member);
        }
    }
    for (auto &[zone, members] : byZone) {
        for (const MemberId member : this->randomSample(std::move(members), zone == sender.zone ? this->settings.maxBootstrapMembers : 1)) {
            records.push_back(this->table.find(member)->record);
        }
    }
    return records;
}

std::vector<ZoneContact> Membership::zoneContactsFor(MemberId peer) const
{
    const MemberEntry *entry = this->table.find(peer);
    if (entry == nullptr) {
        return {};
    }
    if (entry->record.zone == this->ownRecord.zone) {
        return this->contacts.report(this->clock.now());
    }
    return { ZoneContact{ this->ownRecord.zone, 0, this->isOwnZoneHealthy ? 0 : neverMs } };
}

/** Applies what a member of the local zone reports about other zones, or what a member of another zone reports about its own zone. */
void Membership::applyZoneContacts(ZoneId zone, const std::vector<ZoneContact> &reported)
{
    const TimePoint now = this->clock.now();
    if (zone == this->ownRecord.zone) {
        this->contacts.recordReportedContacts(reported, now);
        return;
    }
    for (const ZoneContact &contact : reported) {
        if (contact.zone == zone) {
            this->contacts.recordHealth(zone, contact.healthyAgeMs != neverMs, now);
        }
    }
}

unsigned Membership::updateTransmitLimit() const
{
    unsigned doublings = 1;
    for (size_t members = this->table.all().size(); members > 1; members /= 2) {
        ++doublings;
    }
    return retransmitMultiplier * doublings;
}

void Membership::sendPing(MemberId peer, uint64_t sequence, Actions &out)
{
    this->timePing(peer, sequence);
    out.sendToPeer(peer, Ping{ sequence, this->ownRecord, this->tableDigest, this->updatesFor(peer), this->zoneContactsFor(peer) });
}

//--- Leaving

void Membership::beginLeave(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->ownRecord.state != MemberState::Alive) {
        return;
    }
    this->ownRecord.state = MemberState::Leaving;
    ++this->ownRecord.revision;
    this->isViewOutdated = true;
    this->pingRandomMembers(this->settings.leaveFanout, out);
    this->publishView();
}

void Membership::endLeave(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->ownRecord.state == MemberState::Left) {
        return;
    }
    this->ownRecord.state = MemberState::Left;
    ++this->ownRecord.revision;
    this->isViewOutdated = true;
    this->pingRandomMembers(this->settings.leaveFanout, out);
    this->publishView();
}

/** Pings up to `maxCount` members of the local zone and one of each other zone. */
void Membership::pingRandomMembers(size_t maxCount, Actions &out)
{
    std::map<ZoneId, std::vector<MemberId>> byZone;
    for (const auto &[member, entry] : this->table.all()) {
        if (isLive(entry.record.state)) {
            byZone[entry.record.zone].push_back(member);
        }
    }
    for (auto &[zone, members] : byZone) {
        for (const MemberId member : this->randomSample(std::move(members), zone == this->ownRecord.zone ? maxCount : 1)) {
            this->sendPing(member, this->nextSequence++, out);
        }
    }
}

} // namespace hornbeam
