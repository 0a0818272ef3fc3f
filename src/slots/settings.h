#pragma once

// Settings of the slot allocator and of its client.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeam {

struct SlotAllocatorSettings
{
    Duration joinWait = seconds(2);              // an instance that knows no other member of its zone allocates nothing for this long, 0 to 60 s
    Duration rebuildWait = seconds(3);           // longest wait for reports after a takeover, 100 ms to 60 s
    Duration queryInterval = milliseconds(200);  // time between queries to a member that has not reported
    Duration requestAuditAge = seconds(5);       // age at which a request slot is audited with its holder
    Duration feedAuditAge = seconds(600);        // the same for feed slots
    Duration auditInterval = seconds(1);         // time between audit rounds
    size_t auditBatch = 64;                      // slots audited per message, 1 to 100
    Duration releaseRetention = seconds(10);     // how long a release is remembered, to ignore delayed slot requests
    size_t maxRememberedReleases = 16384;        // releases remembered for each service
    Duration slowStart = seconds(10);            // duration of the ramp from one slot to all slots
    Duration probeInterval = seconds(1);         // time between probes of a target
    Duration probeTimeout = milliseconds(800);   // time after which an unanswered probe counts as failed
    uint32_t probeFailures = 3;                  // consecutive failed probes after which a target counts as failed
    Duration answerMaxAge = seconds(3);          // an answer to a request outweighs failed probes for this long
    Duration loadReportMaxAge = seconds(3);      // the weight of a reported load decays linearly to zero at this age
    uint32_t timeoutsToEject = 3;                // consecutive request timeouts or resets that eject a target
    Duration baseEjection = seconds(2);          // first ejection; doubled for each further one
    Duration maxEjection = seconds(60);          // longest ejection
    uint32_t maxEjectedPercent = 50;             // limit on simultaneously ejected targets of a service and zone, 0 to 100
    Duration baseShedBackoff = milliseconds(50); // first backoff after a shed request; doubled for each further one
    Duration maxShedBackoff = seconds(2);        // longest backoff after shed requests
    uint32_t boundedLoadPercent = 110;           // limit on a target's feeds relative to its weighted share, 100 to 1000
    Duration noticeInterval = seconds(1);        // time between notices to holders of feed slots at a leaving or failed target
    Duration minRetryAfter = milliseconds(100);  // lower bound of the hint in a refusal
    Duration maxRetryAfter = seconds(5);         // upper bound of the hint in a refusal
};

struct SlotClientSettings
{
    Duration retryInterval = milliseconds(150);       // time until an unanswered slot request is retransmitted, 100 to 200 ms
    Duration queuedRetryInterval = milliseconds(500); // the same while the request may be queued at the allocator
    uint32_t maxUnansweredRequests = 2;               // unanswered slot requests after which another zone is tried, 1 to 10
    size_t maxOverflowZones = 2;                      // other zones tried before queueing
    size_t slotsPerReport = 40;                       // slots in one part of a report: about 1 KB
    size_t maxPendingRequests = 65536;                // limit on pending requests
    size_t maxHeldSlots = 393216;                     // limit on held slots: 300,000 feeds, RequestSettings::maxInProgress and some headroom
};

} // namespace hornbeam
