#pragma once

// Settings of the feed engine.

#include "core/clock.h"

#include <cstddef>

namespace hornbeam {

struct FeedSettings
{
    Duration refreshInterval = seconds(10);           // a registration is refreshed when its target sent nothing for this long; 1 s to 1 h
    Duration maxRefreshInterval = seconds(60);        // upper limit when the target's Max-Age extends the interval
    Duration answerTimeout = seconds(2);              // wait for a target's response before the first retransmission; doubles with each
    unsigned answerAttempts = 3;                      // GETs sent without a response before another target is tried, 1 to 10
    Duration confirmInterval = seconds(60);           // interval of confirmable notifications; at most 24 h (RFC 7641, 4.5)
    Duration confirmTimeout = seconds(2);             // wait for a caller's acknowledgement; doubles with each retransmission (RFC 7252, 4.2)
    unsigned confirmAttempts = 5;                     // confirmable notifications sent without ACK before the feed is closed, 1 to 10
    Duration slotQueueTimeout = seconds(5);           // how long a slot request may be queued
    Duration slotRetryDelay = seconds(1);             // delay after a refused slot request of an open feed; doubles up to maxSlotRetryDelay
    Duration maxSlotRetryDelay = seconds(10);         // upper limit of that delay
    unsigned maxSlotAttempts = 40;                    // consecutive refused slot requests after which an open feed is closed
    double targetMovesPerSecond = 500;                // feeds moved to another target, per instance
    double moveBytesPerSecond = 3000;                 // FeedMove and FeedCopy bytes sent, per instance; part of 17 KB/s for all control traffic
    Duration moveRetryDelay = seconds(3);             // a FeedMove is sent again after this long without FeedMoveAck
    Duration drainGracePeriod = seconds(1);           // how long a draining owner waits for copy holders to hand over its feeds (FeedMoveAck)
    Duration drainMovePeriod = seconds(60);           // a draining owner offers every feed once within this time, regardless of the rate limit
    Duration copyRefreshInterval = seconds(4 * 3600); // interval at which a copy is sent again
    Duration copyLifetime = seconds(12 * 3600);       // a copy that is not refreshed expires
    size_t copyBytes = 48ULL * 1024 * 1024;           // limit of the bytes of copies stored for other members
    Duration previousOwnerRetention = seconds(300);   // how long a copy holder monitors the previous owner
    uint32_t takeoverMarginMs = 500;                  // maximum clock lag of a new owner behind the previous one
    size_t maxFeedsPerFlow = 64;                      // limit of open feeds of one caller at one service
    size_t sweepPerTick = 1000;                       // feeds and copies checked per shard and tick after a change
    size_t timersPerTick = 2000;                      // timers processed per shard and tick
};

} // namespace hornbeam
