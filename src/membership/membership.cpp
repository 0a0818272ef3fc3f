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

constexpr unsigned sendsPerDoubling = 3; // a change is told this often for each doubling of the zone

} // namespace

//--- Construction and queries

Membership::Membership(const MembershipSettings &settings, const MemberRecord &self, const Clock &clock, Counters &counters, uint64_t seed)
    : settings(settings)
    , clock(clock)
    , own(self)
    , table(self.zone, counters)
    , contacts(settings.zoneSilence)
    , random(seed)
    , lastTick(clock.now())
    , nextProbe(clock.now())
    , nextDigest(clock.now())
{
    this->publish();
}

void Membership::addSeed(MemberId member, ZoneId zone, const Endpoint &peer)
{
    const std::lock_guard lock(this->mutex);
    const bool isKnown = member == this->own.id || this->table.find(member) != nullptr;
    if (isKnown || (this->seeds.size() >= this->settings.seedsKept && this->seeds.count(member) == 0)) {
        return;
    }
    this->seeds[member] = Seed{ zone, peer };
    if (zone == unknownZone && this->table.all().empty()) {
        this->nextDigest = this->clock.now(); // contacted at once: nothing else is known to this instance
    }
}

std::optional<Endpoint> Membership::endpointOf(MemberId member) const
{
    const std::optional<MemberRecord> known = this->find(member);
    if (known.has_value()) {
        return known->peer;
    }
    const std::lock_guard lock(this->mutex);
    const auto at = this->seeds.find(member);
    return at == this->seeds.end() ? std::nullopt : std::optional<Endpoint>(at->second.peer);
}

void Membership::setTableDigest(uint64_t digest)
{
    const std::lock_guard lock(this->mutex);
    if (digest != this->tableDigest) {
        this->tableDigest = digest;
        this->tableDiffering.clear(); // compared with the digest that has just gone
    }
}

void Membership::tellTableDigest(MemberId peer, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (peer != 0 && peer != this->own.id) {
        this->sendPing(peer, this->nextSequence++, out);
    }
}

TableAgreement Membership::tableAgreement() const
{
    const std::lock_guard lock(this->mutex);
    TableAgreement agreement{ 1, 1, {} };
    const std::shared_ptr<const MemberView> known = this->currentView();
    for (const MemberRecord &member : known->records()) {
        if (member.zone != this->own.zone || member.id == this->own.id || !isLive(member.state)) {
            continue;
        }
        ++agreement.members;
        const auto heard = this->heardDigests.find(member.id);
        if (heard != this->heardDigests.end() && heard->second == this->tableDigest) {
            ++agreement.agreeing;
        } else {
            agreement.laggards.push_back(member.peer);
        }
    }
    return agreement;
}

std::vector<MemberId> Membership::takeTableDiffering()
{
    const std::lock_guard lock(this->mutex);
    std::vector<MemberId> members(this->tableDiffering.begin(), this->tableDiffering.end());
    this->tableDiffering.clear();
    return members;
}

std::shared_ptr<const MemberView> Membership::currentView() const
{
    const std::lock_guard lock(this->viewMutex);
    return this->view;
}

void Membership::setZoneHealth(bool isWell)
{
    const std::lock_guard lock(this->mutex);
    this->isZoneWell = isWell;
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

void Membership::publish()
{
    std::vector<ZoneId> heard = this->contacts.reachable(this->clock.now());
    heard.insert(std::lower_bound(heard.begin(), heard.end(), this->own.zone), this->own.zone);
    if (!this->changed && heard == this->reachable) {
        return;
    }
    std::vector<MemberRecord> records;
    for (const auto &[member, entry] : this->table.all()) {
        if (member > this->own.id && (records.empty() || records.back().id < this->own.id)) {
            records.push_back(this->own);
        }
        records.push_back(entry.record);
    }
    if (records.empty() || records.back().id < this->own.id) {
        records.push_back(this->own);
    }
    const auto before = this->currentView();
    const uint64_t version = before == nullptr ? 1 : before->version() + 1;
    auto next = std::make_shared<const MemberView>(this->own, std::move(records), heard, version);
    const std::lock_guard lock(this->viewMutex);
    this->view = std::move(next);
    this->reachable = std::move(heard);
    this->changed = false;
}

//--- Messages

void Membership::onMessage(const Ping &ping, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->hearFrom(ping.sender, ping.tableDigest, out)) {
        return;
    }
    this->updateFrom(ping.updates);
    this->takeContacts(ping.sender.zone, ping.contacts);
    if (ping.sender.state != MemberState::Left) {
        const MemberId peer = ping.sender.id;
        PingAck ack{ ping.sequence, this->own, this->tableDigest, this->updatesFor(peer), 0, this->contactsFor(peer) };
        const std::vector<MemberRecord> introduced = this->introductionsFor(ping.sender);
        ack.updates.insert(ack.updates.end(), introduced.begin(), introduced.end());
        out.sendToPeer(peer, std::move(ack));
    }
    this->publish();
}

void Membership::onMessage(const PingAck &ack, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->hearFrom(ack.sender, ack.tableDigest, out)) {
        return;
    }
    this->updateFrom(ack.updates);
    this->takeContacts(ack.sender.zone, ack.contacts);
    std::erase_if(this->group, [&ack](const GroupProbe &made) { return made.sequence == ack.sequence && made.subject == ack.sender.id; });
    const MemberId answerer = ack.subject == 0 ? ack.sender.id : ack.subject;
    if (ack.sequence == this->probe.sequence && answerer == this->probe.subject) {
        this->probe.subject = 0;
    }
    const auto at = std::find_if(this->indirect.begin(), this->indirect.end(), [&ack](const IndirectProbe &made) { return made.sequence == ack.sequence; });
    if (at != this->indirect.end() && ack.subject == 0) {
        const MemberId asker = at->asker;
        out.sendToPeer(asker, PingAck{ at->askerSequence, this->own, this->tableDigest, { ack.sender }, ack.sender.id, this->contactsFor(asker) });
        this->indirect.erase(at);
    }
    this->publish();
}

void Membership::onMessage(const PingRequest &request, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (!this->hearFrom(request.sender, this->tableDigest, out)) {
        return;
    }
    this->updateRecord(request.subject);
    if (this->table.find(request.subject.id) != nullptr) {
        const uint64_t sequence = this->nextSequence++;
        this->indirect.push_back(IndirectProbe{ sequence, request.sender.id, request.sequence, this->clock.now() });
        this->sendPing(request.subject.id, sequence, out);
    }
    this->publish();
}

//--- Updates

/** Takes in the sender of a message. Returns false when nothing is taken in any more, or the message is our own. */
bool Membership::hearFrom(const MemberRecord &sender, uint64_t digest, Actions &out)
{
    if (this->own.state == MemberState::Left || sender.id == this->own.id || sender.id == 0) {
        return false;
    }
    this->updateRecord(sender);
    if (sender.zone != this->own.zone) {
        this->contacts.addDirect(sender.zone, this->clock.now());
    } else if (!this->isListed && isLive(sender.state)) {
        this->askForList(sender.id, sender.zone, out);
    }
    if (sender.zone == this->own.zone) {
        this->heardDigests[sender.id] = digest;
    }
    const MemberEntry *entry = this->table.find(sender.id);
    const bool isRunning = entry != nullptr && isLive(entry->record.state);
    if (digest == this->tableDigest || !isRunning) {
        this->tableDiffering.erase(sender.id);
    } else {
        this->tableDiffering.insert(sender.id);
    }
    return true;
}

void Membership::updateFrom(const std::vector<MemberRecord> &records)
{
    for (const MemberRecord &record : records) {
        this->updateRecord(record);
    }
}

void Membership::updateRecord(const MemberRecord &record)
{
    if (record.id == this->own.id) {
        this->refute(record);
        return;
    }
    if (record.id == 0 || !this->table.update(record, this->clock.now())) {
        return;
    }
    this->seeds.erase(record.id);
    this->changed = true;
}

/** Corrects what others believe of this member by a higher revision. */
void Membership::refute(const MemberRecord &record)
{
    if (record.incarnation > this->own.incarnation) {
        this->own.incarnation = record.incarnation + 1; // the wall clock was stepped back between two lives
        this->changed = true;
        return;
    }
    const bool isOlder = record.incarnation < this->own.incarnation || record.revision < this->own.revision;
    if (isOlder || (record.revision == this->own.revision && record.state == this->own.state)) {
        return;
    }
    this->own.revision = record.revision + 1;
    this->changed = true;
}

std::vector<MemberRecord> Membership::updatesFor(MemberId peer)
{
    std::vector<MemberRecord> updates;
    const MemberEntry *entry = this->table.find(peer);
    if (entry != nullptr && entry->record.state != MemberState::Alive) {
        updates.push_back(entry->record); // so that it can refute
    }
    if (entry == nullptr || entry->record.zone != this->own.zone) {
        return updates; // other zones learn by digests
    }
    for (const MemberRecord &record : this->table.takeUpdates(this->settings.updatesPerMessage, this->updateSends())) {
        if (record.id != peer) {
            updates.push_back(record);
        }
    }
    return updates;
}

/** For a caller from another zone, which may know this member as a seed and nobody else: members of its zone, and one of each further zone. */
std::vector<MemberRecord> Membership::introductionsFor(const MemberRecord &stranger)
{
    std::vector<MemberRecord> records;
    if (stranger.zone == this->own.zone) {
        return records;
    }
    std::map<ZoneId, std::vector<MemberId>> byZone;
    for (const auto &[member, entry] : this->table.all()) {
        if (member != stranger.id && entry.record.zone != this->own.zone && isLive(entry.record.state)) {
            byZone[entry.record.zone].push_back(member);
        }
    }
    for (auto &[zone, members] : byZone) {
        for (const MemberId member : this->someOf(std::move(members), zone == stranger.zone ? this->settings.introductions : 1)) {
            records.push_back(this->table.find(member)->record);
        }
    }
    return records;
}

std::vector<ZoneContact> Membership::contactsFor(MemberId peer) const
{
    const MemberEntry *entry = this->table.find(peer);
    if (entry == nullptr) {
        return {};
    }
    if (entry->record.zone == this->own.zone) {
        return this->contacts.report(this->clock.now());
    }
    return { ZoneContact{ this->own.zone, 0, this->isZoneWell ? 0 : neverMs } };
}

/** Takes what a member says of other zones, or, when it is of another zone, of its own. */
void Membership::takeContacts(ZoneId zone, const std::vector<ZoneContact> &told)
{
    const TimePoint now = this->clock.now();
    if (zone == this->own.zone) {
        this->contacts.addReported(told, now);
        return;
    }
    for (const ZoneContact &contact : told) {
        if (contact.zone == zone) {
            this->contacts.addHealth(zone, contact.wellAgeMs != neverMs, now);
        }
    }
}

unsigned Membership::updateSends() const
{
    unsigned doublings = 1;
    for (size_t members = this->table.all().size(); members > 1; members /= 2) {
        ++doublings;
    }
    return sendsPerDoubling * doublings;
}

void Membership::sendPing(MemberId peer, uint64_t sequence, Actions &out)
{
    out.sendToPeer(peer, Ping{ sequence, this->own, this->tableDigest, this->updatesFor(peer), this->contactsFor(peer) });
}

//--- Leaving

void Membership::beginLeave(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->own.state != MemberState::Alive) {
        return;
    }
    this->own.state = MemberState::Leaving;
    ++this->own.revision;
    this->changed = true;
    this->sendPingsToSeveral(this->settings.leaveNotices, out);
    this->publish();
}

void Membership::endLeave(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->own.state == MemberState::Left) {
        return;
    }
    this->own.state = MemberState::Left;
    ++this->own.revision;
    this->changed = true;
    this->sendPingsToSeveral(this->settings.leaveNotices, out);
    this->publish();
}

/** Tells some members of the own zone and one of each other zone. */
void Membership::sendPingsToSeveral(size_t most, Actions &out)
{
    std::map<ZoneId, std::vector<MemberId>> byZone;
    for (const auto &[member, entry] : this->table.all()) {
        if (isLive(entry.record.state)) {
            byZone[entry.record.zone].push_back(member);
        }
    }
    for (auto &[zone, members] : byZone) {
        for (const MemberId member : this->someOf(std::move(members), zone == this->own.zone ? most : 1)) {
            this->sendPing(member, this->nextSequence++, out);
        }
    }
}

} // namespace hornbeam
