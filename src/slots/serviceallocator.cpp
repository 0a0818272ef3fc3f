#include "slots/serviceallocator.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr int holdTimeWeight = 8; // exponential moving average: a new hold time has a weight of 1/8

GrantKey keyOf(const SlotRequest &slotRequest)
{
    return { slotRequest.requester, slotRequest.incarnation, slotRequest.request };
}

} // namespace

ServiceAllocator::ServiceAllocator(const AllocatorContext &context, ServiceId service, uint64_t epoch, Actions &out)
    : context(context), service(service), self(context.directory.self()), epoch(epoch)
{
    this->updateTargets(context.tables.find(service));
    this->nextAuditAt = context.clock.now() + context.settings.auditInterval;
    this->beginRebuild(out);
}

//--- Slot requests

void ServiceAllocator::onSlotRequest(const SlotRequest &slotRequest, Actions &out)
{
    const GrantKey key = keyOf(slotRequest);
    if (this->grants.isReleased(key) || hasProcessEnded(this->context.directory, slotRequest.requester, slotRequest.incarnation)) {
        return; // a late duplicate
    }
    const Table table = this->context.tables.find(this->service);
    if (table == nullptr) {
        this->refuse(slotRequest, Reason::NoTable, out);
        return;
    }
    const GrantRecord *grant = this->grants.find(key);
    if (grant != nullptr && this->isRebuilding && grant->epoch == this->epoch) {
        return; // already reported by its holder, so the grant has arrived
    }
    // While rebuilding, a grant of an earlier term is not repeated with the epoch of this term, since its slot may be taken.
    if (grant != nullptr && !this->isRebuilding) {
        const TargetRow *row = table->find(grant->target);
        if (this->isEligible(row)) {
            this->grants.markChecked(key, this->context.clock.now());
            this->sendGrant(slotRequest, *row, out);
            return;
        }
        this->grants.remove(key); // the grant was lost and its target is no longer eligible: choose another target
    }
    QueuedSlotRequest *waiting = this->queue.find(key);
    if (waiting != nullptr) {
        waiting->slotRequest.mayQueue = waiting->slotRequest.mayQueue || slotRequest.mayQueue;
        return;
    }
    this->serveRequest(slotRequest, out);
}

void ServiceAllocator::serveRequest(const SlotRequest &slotRequest, Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    if (this->isRebuilding) { // usually takes one round trip, so requests are queued even if mayQueue is false
        if (this->queue.hasRoom(slotRequest.requester, table->queueLimit)) {
            this->queue.add(slotRequest, this->context.clock.now());
        } else {
            this->refuse(slotRequest, Reason::NoSlot, out);
        }
        return;
    }
    this->serveQueue(out);
    const bool isFirst = this->queue.size(slotRequest.kind) == 0;
    if (isFirst && this->tryGrant(slotRequest, *table, out)) {
        return;
    }
    if (!this->hasEligibleTargets(*table)) {
        this->refuse(slotRequest, Reason::NoTarget, out);
        return;
    }
    this->enqueueRequest(slotRequest, *table, out);
}

void ServiceAllocator::enqueueRequest(const SlotRequest &slotRequest, const ServiceTable &table, Actions &out)
{
    if (!slotRequest.mayQueue || !this->queue.hasRoom(slotRequest.requester, table.queueLimit)) {
        this->refuse(slotRequest, Reason::NoSlot, out);
        return;
    }
    if (this->estimatedWait(slotRequest.kind, table) > milliseconds(slotRequest.deadlineMs)) {
        this->refuse(slotRequest, Reason::QueueDeadline, out);
        return;
    }
    this->queue.add(slotRequest, this->context.clock.now());
}

void ServiceAllocator::serveQueue(Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    if (this->isRebuilding || table == nullptr) {
        return;
    }
    bool isRequestBlocked = false;
    bool isFeedBlocked = false;
    auto &waiting = this->queue.waiting;
    for (auto entry = waiting.begin(); entry != waiting.end();) {
        bool &isBlocked = entry->slotRequest.kind == SlotKind::Request ? isRequestBlocked : isFeedBlocked;
        const bool isLate = entry->deadline <= this->context.clock.now();
        if (isLate) {
            this->refuse(entry->slotRequest, Reason::QueueDeadline, out);
        } else if (isBlocked || !this->tryGrant(entry->slotRequest, *table, out)) {
            isBlocked = true;
            if (entry->slotRequest.mayQueue && this->hasEligibleTargets(*table)) {
                ++entry;
                continue;
            }
            this->refuse(entry->slotRequest, this->hasEligibleTargets(*table) ? Reason::NoSlot : Reason::NoTarget, out);
        }
        entry = waiting.erase(entry);
    }
}

bool ServiceAllocator::tryGrant(const SlotRequest &slotRequest, const ServiceTable &table, Actions &out)
{
    const auto available = this->candidates(table, slotRequest.kind, slotRequest.avoid);
    const TargetRow *row = slotRequest.kind == SlotKind::Request
        ? chooseForRequest(available, slotRequest.flow, table.preference)
        : chooseForFeed(available, slotRequest.flow, table.preference, this->context.settings.boundedLoadPercent);
    if (row == nullptr) {
        return false;
    }
    const TimePoint now = this->context.clock.now();
    this->grants.add(keyOf(slotRequest), { row->id, slotRequest.kind, now, now, this->epoch });
    this->context.counters.add(Counter::SlotsGranted);
    this->sendGrant(slotRequest, *row, out);
    return true;
}

void ServiceAllocator::sendGrant(const SlotRequest &slotRequest, const TargetRow &row, Actions &out)
{
    out.sendToPeer(slotRequest.requester,
                   SlotGrant{ slotRequest.request, this->service, this->zone(), this->self.id, this->epoch, row.id, row.endpoint, slotRequest.kind });
}

void ServiceAllocator::refuse(const SlotRequest &slotRequest, Reason reason, Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    const Duration wait = table == nullptr ? Duration{} : this->estimatedWait(slotRequest.kind, *table);
    const Duration hint = std::clamp(wait, this->context.settings.minRetryAfter, this->context.settings.maxRetryAfter);
    const auto hintMs = static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(hint).count());
    out.sendToPeer(slotRequest.requester, SlotRefusal{ slotRequest.request, this->service, this->zone(), reason, hintMs });
}

Duration ServiceAllocator::estimatedWait(SlotKind kind, const ServiceTable &table)
{
    if (kind == SlotKind::Feed) {
        return Duration{}; // feeds end when callers leave, so hold times don't predict the wait
    }
    int64_t slots = 0;
    for (const Candidate &candidate : this->candidates(table, kind, 0)) {
        slots += candidate.limit;
    }
    const auto ahead = static_cast<int64_t>(this->queue.size(kind)) + 1;
    return this->meanHoldTime * ahead / std::max<int64_t>(1, slots);
}

std::vector<Candidate> ServiceAllocator::candidates(const ServiceTable &table, SlotKind kind, TargetId avoid)
{
    const TimePoint now = this->context.clock.now();
    std::vector<Candidate> responsive;
    std::vector<Candidate> unverified;
    std::vector<Candidate> lastResort;
    for (const TargetRow &row : table.rows) {
        if (!this->isEligible(&row)) {
            continue;
        }
        const auto known = this->targets.find(row.id);
        if (known == this->targets.end()) {
            continue; // added since the last tick; slow start begins at the next one
        }
        const TargetState &state = known->second;
        if (state.isEjected(now) || state.isBackingOff(now)) {
            continue;
        }
        const bool isFailed = state.isFailed(this->context.settings, now);
        std::vector<Candidate> &group = isFailed ? lastResort : state.hasResponded() ? responsive : unverified;
        group.push_back(this->makeCandidate(row, kind, isFailed));
    }
    std::vector<Candidate> &chosen = !responsive.empty() ? responsive : !unverified.empty() ? unverified : lastResort;
    if (chosen.size() > 1) {
        std::erase_if(chosen, [avoid](const Candidate &candidate) { return candidate.row->id == avoid; });
    }
    return chosen;
}

Candidate ServiceAllocator::makeCandidate(const TargetRow &row, SlotKind kind, bool isLastResort)
{
    Candidate candidate{ &row, this->grants.used(row.id, kind), row.connections, 0 };
    if (kind == SlotKind::Request) {
        const TargetState &state = this->targets.at(row.id);
        const TimePoint now = this->context.clock.now();
        candidate.limit = isLastResort ? 1 : state.usableSlots(row.slots, this->context.settings, now);
        candidate.reportedExcess = state.reportedExcess(candidate.used, row.slots, this->context.settings, now);
    }
    return candidate;
}

bool ServiceAllocator::isEligible(const TargetRow *row) const
{
    if (row == nullptr || row->zone != this->zone() || row->state != RowState::Active || row->weight == 0) {
        return false;
    }
    const auto state = this->targets.find(row->id);
    return state == this->targets.end() || !state->second.isDraining();
}

bool ServiceAllocator::hasEligibleTargets(const ServiceTable &table) const
{
    return std::any_of(table.rows.begin(), table.rows.end(), [this](const TargetRow &row) { return this->isEligible(&row); });
}

//--- Releases

void ServiceAllocator::onSlotRelease(const SlotRelease &release, Actions &out)
{
    const GrantKey key{ release.holder, release.incarnation, release.request };
    const TimePoint now = this->context.clock.now();
    const GrantRecord *grant = this->grants.find(key);
    if (grant != nullptr && release.target != 0 && grant->target != release.target) {
        return; // releases a grant of another allocator; the one recorded here is still held
    }
    this->queue.remove(key);
    this->grants.addRelease(key, release.target, now + this->context.settings.releaseRetention, this->context.settings.maxRememberedReleases);
    if (grant == nullptr) {
        return;
    }
    const auto state = this->targets.find(grant->target);
    if (state != this->targets.end() && grant->kind == SlotKind::Request) {
        state->second.recordOutcome(release.outcome, this->context.settings, now, this->mayEject());
    }
    if (grant->kind == SlotKind::Request && release.outcome != SlotOutcome::Cancelled) {
        const Duration held = now - grant->grantedAt;
        const bool isFirst = this->meanHoldTime == Duration{};
        this->meanHoldTime = isFirst ? held : this->meanHoldTime + (held - this->meanHoldTime) / holdTimeWeight;
    }
    this->grants.remove(key);
    this->serveQueue(out);
}

} // namespace hornbeam
