#pragma once

// Limits and timeouts of request handling.

#include "core/clock.h"

#include <cstddef>

namespace hornbeam {

struct RequestSettings
{
    size_t shardCount = 16;                           // shards, each with its own mutex, 1 to 256
    Duration queueTimeout = seconds(1);               // longest wait for a slot, 1 ms to 60 s
    Duration allocatorResponseTimeout = seconds(4);   // longest wait for an allocator's first response; exceeds the time to detect a failed member
    Duration responseTimeout = seconds(5);            // longest wait for a target's response, 1 ms to 120 s
    Duration attemptTimeout = seconds(2);             // wait for an ACK or response before an idempotent request is retried, up to responseTimeout
    Duration firstUseWindow = seconds(60);            // how long an Echo value is accepted for a new request; less than recordLifetime
    Duration recordLifetime = seconds(247);           // how long outcomes are kept (EXCHANGE_LIFETIME of RFC 7252, 4.8.2)
    Duration pauseThreshold = seconds(1);             // a longer gap between two ticks means that the process was paused
    Duration membershipConvergenceTime = seconds(10); // a process started more recently may not know all members or be known to them
    Duration drainEchoGrace = seconds(4);             // how long a drain waits for the newest Echo value to be used; covers a client's first retransmission
    Duration retryAfter = seconds(1);                 // default Max-Age of refusals without a hint of their own
    size_t maxRecordBytes = 64U << 20U;               // bytes of all outcome records of this instance
    size_t maxTakenOverBytes = 16U << 20U;            // bytes of all records taken over from instances that left
    size_t responseReserveBytes = 1500;               // reserved in the record budget for the response to a request in progress
    size_t maxInProgress = 65536;                     // requests in progress at this instance
    size_t challengeCacheEntries = 65536;             // Echo values cached for retransmitted first requests
    size_t maxHandoverBytes = 256U << 10U;            // bytes of records sent to the successor
    size_t maxHandoverMessageBytes = 32768;           // bytes of records in one handover message
    double retryRatio = 0.1;                          // retries allowed per request, 0 to 1
    double retryBurst = 10;                           // unused retries that a service can accumulate in each shard
    unsigned maxRetries = 2;                          // retries per request, 0 to 10
};

} // namespace hornbeam
