#pragma once

// Messages about the load of targets between instances that forward flows; see messages.h.

#include "core/types.h"

#include <vector>

namespace hornbeam {

/** Requests that the sender has sent to a target and that have not been answered. */
struct TargetLoad
{
    uint32_t token = 0; // routing token of the target
    uint32_t outstanding = 0;

    bool operator==(const TargetLoad &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->token, this->outstanding);
    }
};

/** Requests of the sender that a service's targets process or queue, without those that are on their way or answered already. */
struct ServiceLoadReport
{
    ServiceId service = 0;
    uint32_t heldHundredths = 0; // hundredths of a request; moving average

    bool operator==(const ServiceLoadReport &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->heldHundredths);
    }
};

/** The load that the sender causes, to members of its zone. Replaces the sender's earlier reports. */
struct LoadReport
{
    MemberId sender = 0;
    Incarnation incarnation = 0;
    uint32_t sequence = 0;           // of the sender's reports
    uint32_t periodMs = 0;           // until the sender's next report to the same member
    std::vector<TargetLoad> targets; // with a count above 0
    std::vector<ServiceLoadReport> services;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->incarnation, this->sequence, this->periodMs, this->targets, this->services);
    }
};

} // namespace hornbeam
