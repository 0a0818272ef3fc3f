#pragma once

// The typed messages between the system's own processes (docs/PROTOCOL.md, "Inner protocol"). Each lists its fields once, in
// the order in which they stand on the wire; src/peer/codec.h turns them into CBOR and back. A field is only ever added at the end:
// a decoder gives a field that an older sender left out its default and skips those that a newer one added.
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
    Suspect, // missed a probe, may still refute it
    Leaving, // drains by plan; owns nothing new
    Left,    // ended by plan
    Dead,    // declared dead
};

/** One member as gossip knows it. Order of precedence: higher incarnation, then higher revision, then later state. */
struct MemberRecord
{
    MemberId id = 0;
    ZoneId zone = 0;
    Endpoint peer;               // UDP datagrams and TCP streams share the port
    Incarnation incarnation = 0; // one for each process start
    uint32_t revision = 0;       // raised by the member itself, to refute a suspicion or to change its state
    MemberState state = MemberState::Alive;

    bool operator==(const MemberRecord &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->id, this->zone, this->peer, this->incarnation, this->revision, this->state);
    }
};

constexpr uint32_t neverMs = ~0U; // an age that stands for "never"

/** How long ago the sender's zone heard of another zone; or, told to a member of another zone, how the sender's own zone is. */
struct ZoneContact
{
    ZoneId zone = 0;
    uint32_t ageMs = 0;
    uint32_t wellAgeMs = neverMs; // since a member of that zone said that half of its instances or more live

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->zone, this->ageMs, this->wellAgeMs);
    }
};

/** A probe. The updates ride along. */
struct Ping
{
    uint64_t sequence = 0;
    MemberRecord sender;
    uint64_t tableDigest = 0; // hash over all table versions in force at the sender
    std::vector<MemberRecord> updates;
    std::vector<ZoneContact> contacts;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->tableDigest, this->updates, this->contacts);
    }
};

/** The answer to a probe, or to an indirect one on behalf of `subject`. */
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

/** What one zone tells another: a hash over its members, and the members themselves when the hashes differ. */
struct ZoneDigest
{
    ZoneId zone = 0;
    MemberRecord sender;
    uint64_t hash = 0;
    uint64_t tableDigest = 0;
    std::vector<MemberRecord> members;
    bool wantsMembers = false; // asks for the receiver's zone in full

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->zone, this->sender, this->hash, this->tableDigest, this->members, this->wantsMembers);
    }
};

//--- Slots

enum class PlaceKind : uint8_t {
    Request, // one of the target's request slots
    Feed,    // one of the target's connection places
};

enum class SlotOutcome : uint8_t {
    Answered,  // the target answered
    Shed,      // the target refused it, so it did not run
    TimedOut,  // no answer in time
    Reset,     // the target rejected the message
    Cancelled, // the holder gave the place back unused
};

/** Asks the keeper of (service, zone) for a place at one of its targets. Repeated with the same request number when no answer comes. */
struct SlotAsk
{
    uint64_t request = 0; // unique at the asking instance
    MemberId asker = 0;
    Incarnation incarnation = 0;
    ServiceId service = 0;
    ZoneId zone = 0; // whose targets are asked for
    PlaceKind kind = PlaceKind::Request;
    uint64_t flow = 0;       // prefers the target that rendezvous hashing gives this flow
    uint32_t deadlineMs = 0; // how long the request may be queued
    bool mayQueue = false;   // false: refuse at once when no place is free
    TargetId avoid = 0;      // a target that just failed this request

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->asker, this->incarnation, this->service, this->zone, this->kind, this->flow, this->deadlineMs, this->mayQueue, this->avoid);
    }
};

struct SlotGrant
{
    uint64_t request = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    MemberId keeper = 0;
    uint64_t epoch = 0; // the keeper's term; a holder reports its grants to the keeper of a later term
    TargetId target = 0;
    Endpoint endpoint;
    PlaceKind kind = PlaceKind::Request;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->service, this->zone, this->keeper, this->epoch, this->target, this->endpoint, this->kind);
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

/** Gives a place back, or withdraws a queued ask. */
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

/** One place as its holder knows it. */
struct HeldPlace
{
    uint64_t request = 0;
    TargetId target = 0;
    PlaceKind kind = PlaceKind::Request;

    bool operator==(const HeldPlace &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->request, this->target, this->kind);
    }
};

/** A new keeper asks each member what it holds; with `requests`, which of these are not held, to find places whose release was lost. */
struct HeldQuery
{
    MemberId keeper = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    uint64_t epoch = 0;
    std::vector<uint64_t> requests; // empty: all places are asked for

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->keeper, this->service, this->zone, this->epoch, this->requests);
    }
};

/** The answer to HeldQuery, in parts when it doesn't fit one datagram. From then on the holder uses no grant of an older epoch that arrives later. */
struct HeldReport
{
    MemberId holder = 0;
    Incarnation incarnation = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    uint64_t epoch = 0;
    uint16_t part = 0;
    uint16_t parts = 1;
    std::vector<HeldPlace> places;
    std::vector<uint64_t> absent; // requests of the query that are neither held nor waited for
    bool isAudit = false;         // only about the places named: an answer to a query that listed requests, or a correction

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->holder, this->incarnation, this->service, this->zone, this->epoch, this->part, this->parts, this->places, this->absent, this->isAudit);
    }
};

/** The keeper tells the zone's members that a target takes no new work, so that its feeds are moved. */
struct TargetNotice
{
    ServiceId service = 0;
    ZoneId zone = 0;
    TargetId target = 0;
    bool draining = false; // leaves by plan
    bool failed = false;   // does not answer probes

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->zone, this->target, this->draining, this->failed);
    }
};

//--- Requests

/** A caller's packet, passed on to the instance that has to deal with it. */
struct Relay
{
    ServiceId service = 0;
    Endpoint caller;
    MemberId entry = 0; // the instance where the packet arrived
    uint8_t hops = 0;   // relays so far; a packet is relayed at most maxRelayHops times
    Bytes packet;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->entry, this->hops, this->packet);
    }
};

constexpr uint8_t maxRelayHops = 3;

/** The outcome of a non-idempotent request, as its successor keeps it. */
struct OutcomeRecord
{
    uint64_t number = 0; // the number in the Echo value
    Endpoint caller;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    Bytes answer;             // code, options and payload of the answer; empty when there was none
    uint64_t requestHash = 0; // tells a repeat from another request that carries the same Echo value

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->number, this->caller, this->verdict, this->reason, this->answer, this->requestHash);
    }
};

/** Stream message: a leaving instance passes its newest records to its successor. */
struct RecordHandover
{
    MemberId maker = 0;
    Incarnation incarnation = 0;
    std::vector<OutcomeRecord> records;
    bool last = false; // all records that will come have come

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->maker, this->incarnation, this->records, this->last);
    }
};

//--- Feeds

/** All that is needed to register a caller's feed again. Sent to the holder of its copy, and to a new owner. */
struct FeedState
{
    ServiceId service = 0;
    Endpoint caller;
    Bytes token;           // the caller's token
    Bytes registration;    // code, options and payload of the caller's GET, without head and token
    uint32_t sequence = 0; // the last Observe sequence number sent to the caller; 0 when unknown
    MemberId owner = 0;    // who sends it, or who owned it when the copy was made
    MemberId copyHolder = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->token, this->registration, this->sequence, this->owner, this->copyHolder);
    }
};

/** One more feed in a message, equal to the first in all else. */
struct FeedCaller
{
    Endpoint caller;
    Bytes token;
    uint32_t sequence = 0;
    Bytes registration; // empty: that of the feed before it

    bool operator==(const FeedCaller &) const = default;
    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->caller, this->token, this->sequence, this->registration);
    }
};

/** Hands feeds to their new owner. Repeated until each is confirmed by FeedTaken. */
struct FeedMove
{
    FeedState feed;
    MemberId sender = 0; // who moves them: their owner, or the holder of their copies; 0 means the owner
    std::vector<FeedCaller> others;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->feed, this->sender, this->others);
    }
};

/** Asks the receiver to keep a copy of feeds. */
struct FeedCopy
{
    FeedState feed;
    std::vector<FeedCaller> others;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->feed, this->others);
    }
};

/** The new owner has registered the feed at a target; the old owner may drop its own registration. */
struct FeedTaken
{
    ServiceId service = 0;
    Endpoint caller;
    Bytes token;
    MemberId owner = 0;
    std::vector<FeedCaller> others; // further feeds of the service; their sequence is not used

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->caller, this->token, this->owner, this->others);
    }
};

/** The feed has ended; its copy may be dropped. */
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

/** The version of one service's table that the sender has in force. */
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

/** Tells a member which versions are in force at the sender, after a change or when digests differ. */
struct TableVersions
{
    MemberId sender = 0;
    std::vector<ServiceVersion> versions;
    bool whole = false; // every service of the sender is listed, so that the receiver may answer with those that it lacks

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->versions, this->whole);
    }
};

/** Stream message: asks for the tables of the services listed; all of them when the list is empty. */
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

/** Stream message: one service's table as the JSON text that the platform holds. */
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

/** Asks a member of the own zone for what the store has told it since the revisions given. It answers once there is news, or after a while without any. */
struct StoreAsk
{
    uint64_t sequence = 0;              // unique at the asker in its incarnation
    MemberRecord asker;                 // with its address: a member that has just started doesn't know the others
    uint64_t targetsRevision = 0;       // up to which the asker knows the targets; 0 for not at all
    uint64_t configurationRevision = 0; // of the configuration that the asker has in force; 0 for none
    bool wantsWhole = false;            // the store doesn't answer the asker, which knows nothing yet

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->asker, this->targetsRevision, this->configurationRevision, this->wantsWhole);
    }
};

/** The entry of one process of a target. */
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
    uint32_t coldForMs = 0;
    uint64_t revision = 0; // of the entry's last change

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->name, this->service, this->address, this->zone, this->deliveryId, this->incarnation, this->slots, this->isDraining, this->coldForMs,
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
    bool mayRepeat = false; // its requests are idempotent
    uint32_t latencyTargetMs = 0;
    uint32_t timeoutMs = 0;
    std::vector<StoreShare> shares;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->name, this->address, this->mayRepeat, this->latencyTargetMs, this->timeoutMs, this->shares);
    }
};

/** What changed at the targets between two revisions of the store. */
struct StoreTargetChanges
{
    uint64_t from = 0;     // 0: `updated` are all targets
    uint64_t revision = 0; // 0: the sender knows no targets, or not what changed since the asker's revision
    uint32_t ageMs = 0;    // since the sender put the question to the store that `revision` answers
    std::vector<StoreTarget> updated;
    std::vector<std::string> removed;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->from, this->revision, this->ageMs, this->updated, this->removed);
    }
};

/** The configuration in force at the sender, told by what differs from the asker's. */
struct StoreConfigurationChanges
{
    uint64_t from = 0;       // revision of the configuration that the routes below change; 0: they are all routes
    uint64_t revision = 0;   // of the configuration; 0: the sender has none
    uint32_t ageMs = 0;      // since the sender put the question to the store that confirmed it
    bool hasContent = false; // false: the fields below are left out, since the asker has this configuration or should read the store
    uint64_t version = 0;
    uint32_t idleMs = 0;
    std::vector<StoreRoute> routes; // added or changed
    std::vector<Endpoint> removed;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->from, this->revision, this->ageMs, this->hasContent, this->version, this->idleMs, this->routes, this->removed);
    }
};

/** The answer to StoreAsk. */
struct StoreNews
{
    uint64_t sequence = 0; // of the question
    MemberId sender = 0;
    Incarnation incarnation = 0; // the asker's, from the question
    uint32_t heldMs = 0;         // from the question's arrival to this answer: with the ages it bounds the age at the asker, however late this arrives
    StoreTargetChanges targets;
    StoreConfigurationChanges configuration;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->incarnation, this->heldMs, this->targets, this->configuration);
    }
};

//--- All

/** Every message, in the order of their numbers on the wire. New ones go to the end. */
using PeerMessage = std::variant<Ping, PingAck, PingRequest, ZoneDigest, SlotAsk, SlotGrant, SlotRefusal, SlotRelease, HeldQuery, HeldReport, TargetNotice,
                                 Relay, RecordHandover, FeedMove, FeedCopy, FeedTaken, FeedDrop, TableVersions, TablePull, TableText, StoreAsk, StoreNews>;

} // namespace hornbeam
