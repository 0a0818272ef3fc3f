#pragma once

// Messages about the load and the answers of targets between instances that forward flows; see messages.h.

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

/** The load of one service in one availability zone. */
struct ZoneLoadEntry
{
    ZoneId zone = 0;
    ServiceId service = 0;
    uint32_t slots = 0;           // of the targets that may be given new flows
    uint32_t outstanding = 0;     // requests of the zone's callers without a response, estimated for all instances of the zone
    uint32_t waitingMs = 0;       // expected waiting time of a new request
    uint32_t leavingPermille = 0; // share of the zone's new flows that is sent to other zones
    uint32_t ageMs = 0;           // since the values were measured in their zone
    uint32_t requests = 0;        // per second, of the zone's callers

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->zone, this->service, this->slots, this->outstanding, this->waitingMs, this->leavingPermille, this->ageMs, this->requests);
    }
};

/** Load reports. A message to another zone is answered by one that repeats its sequence number, which measures the delay between the zones. */
struct ZoneLoad
{
    MemberId sender = 0;
    ZoneId zone = 0;       // of the sender
    uint64_t sequence = 0; // increases with each message of the sender, also across restarts
    uint64_t echo = 0;     // sequence number of the message that this one answers; 0 for none
    std::vector<ZoneLoadEntry> entries;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->zone, this->sequence, this->echo, this->entries);
    }
};

/** A target that the sender of a query suspects. */
struct SuspectTarget
{
    uint32_t token = 0;    // routing token of the target
    uint32_t withinMs = 0; // answers older than this are of no interest

    bool operator==(const SuspectTarget &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->token, this->withinMs);
    }
};

/** The latest answer of a target to a flow of the sender. */
struct TargetAnswer
{
    uint32_t token = 0;
    uint32_t ageMs = 0;

    bool operator==(const TargetAnswer &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->token, this->ageMs);
    }
};

/** Asks whether targets that refuse connections have answered flows of the receiver. Only members with such answers respond. */
struct AnswerQuery
{
    MemberId sender = 0;
    uint64_t sequence = 0; // increases with each query of the sender, also across restarts
    std::vector<SuspectTarget> targets;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->sequence, this->targets);
    }
};

/** The response to an AnswerQuery. */
struct AnswerResponse
{
    uint64_t sequence = 0; // of the query
    std::vector<TargetAnswer> targets;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->targets);
    }
};

} // namespace hornbeam
