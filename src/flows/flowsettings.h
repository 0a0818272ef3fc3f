#pragma once

// Settings of the forwarding of flows.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeam {

struct FlowSettings
{
    Duration absence = milliseconds(2200); // a target that the store has not listed for this long is gone: entries that lapse in an outage return within 2 s
    Duration tokenLifetime = seconds(65);  // how long a departed target's token is known; flows live 60 s at most
    Duration freshness = seconds(5);       // a belief confirmed within this time may refuse a caller
    Duration openingPatience =
        milliseconds(60); // an opening packet that the caller has not followed up in this time is evidence against its target; 5 round trips of 12 ms
    Duration checkInterval = milliseconds(300); // between two connection checks of a target that passed
    Duration checkTimeout = milliseconds(120);  // of one connection check; 40 round trips of 3 ms between zones
    uint32_t checksToFail = 2;                  // timed-out checks in a row that make a target silent
    Duration silentCheck = milliseconds(500);   // before a silent target is checked again; doubles
    Duration silentCheckMax = seconds(4);       // longest such wait
    Duration closedFlowKept = seconds(2);       // repeats of the last packets of a flow still belong to it
    size_t maxFlows = 32768;                    // flows remembered; about 200 bytes each. A flow that is forgotten is still forwarded
    double spillRatio = 1.5;                    // own-zone targets are left for others when they hold this many times their open flows a slot
};

} // namespace hornbeam
