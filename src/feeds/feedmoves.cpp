// Owners of a shard's feeds: what is moved where, and the copies.
//
// Sections: messages | checks after a change

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

//--- Messages

// A feed is accepted even when this view names another owner: the sender's view does not, and once both agree a sweep moves it on.
void FeedShard::onMove(const FeedState &state, MemberId sender, Actions &out)
{
    const FeedKey key = makeFeedKey(state.service, state.caller, state.token);
    const uint32_t index = this->store.findFeed(key);
    const auto moving = index == noIndex ? this->moves.end() : this->moves.find(index);
    if (moving != this->moves.end() && moving->second.to == sender) {
        return; // each offers it to the other: if both took it, each would drop it on the other's word. Both keep it until the views agree.
    }
    const uint32_t taken = index == noIndex ? this->adopt(state, key, sender, out) : index;
    if (taken == noIndex) {
        return; // the sender tries again
    }
    this->addTakeover(taken, sender);
    const auto owner = this->context.directory.find(state.owner);
    if (state.owner != sender && owner && owner->state <= MemberState::Leaving) {
        this->addTakeover(taken, state.owner); // it still serves the feed
    }
    const Feed &feed = this->store.feed(taken);
    if (feed.current == noIndex || this->store.registration(feed.current).state == RegistrationState::Live
        || this->store.registration(feed.current).state == RegistrationState::Refreshing) {
        this->tellTaken(taken);
    }
}

uint32_t FeedShard::adopt(const FeedState &state, const FeedKey &key, MemberId sender, Actions &out)
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
    feed.registration = this->store.shareText(state.registration);
    feed.established = true;
    // above all that the last owner may have sent, though its clock may be ahead
    feed.sequence = nextSequence(state.sequence, state.sequence == 0 ? 0 : wall, wall + this->context.settings.takeoverMargin);
    feed.sequenceAtMs = wall;
    feed.copyHolder = this->isGone(state.copyHolder) ? 0 : state.copyHolder;
    feed.copiedAt = this->context.clock.now();
    if (feed.copyHolder == 0 || feed.copyHolder == this->context.self) {
        feed.copyHolder = 0;
        this->copyQueue.push_back(key);
    }
    this->copies.remove(key);
    this->context.counters.add(Counter::FeedsMovedIn);
    this->context.counters.retry(RetryReason::OwnerChanged);
    if (sender != this->context.self && sender == this->context.directory.flowOwner(key.flow())) {
        // the views differ: it goes back only if they still do after a while, or it would fly to and fro
        this->moves[index].to = sender;
        this->resend.push_back(Resend{ key, this->context.clock.now() });
    }
    this->askPlace(registration, out);
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
    entry.registration = this->store.shareText(state.registration);
    entry.sequence = state.sequence;
    entry.owner = state.owner;
    entry.storedAt = this->context.clock.now();
    if (this->copies.update(std::move(entry))) {
        this->context.counters.add(Counter::FeedCopiesStored);
    }
    this->checkCopy(*this->copies.find(makeFeedKey(state.service, state.caller, state.token)), out); // its owner may be gone by now
}

void FeedShard::onTaken(const FeedKey &key, MemberId owner, Actions &out)
{
    FeedCopyEntry *copy = this->copies.find(key);
    if (copy != nullptr && copy->pushTo == owner) {
        copy->owner = owner;
        copy->pushTo = 0;
        copy->pushFor = 0;
    }
    const uint32_t index = this->store.findFeed(key);
    if (index == noIndex || owner == this->context.self) {
        return;
    }
    const auto moving = this->moves.find(index);
    const bool isExpected = moving != this->moves.end() ? moving->second.to == owner : this->context.directory.flowOwner(key.flow()) == owner;
    if (!isExpected || this->promises.contains({ index, owner })) {
        return; // promised: the other drops it on this one's word, which crossed its own
    }
    this->endRegistrations(index, true, out);
    this->context.counters.add(Counter::FeedsMovedOut);
    this->removeFeed(index);
}

void FeedShard::onDrop(const FeedKey &key)
{
    this->copies.remove(key);
}

void FeedShard::addTakeover(uint32_t index, MemberId peer)
{
    auto &peers = this->takeovers[index];
    if (peer != 0 && peer != this->context.self && std::find(peers.begin(), peers.end(), peer) == peers.end()) {
        peers.push_back(peer);
    }
}

void FeedShard::tellTaken(uint32_t index)
{
    const auto waiting = this->takeovers.find(index);
    if (waiting == this->takeovers.end()) {
        return;
    }
    const FeedKey &key = this->store.feed(index).key;
    for (const MemberId peer : waiting->second) {
        this->taken[TakenGroup{ peer, key.service }].push_back(FeedCaller{ key.caller, key.token(), 0, {} });
        this->promises[{ index, peer }] = this->context.clock.now();
    }
    this->takeovers.erase(waiting);
}

//--- Checks after a change

void FeedShard::beginSweep()
{
    this->feedsToCheck = this->store.feedLimit();
    this->copiesToCheck = this->copies.size();
}

void FeedShard::sweep(Actions &out)
{
    size_t budget = this->context.settings.sweepPerTick;
    for (; budget > 0 && this->feedsToCheck > 0; --budget) {
        --this->feedsToCheck;
        this->feedCursor = this->feedCursor + 1 < this->store.feedLimit() ? this->feedCursor + 1 : 0;
        if (this->store.feed(static_cast<uint32_t>(this->feedCursor)).used) {
            this->checkFeed(static_cast<uint32_t>(this->feedCursor), out);
        }
    }
    if (this->feedsToCheck == 0) {
        this->unreachable.clear();
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
            this->outgoing[this->groupOf(feed, owner)].emplace(feed.registration, feed.key);
        }
    }
    if (feed.copyHolder != 0 && this->isGone(feed.copyHolder)) {
        feed.copyHolder = 0;
        this->copyQueue.push_back(feed.key);
    }
    Registration &current = this->store.registration(feed.current);
    if (current.state == RegistrationState::Asking || current.state == RegistrationState::Waiting) {
        return;
    }
    if (feed.next == noIndex && !this->isUsable(feed.key.service, current)) {
        this->replacements.push_back(index);
    }
    const auto lost = this->unreachable.find(current.endpoint);
    if (lost != this->unreachable.end() && current.heardAt <= lost->second && current.state == RegistrationState::Live) {
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
    const bool isOrphan = entry.previousOwner != 0 && this->isGone(entry.previousOwner);
    if (!isOrphan && now - entry.ownerChangedAt > this->context.settings.ownerMemory) {
        entry.previousOwner = 0;
    }
    if (!isOrphan && entry.pushTo == 0) {
        return; // a living owner moves its feeds itself
    }
    if (isOrphan) {
        entry.pushFor = entry.previousOwner;
        entry.previousOwner = 0;
    }
    if (owner != this->context.self) {
        const bool isNew = entry.pushTo == 0;
        entry.pushTo = owner;
        if (isNew) {
            this->outgoing[this->groupOf(entry)].emplace(entry.registration, entry.key);
        }
        return;
    }
    FeedState state{ entry.key.service, entry.key.caller, entry.key.token(), *entry.registration, entry.sequence, entry.pushFor, 0 };
    this->onMove(state, this->context.self, out);
}

bool FeedShard::isGone(MemberId member) const
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
