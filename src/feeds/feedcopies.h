#pragma once

// Copies of feeds that other instances own, bounded in bytes; the oldest goes first.

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
    MemberId owner = 0;         // who serves the feed by this instance's view
    MemberId previousOwner = 0; // the one before; still watched, in case it ends before it has moved the feed
    TimePoint ownerChangedAt;
    TimePoint storedAt;
    MemberId handoverTo = 0;    // where the feed is being sent; 0 when nowhere
    MemberId departedOwner = 0; // the owner that is gone
};

/** Not thread safe: guarded by its shard's mutex. */
class FeedCopies
{
public:
    using Iterator = std::list<FeedCopyEntry>::iterator;

    explicit FeedCopies(size_t maxBytes) : maxBytes(maxBytes)
    {
    }
    /** Adds or refreshes a copy, and drops the oldest ones while too many bytes are held. Returns true when it is a new one. */
    bool update(FeedCopyEntry entry);
    /** The copy, or null. Valid till the next update or remove. */
    FeedCopyEntry *find(const FeedKey &key);
    void remove(const FeedKey &key);
    /** The copy that was refreshed longest ago, or null. */
    FeedCopyEntry *oldest();
    /** The copy to check next in a walk over all of them, or null when there is none. Each call goes one further, and round. */
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
    std::list<FeedCopyEntry> entries; // the oldest first
    std::unordered_map<FeedKey, Iterator, FeedKeyHash> index;
    Iterator cursor = entries.end();
};

} // namespace hornbeam
