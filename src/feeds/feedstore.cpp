// Sections: feeds | registrations | message IDs | timers | interned request tails

#include "feeds/feedstore.h"

#include "core/upstreamtoken.h"

#include <string_view>

namespace hornbeam {

namespace {

constexpr unsigned messageIdBits = 16;

uint64_t messageIdKey(const Endpoint &target, uint16_t messageId)
{
    return (target.key() << messageIdBits) | messageId;
}

} // namespace

FeedStore::FeedStore(size_t shard, uint64_t wallMillis) : shard(shard), generation(wallMillis)
{
}

//--- Feeds

uint32_t FeedStore::findFeed(const FeedKey &key) const
{
    uint32_t index = this->firstOfFlow(key.flow());
    while (index != noIndex && !(this->feeds[index].key == key)) {
        index = this->feeds[index].nextInFlow;
    }
    return index;
}

uint32_t FeedStore::addFeed(const FeedKey &key, uint16_t firstMessageId)
{
    uint32_t index = this->freeFeed;
    if (index == noIndex) {
        index = static_cast<uint32_t>(this->feeds.size());
        this->feeds.emplace_back();
    } else {
        this->freeFeed = this->feeds[index].nextInFlow;
    }
    FlowEntry &flow = this->flows.try_emplace(key.flow(), FlowEntry{ noIndex, firstMessageId }).first->second;
    Feed &feed = this->feeds[index];
    feed = Feed{};
    feed.key = key;
    feed.used = true;
    feed.nextInFlow = flow.first;
    flow.first = index;
    ++this->usedCount;
    return index;
}

void FeedStore::removeFeed(uint32_t index)
{
    Feed &feed = this->feeds[index];
    const auto flow = this->flows.find(feed.key.flow());
    uint32_t *link = &flow->second.first;
    while (*link != index) {
        link = &this->feeds[*link].nextInFlow;
    }
    *link = feed.nextInFlow;
    if (flow->second.first == noIndex) {
        this->flows.erase(flow);
    }
    feed = Feed{};
    feed.nextInFlow = this->freeFeed;
    this->freeFeed = index;
    --this->usedCount;
}

uint32_t FeedStore::firstOfFlow(uint64_t flow) const
{
    const auto found = this->flows.find(flow);
    return found == this->flows.end() ? noIndex : found->second.first;
}

uint16_t FeedStore::nextCallerMessageId(uint64_t flow)
{
    return this->flows.find(flow)->second.messageId++;
}

//--- Registrations

uint32_t FeedStore::addRegistration(uint32_t feed)
{
    uint32_t index = this->freeRegistration;
    if (index != noIndex) {
        this->freeRegistration = this->registrations[index].feed;
    } else if (this->registrations.size() < maxRegistrations) {
        index = static_cast<uint32_t>(this->registrations.size());
        this->registrations.emplace_back();
    } else {
        return noIndex;
    }
    Registration &added = this->registrations[index];
    added = Registration{};
    added.feed = feed;
    added.state = RegistrationState::AcquiringSlot;
    this->renumber(index);
    return index;
}

void FeedStore::renumber(uint32_t index)
{
    this->removeMessageId(index);
    ++this->generation;
    const uint64_t low = (static_cast<uint64_t>(index) << shardBits) | this->shard;
    this->registrations[index].number = ((this->generation << (indexBits + shardBits)) | low) & maxTokenNumber;
}

void FeedStore::removeRegistration(uint32_t index)
{
    this->removeMessageId(index);
    Registration &removed = this->registrations[index];
    removed = Registration{};
    removed.feed = this->freeRegistration;
    this->freeRegistration = index;
}

uint32_t FeedStore::findRegistration(uint64_t number) const
{
    const auto index = static_cast<uint32_t>((number >> shardBits) & maxRegistrations);
    if (index >= this->registrations.size()) {
        return noIndex;
    }
    const Registration &found = this->registrations[index];
    return found.state != RegistrationState::Free && found.number == number ? index : noIndex;
}

//--- Message IDs

void FeedStore::updateMessageId(uint32_t registration, uint16_t messageId)
{
    this->removeMessageId(registration);
    Registration &sent = this->registrations[registration];
    sent.messageId = messageId;
    this->messageIds[messageIdKey(sent.endpoint, messageId)] = registration;
}

uint32_t FeedStore::findMessageId(const Endpoint &target, uint16_t messageId) const
{
    const auto found = this->messageIds.find(messageIdKey(target, messageId));
    return found == this->messageIds.end() ? noIndex : found->second;
}

void FeedStore::removeMessageId(uint32_t registration)
{
    const Registration &sent = this->registrations[registration];
    const auto found = this->messageIds.find(messageIdKey(sent.endpoint, sent.messageId));
    if (found != this->messageIds.end() && found->second == registration) {
        this->messageIds.erase(found);
    }
}

//--- Timers

void FeedStore::addTimer(uint32_t feed, TimePoint at)
{
    if (at < this->feeds[feed].timerAt) {
        this->feeds[feed].timerAt = at;
        this->timers.push(Timer{ at, feed });
    }
}

uint32_t FeedStore::takeDue(TimePoint now)
{
    while (!this->timers.empty() && this->timers.top().at <= now) {
        const Timer timer = this->timers.top();
        this->timers.pop();
        Feed &feed = this->feeds[timer.feed];
        if (feed.used && feed.timerAt == timer.at) { // otherwise superseded by an earlier timer
            feed.timerAt = never;
            return timer.feed;
        }
    }
    return noIndex;
}

//--- Interned request tails

size_t FeedStore::TailHash::operator()(const std::shared_ptr<const Bytes> &tail) const noexcept
{
    return std::hash<std::string_view>{}(std::string_view(reinterpret_cast<const char *>(tail->data()), tail->size()));
}

std::shared_ptr<const Bytes> FeedStore::internRequestTail(const Bytes &tail)
{
    if (this->internedTails.size() >= this->tailPruneThreshold) {
        std::erase_if(this->internedTails, [](const auto &held) { return held.use_count() == 1; });
        this->tailPruneThreshold = 2 * this->internedTails.size() + 1024;
    }
    return *this->internedTails.insert(std::make_shared<const Bytes>(tail)).first;
}

} // namespace hornbeam
