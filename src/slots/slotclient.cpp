#include "slots/slotclient.h"

#include <algorithm>

namespace hornbeam {

SlotClient::SlotClient(const SlotClientSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters)
    : settings(settings), directory(directory), tables(tables), clock(clock), counters(counters), self(directory.self())
{
}

void SlotClient::setListeners(SlotListener &requests, SlotListener &feeds)
{
    this->requestListener = &requests;
    this->feedListener = &feeds;
}

SlotListener &SlotClient::listenerOf(uint64_t request) const
{
    return (request & feedRequestBit) != 0 ? *this->feedListener : *this->requestListener;
}

//--- Acquiring and releasing

void SlotClient::acquireSlot(const AcquireParams &params, Actions &out)
{
    const auto table = this->tables.find(params.service);
    const std::lock_guard lock(this->mutex);
    PendingRequest pending;
    pending.params = params;
    if (table != nullptr) {
        pending = this->makePendingRequest(params, *table);
    } else {
        pending.reason = Reason::NoTable;
    }
    const bool hasRoom = this->pendingRequests.size() < this->settings.maxPendingRequests && this->held.size() < this->settings.maxHeldSlots;
    if (!hasRoom) {
        pending.reason = Reason::NoSlot;
    }
    pending.isRefused = table == nullptr || pending.zone == 0 || !hasRoom; // reported at the next tick, not before this call returns
    PendingRequest &inserted = this->pendingRequests[params.request] = std::move(pending);
    if (!inserted.isRefused) {
        this->sendSlotRequest(inserted, out);
    }
}

SlotClient::PendingRequest SlotClient::makePendingRequest(const AcquireParams &params, const ServiceTable &table) const
{
    PendingRequest pending;
    pending.params = params;
    pending.deadline = this->clock.now() + params.queueTimeout;
    pending.firstResponseDeadline = this->clock.now() + std::max(params.queueTimeout, params.firstResponseTimeout);
    pending.untriedZones = this->overflowZones(params, table);
    if (pending.untriedZones.empty()) {
        pending.reason = Reason::NoTarget;
        return pending;
    }
    pending.zone = pending.untriedZones.back();
    pending.queueZone = pending.zone;
    pending.untriedZones.pop_back();
    return pending;
}

std::vector<ZoneId> SlotClient::overflowZones(const AcquireParams &params, const ServiceTable &table) const
{
    std::vector<ZoneId> others;
    bool hasOwn = false;
    for (const ZoneId zone : this->directory.reachableZones()) {
        const bool hasRows = std::any_of(table.rows.begin(), table.rows.end(),
                                         [zone](const TargetRow &row) { return row.zone == zone && row.state == RowState::Active && row.weight > 0; });
        if (zone == this->self.zone) {
            hasOwn = hasRows;
        } else if (hasRows) {
            others.push_back(zone);
        }
    }
    // The order of zones depends on the flow, so that the overflow of one zone spreads over the others.
    std::sort(others.begin(), others.end(), [&params](ZoneId a, ZoneId b) { return mixHash(params.flow, a) < mixHash(params.flow, b); });
    others.resize(std::min(others.size(), this->settings.maxOverflowZones));
    if (hasOwn) {
        // A suspected allocator usually doesn't answer, so its zone is tried last; the other zones have slots too.
        const bool isLast = this->isSuspect(this->allocatorOf(params.service, this->self.zone));
        others.insert(isLast ? others.begin() : others.end(), this->self.zone);
    }
    return others;
}

MemberId SlotClient::allocatorOf(ServiceId service, ZoneId zone) const
{
    return this->directory.ownerIn(zone, allocatorKey(service, zone), 0);
}

bool SlotClient::isSuspect(MemberId member) const
{
    const auto record = this->directory.find(member);
    return record.has_value() && record->state == MemberState::Suspect;
}

void SlotClient::sendSlotRequest(PendingRequest &pending, Actions &out)
{
    const TimePoint now = this->clock.now();
    pending.nextSendAt = now + (pending.isQueueing ? this->settings.queuedRetryInterval : this->settings.retryInterval);
    pending.isLastUnanswered = true;
    pending.allocator = this->allocatorOf(pending.params.service, pending.zone);
    if (pending.allocator == 0) {
        return; // looked up again at the next attempt
    }
    const TimePoint deadline = pending.isAnswered ? pending.deadline : pending.firstResponseDeadline;
    ++pending.unansweredCount;
    SlotRequest slotRequest;
    slotRequest.request = pending.params.request;
    slotRequest.requester = this->self.id;
    slotRequest.incarnation = this->self.incarnation;
    slotRequest.service = pending.params.service;
    slotRequest.zone = pending.zone;
    slotRequest.kind = pending.params.kind;
    slotRequest.flow = pending.params.flow;
    slotRequest.deadlineMs = static_cast<uint32_t>(std::max<int64_t>(0, std::chrono::duration_cast<milliseconds>(deadline - now).count()));
    slotRequest.mayQueue = pending.isQueueing;
    slotRequest.avoid = pending.params.avoid;
    out.sendToPeer(pending.allocator, slotRequest);
}

void SlotClient::releaseSlot(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const auto pending = this->pendingRequests.find(request);
    if (pending != this->pendingRequests.end()) {
        this->cancelRequest(pending->second, out);
        this->pendingRequests.erase(pending);
        return;
    }
    const auto entry = this->held.find(request);
    if (entry != this->held.end()) {
        this->sendRelease(entry->second.slot, outcome, latency, out);
        --this->terms[{ entry->second.slot.service, entry->second.slot.zone }].held;
        this->held.erase(entry);
    }
}

void SlotClient::sendRelease(const GrantedSlot &slot, SlotOutcome outcome, Duration latency, Actions &out)
{
    const MemberId allocator = this->allocatorOf(slot.service, slot.zone);
    if (allocator == 0) {
        return; // a later allocator learns from reports which slots are held
    }
    const auto latencyUs = static_cast<uint32_t>(std::min<int64_t>(latency.count() / 1000, UINT32_MAX));
    out.sendToPeer(allocator, SlotRelease{ slot.request, this->self.id, this->self.incarnation, slot.service, slot.zone, slot.target, outcome, latencyUs });
}

void SlotClient::cancelRequest(const PendingRequest &pending, Actions &out)
{
    if (!pending.isRefused) {
        this->sendRelease(GrantedSlot{ pending.params.request, pending.params.service, pending.zone, 0, {} }, SlotOutcome::Cancelled, Duration{}, out);
    }
}

//--- Answers

void SlotClient::onSlotGrant(const SlotGrant &grant, Actions &out)
{
    bool isAccepted = false;
    {
        const std::lock_guard lock(this->mutex);
        isAccepted = this->acceptGrant(grant, out);
    }
    if (isAccepted) {
        this->listenerOf(grant.request).slotGranted({ grant.request, grant.service, grant.zone, grant.target, grant.endpoint }, out);
    }
}

bool SlotClient::acceptGrant(const SlotGrant &grant, Actions &out)
{
    const GrantedSlot slot{ grant.request, grant.service, grant.zone, grant.target, grant.endpoint };
    const auto known = this->terms.find({ grant.service, grant.zone });
    const auto pending = this->pendingRequests.find(grant.request);
    const bool isWanted = pending != this->pendingRequests.end() && !pending->second.isRefused && pending->second.zone == grant.zone
        && pending->second.params.service == grant.service && pending->second.params.kind == grant.kind;
    if (known != this->terms.end() && grant.epoch < known->second.epoch) {
        if (isWanted) {
            this->handleStaleGrant(pending->second, grant, known->second, out);
        }
        return false; // the allocator of the later epoch does not count this slot
    }
    if (!isWanted) {
        const auto entry = this->held.find(grant.request);
        const bool isRetransmission = entry != this->held.end() && entry->second.slot.target == grant.target && entry->second.slot.zone == grant.zone;
        if (!isRetransmission) {
            this->sendRelease(slot, SlotOutcome::Cancelled, Duration{}, out);
        }
        if (entry != this->held.end() && !isRetransmission) {
            this->sendCorrection(grant.allocator, entry->second, out);
        }
        return false;
    }
    AllocatorTerm &term = this->terms[{ grant.service, grant.zone }];
    if (grant.epoch > term.epoch) {
        term.epoch = grant.epoch;
        term.parts = 0;
    }
    term.allocator = term.held == 0 ? grant.allocator : term.allocator;
    ++term.held;
    this->held[grant.request] = { slot, grant.kind };
    this->pendingRequests.erase(pending);
    return true;
}

void SlotClient::handleStaleGrant(PendingRequest &pending, const SlotGrant &grant, AllocatorTerm &term, Actions &out)
{
    this->counters.addRetry(RetryReason::KeeperChanged);
    pending.isLastUnanswered = false;
    if (this->allocatorOf(grant.service, grant.zone) != grant.allocator) {
        this->sendSlotRequest(pending, out);
        return;
    }
    // The current allocator's epoch is behind one seen here, for example that of an instance that was alone at startup. Retransmissions would get
    // the same stale grant forever, so a report tells the allocator the later epoch, and it rebuilds with a higher one.
    this->sendReport({ grant.service, grant.zone }, term, grant.allocator, false, out);
}

void SlotClient::onSlotRefusal(const SlotRefusal &refusal, Actions &out)
{
    FailedRequest ended;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pendingRequests.find(refusal.request);
        if (found == this->pendingRequests.end() || found->second.isRefused || found->second.zone != refusal.zone
            || found->second.params.service != refusal.service) {
            return;
        }
        PendingRequest &pending = found->second;
        if (refusal.reason == Reason::KeeperUnreachable) {
            this->counters.addRetry(RetryReason::KeeperChanged);
            pending.isLastUnanswered = false;
            pending.nextSendAt = std::min(pending.nextSendAt, this->clock.now() + this->settings.retryInterval);
            return; // retried later, when the membership views may have converged
        }
        if (this->tryNextZone(pending, refusal, out)) {
            return;
        }
        ended = { refusal.request, pending.reason, milliseconds(pending.retryAfterMs) };
        this->pendingRequests.erase(found);
    }
    this->notifyRefused({ ended }, out);
}

bool SlotClient::tryNextZone(PendingRequest &pending, const SlotRefusal &refusal, Actions &out)
{
    if (!pending.isAnswered) { // the time to reach an allocator doesn't count toward the queue timeout
        pending.deadline = std::min(pending.firstResponseDeadline, this->clock.now() + pending.params.queueTimeout);
    }
    pending.isAnswered = true;
    const bool mayQueueThere = refusal.reason == Reason::NoSlot && !pending.isQueueing;
    if (mayQueueThere && refusal.retryAfterMs < pending.queueWaitMs) {
        pending.queueWaitMs = refusal.retryAfterMs;
        pending.queueZone = pending.zone;
    }
    const bool isMoreSpecific = refusal.reason != Reason::NoTarget || pending.reason == Reason::KeeperUnreachable;
    if (isMoreSpecific) { // NoSlot of any zone takes precedence over NoTarget of another
        pending.reason = refusal.reason;
        pending.retryAfterMs = refusal.retryAfterMs;
    }
    if (pending.isQueueing) {
        return false;
    }
    if (!pending.untriedZones.empty()) {
        pending.zone = pending.untriedZones.back();
        pending.untriedZones.pop_back();
        pending.unansweredCount = 0;
    } else if (pending.queueWaitMs != UINT32_MAX) {
        pending.zone = pending.queueZone;
        pending.isQueueing = true;
    } else {
        return false;
    }
    this->sendSlotRequest(pending, out);
    return true;
}

void SlotClient::notifyRefused(const std::vector<FailedRequest> &refused, Actions &out)
{
    for (const FailedRequest &entry : refused) {
        this->listenerOf(entry.request).slotRefused(entry.request, entry.reason, entry.retryAfter, out);
    }
}

} // namespace hornbeam
