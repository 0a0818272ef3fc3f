#pragma once

// Limits and times of the requests package.

#include "core/clock.h"

#include <cstddef>

namespace hornbeam {

struct RequestSettings
{
    size_t shardCount = 16;                           // parts with a mutex each, 1 to 256
    Duration queueTimeout = seconds(1);               // longest wait for a place, 1 ms to 60 s
    Duration allocatorResponseTimeout = seconds(4);   // longest wait for the first answer of a keeper, above the time that a death takes to be noticed
    Duration responseTimeout = seconds(5);            // longest wait for a target's answer, 1 ms to 120 s
    Duration attemptTimeout = seconds(2);             // wait for a sign of life before an idempotent request goes elsewhere, up to responseTimeout
    Duration firstUseWindow = seconds(60);            // an Echo value names a new request for this long, less than recordLifetime
    Duration recordLifetime = seconds(247);           // outcomes are kept for this long (EXCHANGE_LIFETIME of RFC 7252, 4.8.2)
    Duration pauseThreshold = seconds(1);             // a longer gap between two ticks means that the process stood still
    Duration membershipConvergenceTime = seconds(10); // a process younger than this may not be known everywhere, nor know all others
    Duration drainEchoGrace = seconds(4);             // a leaving instance waits this long for the use of its newest Echo value: past a client's first repeat
    Duration retryAfter = seconds(1);                 // hint in refusals for which nobody gave one
    size_t maxRecordBytes = 64U << 20U;               // bytes of all outcome records of this instance
    size_t maxTakenOverBytes = 16U << 20U;            // bytes of all records taken over from leaving instances
    size_t responseReserveBytes = 1500;               // room set aside for the answer of a request in progress
    size_t maxInProgress = 65536;                     // requests in progress at this instance
    size_t challengeCacheEntries = 65536;             // Echo values remembered for repeated first requests
    size_t maxHandoverBytes = 256U << 10U;            // records passed to the successor
    size_t maxHandoverMessageBytes = 32768;           // records in one handover message
    double retryRatio = 0.1;                          // retries for each request, 0 to 1
    double retryBurst = 10;                           // retries that a quiet service saves up, for each shard
    unsigned maxRetries = 2;                          // retries of one request, 0 to 10
};

} // namespace hornbeam
