#pragma once

// Messages about members and tables between the system's processes; see messages.h.
//
// Sections: members | agreement on members | table

#include "core/types.h"

#include <string>
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

//--- Agreement on members

/** Sent to each member of the own zone while it has cold targets: the sender's view of the zone. Two-way, so that the receiver knows how old it is at most. */
struct ViewConfirmation
{
    MemberId sender = 0;
    Incarnation incarnation = 0; // of the sender
    uint64_t sequence = 0;       // increases with each round of the sender
    uint64_t viewHash = 0;       // of the zone's members as the sender knows them
    bool isHeld = false;         // the sender has had this view for long enough to confirm it
    bool isNeeded = false;       // the sender asks for confirmations itself
    Incarnation echoIncarnation = 0;
    uint64_t echoSequence = 0; // of the latest confirmation from the receiver; 0: none

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->incarnation, this->sequence, this->viewHash, this->isHeld, this->isNeeded, this->echoIncarnation, this->echoSequence);
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

} // namespace hornbeam
