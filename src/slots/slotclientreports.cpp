// Part of SlotClient: reports of held places, and the periodic work.

#include "slots/slotclient.h"

#include <algorithm>

namespace hornbeam {

//--- Reports

void SlotClient::onHeldQuery(const HeldQuery &query, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const KeeperKey key{ query.service, query.zone };
    KeeperTerm &term = this->terms[key];
    if (query.epoch > term.epoch) { // grants of earlier epochs are ignored from here on
        term.epoch = query.epoch;
        term.parts = 0;
    }
    if (query.requests.empty()) {
        this->sendReport(key, term, query.keeper, false, out);
    } else {
        this->sendAuditReport(query, term.epoch, out);
    }
}

void SlotClient::sendReport(const KeeperKey &key, KeeperTerm &term, MemberId keeper, bool splitAnew, Actions &out)
{
    if (term.parts == 0 || splitAnew) {
        // half full on average, so that uneven parts still fit a datagram
        const size_t parts = 1 + 2 * term.held / this->settings.placesPerReport;
        term.parts = static_cast<uint16_t>(std::min<size_t>(parts, UINT16_MAX));
    }
    std::vector<HeldReport> reports(term.parts);
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
            if (entry.place.service == key.service && entry.place.zone == key.zone) {
                // by hash: a release between two reports doesn't move the other places to other parts
                reports[mixHash(request, term.parts) % term.parts].places.push_back({ request, entry.place.target, entry.kind });
            }
        }
    }
    for (HeldReport &report : reports) {
        out.sendToPeer(keeper, std::move(report));
    }
}

void SlotClient::sendCorrection(MemberId keeper, const HeldEntry &entry, Actions &out)
{
    const KeeperKey key{ entry.place.service, entry.place.zone };
    HeldReport report;
    report.holder = this->self.id;
    report.incarnation = this->self.incarnation;
    report.service = key.service;
    report.zone = key.zone;
    report.epoch = this->terms[key].epoch;
    report.isAudit = true;
    report.places.push_back({ entry.place.request, entry.place.target, entry.kind });
    out.sendToPeer(keeper, std::move(report));
}

void SlotClient::sendAuditReport(const HeldQuery &query, uint64_t epoch, Actions &out)
{
    HeldReport report;
    report.holder = this->self.id;
    report.incarnation = this->self.incarnation;
    report.service = query.service;
    report.zone = query.zone;
    report.epoch = epoch;
    report.isAudit = true;
    for (const uint64_t request : query.requests) {
        const auto entry = this->held.find(request);
        const bool isHeld = entry != this->held.end() && entry->second.place.service == query.service && entry->second.place.zone == query.zone;
        const auto wish = this->wishes.find(request);
        const bool isAsked = wish != this->wishes.end() && wish->second.zone == query.zone;
        if (!isHeld && !isAsked) {
            report.absent.push_back(request);
        }
    }
    if (!report.absent.empty()) {
        out.sendToPeer(query.keeper, std::move(report));
    }
}

//--- Periodic work

void SlotClient::tick(Actions &out)
{
    std::vector<Refused> refused;
    {
        const std::lock_guard lock(this->mutex);
        const uint64_t view = this->directory.viewVersion();
        const bool viewChanged = view != this->viewVersion;
        this->viewVersion = view;
        if (viewChanged) {
            this->reportToNewKeepers(out);
        }
        for (auto &[request, wish] : this->wishes) {
            this->updateWish(wish, viewChanged, refused, out);
        }
        for (const Refused &entry : refused) {
            this->wishes.erase(entry.request);
        }
    }
    this->notifyRefused(refused, out);
}

void SlotClient::updateWish(Wish &wish, bool viewChanged, std::vector<Refused> &refused, Actions &out)
{
    const TimePoint now = this->clock.now();
    if (wish.isRefused) {
        refused.push_back({ wish.want.request, wish.reason, milliseconds(wish.retryAfterMs) });
        return;
    }
    if (now >= (wish.isHeard ? wish.deadline : wish.keeperDeadline)) {
        this->withdraw(wish, out);
        const Reason reason = wish.isHeard ? Reason::QueueDeadline : Reason::KeeperUnreachable;
        refused.push_back({ wish.want.request, reason, milliseconds(wish.retryAfterMs) });
        return;
    }
    const bool keeperChanged = viewChanged && wish.keeper != this->keeperOf(wish.want.service, wish.zone);
    if (keeperChanged) {
        this->counters.retry(RetryReason::KeeperChanged);
        this->sendAsk(wish, out);
    } else if (now >= wish.nextAskAt) {
        this->askAgain(wish, out);
    }
}

void SlotClient::askAgain(Wish &wish, Actions &out)
{
    if (wish.isSilent) {
        this->counters.retry(RetryReason::KeeperSilent);
    }
    const bool isGivenUp = !wish.isQueueing && wish.asks >= this->settings.silentAsks && !wish.untried.empty();
    if (isGivenUp) { // the zone is not asked again: its keeper may remember the withdrawal
        this->withdraw(wish, out);
        wish.zone = wish.untried.back();
        wish.untried.pop_back();
        wish.asks = 0;
    }
    this->sendAsk(wish, out);
}

void SlotClient::reportToNewKeepers(Actions &out)
{
    for (auto &[key, term] : this->terms) {
        const MemberId keeper = this->keeperOf(key.service, key.zone);
        const bool isNew = keeper != 0 && keeper != term.keeper;
        if (isNew) {
            term.keeper = keeper;
        }
        if (isNew && term.held > 0) {
            this->sendReport(key, term, keeper, true, out);
        }
    }
}

size_t SlotClient::heldCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->held.size();
}

} // namespace hornbeam
