#pragma once

// Storage of one shard: feeds by flow and caller's token, registrations by number, timers, and the registration texts that feeds share.
// Holds no decisions.

#include "feeds/feed.h"

#include <deque>
#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace hornbeam {

constexpr unsigned shardBits = 4; // low bits of a registration number
constexpr size_t shardCount = 1U << shardBits;
constexpr unsigned indexBits = 16;                          // next bits: place in the shard's storage
constexpr size_t maxRegistrations = (1U << indexBits) - 1U; // in one shard

/** The shard that a registration number belongs to. Thread safe. */
inline size_t shardOfNumber(uint64_t number)
{
    return number & (shardCount - 1);
}

/** The shard that a flow belongs to. Thread safe. */
inline size_t shardOfFlow(uint64_t flow)
{
    return flow & (shardCount - 1);
}

/** Not thread safe: guarded by its shard's mutex. References stay valid until the element is removed. */
class FeedStore
{
public:
    /** `wallMillis` makes the numbers of a later process start differ from those of an earlier one, which targets may still know. */
    FeedStore(size_t shard, uint64_t wallMillis);

    //--- Feeds

    /** The index of a feed, or noIndex. */
    uint32_t findFeed(const FeedKey &key) const;
    /** Precondition: no feed of this key is there. */
    uint32_t addFeed(const FeedKey &key, uint16_t firstMessageId);
    /** Precondition: its registrations were removed. */
    void removeFeed(uint32_t index);
    Feed &feed(uint32_t index)
    {
        return this->feeds[index];
    }
    /** The first feed of a flow, or noIndex; the others follow by Feed::nextInFlow. */
    uint32_t firstOfFlow(uint64_t flow) const;
    /** The next message ID for the caller of a flow; shared by its feeds. Precondition: the flow has a feed. */
    uint16_t nextCallerMessageId(uint64_t flow);
    size_t feedCount() const
    {
        return this->usedCount;
    }
    /** One more than the highest index in use so far. */
    size_t feedIndexLimit() const
    {
        return this->feeds.size();
    }

    //--- Registrations

    /** A new registration in state Asking, or noIndex when the shard is full. */
    uint32_t addRegistration(uint32_t feed);
    /** Gives a registration a new number, so that answers to the old one no longer match. */
    void renumber(uint32_t index);
    void removeRegistration(uint32_t index);
    Registration &registration(uint32_t index)
    {
        return this->registrations[index];
    }
    /** The registration of this number, or noIndex. */
    uint32_t findRegistration(uint64_t number) const;

    //--- Message IDs sent to targets

    /** Remembers which registration a message ID was sent for, and forgets the one before. */
    void updateMessageId(uint32_t registration, uint16_t messageId);
    /** The registration whose last GET had this message ID, or noIndex. */
    uint32_t findMessageId(const Endpoint &target, uint16_t messageId) const;
    void removeMessageId(uint32_t registration);

    //--- Timers

    /** Sets the time at which a feed is due, if it is earlier than the present one. */
    void addTimer(uint32_t feed, TimePoint at);
    /** Takes out a feed that is due, or returns noIndex. */
    uint32_t takeDue(TimePoint now);

    //--- Shared texts

    std::shared_ptr<const Bytes> internRequestTail(const Bytes &tail);

private:
    struct FlowEntry
    {
        uint32_t first = noIndex;
        uint16_t messageId = 0;
    };
    struct Timer
    {
        TimePoint at;
        uint32_t feed = noIndex;
        bool operator<(const Timer &other) const
        {
            return this->at > other.at; // the queue puts the greatest first, and the earliest is wanted
        }
    };
    struct TailHash
    {
        size_t operator()(const std::shared_ptr<const Bytes> &tail) const noexcept;
    };
    struct TailEqual
    {
        bool operator()(const std::shared_ptr<const Bytes> &a, const std::shared_ptr<const Bytes> &b) const noexcept
        {
            return *a == *b;
        }
    };

    size_t shard;
    uint64_t generation;
    size_t usedCount = 0;
    uint32_t freeFeed = noIndex;
    uint32_t freeRegistration = noIndex;
    std::deque<Feed> feeds;
    std::deque<Registration> registrations;
    std::unordered_map<uint64_t, FlowEntry> flows;
    std::unordered_map<uint64_t, uint32_t> messageIds; // target's address and message ID together
    std::priority_queue<Timer> timers;
    std::unordered_set<std::shared_ptr<const Bytes>, TailHash, TailEqual> internedTails;
    size_t tailPruneThreshold = 1024;
};

} // namespace hornbeam
