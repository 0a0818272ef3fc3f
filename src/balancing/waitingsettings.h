#pragma once

// Settings of the admission of new flows by expected waiting time, and of the load reports between instances.

#include "core/clock.h"

#include <cstdint>

namespace hornbeam {

struct WaitingSettings
{
    uint32_t limitPercent = 25;         // of the waiting time of a full queue: expected waiting above which new flows are refused; 0: never
    uint32_t overloadLimitPercent = 40; // of the limit: the lower one while a large share of the less preferred new flows is being refused
    uint32_t preferredDemandPercent =
        110;                  // of the slots: demand of a preferred route and better ones from which its new flows can be refused; 0: no preference
    uint32_t targetQueue = 8; // requests that a target queues in addition to those that it processes
    uint32_t minAnswers = 32; // answers of a route before its new flows can be refused; requests that waited for a start are no overload
    Duration responseAge = milliseconds(500); // requests at a target that has answered nothing for this long don't count as a queue
    uint32_t overflowPercent = 50;            // of the limit: expected waiting up to which a flow is placed on another share of its route; 0: never
    Duration window = milliseconds(200);      // of the moving averages; an instance sees only a few of the outstanding requests at a time
    Duration ackDelay = milliseconds(40);     // of a caller's acknowledgement of a single packet
};

struct LoadReportSettings
{
    uint32_t loadPercent = 75;              // of the slots of a service in use from which an instance reports; 0: never
    uint32_t bytesPerSecond = 6000;         // budget of sent reports, with the headers of UDP and IP
    Duration interval = milliseconds(500);  // shortest time between two reports to the same member
    Duration lifetime = milliseconds(1000); // of a received report
};

} // namespace hornbeam
