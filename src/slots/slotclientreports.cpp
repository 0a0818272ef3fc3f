// Part of SlotClient: reports of held slots, and periodic work.

#include "slots/slotclient.h"

#include <algorithm>

namespace hornbeam {

//--- Reports

void SlotClient::onHeldQuery(const HeldSlotsQuery &query, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const AllocatorKey key{ query.service, query.zone };
    AllocatorTerm &term = this->terms[key];
    if (query.epoch > term.epoch) { // grants of earlier epochs are ignored from here on
        term.epoch = query.epoch;
        term.parts = 0;
    }
    if (query.requests.empty()) {
        this->sendReport(key, term, query.allocator, false, out);
    } else {
        this->sendAuditReport(query, term.epoch, out);
    }
}

void SlotClient::sendReport(const AllocatorKey &key, AllocatorTerm &term, MemberId allocator, bool recomputeParts, Actions &out)
{
    if (term.parts == 0 || recomputeParts) {
        // Parts are half full on average, so that uneven ones still fit into a datagram.
        const size_t parts = 1 + 2 * term.held / this->settings.slotsPerReport;
        term.parts = static_cast<uint16_t>(std::min<size_t>(parts, UINT16_MAX));
    }
    std::vector<HeldSlotsReport> reports(term.parts);
    for (size_t part = 0; part < reports.size(); ++part) {
        reports[part].holder = this->self.id;
        reports[part].incarnation = this->self.incarnation;
        reports[part].service = key.service;
        reports[part].zone = key.zone;
        reports[part].epoch = term.epoch;
        reports[part].part = static_cast<uint16_t>(part);
        reports[part].parts = term.parts;
    }
    if (term.held > 0) {
        for (const auto &[request, entry] : this->held) {
            if (entry.slot.service == key.service && entry.slot.zone == key.zone) {
                // assigned by hash, so that a release between two reports doesn't move other slots to different parts
                reports[mixHash(request, term.parts) % term.parts].slots.push_back({ request, entry.slot.target, entry.kind });
            }
        }
    }
    for (HeldSlotsReport &report : reports) {
        out.sendToPeer(allocator, std::move(report));
    }
}

void SlotClient::sendCorrection(MemberId allocator, const HeldEntry &entry, Actions &out)
{
    const AllocatorKey key{ entry.slot.service, entry.slot.zone };
    HeldSlotsReport report;
    report.holder = this->self.id;
    report.incarnation = this->self.incarnation;
    report.service = key.service;
    report.zone = key.zone;
    report.epoch = this->terms[key].epoch;
    report.isAudit = true;
    report.slots.push_back({ entry.slot.request, entry.slot.target, entry.kind });
    out.sendToPeer(allocator, std::move(report));
}

void SlotClient::sendAuditReport(const HeldSlotsQuery &query, uint64_t epoch, Actions &out)
{
    HeldSlotsReport report;
    report.holder = this->self.id;
    report.incarnation = this->self.incarnation;
    report.service = query.service;
    report.zone = query.zone;
    report.epoch = epoch;
    report.isAudit = true;
    for (const uint64_t request : query.requests) {
        const auto entry = this->held.find(request);
        const bool isHeld = entry != this->held.end() && entry->second.slot.service == query.service && entry->second.slot.zone == query.zone;
        const auto pending = this->pendingRequests.find(request);
        const bool isPending = pending != this->pendingRequests.end() && pending->second.zone == query.zone;
        if (!isHeld && !isPending) {
            report.absent.push_back(request);
        }
    }
    if (!report.absent.empty()) {
        out.sendToPeer(query.allocator, std::move(report));
    }
}

//--- Periodic work

void SlotClient::tick(Actions &out)
{
    std::vector<FailedRequest> refused;
    {
        const std::lock_guard lock(this->mutex);
        const uint64_t view = this->directory.viewVersion();
        const bool viewChanged = view != this->viewVersion;
        this->viewVersion = view;
        if (viewChanged) {
            this->reportToNewAllocators(out);
        }
        for (auto &[request, pending] : this->pendingRequests) {
            this->updatePendingRequest(pending, viewChanged, refused, out);
        }
        for (const FailedRequest &entry : refused) {
            this->pendingRequests.erase(entry.request);
        }
    }
    this->notifyRefused(refused, out);
}

void SlotClient::updatePendingRequest(PendingRequest &pending, bool viewChanged, std::vector<FailedRequest> &refused, Actions &out)
{
    const TimePoint now = this->clock.now();
    if (pending.isRefused) {
        refused.push_back({ pending.params.request, pending.reason, milliseconds(pending.retryAfterMs) });
        return;
    }
    if (now >= (pending.isAnswered ? pending.deadline : pending.firstResponseDeadline)) {
        this->cancelRequest(pending, out);
        const Reason reason = pending.isAnswered ? Reason::QueueDeadline : Reason::KeeperUnreachable;
        refused.push_back({ pending.params.request, reason, milliseconds(pending.retryAfterMs) });
        return;
    }
    const bool allocatorChanged = viewChanged && pending.allocator != this->allocatorOf(pending.params.service, pending.zone);
    if (allocatorChanged) {
        this->counters.addRetry(RetryReason::KeeperChanged);
        this->sendSlotRequest(pending, out);
    } else if (now >= pending.nextSendAt) {
        this->retryRequest(pending, out);
    }
}

void SlotClient::retryRequest(PendingRequest &pending, Actions &out)
{
    if (pending.isLastUnanswered) {
        this->counters.addRetry(RetryReason::KeeperSilent);
    }
    const bool hasGivenUp = !pending.isQueueing && pending.unansweredCount >= this->settings.maxUnansweredRequests && !pending.untriedZones.empty();
    if (hasGivenUp) { // the zone is not tried again, since its allocator may remember the cancellation
        this->cancelRequest(pending, out);
        pending.zone = pending.untriedZones.back();
        pending.untriedZones.pop_back();
        pending.unansweredCount = 0;
    }
    this->sendSlotRequest(pending, out);
}

void SlotClient::reportToNewAllocators(Actions &out)
{
    for (auto &[key, term] : this->terms) {
        const MemberId allocator = this->allocatorOf(key.service, key.zone);
        const bool isNew = allocator != 0 && allocator != term.allocator;
        if (isNew) {
            term.allocator = allocator;
        }
        if (isNew && term.held > 0) {
            this->sendReport(key, term, allocator, true, out);
        }
    }
}

size_t SlotClient::heldCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->held.size();
}

} // namespace hornbeam
