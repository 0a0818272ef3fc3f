#pragma once

// State shared by all shards of the feed engine.

#include "core/counters.h"
#include "feeds/feedsettings.h"
#include "feeds/tokenbucket.h"
#include "peer/directory.h"
#include "slots/slotprovider.h"
#include "table/servicetable.h"

#include <atomic>
#include <unordered_map>

namespace hornbeam {

/** Message IDs of GETs sent to targets: a counter per target within the range reserved for feeds. Thread safe. */
class TargetMessageIds
{
public:
    uint16_t next(const Endpoint &target)
    {
        const std::lock_guard lock(this->mutex);
        const uint16_t counter = this->counters[target]++;
        return static_cast<uint16_t>(feedRangeBits | (counter & counterMask));
    }

private:
    static constexpr uint16_t feedRangeBits = 0x4000;
    static constexpr uint16_t counterMask = 0x3FFF;
    std::mutex mutex;
    std::unordered_map<Endpoint, uint16_t> counters;
};

struct FeedContext
{
    FeedContext(const FeedSettings &settings, const MemberDirectory &directory, const TableSource &tables, SlotProvider &slotProvider, const Clock &clock,
                Counters &counters)
        : settings(settings)
        , directory(directory)
        , tables(tables)
        , slotProvider(slotProvider)
        , clock(clock)
        , counters(counters)
        , self(directory.self().id)
        , moveByteBucket(settings.moveBytesPerSecond)
        , targetMoveBucket(settings.targetMovesPerSecond)
    {
    }

    const FeedSettings settings;
    const MemberDirectory &directory;
    const TableSource &tables;
    SlotProvider &slotProvider;
    const Clock &clock;
    Counters &counters;
    const MemberId self;
    TargetMessageIds messageIds;
    TokenBucket moveByteBucket;
    TokenBucket targetMoveBucket;
    std::atomic<bool> draining = false;
    std::atomic<TimePoint> drainStart = never();

private:
    static constexpr TimePoint never()
    {
        return TimePoint::max();
    }
};

} // namespace hornbeam
