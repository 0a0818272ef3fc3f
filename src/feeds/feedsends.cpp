// Rate-limited moves of a shard: feeds to other targets, feeds and copies to other members.

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr size_t feedsPerMessage = 32; // with maxMessageBytes keeps a message below the smallest common MTU
constexpr double maxMessageBytes = 1000;
constexpr double messageOverheadBytes = 110; // approximate size of IP and UDP headers, signature and first feed
constexpr double additionalFeedBytes = 24;   // approximate size of each further feed
constexpr size_t replacementsPerTick = 64;   // per shard
constexpr size_t copiesDroppedPerTick = 64;
constexpr seconds recentTakenLifetime{ 1 }; // longer than the network delay of a message, shorter than FeedSettings::moveRetryDelay

} // namespace

void FeedShard::startTargetReplacements(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    for (size_t sent = 0; sent < replacementsPerTick && !this->targetReplacementQueue.empty() && this->context.targetMoveBucket.hasTokens(now); ++sent) {
        const uint32_t index = this->targetReplacementQueue.front();
        this->targetReplacementQueue.pop_front();
        const Feed &feed = this->store.feed(index);
        if (!feed.used || feed.closing || feed.cancelling || feed.replacement != noIndex) {
            continue;
        }
        const Registration &current = this->store.registration(feed.current);
        const bool isPlaced = current.state != RegistrationState::AcquiringSlot && current.state != RegistrationState::AwaitingRetry;
        if (isPlaced && !this->isUsable(feed.key.service, current)) {
            this->context.targetMoveBucket.consume(1);
            this->replaceTarget(index, RetryReason::TargetDraining, false, out);
        }
    }
}

FeedShard::MoveGroup FeedShard::moveGroupOf(const Feed &feed, MemberId to) const
{
    return MoveGroup{ to, this->context.self, feed.copyHolder == to ? 0 : feed.copyHolder, feed.key.service };
}

FeedShard::MoveGroup FeedShard::moveGroupOf(const FeedCopyEntry &copy) const
{
    return MoveGroup{ copy.handoverTo, copy.departedOwner, this->context.self, copy.key.service };
}

// Adds a feed or copy to a batch if it still has to be moved; returns false otherwise.
bool FeedShard::addToBatch(const FeedKey &key, MoveBatch &batch)
{
    const uint32_t index = this->store.findFeed(key);
    if (index != noIndex) {
        const auto move = this->moves.find(index);
        if (move == this->moves.end()) {
            return false;
        }
        const Feed &feed = this->store.feed(index);
        batch[this->moveGroupOf(feed, move->second.to)].push_back(MoveItem{ feed.requestTail, AdditionalFeed{ key.caller, key.token(), feed.sequence, {} } });
        return true;
    }
    const FeedCopyEntry *copy = this->copies.find(key);
    if (copy == nullptr || copy->handoverTo == 0) {
        return false;
    }
    batch[this->moveGroupOf(*copy)].push_back(MoveItem{ copy->requestTail, AdditionalFeed{ key.caller, key.token(), copy->sequence, {} } });
    return true;
}

// Takes the next feed to send (round robin over the groups), or one whose confirmation is overdue.
bool FeedShard::takeNextMove(FeedKey &key)
{
    if (!this->moveQueues.empty()) {
        auto group = this->moveQueues.lower_bound(this->currentGroup);
        group = group == this->moveQueues.end() ? this->moveQueues.begin() : group;
        this->currentGroup = group->first;
        const auto next = group->second.begin();
        key = next->second;
        group->second.erase(next);
        if (group->second.empty()) {
            this->moveQueues.erase(group);
        }
        return true;
    }
    const Duration wait = this->context.settings.moveRetryDelay;
    if (this->unconfirmedMoves.empty() || this->unconfirmedMoves.front().sentAt + wait > this->context.clock.now()) {
        return false;
    }
    key = this->unconfirmedMoves.front().key;
    this->unconfirmedMoves.pop_front();
    return true;
}

std::vector<FeedShard::MoveMessage> FeedShard::packMessages(const MoveGroup &group, std::vector<MoveItem> &items)
{
    std::sort(items.begin(), items.end(), [](const MoveItem &a, const MoveItem &b) { return a.requestTail < b.requestTail; });
    std::vector<MoveMessage> messages;
    double bytes = 0;
    for (size_t i = 0; i < items.size(); ++i) {
        AdditionalFeed &feed = items[i].feed;
        const bool isNewTail = i == 0 || items[i].requestTail != items[i - 1].requestTail;
        const double added = additionalFeedBytes + (isNewTail ? static_cast<double>(items[i].requestTail->size()) : 0);
        if (messages.empty() || bytes + added > maxMessageBytes) {
            bytes = messageOverheadBytes + static_cast<double>(items[i].requestTail->size());
            this->context.moveByteBucket.consume(bytes);
            messages.push_back(
                { { group.service, feed.caller, std::move(feed.token), *items[i].requestTail, feed.sequence, group.owner, group.copyHolder }, {} });
            continue;
        }
        if (isNewTail) {
            feed.registration = *items[i].requestTail;
        }
        bytes += added;
        this->context.moveByteBucket.consume(added);
        messages.back().others.push_back(std::move(feed));
    }
    return messages;
}

void FeedShard::sendMoves(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    const TimePoint start = this->context.drainStart;
    const bool isInGracePeriod = this->context.draining && now < start + this->context.settings.drainGracePeriod;
    if (isInGracePeriod || !this->context.moveByteBucket.hasTokens(now)) {
        return;
    }
    const auto nextGroup = this->moveQueues.upper_bound(this->currentGroup);
    this->currentGroup = nextGroup == this->moveQueues.end() ? MoveGroup{} : nextGroup->first;
    MoveBatch batch;
    FeedKey key;
    for (size_t taken = 0; taken < feedsPerMessage && this->takeNextMove(key);) {
        if (this->addToBatch(key, batch)) {
            this->unconfirmedMoves.push_back(UnconfirmedMove{ key, now });
            ++taken;
        }
    }
    for (auto &[group, items] : batch) {
        for (MoveMessage &message : this->packMessages(group, items)) {
            out.sendToPeer(group.to, FeedMove{ std::move(message.first), this->context.self, std::move(message.others) });
        }
    }
}

void FeedShard::sendCopies(Actions &out)
{
    if (this->context.draining || this->copyQueue.empty() || !this->context.moveByteBucket.hasTokens(this->context.clock.now())) {
        return;
    }
    MoveBatch batch;
    for (size_t taken = 0; taken < feedsPerMessage && !this->copyQueue.empty(); ++taken) {
        const uint32_t index = this->store.findFeed(this->copyQueue.front());
        this->copyQueue.pop_front();
        if (index == noIndex || this->store.feed(index).closing) {
            continue;
        }
        Feed &feed = this->store.feed(index);
        feed.copyHolder = feed.copyHolder != 0 ? feed.copyHolder : this->chooseCopyHolder(feed.key.flow());
        feed.copiedAt = this->context.clock.now();
        if (feed.copyHolder != 0) {
            batch[MoveGroup{ feed.copyHolder, this->context.self, feed.copyHolder, feed.key.service }].push_back(
                MoveItem{ feed.requestTail, AdditionalFeed{ feed.key.caller, feed.key.token(), feed.sequence, {} } });
        }
    }
    for (auto &[group, items] : batch) {
        for (MoveMessage &message : this->packMessages(group, items)) {
            out.sendToPeer(group.to, FeedCopy{ std::move(message.first), std::move(message.others) });
        }
    }
}

void FeedShard::sendTaken(Actions &out)
{
    for (auto &[group, feeds] : this->pendingTaken) {
        for (size_t begin = 0; begin < feeds.size(); begin += feedsPerMessage) {
            const auto from = feeds.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto to = feeds.begin() + static_cast<std::ptrdiff_t>(std::min(begin + feedsPerMessage, feeds.size()));
            FeedMoveAck message{ group.service, from->caller, from->token, this->context.self, std::vector<AdditionalFeed>(from + 1, to) };
            out.sendToPeer(group.to, std::move(message));
        }
    }
    this->pendingTaken.clear();
    const TimePoint past = this->context.clock.now() - recentTakenLifetime;
    std::erase_if(this->recentTaken, [past](const auto &entry) { return entry.second < past; });
}

void FeedShard::removeExpiredCopies()
{
    const TimePoint now = this->context.clock.now();
    for (size_t dropped = 0; dropped < copiesDroppedPerTick; ++dropped) {
        const FeedCopyEntry *oldest = this->copies.oldest();
        if (oldest == nullptr || oldest->storedAt + this->context.settings.copyLifetime > now) {
            return;
        }
        const FeedKey key = oldest->key;
        this->copies.remove(key);
    }
}

} // namespace hornbeam
