#include "slots/servicekeeper.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr int holdingWeight = 8; // a new holding time counts one eighth

PlaceKey keyOf(const SlotAsk &ask)
{
    return { ask.asker, ask.incarnation, ask.request };
}

} // namespace

ServiceKeeper::ServiceKeeper(const KeeperContext &context, ServiceId service, uint64_t epoch, Actions &out)
    : context(context), service(service), self(context.directory.self()), epoch(epoch)
{
    this->updateTargets(context.tables.find(service));
    this->nextAuditAt = context.clock.now() + context.settings.auditInterval;
    this->beginRebuild(out);
}

//--- Asks

void ServiceKeeper::onSlotAsk(const SlotAsk &ask, Actions &out)
{
    const PlaceKey key = keyOf(ask);
    if (this->book.isReleased(key) || isGone(this->context.directory, ask.asker, ask.incarnation)) {
        return; // a late duplicate
    }
    const Table table = this->context.tables.find(this->service);
    if (table == nullptr) {
        this->refuse(ask, Reason::NoTable, out);
        return;
    }
    const BookedPlace *place = this->book.find(key);
    if (place != nullptr && this->isRebuilding && place->epoch == this->epoch) {
        return; // its holder has reported it
    }
    // a grant of an earlier term is not repeated in the name of this one, before it is known that its place is free
    if (place != nullptr && !this->isRebuilding) {
        const TargetRow *row = table->find(place->target);
        if (this->takesWork(row)) {
            this->book.updateChecked(key, this->context.clock.now());
            this->sendGrant(ask, *row, out);
            return;
        }
        this->book.remove(key); // the grant was lost and its target leaves by now: choose anew
    }
    WaitingAsk *waiting = this->queue.find(key);
    if (waiting != nullptr) {
        waiting->ask.mayQueue = waiting->ask.mayQueue || ask.mayQueue;
        return;
    }
    this->serveAsk(ask, out);
}

void ServiceKeeper::serveAsk(const SlotAsk &ask, Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    if (this->isRebuilding) { // over within a round trip as a rule, so even asks that may not queue are held
        if (this->queue.hasRoom(ask.asker, table->queueLimit)) {
            this->queue.add(ask, this->context.clock.now());
        } else {
            this->refuse(ask, Reason::NoSlot, out);
        }
        return;
    }
    this->serveQueue(out);
    const bool isFirst = this->queue.size(ask.kind) == 0;
    if (isFirst && this->tryGrant(ask, *table, out)) {
        return;
    }
    if (!this->hasTargets(*table)) {
        this->refuse(ask, Reason::NoTarget, out);
        return;
    }
    this->queueAsk(ask, *table, out);
}

void ServiceKeeper::queueAsk(const SlotAsk &ask, const ServiceTable &table, Actions &out)
{
    if (!ask.mayQueue || !this->queue.hasRoom(ask.asker, table.queueLimit)) {
        this->refuse(ask, Reason::NoSlot, out);
        return;
    }
    if (this->estimatedWait(ask.kind, table) > milliseconds(ask.deadlineMs)) {
        this->refuse(ask, Reason::QueueDeadline, out);
        return;
    }
    this->queue.add(ask, this->context.clock.now());
}

void ServiceKeeper::serveQueue(Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    if (this->isRebuilding || table == nullptr) {
        return;
    }
    bool isRequestBlocked = false;
    bool isFeedBlocked = false;
    auto &waiting = this->queue.waiting;
    for (auto entry = waiting.begin(); entry != waiting.end();) {
        bool &isBlocked = entry->ask.kind == PlaceKind::Request ? isRequestBlocked : isFeedBlocked;
        const bool isLate = entry->deadline <= this->context.clock.now();
        if (isLate) {
            this->refuse(entry->ask, Reason::QueueDeadline, out);
        } else if (isBlocked || !this->tryGrant(entry->ask, *table, out)) {
            isBlocked = true;
            if (entry->ask.mayQueue && this->hasTargets(*table)) {
                ++entry;
                continue;
            }
            this->refuse(entry->ask, this->hasTargets(*table) ? Reason::NoSlot : Reason::NoTarget, out);
        }
        entry = waiting.erase(entry);
    }
}

bool ServiceKeeper::tryGrant(const SlotAsk &ask, const ServiceTable &table, Actions &out)
{
    const auto free = this->candidates(table, ask.kind, ask.avoid);
    const TargetRow *row = ask.kind == PlaceKind::Request ? chooseForRequest(free, ask.flow, table.preference)
                                                          : chooseForFeed(free, ask.flow, table.preference, this->context.settings.boundedLoadPercent);
    if (row == nullptr) {
        return false;
    }
    const TimePoint now = this->context.clock.now();
    this->book.add(keyOf(ask), { row->id, ask.kind, now, now, this->epoch });
    this->context.counters.add(Counter::SlotsGranted);
    this->sendGrant(ask, *row, out);
    return true;
}

void ServiceKeeper::sendGrant(const SlotAsk &ask, const TargetRow &row, Actions &out)
{
    out.sendToPeer(ask.asker, SlotGrant{ ask.request, this->service, this->zone(), this->self.id, this->epoch, row.id, row.endpoint, ask.kind });
}

void ServiceKeeper::refuse(const SlotAsk &ask, Reason reason, Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    const Duration wait = table == nullptr ? Duration{} : this->estimatedWait(ask.kind, *table);
    const Duration hint = std::clamp(wait, this->context.settings.retryAfterLeast, this->context.settings.retryAfterMost);
    const auto hintMs = static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(hint).count());
    out.sendToPeer(ask.asker, SlotRefusal{ ask.request, this->service, this->zone(), reason, hintMs });
}

Duration ServiceKeeper::estimatedWait(PlaceKind kind, const ServiceTable &table)
{
    if (kind == PlaceKind::Feed) {
        return Duration{}; // feeds end when callers go; their holding time foretells nothing
    }
    int64_t slots = 0;
    for (const Candidate &candidate : this->candidates(table, kind, 0)) {
        slots += candidate.limit;
    }
    const auto ahead = static_cast<int64_t>(this->queue.size(kind)) + 1;
    return this->meanHolding * ahead / std::max<int64_t>(1, slots);
}

std::vector<Candidate> ServiceKeeper::candidates(const ServiceTable &table, PlaceKind kind, TargetId avoid)
{
    const TimePoint now = this->context.clock.now();
    std::vector<Candidate> good;
    std::vector<Candidate> unheard;
    std::vector<Candidate> lastResort;
    for (const TargetRow &row : table.rows) {
        if (!this->takesWork(&row)) {
            continue;
        }
        const auto known = this->targets.find(row.id);
        if (known == this->targets.end()) {
            continue; // new since the last tick, which starts its ramp
        }
        const TargetState &state = known->second;
        if (state.isEjected(now) || state.isBackingOff(now)) {
            continue;
        }
        const bool isFailed = state.isFailed(this->context.settings, now);
        std::vector<Candidate> &group = isFailed ? lastResort : state.wasHeard() ? good : unheard;
        group.push_back(this->candidateOf(row, kind, isFailed));
    }
    std::vector<Candidate> &chosen = !good.empty() ? good : !unheard.empty() ? unheard : lastResort;
    if (chosen.size() > 1) {
        std::erase_if(chosen, [avoid](const Candidate &candidate) { return candidate.row->id == avoid; });
    }
    return chosen;
}

Candidate ServiceKeeper::candidateOf(const TargetRow &row, PlaceKind kind, bool isLastResort)
{
    Candidate candidate{ &row, this->book.used(row.id, kind), row.connections, 0 };
    if (kind == PlaceKind::Request) {
        const TargetState &state = this->targets.at(row.id);
        const TimePoint now = this->context.clock.now();
        candidate.limit = isLastResort ? 1 : state.usableSlots(row.slots, this->context.settings, now);
        candidate.extra = state.reportedExtra(candidate.used, row.slots, this->context.settings, now);
    }
    return candidate;
}

bool ServiceKeeper::takesWork(const TargetRow *row) const
{
    if (row == nullptr || row->zone != this->zone() || row->state != RowState::Active || row->weight == 0) {
        return false;
    }
    const auto state = this->targets.find(row->id);
    return state == this->targets.end() || !state->second.isDraining();
}

bool ServiceKeeper::hasTargets(const ServiceTable &table) const
{
    return std::any_of(table.rows.begin(), table.rows.end(), [this](const TargetRow &row) { return this->takesWork(&row); });
}

//--- Releases

void ServiceKeeper::onSlotRelease(const SlotRelease &release, Actions &out)
{
    const PlaceKey key{ release.holder, release.incarnation, release.request };
    const TimePoint now = this->context.clock.now();
    const BookedPlace *place = this->book.find(key);
    if (place != nullptr && release.target != 0 && place->target != release.target) {
        return; // gives back another keeper's grant; the one booked here is still held
    }
    this->queue.remove(key);
    this->book.addRelease(key, release.target, now + this->context.settings.releaseMemory, this->context.settings.maxRememberedReleases);
    if (place == nullptr) {
        return;
    }
    const auto state = this->targets.find(place->target);
    if (state != this->targets.end() && place->kind == PlaceKind::Request) {
        state->second.updateOutcome(release.outcome, this->context.settings, now, this->mayEject());
    }
    if (place->kind == PlaceKind::Request && release.outcome != SlotOutcome::Cancelled) {
        const Duration held = now - place->grantedAt;
        const bool isFirst = this->meanHolding == Duration{};
        this->meanHolding = isFirst ? held : this->meanHolding + (held - this->meanHolding) / holdingWeight;
    }
    this->book.remove(key);
    this->serveQueue(out);
}

} // namespace hornbeam
