#pragma once

// Settings of the keeper and of the client that asks it.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeam {

struct SlotAllocatorSettings
{
    Duration joinWait = seconds(2);              // an instance that knows nobody in its zone keeps nothing for this long, 0 to 60 s
    Duration rebuildWait = seconds(3);           // longest wait for reports after a takeover, 100 ms to 60 s
    Duration queryInterval = milliseconds(200);  // time between queries to a member that has not reported
    Duration requestAuditAge = seconds(5);       // age at which a request slot is checked with its holder
    Duration feedAuditAge = seconds(600);        // the same for feed places
    Duration auditInterval = seconds(1);         // time between two rounds of checks
    size_t auditBatch = 64;                      // places checked in one message, 1 to 100
    Duration releaseRetention = seconds(10);     // how long a release is remembered against late asks
    size_t maxRememberedReleases = 16384;        // releases remembered for each service
    Duration slowStart = seconds(10);            // ramp from one slot to all of them
    Duration probeInterval = seconds(1);         // time between probes of a target
    Duration probeTimeout = milliseconds(800);   // a probe without an answer for this long has failed
    uint32_t probeFailures = 3;                  // consecutive failed probes that count as evidence
    Duration answerMaxAge = seconds(3);          // a real answer outweighs failed probes for this long
    Duration loadReportMaxAge = seconds(3);      // a reported load counts less and less until this age
    uint32_t timeoutsToEject = 3;                // consecutive time-outs of requests that eject a target
    Duration baseEjection = seconds(2);          // first ejection; doubles with each one
    Duration maxEjection = seconds(60);          // longest ejection
    uint32_t maxEjectedPercent = 50;             // targets of a service and zone ejected at a time, 0 to 100
    Duration baseShedBackoff = milliseconds(50); // first back-off after a shed request; doubles
    Duration maxShedBackoff = seconds(2);        // longest back-off after shed requests
    uint32_t boundedLoadPercent = 110;           // feeds of a target over its weighted share, 100 to 1000
    Duration noticeInterval = seconds(1);        // time between notices to the holders of a leaving target's feed places
    Duration minRetryAfter = milliseconds(100);  // least hint in a refusal
    Duration maxRetryAfter = seconds(5);         // greatest hint in a refusal
};

struct SlotClientSettings
{
    Duration retryInterval = milliseconds(150);       // an ask without an answer is repeated, 100 to 200 ms
    Duration queuedRetryInterval = milliseconds(500); // the same while the ask may stand in the keeper's queue
    uint32_t maxUnansweredRequests = 2;               // asks without an answer after which another zone is tried, 1 to 10
    size_t maxOverflowZones = 2;                      // other zones tried before queueing
    size_t slotsPerReport = 40;                       // places in one part of a report: about 1 KB
    size_t maxPendingRequests = 65536;                // wishes that wait at a time
    size_t maxHeldSlots = 393216;                     // places held at a time: 300,000 feeds, RequestSettings::maxInProgress and some room
};

} // namespace hornbeam
