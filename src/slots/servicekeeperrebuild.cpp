// Part of ServiceKeeper: takeover, checks with holders, and places of members that are gone.

#include "slots/servicekeeper.h"

#include <algorithm>

namespace hornbeam {

//--- Rebuild

void ServiceKeeper::beginRebuild(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    this->context.counters.add(Counter::KeeperRebuilds);
    this->isRebuilding = true;
    this->restartAt.reset();
    this->rebuildBegan = now;
    this->viewVersion = this->context.directory.viewVersion();
    this->rebuild.begin(this->possibleHolders(), now + this->context.settings.rebuildWait);
    this->sendQueries(out);
}

std::vector<MemberRecord> ServiceKeeper::possibleHolders() const
{
    std::vector<MemberRecord> members;
    for (const ZoneId zone : this->context.directory.reachableZones()) {
        const auto eligible = this->context.directory.eligibleIn(zone);
        members.insert(members.end(), eligible.begin(), eligible.end());
    }
    return members;
}

void ServiceKeeper::sendQueries(Actions &out)
{
    this->nextQueryAt = this->context.clock.now() + this->context.settings.queryInterval;
    for (const MemberId member : this->rebuild.missing()) {
        out.sendToPeer(member, HeldQuery{ this->self.id, this->service, this->zone(), this->epoch, {} });
    }
}

void ServiceKeeper::updateRebuild(Actions &out)
{
    if (!this->isRebuilding) {
        return;
    }
    const TimePoint now = this->context.clock.now();
    if (this->restartAt.has_value()) {
        if (now >= *this->restartAt) {
            this->beginRebuild(out);
        }
        return;
    }
    for (const MemberRecord &member : this->possibleHolders()) {
        this->rebuild.addMember(member);
    }
    this->rebuild.removeGone(this->context.directory);
    if (this->rebuild.isOver(now)) {
        this->endRebuild(out);
    } else if (now >= this->nextQueryAt) {
        this->sendQueries(out);
    }
}

void ServiceKeeper::endRebuild(Actions &out)
{
    this->isRebuilding = false;
    std::vector<PlaceKey> unused;
    for (const auto &[key, place] : this->book.all()) {
        // its holder did not name it, and ignores a grant of that epoch from now on
        if (place.epoch < this->epoch && this->rebuild.isComplete(key.holder, key.incarnation)) {
            unused.push_back(key);
        }
    }
    for (const PlaceKey &key : unused) {
        this->book.remove(key);
    }
    this->serveQueue(out);
}

void ServiceKeeper::supersede(uint64_t laterEpoch)
{
    this->epoch = epochAfter(laterEpoch, this->self.id);
    this->isRebuilding = true;
    const TimePoint now = this->context.clock.now();
    // while views differ two instances may raise each other's epoch, so the pace is bounded
    this->restartAt = std::max(now, this->rebuildBegan + this->context.settings.queryInterval);
}

void ServiceKeeper::onHeldQuery(const HeldQuery &query, Actions &out)
{
    if (query.keeper == this->self.id || query.epoch <= this->epoch) {
        return;
    }
    this->supersede(query.epoch);
    this->updateRebuild(out);
}

void ServiceKeeper::onHeldReport(const HeldReport &report, Actions &out)
{
    if (isGone(this->context.directory, report.holder, report.incarnation)) {
        return;
    }
    this->applyAbsent(report);
    this->applyPlaces(report);
    if (report.epoch > this->epoch) { // an earlier keeper's clock was ahead, so holders ignore this one's grants
        this->supersede(report.epoch);
    }
    if (!report.isAudit && report.epoch == this->epoch) { // only then does the holder refuse grants of earlier keepers
        this->rebuild.updateReport(report);
    }
    const bool isReady = this->isRebuilding && !this->restartAt.has_value() && this->rebuild.isOver(this->context.clock.now());
    if (isReady) {
        this->endRebuild(out);
    }
    this->serveQueue(out);
}

void ServiceKeeper::applyAbsent(const HeldReport &report)
{
    for (const uint64_t request : report.absent) {
        if (this->book.remove({ report.holder, report.incarnation, request })) {
            this->context.counters.add(Counter::SlotsReclaimed);
        }
    }
}

void ServiceKeeper::applyPlaces(const HeldReport &report)
{
    const TimePoint now = this->context.clock.now();
    for (const HeldPlace &held : report.places) {
        const PlaceKey key{ report.holder, report.incarnation, held.request };
        if (this->book.isReleased(key, held.target)) {
            continue; // the release overtook the report
        }
        const BookedPlace *place = this->book.find(key);
        if (place != nullptr && place->target == held.target) {
            this->book.updateConfirmed(key, now, report.epoch);
        } else {
            this->book.add(key, { held.target, held.kind, now, now, report.epoch }); // the holder knows best which grant it uses
        }
        this->queue.remove(key);
    }
}

void ServiceKeeper::endKeeping(Actions &out)
{
    for (const WaitingAsk &entry : this->queue.waiting) {
        this->refuse(entry.ask, Reason::KeeperUnreachable, out);
    }
    this->queue.waiting.clear();
}

void ServiceKeeper::reclaimGone()
{
    std::vector<PlaceKey> gone;
    for (const auto &[key, place] : this->book.all()) {
        const bool isKnownGone = !gone.empty() && gone.back().holder == key.holder && gone.back().incarnation == key.incarnation;
        if (isKnownGone || isGone(this->context.directory, key.holder, key.incarnation)) {
            gone.push_back(key);
        }
    }
    for (const PlaceKey &key : gone) {
        this->book.remove(key);
    }
    this->context.counters.add(Counter::SlotsReclaimed, gone.size());
    this->queue.waiting.remove_if([this](const WaitingAsk &entry) { return isGone(this->context.directory, entry.ask.asker, entry.ask.incarnation); });
}

void ServiceKeeper::sendAudits(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    if (now < this->nextAuditAt) {
        return;
    }
    this->nextAuditAt = now + this->context.settings.auditInterval;
    std::map<MemberId, HeldQuery> queries;
    for (const auto &[key, place] : this->book.all()) {
        const Duration age = place.kind == PlaceKind::Request ? this->context.settings.requestAuditAge : this->context.settings.feedAuditAge;
        if (now - place.checkedAt < age) {
            continue;
        }
        HeldQuery &query = queries[key.holder];
        if (query.requests.size() < this->context.settings.auditBatch) {
            query.requests.push_back(key.request);
            this->book.updateChecked(key, now);
        }
    }
    for (auto &[holder, query] : queries) {
        query.keeper = this->self.id;
        query.service = this->service;
        query.zone = this->zone();
        query.epoch = this->epoch;
        out.sendToPeer(holder, std::move(query));
    }
}

} // namespace hornbeam
