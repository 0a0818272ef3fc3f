// Part of ServiceAllocator: rebuild after a takeover, audits, and reclaiming slots of ended processes.

#include "slots/serviceallocator.h"

#include <algorithm>

namespace hornbeam {

//--- Rebuild

void ServiceAllocator::beginRebuild(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    this->context.counters.add(Counter::KeeperRebuilds);
    this->isRebuilding = true;
    this->restartRebuildAt.reset();
    this->rebuildBegan = now;
    this->viewVersion = this->context.directory.viewVersion();
    this->rebuild.begin(this->possibleHolders(), now + this->context.settings.rebuildWait);
    this->sendQueries(out);
}

std::vector<MemberRecord> ServiceAllocator::possibleHolders() const
{
    std::vector<MemberRecord> members;
    for (const ZoneId zone : this->context.directory.reachableZones()) {
        const auto eligible = this->context.directory.eligibleIn(zone);
        members.insert(members.end(), eligible.begin(), eligible.end());
    }
    return members;
}

void ServiceAllocator::sendQueries(Actions &out)
{
    this->nextQueryAt = this->context.clock.now() + this->context.settings.queryInterval;
    for (const MemberId member : this->rebuild.pendingMembers()) {
        out.sendToPeer(member, HeldSlotsQuery{ this->self.id, this->service, this->zone(), this->epoch, {} });
    }
}

void ServiceAllocator::updateRebuild(Actions &out)
{
    if (!this->isRebuilding) {
        return;
    }
    const TimePoint now = this->context.clock.now();
    if (this->restartRebuildAt.has_value()) {
        if (now >= *this->restartRebuildAt) {
            this->beginRebuild(out);
        }
        return;
    }
    for (const MemberRecord &member : this->possibleHolders()) {
        this->rebuild.addMember(member);
    }
    this->rebuild.removeEnded(this->context.directory);
    if (this->rebuild.isFinished(now)) {
        this->endRebuild(out);
    } else if (now >= this->nextQueryAt) {
        this->sendQueries(out);
    }
}

void ServiceAllocator::endRebuild(Actions &out)
{
    this->isRebuilding = false;
    std::vector<GrantKey> unreported;
    for (const auto &[key, grant] : this->grants.all()) {
        // not in the holder's report, and the holder ignores grants of that epoch from now on
        if (grant.epoch < this->epoch && this->rebuild.isComplete(key.holder, key.incarnation)) {
            unreported.push_back(key);
        }
    }
    for (const GrantKey &key : unreported) {
        this->grants.remove(key);
    }
    this->serveQueue(out);
}

void ServiceAllocator::supersede(uint64_t laterEpoch)
{
    this->epoch = epochAfter(laterEpoch, this->self.id);
    this->isRebuilding = true;
    const TimePoint now = this->context.clock.now();
    // While membership views differ, two instances may keep raising each other's epoch, so the rate of rebuilds is limited.
    this->restartRebuildAt = std::max(now, this->rebuildBegan + this->context.settings.queryInterval);
}

void ServiceAllocator::onHeldQuery(const HeldSlotsQuery &query, Actions &out)
{
    if (query.allocator == this->self.id || query.epoch <= this->epoch) {
        return;
    }
    this->supersede(query.epoch);
    this->updateRebuild(out);
}

void ServiceAllocator::onHeldReport(const HeldSlotsReport &report, Actions &out)
{
    if (hasProcessEnded(this->context.directory, report.holder, report.incarnation)) {
        return;
    }
    this->removeAbsent(report);
    this->applyHeldSlots(report);
    if (report.epoch > this->epoch) { // the clock of an earlier allocator was ahead, so holders ignore grants of this epoch
        this->supersede(report.epoch);
    }
    if (!report.isAudit && report.epoch == this->epoch) { // only then does the holder ignore grants of earlier allocators
        this->rebuild.addReport(report);
    }
    const bool isReady = this->isRebuilding && !this->restartRebuildAt.has_value() && this->rebuild.isFinished(this->context.clock.now());
    if (isReady) {
        this->endRebuild(out);
    }
    this->serveQueue(out);
}

void ServiceAllocator::removeAbsent(const HeldSlotsReport &report)
{
    for (const uint64_t request : report.absent) {
        if (this->grants.remove({ report.holder, report.incarnation, request })) {
            this->context.counters.add(Counter::SlotsReclaimed);
        }
    }
}

void ServiceAllocator::applyHeldSlots(const HeldSlotsReport &report)
{
    const TimePoint now = this->context.clock.now();
    for (const HeldSlot &held : report.slots) {
        const GrantKey key{ report.holder, report.incarnation, held.request };
        if (this->grants.isReleased(key, held.target)) {
            continue; // the release arrived before the report
        }
        const GrantRecord *grant = this->grants.find(key);
        if (grant != nullptr && grant->target == held.target) {
            this->grants.markConfirmed(key, now, report.epoch);
        } else {
            this->grants.add(key, { held.target, held.kind, now, now, report.epoch }); // the holder is authoritative about the grant that it uses
        }
        this->queue.remove(key);
    }
}

void ServiceAllocator::endTerm(Actions &out)
{
    for (const QueuedSlotRequest &entry : this->queue.waiting) {
        this->refuse(entry.slotRequest, Reason::KeeperUnreachable, out);
    }
    this->queue.waiting.clear();
}

void ServiceAllocator::reclaimFromEndedProcesses()
{
    std::vector<GrantKey> endedGrants;
    for (const auto &[key, grant] : this->grants.all()) {
        const bool isKnownEnded = !endedGrants.empty() && endedGrants.back().holder == key.holder && endedGrants.back().incarnation == key.incarnation;
        if (isKnownEnded || hasProcessEnded(this->context.directory, key.holder, key.incarnation)) {
            endedGrants.push_back(key);
        }
    }
    for (const GrantKey &key : endedGrants) {
        this->grants.remove(key);
    }
    this->context.counters.add(Counter::SlotsReclaimed, endedGrants.size());
    this->queue.waiting.remove_if([this](const QueuedSlotRequest &entry) {
        return hasProcessEnded(this->context.directory, entry.slotRequest.requester, entry.slotRequest.incarnation);
    });
}

void ServiceAllocator::sendAudits(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    if (now < this->nextAuditAt) {
        return;
    }
    this->nextAuditAt = now + this->context.settings.auditInterval;
    std::map<MemberId, HeldSlotsQuery> queries;
    for (const auto &[key, grant] : this->grants.all()) {
        const Duration age = grant.kind == SlotKind::Request ? this->context.settings.requestAuditAge : this->context.settings.feedAuditAge;
        if (now - grant.checkedAt < age) {
            continue;
        }
        HeldSlotsQuery &query = queries[key.holder];
        if (query.requests.size() < this->context.settings.auditBatch) {
            query.requests.push_back(key.request);
            this->grants.markChecked(key, now);
        }
    }
    for (auto &[holder, query] : queries) {
        query.allocator = this->self.id;
        query.service = this->service;
        query.zone = this->zone();
        query.epoch = this->epoch;
        out.sendToPeer(holder, std::move(query));
    }
}

} // namespace hornbeam
