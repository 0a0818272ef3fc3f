#include "slots/keeper.h"

#include "core/upstreamtoken.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned probeNumberShift = 14; // leaves room for the wall clock's 41 bits in a token's 56

} // namespace

Keeper::Keeper(const KeeperSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters)
    : settings(settings)
    , context{ this->settings, directory, tables, clock, counters }
    , probeNumber(clock.wallMillis() << probeNumberShift) // answers to an earlier process don't match
    , startedAt(clock.now())
{
}

ServiceKeeper *Keeper::findKept(ServiceId service, ZoneId zone, Actions &out)
{
    const MemberRecord self = this->context.directory.self();
    const auto found = this->kept.find(service);
    const bool isKeeper = zone == self.zone && this->hasJoined() && this->context.directory.ownerIn(zone, keeperKey(service, zone), 0) == self.id;
    if (!isKeeper) {
        if (zone == self.zone && found != this->kept.end()) {
            this->lastEpochs[service] = found->second->term();
            found->second->endKeeping(out);
            this->kept.erase(found);
        }
        return nullptr;
    }
    if (found != this->kept.end()) {
        return found->second.get();
    }
    uint64_t &epoch = this->lastEpochs[service];
    epoch = std::max(epochAfter(epoch, self.id), makeEpoch(this->context.clock.wallMillis(), self.id));
    return this->kept.emplace(service, std::make_unique<ServiceKeeper>(this->context, service, epoch, out)).first->second.get();
}

/** An instance that has just started sees itself as the keeper of everything until it hears of the others. */
bool Keeper::hasJoined()
{
    if (!this->isJoined) {
        const bool isAlone = this->context.directory.eligibleIn(this->context.directory.self().zone).size() <= 1;
        this->isJoined = !isAlone || this->context.clock.now() - this->startedAt >= this->settings.joinWait;
    }
    return this->isJoined;
}

void Keeper::onSlotAsk(const SlotAsk &ask, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->context.tables.find(ask.service) == nullptr) {
        out.sendToPeer(ask.asker, SlotRefusal{ ask.request, ask.service, ask.zone, Reason::NoTable, 0 });
        return;
    }
    ServiceKeeper *keeper = this->findKept(ask.service, ask.zone, out);
    if (keeper == nullptr) {
        out.sendToPeer(ask.asker, SlotRefusal{ ask.request, ask.service, ask.zone, Reason::KeeperUnreachable, 0 });
        return;
    }
    keeper->onSlotAsk(ask, out);
}

void Keeper::onSlotRelease(const SlotRelease &release, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->context.tables.find(release.service) == nullptr) {
        return;
    }
    ServiceKeeper *keeper = this->findKept(release.service, release.zone, out);
    if (keeper != nullptr) {
        keeper->onSlotRelease(release, out);
    }
}

void Keeper::onHeldQuery(const HeldQuery &query, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->kept.find(query.service);
    if (found != this->kept.end() && query.zone == this->context.directory.self().zone) {
        found->second->onHeldQuery(query, out);
    }
}

void Keeper::onHeldReport(const HeldReport &report, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->context.tables.find(report.service) == nullptr) {
        return;
    }
    ServiceKeeper *keeper = this->findKept(report.service, report.zone, out);
    if (keeper != nullptr) {
        keeper->onHeldReport(report, out);
    }
}

void Keeper::onTargetPacket(const Endpoint &from, const Bytes &packet, const CoapMessage &message, Actions &)
{
    const std::lock_guard lock(this->mutex);
    uint64_t number = 0;
    if (!readToken(message.token, TokenKind::Probe, number)) {
        return;
    }
    for (auto &[service, keeper] : this->kept) {
        const TargetId target = keeper->findProbe(number);
        if (target != 0) {
            keeper->onProbeAnswer(target, number, from, packet, message);
            return;
        }
    }
}

void Keeper::tick(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    this->updateRoles(out);
    for (auto &[service, keeper] : this->kept) {
        keeper->tick(this->probeNumber, out);
    }
}

void Keeper::updateRoles(Actions &out)
{
    const uint64_t view = this->context.directory.viewVersion();
    const uint64_t changes = this->context.tables.changes();
    const bool wasJoined = this->isJoined;
    if (this->hasRoles && wasJoined == this->hasJoined() && view == this->viewVersion && changes == this->tableChanges) {
        return;
    }
    this->hasRoles = true;
    this->viewVersion = view;
    this->tableChanges = changes;
    const ZoneId zone = this->context.directory.self().zone;
    for (const auto &table : this->context.tables.all()) {
        this->findKept(table->id, zone, out);
    }
}

std::string Keeper::dump() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[service, keeper] : this->kept) {
        text += keeper->dump();
    }
    return text;
}

} // namespace hornbeam
