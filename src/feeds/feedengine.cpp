// Sections: packets | messages | slots | time | state

#include "feeds/feedengine.h"

#include "core/upstreamtoken.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr double drainBytesPerFeed = 48; // bytes of a FeedMove per feed, with a margin for retransmissions

// Derives the state of the next feed in a message from that of the previous one.
void updateState(FeedState &state, const AdditionalFeed &next)
{
    state.caller = next.caller;
    state.token = next.token;
    state.sequence = next.sequence;
    if (!next.registration.empty()) {
        state.registration = next.registration;
    }
}

} // namespace

FeedEngine::FeedEngine(const FeedSettings &settings, const MemberDirectory &directory, const TableSource &tables, SlotProvider &slotProvider,
                       const Clock &clock, Counters &counters)
    : context(settings, directory, tables, slotProvider, clock, counters)
{
    for (size_t number = 0; number < shardCount; ++number) {
        this->shards.push_back(std::make_unique<FeedShard>(number, this->context));
    }
    this->lastViewVersion = directory.viewVersion();
    this->lastTableChanges = tables.changes();
}

//--- Packets

void FeedEngine::onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out)
{
    FeedShard &shard = this->shardFor(flowKey(origin.service, origin.caller));
    const std::lock_guard lock(shard.mutex);
    shard.onCallerPacket(origin, message, out);
}

void FeedEngine::onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    uint64_t number = 0;
    if (readToken(message.token, TokenKind::Feed, number)) {
        FeedShard &shard = *this->shards[shardOfNumber(number)];
        const std::lock_guard lock(shard.mutex);
        shard.onTargetPacket(number, target, data, size, message, out);
        return;
    }
    if (message.type != CoapType::Reset) {
        return;
    }
    for (const auto &shard : this->shards) { // an RST carries no token
        const std::lock_guard lock(shard->mutex);
        shard->onTargetReset(target, message.messageId);
    }
}

void FeedEngine::onTargetUnreachable(const Endpoint &target)
{
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        shard->onTargetUnreachable(target);
    }
}

//--- Messages

void FeedEngine::onMessage(const FeedMove &move, Actions &out)
{
    const MemberId sender = move.sender != 0 ? move.sender : move.feed.owner;
    FeedState state = move.feed;
    for (size_t i = 0; i <= move.others.size(); ++i) {
        if (i > 0) {
            updateState(state, move.others[i - 1]);
        }
        FeedShard &shard = this->shardFor(flowKey(state.service, state.caller));
        const std::lock_guard lock(shard.mutex);
        shard.onMove(state, sender, out);
    }
}

void FeedEngine::onMessage(const FeedCopy &copy, Actions &out)
{
    FeedState state = copy.feed;
    for (size_t i = 0; i <= copy.others.size(); ++i) {
        if (i > 0) {
            updateState(state, copy.others[i - 1]);
        }
        FeedShard &shard = this->shardFor(flowKey(state.service, state.caller));
        const std::lock_guard lock(shard.mutex);
        shard.onCopy(state, out);
    }
}

void FeedEngine::onMessage(const FeedMoveAck &taken, Actions &out)
{
    FeedKey key = makeFeedKey(taken.service, taken.caller, taken.token);
    for (size_t i = 0; i <= taken.others.size(); ++i) {
        if (i > 0) {
            key = makeFeedKey(taken.service, taken.others[i - 1].caller, taken.others[i - 1].token);
        }
        FeedShard &shard = this->shardFor(key.flow());
        const std::lock_guard lock(shard.mutex);
        shard.onTaken(key, taken.owner, out);
    }
}

void FeedEngine::onMessage(const FeedDrop &drop, Actions &)
{
    const FeedKey key = makeFeedKey(drop.service, drop.caller, drop.token);
    FeedShard &shard = this->shardFor(key.flow());
    const std::lock_guard lock(shard.mutex);
    shard.onDrop(key);
}

void FeedEngine::onMessage(const TargetNotice &notice, Actions &)
{
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        shard->onNotice(notice);
    }
}

//--- Slots

void FeedEngine::slotGranted(const GrantedSlot &grant, Actions &out)
{
    FeedShard &shard = *this->shards[shardOfNumber(grant.request)];
    const std::lock_guard lock(shard.mutex);
    shard.slotGranted(grant, out);
}

void FeedEngine::slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out)
{
    FeedShard &shard = *this->shards[shardOfNumber(request)];
    const std::lock_guard lock(shard.mutex);
    shard.slotRefused(request, reason, retryAfter, out);
}

//--- Time

void FeedEngine::sweepIfChanged()
{
    const uint64_t view = this->context.directory.viewVersion();
    const uint64_t tables = this->context.tables.changes();
    const bool viewChanged = this->lastViewVersion.exchange(view) != view;
    const bool tablesChanged = this->lastTableChanges.exchange(tables) != tables;
    if (!viewChanged && !tablesChanged) {
        return;
    }
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        shard->startSweep();
    }
}

void FeedEngine::tick(Actions &out)
{
    this->sweepIfChanged();
    const FeedSettings &settings = this->context.settings;
    const TimePoint start = this->context.drainStart;
    if (this->context.draining && this->context.clock.now() >= start + settings.drainGracePeriod && !this->isDrainRateSet.exchange(true)) {
        const double left = static_cast<double>(this->openCount()) * drainBytesPerFeed;
        this->context.moveByteBucket.setRate(std::max(settings.moveBytesPerSecond, left / std::chrono::duration<double>(settings.drainMovePeriod).count()));
    }
    const size_t first = this->nextFirstShard.fetch_add(1); // rotates the first shard, so that none always has first access to the rate limits
    for (size_t i = 0; i < shardCount; ++i) {
        FeedShard &shard = *this->shards[(first + i) % shardCount];
        const std::lock_guard lock(shard.mutex);
        shard.tick(out);
    }
}

void FeedEngine::beginDrain(Actions &)
{
    if (this->context.draining) {
        return;
    }
    this->context.drainStart = this->context.clock.now();
    this->context.draining = true;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        shard->startSweep();
    }
}

bool FeedEngine::isIdle() const
{
    return std::all_of(this->shards.begin(), this->shards.end(), [](const auto &shard) {
        const std::lock_guard lock(shard->mutex);
        return shard->isIdle();
    });
}

//--- State

size_t FeedEngine::openCount() const
{
    size_t total = 0;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        total += shard->openCount();
    }
    return total;
}

size_t FeedEngine::copyCount() const
{
    size_t total = 0;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        total += shard->copyCount();
    }
    return total;
}

std::string FeedEngine::dump() const
{
    size_t copyBytes = 0;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        copyBytes += shard->copyBytes();
    }
    return "feeds=" + std::to_string(this->openCount()) + " copies=" + std::to_string(this->copyCount()) + " copy_bytes=" + std::to_string(copyBytes)
        + " draining=" + (this->context.draining ? "yes" : "no");
}

} // namespace hornbeam
