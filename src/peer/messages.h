#pragma once

// Messages between the system's processes (docs/PROTOCOL.md, "Inner protocol"). Each message lists its fields once, in wire
// order; src/peer/codec.h encodes them as CBOR. New fields must be appended at the end: a decoder uses the default for fields
// that an older sender omits and ignores additional fields of a newer sender.
//
// Sections: members | slots | requests | feeds | table | store | all

#include "core/types.h"
#include "core/verdict.h"

#include <string>
#include <variant>
#include <vector>

namespace hornbeam {

//--- Members

enum class MemberState : uint8_t {
    Alive,   // answers probes
    Suspect, // missed a probe; can still refute the suspicion
    Leaving, // planned drain; takes no new ownership
    Left,    // planned shutdown completed
    Dead,    // declared dead
};

/** A member's gossip record. Precedence: higher incarnation, then higher revision, then later state. */
struct MemberRecord
{
    MemberId id = 0;
    ZoneId zone = 0;
    Endpoint peer;               // UDP datagrams and TCP streams share the port
    Incarnation incarnation = 0; // changes with each process start
    uint32_t revision = 0;       // incremented by the member itself to refute a suspicion or change its state
    MemberState state = MemberState::Alive;

    bool operator==(const MemberRecord &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->id, this->zone, this->peer, this->incarnation, this->revision, this->state);
    }
};

constexpr uint32_t neverMs = ~0U; // age value meaning "never"

/** Time since the sender's zone last heard from another zone. Sent to a member of another zone: the health of the sender's own zone. */
struct ZoneContact
{
    ZoneId zone = 0;
    uint32_t ageMs = 0;
    uint32_t healthyAgeMs = neverMs; // since a member of that zone reported at least half of its instances alive

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->zone, this->ageMs, this->healthyAgeMs);
    }
};

/** A membership probe with piggybacked updates. */
struct Ping
{
    uint64_t sequence = 0;
    MemberRecord sender;
    uint64_t tableDigest = 0; // hash of all table versions in force at the sender
    std::vector<MemberRecord> updates;
    std::vector<ZoneContact> contacts;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->tableDigest, this->updates, this->contacts);
    }
};

/** Response to a probe, or to an indirect probe of `subject`. */
struct PingAck
{
    uint64_t sequence = 0;
    MemberRecord sender;
    uint64_t tableDigest = 0;
    std::vector<MemberRecord> updates;
    MemberId subject = 0;
    std::vector<ZoneContact> contacts;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->tableDigest, this->updates, this->subject, this->contacts);
    }
};

/** Asks another member to probe `subject`. */
struct PingRequest
{
    uint64_t sequence = 0;
    MemberRecord sender;
    MemberRecord subject;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->subject);
    }
};

/** Anti-entropy between zones: a hash of the zone's members, and the members themselves if the hashes differ. */
struct ZoneDigest
{
    ZoneId zone = 0;
    MemberRecord sender;
    uint64_t hash = 0;
    uint64_t tableDigest = 0;
    std::vector<MemberRecord> members;
    bool wantsMembers = false; // requests all members of the receiver's zone

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->zone, this->sender, this->hash, this->tableDigest, this->members, this->wantsMembers);
    }
};

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

//--- Table

/** The version of a service's table in force at the sender. */
struct ServiceVersion
{
    ServiceId service = 0;
    TableVersion version = 0;

    bool operator==(const ServiceVersion &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->version);
    }
};

/** Announces the versions in force at the sender, after a change or when digests differ. */
struct TableVersions
{
    MemberId sender = 0;
    std::vector<ServiceVersion> versions;
    bool isComplete = false; // lists all services of the sender, so the receiver may reply with those missing from the list

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->versions, this->isComplete);
    }
};

/** Stream message: requests the tables of the listed services, or all tables if the list is empty. */
struct TablePull
{
    MemberId sender = 0;
    std::vector<ServiceId> services;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->services);
    }
};

/** Stream message: a service's table as the JSON text stored by the platform. */
struct TableText
{
    std::string service;
    TableVersion version = 0;
    std::string text;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->version, this->text);
    }
};

//--- Store

/** Queries a member of the own zone for store changes since the given revisions (long poll: answered upon a change or after a timeout). */
struct StoreQuery
{
    uint64_t sequence = 0;              // unique per requester and incarnation
    MemberRecord requester;             // includes its address: a member that has just started doesn't know the others
    uint64_t targetsRevision = 0;       // revision up to which the requester knows the targets; 0 for none
    uint64_t configurationRevision = 0; // revision of the configuration in force at the requester; 0 for none
    bool wantsSnapshot = false;         // the requester has no data yet and the store doesn't respond to it

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->requester, this->targetsRevision, this->configurationRevision, this->wantsSnapshot);
    }
};

/** The store entry of a target process. */
struct StoreTarget
{
    std::string name;
    std::string service;
    Endpoint address;
    ZoneId zone = 0;
    uint64_t deliveryId = 0;
    uint64_t incarnation = 0;
    uint32_t slots = 1;
    bool isDraining = false;
    uint32_t unused = 0;   // formerly the remaining warm-up time; keeps the position of the fields behind it
    uint64_t revision = 0; // revision of the entry's last change

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->name, this->service, this->address, this->zone, this->deliveryId, this->incarnation, this->slots, this->isDraining, this->unused,
              this->revision);
    }
};

/** A share of a route's new flows. */
struct StoreShare
{
    std::string service;
    uint32_t weight = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->weight);
    }
};

struct StoreRoute
{
    std::string name;
    Endpoint address;
    bool isIdempotent = false; // its requests are idempotent
    uint32_t latencyTargetMs = 0;
    uint32_t timeoutMs = 0;
    std::vector<StoreShare> shares;
    uint32_t priority = 0; // 0 is the highest

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->name, this->address, this->isIdempotent, this->latencyTargetMs, this->timeoutMs, this->shares, this->priority);
    }
};

/** Changes of the targets between two store revisions. */
struct StoreTargetChanges
{
    uint64_t from = 0;     // 0: `updated` lists all targets
    uint64_t revision = 0; // 0: the sender has no targets, or doesn't know the changes since the requester's revision
    uint32_t ageMs = 0;    // since the sender sent the store request that returned `revision`
    std::vector<StoreTarget> updated;
    std::vector<std::string> removed;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->from, this->revision, this->ageMs, this->updated, this->removed);
    }
};

/** Number of open flows that each target of a service accepts. */
struct StoreConnectionLimit
{
    std::string service;
    uint32_t connections = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->connections);
    }
};

/** The configuration in force at the sender, as differences from the requester's. */
struct StoreConfigurationChanges
{
    uint64_t from = 0;       // base revision of the changes below; 0: `routes` lists all routes
    uint64_t revision = 0;   // configuration revision; 0: the sender has none
    uint32_t ageMs = 0;      // since the sender sent the store request that confirmed it
    bool hasContent = false; // false: no fields below; the requester has this configuration already or should read the store
    uint64_t version = 0;
    uint32_t flowIdleTimeoutMs = 0;
    std::vector<StoreRoute> routes; // added or changed
    std::vector<Endpoint> removed;
    std::vector<StoreConnectionLimit> connectionLimits; // of all services that have one
    uint64_t unusableRevision = 0;                      // of the newest configuration that the sender could not parse; 0: none

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->from, this->revision, this->ageMs, this->hasContent, this->version, this->flowIdleTimeoutMs, this->routes, this->removed,
              this->connectionLimits, this->unusableRevision);
    }
};

/** Response to StoreQuery. */
struct StoreResponse
{
    uint64_t sequence = 0; // from the StoreQuery
    MemberId sender = 0;
    Incarnation incarnation = 0; // incarnation of the requester, from the StoreQuery
    uint32_t heldMs = 0;         // time from receiving the StoreQuery to this response; with the ages it bounds the data's age at the requester despite delays
    StoreTargetChanges targets;
    StoreConfigurationChanges configuration;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->incarnation, this->heldMs, this->targets, this->configuration);
    }
};

//--- All

/** All messages, in the order of their wire numbers. New messages must be appended. */
using PeerMessage =
    std::variant<Ping, PingAck, PingRequest, ZoneDigest, SlotRequest, SlotGrant, SlotRefusal, SlotRelease, HeldSlotsQuery, HeldSlotsReport, TargetNotice, Relay,
                 RecordHandover, FeedMove, FeedCopy, FeedMoveAck, FeedDrop, TableVersions, TablePull, TableText, StoreQuery, StoreResponse>;

} // namespace hornbeam
