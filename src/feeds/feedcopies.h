#pragma once

// Copies of feeds that other instances own, bounded in bytes. The oldest copies are evicted first.

#include "feeds/feed.h"

#include <list>
#include <unordered_map>

namespace hornbeam {

struct FeedKeyHash
{
    size_t operator()(const FeedKey &key) const noexcept
    {
        return static_cast<size_t>(mixHash(key.flow(), key.tokenBytes == 0 ? 0 : key.tokenValue[0] * 257U + key.tokenValue[key.tokenBytes - 1U]));
    }
};

struct FeedCopyEntry
{
    FeedKey key;
    std::shared_ptr<const Bytes> requestTail;
    uint32_t sequence = 0;
    MemberId owner = 0;         // owner of the feed in this instance's view
    MemberId previousOwner = 0; // still monitored, in case it fails before it has moved the feed
    TimePoint ownerChangedAt;
    TimePoint storedAt;
    MemberId handoverTo = 0;    // member that the feed is being sent to; 0 if none
    MemberId departedOwner = 0; // failed owner on whose behalf the feed is sent
};

/** Not thread safe: guarded by its shard's mutex. */
class FeedCopies
{
public:
    using Iterator = std::list<FeedCopyEntry>::iterator;

    explicit FeedCopies(size_t maxBytes) : maxBytes(maxBytes)
    {
    }
    /** Adds or refreshes a copy and evicts the oldest ones while the byte limit is exceeded. Returns true if the copy is new. */
    bool update(FeedCopyEntry entry);
    /** Returns the copy or null. Valid until the next update or remove. */
    FeedCopyEntry *find(const FeedKey &key);
    void remove(const FeedKey &key);
    /** Returns the least recently refreshed copy or null. */
    FeedCopyEntry *oldest();
    /** Returns the next copy of a cyclic iteration over all copies, or null if there is none. Each call advances by one. */
    FeedCopyEntry *nextToCheck();
    size_t size() const
    {
        return this->index.size();
    }
    size_t bytes() const
    {
        return this->usedBytes;
    }

private:
    void removeAt(Iterator entry);

    size_t maxBytes;
    size_t usedBytes = 0;
    std::list<FeedCopyEntry> entries; // least recently refreshed first
    std::unordered_map<FeedKey, Iterator, FeedKeyHash> index;
    Iterator cursor = entries.end();
};

} // namespace hornbeam
