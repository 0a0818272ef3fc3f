#pragma once

// Settings of the forwarding of flows.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeam {

struct FlowSettings
{
    // beliefs
    Duration missingTimeout = milliseconds(2200);   // missing this long, a target is unlisted: entries that lapse in an outage of the store return within 2 s
    Duration entryExpiryDelay = milliseconds(4100); // after a process ended, until its entry lapses: 3 heartbeats of 1.2 s, and the lag of the store's sweep
    Duration tokenLifetime = seconds(65);           // of a departed target; flows live 60 s at most
    Duration freshnessLifetime = seconds(5);        // a belief that was confirmed within this time may refuse a caller

    // evidence against a target
    Duration openingTimeout = milliseconds(60);   // until a caller follows up its opening packet; 5 round trips of 12 ms
    Duration minAnswerTimeout = milliseconds(60); // until a request is answered, at least
    uint32_t answerTimeoutFactor = 2;             // times the mean answer time of the route, until a request is answered

    // connection checks
    Duration checkTimeout = milliseconds(50);         // of one check; 15 round trips of 3 ms between zones
    Duration longCheckTimeout = seconds(1);           // of a check that decides while no other target can be connected to promptly; 1 MB at 10 Mbit/s
    Duration checkInterval = milliseconds(300);       // between two checks of a target that passes them
    uint32_t checkFailureThreshold = 2;               // timed-out checks in a row that make a target silent, while others can be connected to
    Duration drainRefusalGrace = milliseconds(300);   // of a draining target that refuses connections, to send its last answers
    uint32_t maxRelatedChecks = 16;                   // other targets checked for each one that falls silent: faults of hosts and links come in groups
    Duration initialRecheckDelay = milliseconds(500); // before a silent target is checked again; doubles
    Duration maxRecheckDelay = milliseconds(2500);    // longest such wait; a cut that has healed is found within the 4 s that flows may be reset after it

    // choice
    uint32_t ownZonePercent = 300;      // how much busier than others a target of the own zone may be before another zone's is taken
    uint32_t maxSlowness = 8;           // a target counts as at most this many times slower than its routes' mean
    uint32_t minAnswersForSlowness = 4; // answers of a target before its speed counts

    // memory
    Duration closedFlowRetention = seconds(2); // repeats of the last packets of a flow still belong to it
    size_t maxFlows = 32768;                   // flows remembered, under 1 KB each (bench-forward); one that is forgotten is still forwarded
};

} // namespace hornbeam
