#include "slots/slotallocator.h"

#include "core/upstreamtoken.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned probeNumberShift = 14; // the wall clock in ms takes 41 of a token's 56 bits

} // namespace

SlotAllocator::SlotAllocator(const SlotAllocatorSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock,
                             Counters &counters)
    : settings(settings)
    , context{ this->settings, directory, tables, clock, counters }
    , probeNumber(clock.wallMillis() << probeNumberShift) // so that answers to probes of an earlier process don't match
    , startedAt(clock.now())
{
}

ServiceAllocator *SlotAllocator::allocatorFor(ServiceId service, ZoneId zone, Actions &out)
{
    const MemberRecord self = this->context.directory.self();
    const auto found = this->allocators.find(service);
    const bool isAllocator = zone == self.zone && this->hasJoined() && this->context.directory.ownerIn(zone, allocatorKey(service, zone), 0) == self.id;
    if (!isAllocator) {
        if (zone == self.zone && found != this->allocators.end()) {
            this->lastEpochs[service] = found->second->currentEpoch();
            found->second->endTerm(out);
            this->allocators.erase(found);
        }
        return nullptr;
    }
    if (found != this->allocators.end()) {
        return found->second.get();
    }
    uint64_t &epoch = this->lastEpochs[service];
    epoch = std::max(epochAfter(epoch, self.id), makeEpoch(this->context.clock.wallMillis(), self.id));
    return this->allocators.emplace(service, std::make_unique<ServiceAllocator>(this->context, service, epoch, out)).first->second.get();
}

/** Until an instance that has just started learns of other members, its view makes it the allocator of every service in its zone. */
bool SlotAllocator::hasJoined()
{
    if (!this->isJoined) {
        const bool isAlone = this->context.directory.eligibleIn(this->context.directory.self().zone).size() <= 1;
        this->isJoined = !isAlone || this->context.clock.now() - this->startedAt >= this->settings.joinWait;
    }
    return this->isJoined;
}

void SlotAllocator::onSlotRequest(const SlotRequest &slotRequest, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->context.tables.find(slotRequest.service) == nullptr) {
        out.sendToPeer(slotRequest.requester, SlotRefusal{ slotRequest.request, slotRequest.service, slotRequest.zone, Reason::NoTable, 0 });
        return;
    }
    ServiceAllocator *allocator = this->allocatorFor(slotRequest.service, slotRequest.zone, out);
    if (allocator == nullptr) {
        out.sendToPeer(slotRequest.requester, SlotRefusal{ slotRequest.request, slotRequest.service, slotRequest.zone, Reason::KeeperUnreachable, 0 });
        return;
    }
    allocator->onSlotRequest(slotRequest, out);
}

void SlotAllocator::onSlotRelease(const SlotRelease &release, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->context.tables.find(release.service) == nullptr) {
        return;
    }
    ServiceAllocator *allocator = this->allocatorFor(release.service, release.zone, out);
    if (allocator != nullptr) {
        allocator->onSlotRelease(release, out);
    }
}

void SlotAllocator::onHeldQuery(const HeldSlotsQuery &query, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->allocators.find(query.service);
    if (found != this->allocators.end() && query.zone == this->context.directory.self().zone) {
        found->second->onHeldQuery(query, out);
    }
}

void SlotAllocator::onHeldReport(const HeldSlotsReport &report, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->context.tables.find(report.service) == nullptr) {
        return;
    }
    ServiceAllocator *allocator = this->allocatorFor(report.service, report.zone, out);
    if (allocator != nullptr) {
        allocator->onHeldReport(report, out);
    }
}

void SlotAllocator::onTargetPacket(const Endpoint &from, const Bytes &packet, const CoapMessage &message, Actions &)
{
    const std::lock_guard lock(this->mutex);
    uint64_t number = 0;
    if (!readToken(message.token, TokenKind::Probe, number)) {
        return;
    }
    for (auto &[service, allocator] : this->allocators) {
        const TargetId target = allocator->findProbe(number);
        if (target != 0) {
            allocator->onProbeAnswer(target, number, from, packet, message);
            return;
        }
    }
}

void SlotAllocator::tick(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    this->updateRoles(out);
    for (auto &[service, allocator] : this->allocators) {
        allocator->tick(this->probeNumber, out);
    }
}

void SlotAllocator::updateRoles(Actions &out)
{
    const uint64_t view = this->context.directory.viewVersion();
    const uint64_t changes = this->context.tables.changes();
    const bool wasJoined = this->isJoined;
    if (this->hasAssignedRoles && wasJoined == this->hasJoined() && view == this->viewVersion && changes == this->tableChanges) {
        return;
    }
    this->hasAssignedRoles = true;
    this->viewVersion = view;
    this->tableChanges = changes;
    const ZoneId zone = this->context.directory.self().zone;
    for (const auto &table : this->context.tables.all()) {
        this->allocatorFor(table->id, zone, out);
    }
}

AllocatorLoad SlotAllocator::load() const
{
    const std::lock_guard lock(this->mutex);
    AllocatorLoad load;
    for (const auto &[service, allocator] : this->allocators) {
        allocator->addLoad(load);
    }
    return load;
}

std::string SlotAllocator::dump() const
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[service, allocator] : this->allocators) {
        text += allocator->dump();
    }
    return text;
}

} // namespace hornbeam
