#pragma once

// Settings of flow forwarding.

#include "balancing/waitingsettings.h"
#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace hornbeam {

struct FlowSettings
{
    // store data
    Duration missingTimeout = milliseconds(2200);   // until a missing target is unlisted; entries that expire during a store outage return within 2 s
    Duration entryExpiryDelay = milliseconds(4100); // from process end to entry expiry; 3 heartbeats of 1.2 s plus the delay of the store's sweep
    Duration tokenLifetime = seconds(65);           // of an unlisted or departed target; flows live at most 60 s
    Duration freshnessLifetime = seconds(5);        // callers without a route are only rejected if the configuration was confirmed within this time

    bool needsEvacuations = false;            // no new flow is placed before the evacuated zones are known
    Duration evacuationsTimeout = seconds(1); // how long new flows wait for that, from when configuration and targets are known

    // detection of unanswered packets
    Duration openingTimeout = milliseconds(60);   // from an opening packet to the caller's next packet; 5 round trips of 12 ms
    Duration minAnswerTimeout = milliseconds(60); // lower bound of the time allowed for the answer to a request
    uint32_t answerTimeoutFactor = 2;             // time allowed for an answer, as a multiple of the route's mean answer time

    // connection checks
    Duration checkTimeout = milliseconds(50);    // of a normal check; 15 round trips of 3 ms between zones
    Duration longCheckTimeout = seconds(1);      // of the deciding check when no other target accepts connections promptly; 1 MB at 10 Mbit/s
    Duration checkInterval = milliseconds(300);  // minimum time between checks triggered by flows; a failed check is valid for this long
    uint32_t checkFailureThreshold = 2;          // consecutive timed-out checks that mark a target silent while other targets accept connections
    Duration refusalGrace = milliseconds(300);   // time for a full target that refuses connections to answer a flow
    Duration recentAnswerAge = milliseconds(20); // a target that answered a flow this shortly before it refused a connection is checked again
    Duration overloadAnswerAge = seconds(1);     // a target that refuses a connection may be overloaded if it answered a flow or became ready within this time
    Duration overloadGrace = seconds(1);         // time for a target that may be overloaded to answer a flow, with many instances
    Duration overloadGracePerInstance = milliseconds(12); // the same, for each instance: each of them sees only a part of a target's answers
    Duration maxOverloadGrace = seconds(3);               // upper bound of the same for slow targets; below entryExpiryDelay
    Duration memberAnswerAge = milliseconds(300); // a target that refuses connections has not ended if it answered another member this recently; 0: not queried
    uint32_t fullTargetMargin = 4;                // flows of a target may be spread this unevenly over the instances; to estimate whether it may be full
    uint32_t maxRelatedChecks = 16;               // other targets to check when a target falls silent; host and link faults often affect several targets
    Duration initialRecheckDelay = milliseconds(500); // before the first recheck of a silent target; doubles with each failed recheck
    Duration maxRecheckDelay = milliseconds(2500);    // a healed network partition must be detected within the 4 s in which flows may be reset after it

    // target selection
    Duration outstandingTimeout = seconds(2); // until an unanswered request no longer counts as load: its flow may have moved to another instance
    uint32_t openFlowPercent = 20;            // load of an open flow, relative to an outstanding request
    uint32_t maxOpeningMoves = 2;             // how often the opening packet of a flow may go to another target when the caller repeats it
    uint32_t ownZonePercent = 300;            // load of a target in the own zone, relative to one in another zone, above which the other zone is preferred
    uint32_t maxSlowness = 8;                 // upper bound of the factor by which a target counts as slower than the mean of its routes
    uint32_t minAnswersForSlowness = 4;       // answers of a target before its slowness is taken into account

    // share of new flows that leaves the own zone; see src/balancing/zoneshares.h
    bool zoneRouting = true;                         // whether the share is decided from waiting times; otherwise only by ownZonePercent
    Duration zoneMinGain = milliseconds(10);         // expected gain of a flow above which flows leave the own zone
    Duration zoneBytePrice = milliseconds(5);        // waiting time of a caller that is accepted in order not to send 1,000 bytes between zones
    uint32_t zoneMaxUsePercent = 85;                 // outstanding requests per slot above which a zone is sent no more flows of others
    uint32_t zoneStepPercent = 2;                    // maximum increase of the share in 250 ms beyond what the own zone can't serve
    Duration zoneReportInterval = milliseconds(500); // between two reports of an instance to another zone

    // admission of new flows; a congestion of 100 % means that answers take as long as the latency targets of their routes
    uint32_t congestionLimitPercent = 70;  // congestion of a target above which new flows to it are rejected
    uint32_t overloadLimitPercent = 10;    // the same while a large share of a service's new flows is being rejected
    uint32_t overloadRejectedPercent = 50; // share of rejected flows from which overloadLimitPercent applies
    uint32_t minAnswersForAdmission = 64;  // answers of a route before its new flows can be rejected

    // admission of new flows by expected waiting time, for routes whose answers fit into one packet
    WaitingSettings waiting;
    LoadReportSettings reports;
    uint32_t choiceCandidates = 2; // among which the reports of other members decide; 0: reports don't matter for the choice
    // warm-up of cold targets
    std::optional<double> warmupExcess;         // factor of the warm-up rate that a cold target may receive; without it there is no limit
    double warmupSlack = 0;                     // opening packets in a second that it may receive in addition
    Duration warmupWindow = milliseconds(1100); // a second, and the time by which the delays of two packets to a target may differ

    // flow table
    Duration closedFlowRetention = seconds(2); // so that retransmissions of its last packets are still matched to the flow
    size_t maxFlows = 32768;                   // less than 1 KB each (bench-forward); packets of evicted flows are still forwarded by token
};

} // namespace hornbeam
