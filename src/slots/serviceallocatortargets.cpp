// Part of ServiceAllocator: health probes, target notices and periodic work.

#include "slots/serviceallocator.h"

#include "core/upstreamtoken.h"
#include "slots/slotallocator.h"

#include <algorithm>
#include <sstream>

namespace hornbeam {

namespace {

constexpr uint16_t probeMessageIdPrefix = 0x8000; // the two high bits of the probes' message IDs are 10
constexpr uint16_t probeMessageIdMask = 0x3FFF;
constexpr uint64_t jitterDivisor = 8; // probes are sent up to 1/8 of the interval early

} // namespace

//--- Targets

void ServiceAllocator::updateTargets(const Table &table)
{
    if (table == nullptr) {
        return;
    }
    const TimePoint now = this->context.clock.now();
    const bool isFirstTable = this->targets.empty(); // targets known at the start of the term are not new
    for (const TargetRow &row : table->rows) {
        if (row.zone != this->zone()) {
            continue;
        }
        const auto [entry, isNew] = this->targets.try_emplace(row.id);
        if (isNew && !isFirstTable) {
            entry->second.beginSlowStart(now);
        }
    }
    std::erase_if(this->targets, [this, &table](const auto &entry) {
        const bool isUsed = this->grants.used(entry.first, SlotKind::Request) + this->grants.used(entry.first, SlotKind::Feed) > 0;
        return table->find(entry.first) == nullptr && !isUsed && entry.second.leaveNoticeSent;
    });
}

bool ServiceAllocator::mayEject() const
{
    const TimePoint now = this->context.clock.now();
    const auto ejected =
        static_cast<size_t>(std::count_if(this->targets.begin(), this->targets.end(), [now](const auto &entry) { return entry.second.isEjected(now); }));
    return (ejected + 1) * 100 <= this->targets.size() * this->context.settings.maxEjectedPercent;
}

void ServiceAllocator::updateNotices(const Table &table, Actions &out)
{
    if (table == nullptr) {
        return;
    }
    const TimePoint now = this->context.clock.now();
    for (auto &[target, state] : this->targets) {
        const TargetRow *row = table->find(target);
        const bool isLeaving = row == nullptr || row->zone != this->zone() || row->state != RowState::Active || state.isDraining();
        const bool isFailed = state.isFailed(this->context.settings, now);
        const bool hasRecovered = (state.leaveNoticeSent && !isLeaving) || (state.failureNoticeSent && !isFailed && !isLeaving);
        if (hasRecovered) {
            state.beginSlowStart(now);
        }
        const bool isFirst = (isLeaving && !state.leaveNoticeSent) || (isFailed && !state.failureNoticeSent);
        state.leaveNoticeSent = isLeaving;
        state.failureNoticeSent = isFailed;
        if ((isLeaving || isFailed) && (isFirst || now >= state.nextNoticeAt)) {
            this->sendNotice(target, state, isFirst, TargetNotice{ this->service, this->zone(), target, isLeaving, isFailed }, out);
        }
    }
}

void ServiceAllocator::sendNotice(TargetId target, TargetState &state, bool isFirst, const TargetNotice &notice, Actions &out)
{
    std::set<MemberId> receivers = this->grants.feedHolders(target);
    if (isFirst) {
        for (const MemberRecord &member : this->context.directory.eligibleIn(this->zone())) {
            receivers.insert(member.id);
        }
    }
    for (const MemberId receiver : receivers) {
        out.sendToPeer(receiver, notice);
    }
    state.nextNoticeAt = this->context.clock.now() + this->context.settings.noticeInterval;
}

void ServiceAllocator::sendProbes(const ServiceTable &table, uint64_t &probeNumber, Actions &out)
{
    const TimePoint now = this->context.clock.now();
    for (auto &[target, state] : this->targets) {
        if (state.probeNumber != 0 && now - state.probeSentAt >= this->context.settings.probeTimeout) {
            state.probeNumber = 0;
            state.recordProbeFailure();
        }
        const TargetRow *row = table.find(target);
        if (row == nullptr || row->state == RowState::Disabled || state.probeNumber != 0 || now < state.nextProbeAt) {
            continue;
        }
        ++probeNumber;
        state.probeNumber = probeNumber;
        state.probeSentAt = now;
        const Duration maxJitter = this->context.settings.probeInterval / jitterDivisor;
        const auto jitter = Duration(mixHash(probeNumber, target) % static_cast<uint64_t>(maxJitter.count() + 1));
        state.nextProbeAt = now + this->context.settings.probeInterval - jitter;
        const auto messageId = static_cast<uint16_t>(probeMessageIdPrefix | (probeNumber & probeMessageIdMask));
        out.sendToTarget(this->service, row->endpoint, buildProbe(messageId, makeToken(TokenKind::Probe, probeNumber)));
        this->context.counters.add(Counter::TargetsProbed);
    }
}

TargetId ServiceAllocator::findProbe(uint64_t number) const
{
    const auto found = std::find_if(this->targets.begin(), this->targets.end(), [number](const auto &entry) { return entry.second.probeNumber == number; });
    return found == this->targets.end() ? 0 : found->first;
}

void ServiceAllocator::onProbeAnswer(TargetId target, uint64_t number, const Endpoint &from, const Bytes &packet, const CoapMessage &message)
{
    const Table table = this->context.tables.find(this->service);
    const TargetRow *row = table == nullptr ? nullptr : table->find(target);
    TargetState &state = this->targets.at(target);
    if (row == nullptr || row->endpoint != from || state.probeNumber != number) {
        return;
    }
    state.probeNumber = 0;
    const bool isContent = message.code == static_cast<uint8_t>(CoapCode::Content);
    const auto report = isContent ? parseHealth(packet, message.tailOffset) : std::nullopt;
    if (report.has_value()) {
        state.recordHealth(*report, this->context.clock.now());
    } else {
        state.recordProbeFailure();
    }
}

void ServiceAllocator::tick(uint64_t &probeNumber, Actions &out)
{
    const Table table = this->context.tables.find(this->service);
    this->updateTargets(table);
    if (this->viewVersion != this->context.directory.viewVersion()) {
        this->viewVersion = this->context.directory.viewVersion();
        this->reclaimFromEndedProcesses();
    }
    this->updateRebuild(out);
    this->updateNotices(table, out);
    this->grants.removeExpired(this->context.clock.now());
    this->sendAudits(out);
    this->serveQueue(out);
    if (table != nullptr) {
        this->sendProbes(*table, probeNumber, out);
    }
}

void ServiceAllocator::addLoad(AllocatorLoad &load) const
{
    ++load.services;
    load.queued += this->queue.waiting.size();
    for (const auto &[target, state] : this->targets) {
        load.requestSlots += this->grants.used(target, SlotKind::Request);
        load.feedSlots += this->grants.used(target, SlotKind::Feed);
    }
}

std::string ServiceAllocator::dump() const
{
    const TimePoint now = this->context.clock.now();
    std::ostringstream text;
    text << "service=" << this->service << " epoch=" << this->epoch << " rebuilding=" << this->isRebuilding << " places=" << this->grants.all().size()
         << " queued=" << this->queue.waiting.size() << '\n';
    for (const auto &[target, state] : this->targets) {
        text << "  target=" << target << " requests=" << this->grants.used(target, SlotKind::Request) << " feeds=" << this->grants.used(target, SlotKind::Feed)
             << " leaving=" << state.leaveNoticeSent << " failed=" << state.isFailed(this->context.settings, now) << " ejected=" << state.isEjected(now)
             << '\n';
    }
    return text.str();
}

} // namespace hornbeam
