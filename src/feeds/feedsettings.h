#pragma once

// Settings of the feeds part.

#include "core/clock.h"

#include <cstddef>

namespace hornbeam {

struct FeedSettings
{
    Duration refreshInterval = seconds(10);           // a target that was not heard for this long is asked again; 1 s to 1 h
    Duration maxRefreshInterval = seconds(60);        // how far a target's Max-Age can lengthen it
    Duration answerTimeout = seconds(2);              // wait for a target's answer before the first repeat; doubles with each
    unsigned answerAttempts = 3;                      // registrations sent without an answer before another target is tried, 1 to 10
    Duration confirmInterval = seconds(60);           // a notification is confirmable this often; at most 24 h (RFC 7641, 4.5)
    Duration confirmTimeout = seconds(2);             // wait for a caller's acknowledgement; doubles with each repeat (RFC 7252, 4.2)
    unsigned confirmAttempts = 5;                     // confirmable notifications sent before the caller counts as gone, 1 to 10
    Duration slotQueueTimeout = seconds(5);           // how long a wish for a place may be queued
    Duration slotRetryDelay = seconds(1);             // wait after a refused place of an open feed; doubles up to maxSlotRetryDelay
    Duration maxSlotRetryDelay = seconds(10);         // longest such wait
    unsigned maxSlotAttempts = 40;                    // refused places in a row after which an open feed is given up
    double targetMovesPerSecond = 500;                // feeds registered at another target, for an instance
    double moveBytesPerSecond = 3000;                 // FeedMove and FeedCopy bytes sent, for an instance; of 17 KB/s for all control traffic
    Duration moveRetryDelay = seconds(3);             // a FeedMove is repeated after this long without FeedTaken
    Duration drainGracePeriod = seconds(1);           // how long a leaving owner waits for the copies to bring about FeedTaken
    Duration drainMovePeriod = seconds(60);           // within which a leaving owner has offered every feed once, whatever the rate
    Duration copyRefreshInterval = seconds(4 * 3600); // a copy is sent again this often
    Duration copyLifetime = seconds(12 * 3600);       // a copy that was not refreshed is dropped
    size_t copyBytes = 48ULL * 1024 * 1024;           // bytes of copies held for others
    Duration previousOwnerRetention = seconds(300);   // how long a copy's holder watches the owner before the present one
    uint32_t takeoverMarginMs = 500;                  // ms by which a successor's clock may be behind its predecessor's
    size_t maxFeedsPerFlow = 64;                      // open feeds of one caller at one service
    size_t sweepPerTick = 1000;                       // feeds and copies of a shard that are checked in a tick after a change
    size_t timersPerTick = 2000;                      // timers of a shard that are run in a tick
};

} // namespace hornbeam
