// Ownership of a shard's feeds: moves between members, and copies.
//
// Sections: messages | checks after a change

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

//--- Messages

// Accepts a feed even if another member owns it in this view, because the sender's view differs. Once the views agree, a sweep moves it on.
void FeedShard::onMove(const FeedState &state, MemberId sender, Actions &out)
{
    const FeedKey key = makeFeedKey(state.service, state.caller, state.token);
    const uint32_t index = this->store.findFeed(key);
    const auto moving = index == noIndex ? this->moves.end() : this->moves.find(index);
    if (moving != this->moves.end() && moving->second.to == sender) {
        return; // both members offer it to each other; if both accepted, both would drop it on the other's FeedMoveAck. Both keep it until the views agree.
    }
    const uint32_t taken = index == noIndex ? this->takeOverFeed(state, key, sender, out) : index;
    if (taken == noIndex) {
        return; // the sender retries
    }
    this->addTakenRecipient(taken, sender);
    const auto owner = this->context.directory.find(state.owner);
    if (state.owner != sender && owner && owner->state <= MemberState::Leaving) {
        this->addTakenRecipient(taken, state.owner); // still serves the feed
    }
    const Feed &feed = this->store.feed(taken);
    if (feed.current == noIndex || this->store.registration(feed.current).state == RegistrationState::Active
        || this->store.registration(feed.current).state == RegistrationState::Refreshing) {
        this->queueTaken(taken);
    }
}

uint32_t FeedShard::takeOverFeed(const FeedState &state, const FeedKey &key, MemberId sender, Actions &out)
{
    const uint64_t wall = this->context.clock.wallMillis();
    const uint32_t index = this->store.addFeed(key, static_cast<uint16_t>(mixHash(key.flow() ^ this->context.self, wall)));
    const uint32_t registration = this->store.addRegistration(index);
    if (registration == noIndex) {
        this->store.removeFeed(index);
        return noIndex;
    }
    Feed &feed = this->store.feed(index);
    feed.current = registration;
    feed.requestTail = this->store.internRequestTail(state.registration);
    feed.established = true;
    // must exceed every number that the previous owner may have sent, even if its clock is ahead
    feed.sequence = nextSequence(state.sequence, state.sequence == 0 ? 0 : wall, wall + this->context.settings.takeoverMarginMs);
    feed.sequenceSentAtMs = wall;
    feed.copyHolder = this->isUnknownOrInactive(state.copyHolder) ? 0 : state.copyHolder;
    feed.copiedAt = this->context.clock.now();
    if (feed.copyHolder == 0 || feed.copyHolder == this->context.self) {
        feed.copyHolder = 0;
        this->copyQueue.push_back(key);
    }
    this->copies.remove(key);
    this->context.counters.add(Counter::FeedsMovedIn);
    this->context.counters.addRetry(RetryReason::OwnerChanged);
    if (sender != this->context.self && sender == this->context.directory.flowOwner(key.flow())) {
        // the views differ: moved back only after moveRetryDelay if they still differ, else it would bounce between both
        this->moves[index].to = sender;
        this->unconfirmedMoves.push_back(UnconfirmedMove{ key, this->context.clock.now() });
    }
    this->requestSlot(registration, out);
    this->checkFeed(index, out);
    return index;
}

void FeedShard::onCopy(const FeedState &state, Actions &out)
{
    FeedCopyEntry entry;
    entry.key = makeFeedKey(state.service, state.caller, state.token);
    if (this->store.findFeed(entry.key) != noIndex) {
        return;
    }
    entry.requestTail = this->store.internRequestTail(state.registration);
    entry.sequence = state.sequence;
    entry.owner = state.owner;
    entry.storedAt = this->context.clock.now();
    if (this->copies.update(std::move(entry))) {
        this->context.counters.add(Counter::FeedCopiesStored);
    }
    this->checkCopy(*this->copies.find(makeFeedKey(state.service, state.caller, state.token)), out); // the owner may have failed already
}

void FeedShard::onTaken(const FeedKey &key, MemberId owner, Actions &out)
{
    FeedCopyEntry *copy = this->copies.find(key);
    if (copy != nullptr && copy->handoverTo == owner) {
        copy->owner = owner;
        copy->handoverTo = 0;
        copy->departedOwner = 0;
    }
    const uint32_t index = this->store.findFeed(key);
    if (index == noIndex || owner == this->context.self) {
        return;
    }
    const auto moving = this->moves.find(index);
    const bool isExpected = moving != this->moves.end() ? moving->second.to == owner : this->context.directory.flowOwner(key.flow()) == owner;
    if (!isExpected || this->recentTaken.contains({ index, owner })) {
        return; // the other member drops the feed on this member's FeedMoveAck, which crossed with its own
    }
    this->endRegistrations(index, true, out);
    this->context.counters.add(Counter::FeedsMovedOut);
    this->removeFeed(index);
}

void FeedShard::onDrop(const FeedKey &key)
{
    this->copies.remove(key);
}

void FeedShard::addTakenRecipient(uint32_t index, MemberId peer)
{
    auto &peers = this->takenRecipients[index];
    if (peer != 0 && peer != this->context.self && std::find(peers.begin(), peers.end(), peer) == peers.end()) {
        peers.push_back(peer);
    }
}

void FeedShard::queueTaken(uint32_t index)
{
    const auto recipients = this->takenRecipients.find(index);
    if (recipients == this->takenRecipients.end()) {
        return;
    }
    const FeedKey &key = this->store.feed(index).key;
    for (const MemberId peer : recipients->second) {
        this->pendingTaken[TakenGroup{ peer, key.service }].push_back(AdditionalFeed{ key.caller, key.token(), 0, {} });
        this->recentTaken[{ index, peer }] = this->context.clock.now();
    }
    this->takenRecipients.erase(recipients);
}

//--- Checks after a change

void FeedShard::startSweep()
{
    this->feedsToCheck = this->store.feedIndexLimit();
    this->copiesToCheck = this->copies.size();
}

void FeedShard::sweep(Actions &out)
{
    size_t budget = this->context.settings.sweepPerTick;
    for (; budget > 0 && this->feedsToCheck > 0; --budget) {
        --this->feedsToCheck;
        this->feedCursor = this->feedCursor + 1 < this->store.feedIndexLimit() ? this->feedCursor + 1 : 0;
        if (this->store.feed(static_cast<uint32_t>(this->feedCursor)).used) {
            this->checkFeed(static_cast<uint32_t>(this->feedCursor), out);
        }
    }
    if (this->feedsToCheck == 0) {
        this->unreachableTargets.clear();
    }
    for (; budget > 0 && this->copiesToCheck > 0; --budget) {
        --this->copiesToCheck;
        if (FeedCopyEntry *entry = this->copies.nextToCheck()) {
            this->checkCopy(*entry, out);
        }
    }
}

void FeedShard::checkFeed(uint32_t index, Actions &out)
{
    Feed &feed = this->store.feed(index);
    if (feed.closing && this->context.draining) {
        this->closeFeed(index, false, out);
    }
    if (!feed.used || feed.closing || feed.cancelling) {
        return;
    }
    const MemberId owner = this->context.directory.flowOwner(feed.key.flow());
    if (owner == this->context.self) {
        this->moves.erase(index);
    } else if (owner != 0) {
        const auto [move, isNew] = this->moves.try_emplace(index);
        move->second.to = owner;
        if (isNew) {
            this->moveQueues[this->moveGroupOf(feed, owner)].emplace(feed.requestTail, feed.key);
        }
    }
    if (feed.copyHolder != 0 && this->isUnknownOrInactive(feed.copyHolder)) {
        feed.copyHolder = 0;
        this->copyQueue.push_back(feed.key);
    }
    Registration &current = this->store.registration(feed.current);
    if (current.state == RegistrationState::AcquiringSlot || current.state == RegistrationState::AwaitingRetry) {
        return;
    }
    if (feed.replacement == noIndex && !this->isUsable(feed.key.service, current)) {
        this->targetReplacementQueue.push_back(index);
    }
    const auto unreachableEntry = this->unreachableTargets.find(current.endpoint);
    if (unreachableEntry != this->unreachableTargets.end() && current.lastReceivedAt <= unreachableEntry->second
        && current.state == RegistrationState::Active) {
        current.dueAt = this->context.clock.now();
        this->schedule(index);
    }
}

void FeedShard::checkCopy(FeedCopyEntry &entry, Actions &out)
{
    const TimePoint now = this->context.clock.now();
    const MemberId owner = this->context.directory.flowOwner(entry.key.flow());
    if (owner == 0) {
        return;
    }
    if (owner != entry.owner) {
        entry.previousOwner = entry.owner;
        entry.owner = owner;
        entry.ownerChangedAt = now;
    }
    const bool isOrphan = entry.previousOwner != 0 && this->isUnknownOrInactive(entry.previousOwner);
    if (!isOrphan && now - entry.ownerChangedAt > this->context.settings.previousOwnerRetention) {
        entry.previousOwner = 0;
    }
    if (!isOrphan && entry.handoverTo == 0) {
        return; // a live owner moves its feeds itself
    }
    if (isOrphan) {
        entry.departedOwner = entry.previousOwner;
        entry.previousOwner = 0;
    }
    if (owner != this->context.self) {
        const bool isNew = entry.handoverTo == 0;
        entry.handoverTo = owner;
        if (isNew) {
            this->moveQueues[this->moveGroupOf(entry)].emplace(entry.requestTail, entry.key);
        }
        return;
    }
    FeedState state{ entry.key.service, entry.key.caller, entry.key.token(), *entry.requestTail, entry.sequence, entry.departedOwner, 0 };
    this->onMove(state, this->context.self, out);
}

bool FeedShard::isUnknownOrInactive(MemberId member) const
{
    const auto record = this->context.directory.find(member);
    return !record || (record->state != MemberState::Alive && record->state != MemberState::Suspect);
}

MemberId FeedShard::chooseCopyHolder(uint64_t flow) const
{
    const ZoneId zone = this->context.directory.self().zone;
    for (size_t rank = 0; rank < 2; ++rank) {
        const MemberId member = this->context.directory.ownerIn(zone, flow, rank);
        if (member != 0 && member != this->context.self) {
            return member;
        }
    }
    return 0;
}

} // namespace hornbeam
