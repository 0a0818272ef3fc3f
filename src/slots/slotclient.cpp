#include "slots/slotclient.h"

#include <algorithm>

namespace hornbeam {

SlotClient::SlotClient(const SlotClientSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters)
    : settings(settings), directory(directory), tables(tables), clock(clock), counters(counters), self(directory.self())
{
}

void SlotClient::setListeners(PlaceListener &requests, PlaceListener &feeds)
{
    this->requestListener = &requests;
    this->feedListener = &feeds;
}

PlaceListener &SlotClient::listenerOf(uint64_t request) const
{
    return (request & feedRequestBit) != 0 ? *this->feedListener : *this->requestListener;
}

//--- Wishes

void SlotClient::beginPlace(const PlaceWant &want, Actions &out)
{
    const auto table = this->tables.find(want.service);
    const std::lock_guard lock(this->mutex);
    Wish wish;
    wish.want = want;
    if (table != nullptr) {
        wish = this->makeWish(want, *table);
    } else {
        wish.reason = Reason::NoTable;
    }
    const bool hasRoom = this->wishes.size() < this->settings.maxWishes && this->held.size() < this->settings.maxHeld;
    if (!hasRoom) {
        wish.reason = Reason::NoSlot;
    }
    wish.isRefused = table == nullptr || wish.zone == 0 || !hasRoom; // heard at the next tick, not before this call returns
    Wish &kept = this->wishes[want.request] = std::move(wish);
    if (!kept.isRefused) {
        this->sendAsk(kept, out);
    }
}

SlotClient::Wish SlotClient::makeWish(const PlaceWant &want, const ServiceTable &table) const
{
    Wish wish;
    wish.want = want;
    wish.deadline = this->clock.now() + want.patience;
    wish.keeperDeadline = this->clock.now() + std::max(want.patience, want.keeperPatience);
    wish.untried = this->spillZones(want, table);
    if (wish.untried.empty()) {
        wish.reason = Reason::NoTarget;
        return wish;
    }
    wish.zone = wish.untried.back();
    wish.queueZone = wish.zone;
    wish.untried.pop_back();
    return wish;
}

std::vector<ZoneId> SlotClient::spillZones(const PlaceWant &want, const ServiceTable &table) const
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
    // flows start at different zones, so that the overflow of one spreads over the others
    std::sort(others.begin(), others.end(), [&want](ZoneId a, ZoneId b) { return mixHash(want.flow, a) < mixHash(want.flow, b); });
    others.resize(std::min(others.size(), this->settings.spillZones));
    if (hasOwn) {
        // a suspect is asked last: it is silent as a rule, and the other zones have slots too
        const bool isLast = this->isSuspect(this->keeperOf(want.service, this->self.zone));
        others.insert(isLast ? others.begin() : others.end(), this->self.zone);
    }
    return others;
}

MemberId SlotClient::keeperOf(ServiceId service, ZoneId zone) const
{
    return this->directory.ownerIn(zone, keeperKey(service, zone), 0);
}

bool SlotClient::isSuspect(MemberId member) const
{
    const auto record = this->directory.find(member);
    return record.has_value() && record->state == MemberState::Suspect;
}

void SlotClient::sendAsk(Wish &wish, Actions &out)
{
    const TimePoint now = this->clock.now();
    wish.nextAskAt = now + (wish.isQueueing ? this->settings.queuedRetry : this->settings.silentRetry);
    wish.isSilent = true;
    wish.keeper = this->keeperOf(wish.want.service, wish.zone);
    if (wish.keeper == 0) {
        return; // looked up again at the next try
    }
    const TimePoint deadline = wish.isHeard ? wish.deadline : wish.keeperDeadline;
    ++wish.asks;
    SlotAsk ask;
    ask.request = wish.want.request;
    ask.asker = this->self.id;
    ask.incarnation = this->self.incarnation;
    ask.service = wish.want.service;
    ask.zone = wish.zone;
    ask.kind = wish.want.kind;
    ask.flow = wish.want.flow;
    ask.deadlineMs = static_cast<uint32_t>(std::max<int64_t>(0, std::chrono::duration_cast<milliseconds>(deadline - now).count()));
    ask.mayQueue = wish.isQueueing;
    ask.avoid = wish.want.avoid;
    out.sendToPeer(wish.keeper, ask);
}

void SlotClient::endPlace(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const auto wish = this->wishes.find(request);
    if (wish != this->wishes.end()) {
        this->withdraw(wish->second, out);
        this->wishes.erase(wish);
        return;
    }
    const auto entry = this->held.find(request);
    if (entry != this->held.end()) {
        this->sendRelease(entry->second.place, outcome, latency, out);
        --this->terms[{ entry->second.place.service, entry->second.place.zone }].held;
        this->held.erase(entry);
    }
}

void SlotClient::sendRelease(const Place &place, SlotOutcome outcome, Duration latency, Actions &out)
{
    const MemberId keeper = this->keeperOf(place.service, place.zone);
    if (keeper == 0) {
        return; // a later keeper learns what is held from reports
    }
    const auto latencyUs = static_cast<uint32_t>(std::min<int64_t>(latency.count() / 1000, UINT32_MAX));
    out.sendToPeer(keeper, SlotRelease{ place.request, this->self.id, this->self.incarnation, place.service, place.zone, place.target, outcome, latencyUs });
}

void SlotClient::withdraw(const Wish &wish, Actions &out)
{
    if (!wish.isRefused) {
        this->sendRelease(Place{ wish.want.request, wish.want.service, wish.zone, 0, {} }, SlotOutcome::Cancelled, Duration{}, out);
    }
}

//--- Answers

void SlotClient::onSlotGrant(const SlotGrant &grant, Actions &out)
{
    bool isTaken = false;
    {
        const std::lock_guard lock(this->mutex);
        isTaken = this->takeGrant(grant, out);
    }
    if (isTaken) {
        this->listenerOf(grant.request).placeGranted({ grant.request, grant.service, grant.zone, grant.target, grant.endpoint }, out);
    }
}

bool SlotClient::takeGrant(const SlotGrant &grant, Actions &out)
{
    const Place place{ grant.request, grant.service, grant.zone, grant.target, grant.endpoint };
    const auto known = this->terms.find({ grant.service, grant.zone });
    const auto wish = this->wishes.find(grant.request);
    const bool isWanted = wish != this->wishes.end() && !wish->second.isRefused && wish->second.zone == grant.zone && wish->second.want.service == grant.service
        && wish->second.want.kind == grant.kind;
    if (known != this->terms.end() && grant.epoch < known->second.epoch) {
        if (isWanted) {
            this->askAfterLateGrant(wish->second, grant, known->second, out);
        }
        return false; // the keeper of the later epoch does not count this place
    }
    if (!isWanted) {
        const auto entry = this->held.find(grant.request);
        const bool isRepeat = entry != this->held.end() && entry->second.place.target == grant.target && entry->second.place.zone == grant.zone;
        if (!isRepeat) {
            this->sendRelease(place, SlotOutcome::Cancelled, Duration{}, out);
        }
        if (entry != this->held.end() && !isRepeat) {
            this->sendCorrection(grant.keeper, entry->second, out);
        }
        return false;
    }
    KeeperTerm &term = this->terms[{ grant.service, grant.zone }];
    if (grant.epoch > term.epoch) {
        term.epoch = grant.epoch;
        term.parts = 0;
    }
    term.keeper = term.held == 0 ? grant.keeper : term.keeper;
    ++term.held;
    this->held[grant.request] = { place, grant.kind };
    this->wishes.erase(wish);
    return true;
}

void SlotClient::askAfterLateGrant(Wish &wish, const SlotGrant &grant, KeeperTerm &term, Actions &out)
{
    this->counters.retry(RetryReason::KeeperChanged);
    wish.isSilent = false;
    if (this->keeperOf(grant.service, grant.zone) != grant.keeper) {
        this->sendAsk(wish, out);
        return;
    }
    // the right keeper, whose epoch is behind one seen here, e.g. of an instance that started alone: it would answer the same forever,
    // so it is told; it then rebuilds with an epoch above
    this->sendReport({ grant.service, grant.zone }, term, grant.keeper, false, out);
}

void SlotClient::onSlotRefusal(const SlotRefusal &refusal, Actions &out)
{
    Refused ended;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->wishes.find(refusal.request);
        if (found == this->wishes.end() || found->second.isRefused || found->second.zone != refusal.zone || found->second.want.service != refusal.service) {
            return;
        }
        Wish &wish = found->second;
        if (refusal.reason == Reason::KeeperUnreachable) {
            this->counters.retry(RetryReason::KeeperChanged);
            wish.isSilent = false;
            wish.nextAskAt = std::min(wish.nextAskAt, this->clock.now() + this->settings.silentRetry);
            return; // asked again once the views have come closer
        }
        if (this->askElsewhere(wish, refusal, out)) {
            return;
        }
        ended = { refusal.request, wish.reason, milliseconds(wish.retryAfterMs) };
        this->wishes.erase(found);
    }
    this->notifyRefused({ ended }, out);
}

bool SlotClient::askElsewhere(Wish &wish, const SlotRefusal &refusal, Actions &out)
{
    if (!wish.isHeard) { // what the search for a keeper took is not taken from the wait in its queue
        wish.deadline = std::min(wish.keeperDeadline, this->clock.now() + wish.want.patience);
    }
    wish.isHeard = true;
    const bool mayQueueThere = refusal.reason == Reason::NoSlot && !wish.isQueueing;
    if (mayQueueThere && refusal.retryAfterMs < wish.queueWaitMs) {
        wish.queueWaitMs = refusal.retryAfterMs;
        wish.queueZone = wish.zone;
    }
    const bool saysMore = refusal.reason != Reason::NoTarget || wish.reason == Reason::KeeperUnreachable;
    if (saysMore) { // "no slot" anywhere goes before "no target" elsewhere
        wish.reason = refusal.reason;
        wish.retryAfterMs = refusal.retryAfterMs;
    }
    if (wish.isQueueing) {
        return false;
    }
    if (!wish.untried.empty()) {
        wish.zone = wish.untried.back();
        wish.untried.pop_back();
        wish.asks = 0;
    } else if (wish.queueWaitMs != UINT32_MAX) {
        wish.zone = wish.queueZone;
        wish.isQueueing = true;
    } else {
        return false;
    }
    this->sendAsk(wish, out);
    return true;
}

void SlotClient::notifyRefused(const std::vector<Refused> &refused, Actions &out)
{
    for (const Refused &entry : refused) {
        this->listenerOf(entry.request).placeRefused(entry.request, entry.reason, entry.retryAfter, out);
    }
}

} // namespace hornbeam
