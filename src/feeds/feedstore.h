#pragma once

// Storage of one shard: feeds by flow and caller's token, registrations by number, timers, and interned request tails.
// Contains no feed logic.

#include "feeds/feed.h"

#include <deque>
#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace hornbeam {

constexpr unsigned shardBits = 4; // low bits of a registration number
constexpr size_t shardCount = 1U << shardBits;
constexpr unsigned indexBits = 16;                          // next bits: index in the shard's storage
constexpr size_t maxRegistrations = (1U << indexBits) - 1U; // in one shard

/** Returns the shard of a registration number. Thread safe. */
inline size_t shardOfNumber(uint64_t number)
{
    return number & (shardCount - 1);
}

/** Returns the shard of a flow. Thread safe. */
inline size_t shardOfFlow(uint64_t flow)
{
    return flow & (shardCount - 1);
}

/** Not thread safe: guarded by its shard's mutex. References stay valid until the element is removed. */
class FeedStore
{
public:
    /** `wallMillis` makes registration numbers differ from those of an earlier process, which targets may still remember. */
    FeedStore(size_t shard, uint64_t wallMillis);

    //--- Feeds

    /** Returns the index of a feed or noIndex. */
    uint32_t findFeed(const FeedKey &key) const;
    /** Precondition: no feed with this key exists. */
    uint32_t addFeed(const FeedKey &key, uint16_t firstMessageId);
    /** Precondition: its registrations were removed. */
    void removeFeed(uint32_t index);
    Feed &feed(uint32_t index)
    {
        return this->feeds[index];
    }
    /** The first feed of a flow, or noIndex; the others are linked by Feed::nextInFlow. */
    uint32_t firstOfFlow(uint64_t flow) const;
    /** The next message ID for the caller of a flow; shared by its feeds. Precondition: the flow has a feed. */
    uint16_t nextCallerMessageId(uint64_t flow);
    size_t feedCount() const
    {
        return this->usedCount;
    }
    /** One more than the highest feed index ever used. */
    size_t feedIndexLimit() const
    {
        return this->feeds.size();
    }

    //--- Registrations

    /** Adds a registration in state AcquiringSlot and returns its index, or noIndex if the shard is full. */
    uint32_t addRegistration(uint32_t feed);
    /** Assigns a new number, so that responses to the old one no longer match. */
    void renumber(uint32_t index);
    void removeRegistration(uint32_t index);
    Registration &registration(uint32_t index)
    {
        return this->registrations[index];
    }
    /** Returns the index of the registration with this number, or noIndex. */
    uint32_t findRegistration(uint64_t number) const;

    //--- Message IDs sent to targets

    /** Records the message ID of a registration's last GET, in place of the previous one. */
    void updateMessageId(uint32_t registration, uint16_t messageId);
    /** The registration whose last GET had this message ID, or noIndex. */
    uint32_t findMessageId(const Endpoint &target, uint16_t messageId) const;
    void removeMessageId(uint32_t registration);

    //--- Timers

    /** Sets the time at which a feed is due if it is earlier than the current one. */
    void addTimer(uint32_t feed, TimePoint at);
    /** Removes and returns a feed that is due, or returns noIndex. */
    uint32_t takeDue(TimePoint now);

    //--- Interned request tails

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
            return this->at > other.at; // reversed: priority_queue returns the greatest element, the earliest is needed
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
    std::unordered_map<uint64_t, uint32_t> messageIds; // registration by target address and message ID
    std::priority_queue<Timer> timers;
    std::unordered_set<std::shared_ptr<const Bytes>, TailHash, TailEqual> internedTails;
    size_t tailPruneThreshold = 1024;
};

} // namespace hornbeam
