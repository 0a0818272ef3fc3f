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

/** Where an instance stands with regard to its own overload. */
enum class RotationPhase : uint8_t {
    Ready,
    Overloaded, // in rotation; will leave if the limits of the zone allow it
    Out,        // out of rotation because it was overloaded
};

/** Informs the members of the sender's zone that it is overloaded, or no longer. Sent upon changes and repeated until it is Ready. */
struct RotationReport
{
    MemberId sender = 0;
    Incarnation incarnation = 0; // of the sender; a report of an earlier process is void
    uint32_t sequence = 0;       // increases with each report of a process; duplicates and delayed reports are dropped
    RotationPhase phase = RotationPhase::Ready;
    uint32_t ageMs = 0;   // time in the phase
    uint32_t delayMs = 0; // estimated delay of its packets, when Out as of leaving; the worst instances leave first

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sender, this->incarnation, this->sequence, this->phase, this->ageMs, this->delayMs);
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
