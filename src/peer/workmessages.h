#pragma once

// Messages about slots, requests and feeds between the system's processes; see messages.h.
//
// Sections: slots | requests | feeds

#include "core/types.h"
#include "core/verdict.h"
#include "peer/membermessages.h"

#include <string>
#include <vector>

namespace hornbeam {

//--- Slots

enum class SlotKind : uint8_t {
    Request, // a request slot of the target
    Feed,    // a connection of the target
};

enum class SlotOutcome : uint8_t {
    Answered,  // the target answered
    Shed,      // the target refused it without executing it
    TimedOut,  // no answer within the timeout
    Reset,     // the target rejected the message
    Cancelled, // the holder released the slot unused
};

/** Requests a slot at a target from the allocator of (service, zone). Retransmitted with the same request number until answered. */
struct SlotRequest
{
    uint64_t request = 0; // unique at the requesting instance
    MemberId requester = 0;
    Incarnation incarnation = 0;
    ServiceId service = 0;
    ZoneId zone = 0; // zone of the requested targets
    SlotKind kind = SlotKind::Request;
    uint64_t flow = 0;       // the target chosen by rendezvous hashing of this flow is preferred
    uint32_t deadlineMs = 0; // maximum queueing time
    bool mayQueue = false;   // if false, refuse immediately when no slot is free
    TargetId avoid = 0;      // a target that has just failed this request

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->requester, this->incarnation, this->service, this->zone, this->kind, this->flow, this->deadlineMs, this->mayQueue,
              this->avoid);
    }
};

struct SlotGrant
{
    uint64_t request = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    MemberId allocator = 0;
    uint64_t epoch = 0; // the allocator's term; holders report their grants to an allocator with a later term
    TargetId target = 0;
    Endpoint endpoint;
    SlotKind kind = SlotKind::Request;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->service, this->zone, this->allocator, this->epoch, this->target, this->endpoint, this->kind);
    }
};

struct SlotRefusal
{
    uint64_t request = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    Reason reason = Reason::NoSlot;
    uint32_t retryAfterMs = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->service, this->zone, this->reason, this->retryAfterMs);
    }
};

/** Releases a slot, or cancels a queued SlotRequest. */
struct SlotRelease
{
    uint64_t request = 0;
    MemberId holder = 0;
    Incarnation incarnation = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    TargetId target = 0;
    SlotOutcome outcome = SlotOutcome::Answered;
    uint32_t latencyUs = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->holder, this->incarnation, this->service, this->zone, this->target, this->outcome, this->latencyUs);
    }
};

/** A slot as known to its holder. */
struct HeldSlot
{
    uint64_t request = 0;
    TargetId target = 0;
    SlotKind kind = SlotKind::Request;

    bool operator==(const HeldSlot &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->target, this->kind);
    }
};

/** A new allocator's query for all slots held by a member. With `requests`, asks which of these are not held, to find lost releases. */
struct HeldSlotsQuery
{
    MemberId allocator = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    uint64_t epoch = 0;
    std::vector<uint64_t> requests; // empty: query all slots

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->allocator, this->service, this->zone, this->epoch, this->requests);
    }
};

/** Response to HeldSlotsQuery, split if it exceeds one datagram. Once sent, the holder ignores late grants of older epochs. */
struct HeldSlotsReport
{
    MemberId holder = 0;
    Incarnation incarnation = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    uint64_t epoch = 0;
    uint16_t part = 0;
    uint16_t parts = 1;
    std::vector<HeldSlot> slots;
    std::vector<uint64_t> absent; // requests of the query that are neither held nor pending
    bool isAudit = false;         // covers only the listed slots: response to a query with requests, or a correction

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->holder, this->incarnation, this->service, this->zone, this->epoch, this->part, this->parts, this->slots, this->absent, this->isAudit);
    }
};

/** Sent by the allocator to the zone's members when a target accepts no new work, so that they move its feeds. */
struct TargetNotice
{
    ServiceId service = 0;
    ZoneId zone = 0;
    TargetId target = 0;
    bool draining = false; // planned removal
    bool failed = false;   // does not answer probes

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->zone, this->target, this->draining, this->failed);
    }
};

//--- Requests

/** A caller's packet, relayed to the instance responsible for it. */
struct Relay
{
    ServiceId service = 0;
    Endpoint caller;
    MemberId entry = 0; // the instance where the packet arrived
    uint8_t hops = 0;   // number of relays so far, at most maxRelayHops
    Bytes packet;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->entry, this->hops, this->packet);
    }
};

constexpr uint8_t maxRelayHops = 3;

/** The outcome of a non-idempotent request, as stored by the successor of its maker. */
struct OutcomeRecord
{
    uint64_t number = 0; // the number in the Echo value
    Endpoint caller;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    Bytes answer;             // code, options and payload of the answer; empty if there was none
    uint64_t requestHash = 0; // distinguishes a retransmission from another request with the same Echo value

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->number, this->caller, this->verdict, this->reason, this->answer, this->requestHash);
    }
};

/** Stream message: a leaving instance transfers its newest records to its successor. */
struct RecordHandover
{
    MemberId maker = 0;
    Incarnation incarnation = 0;
    std::vector<OutcomeRecord> records;
    bool last = false; // no further records follow

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->maker, this->incarnation, this->records, this->last);
    }
};

//--- Feeds

/** All data required to re-register a caller's feed. Sent to the holder of its backup copy and to a new owner. */
struct FeedState
{
    ServiceId service = 0;
    Endpoint caller;
    Bytes token;           // the caller's token
    Bytes registration;    // code, options and payload of the caller's GET, without message type, message ID and token
    uint32_t sequence = 0; // last Observe sequence number sent to the caller; 0 if unknown
    MemberId owner = 0;    // the sender, or the owner at the time of the copy
    MemberId copyHolder = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->token, this->registration, this->sequence, this->owner, this->copyHolder);
    }
};

/** An additional feed in a message. All other fields are those of the first feed. */
struct AdditionalFeed
{
    Endpoint caller;
    Bytes token;
    uint32_t sequence = 0;
    Bytes registration; // empty: same as the preceding feed

    bool operator==(const AdditionalFeed &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->caller, this->token, this->sequence, this->registration);
    }
};

/** Transfers feeds to their new owner. Retransmitted until each is confirmed by FeedMoveAck. */
struct FeedMove
{
    FeedState feed;
    MemberId sender = 0; // the owner or the holder of the copies; 0 means the owner
    std::vector<AdditionalFeed> others;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->feed, this->sender, this->others);
    }
};

/** Requests the receiver to store a backup copy of feeds. */
struct FeedCopy
{
    FeedState feed;
    std::vector<AdditionalFeed> others;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->feed, this->others);
    }
};

/** The new owner has registered the feed at a target; the old owner may drop its own registration. */
struct FeedMoveAck
{
    ServiceId service = 0;
    Endpoint caller;
    Bytes token;
    MemberId owner = 0;
    std::vector<AdditionalFeed> others; // additional feeds of the service; their sequence is unused

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->token, this->owner, this->others);
    }
};

/** The feed has ended; its backup copy may be deleted. */
struct FeedDrop
{
    ServiceId service = 0;
    Endpoint caller;
    Bytes token;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->token);
    }
};

} // namespace hornbeam
