// Timers and closing of a shard's feeds.

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

FeedShard::FeedShard(size_t number, FeedContext &context)
    : context(context), store(number, context.clock.wallMillis()), copies(context.settings.copyBytes / shardCount)
{
}

void FeedShard::tick(Actions &out)
{
    const TimePoint now = this->context.clock.now();
    for (size_t run = 0; run < this->context.settings.timersPerTick; ++run) {
        const uint32_t index = this->store.takeDue(now);
        if (index == noIndex) {
            break;
        }
        this->processDueFeed(index, out);
    }
    this->sweep(out);
    this->startTargetReplacements(out);
    this->sendTaken(out);
    this->sendMoves(out);
    this->sendCopies(out);
    this->removeExpiredCopies();
}

void FeedShard::processDueFeed(uint32_t index, Actions &out)
{
    const TimePoint now = this->context.clock.now();
    Feed &feed = this->store.feed(index);
    if (feed.unacknowledged && feed.unacknowledged->dueAt <= now) {
        this->retransmitNotification(index, out);
    }
    for (uint32_t Feed::*which : { &Feed::replacement, &Feed::current }) {
        const uint32_t registration = feed.*which; // a previous step may have ended the feed or this registration
        if (feed.used && registration != noIndex && this->store.registration(registration).dueAt <= now) {
            this->processDueRegistration(registration, out);
        }
    }
    if (feed.used) {
        this->schedule(index);
    }
}

void FeedShard::schedule(uint32_t index)
{
    const Feed &feed = this->store.feed(index);
    TimePoint at = feed.unacknowledged ? feed.unacknowledged->dueAt : never;
    for (const uint32_t registration : { feed.current, feed.replacement }) {
        if (registration != noIndex) {
            at = std::min(at, this->store.registration(registration).dueAt);
        }
    }
    if (at != never) {
        this->store.addTimer(index, at);
    }
}

void FeedShard::endRegistrations(uint32_t index, bool deregister, Actions &out)
{
    Feed &feed = this->store.feed(index);
    for (uint32_t Feed::*which : { &Feed::replacement, &Feed::current }) {
        if (feed.*which != noIndex) {
            this->endRegistration(feed.*which, SlotOutcome::Answered, deregister, out);
            feed.*which = noIndex;
        }
    }
}

void FeedShard::closeFeed(uint32_t index, bool deregister, Actions &out)
{
    this->endRegistrations(index, deregister, out);
    Feed &feed = this->store.feed(index);
    if (feed.copyHolder != 0) {
        out.sendToPeer(feed.copyHolder, FeedDrop{ feed.key.service, feed.key.caller, feed.key.token() });
    }
    this->queueTaken(index); // members that sent the feed here stop retrying
    this->copies.remove(feed.key);
    this->context.counters.add(Counter::FeedsClosed);
    this->removeFeed(index);
}

void FeedShard::removeFeed(uint32_t index)
{
    this->moves.erase(index);
    this->takenRecipients.erase(index);
    std::erase_if(this->recentTaken, [index](const auto &entry) { return entry.first.first == index; });
    this->store.removeFeed(index);
}

bool FeedShard::isIdle() const
{
    return this->store.feedCount() == 0 && this->moveQueues.empty() && this->unconfirmedMoves.empty() && this->pendingTaken.empty();
}

} // namespace hornbeam
