#pragma once

// Messages about the store's content between the system's processes; see messages.h.

#include "core/storeposition.h"
#include "core/types.h"
#include "peer/membermessages.h"

#include <string>
#include <vector>

namespace hornbeam {

/** Queries a member of the own zone for store changes since the given revisions (long poll: answered upon a change or after a timeout). */
struct StoreQuery
{
    uint64_t sequence = 0;              // unique per requester and incarnation
    MemberRecord requester;             // includes its address: a member that has just started doesn't know the others
    uint64_t targetsRevision = 0;       // revision up to which the requester knows the targets; 0 for none
    uint64_t configurationRevision = 0; // revision of the configuration in force at the requester; 0 for none
    bool wantsSnapshot = false;         // the requester lacks the data of a resource
    uint64_t evacuationsRevision = 0;   // revision up to which the requester knows the evacuations; 0 for none
    uint64_t targetsEra = 0;            // the eras of the revisions; 0 if the requester knows none
    uint64_t configurationEra = 0;
    uint64_t evacuationsEra = 0;

    StorePosition targetsPosition() const
    {
        return { this->targetsEra, this->targetsRevision };
    }
    StorePosition configurationPosition() const
    {
        return { this->configurationEra, this->configurationRevision };
    }
    StorePosition evacuationsPosition() const
    {
        return { this->evacuationsEra, this->evacuationsRevision };
    }

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->requester, this->targetsRevision, this->configurationRevision, this->wantsSnapshot, this->evacuationsRevision,
              this->targetsEra, this->configurationEra, this->evacuationsEra);
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
    uint32_t remainingWarmupMs = 0; // when the message was sent
    uint64_t revision = 0;          // revision of the entry's last change
    uint64_t era = 0;               // of `revision`; 0 if the sender knows no eras

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->name, this->service, this->address, this->zone, this->deliveryId, this->incarnation, this->slots, this->isDraining, this->remainingWarmupMs,
              this->revision, this->era);
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

/** An evacuated availability zone. */
struct StoreEvacuation
{
    std::string zone;
    uint64_t revision = 0; // of the store's object
    uint64_t era = 0;      // of `revision`; 0 if the sender knows no eras

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->zone, this->revision, this->era);
    }
};

/** Changes of the entries of one kind between two store revisions. */
template<typename Entry>
struct StoreEntryChanges
{
    uint64_t from = 0;     // 0: `updated` lists all entries
    uint64_t revision = 0; // 0: the sender has no such entries, or doesn't know the changes since the requester's revision
    uint32_t ageMs = 0;    // since the sender sent the store request that returned `revision`
    std::vector<Entry> updated;
    std::vector<std::string> removed;
    uint64_t fromEra = 0; // of `from`; the eras are 0 if the sender knows none
    uint64_t era = 0;     // of `revision`

    StorePosition fromPosition() const
    {
        return { this->fromEra, this->from };
    }
    StorePosition position() const
    {
        return { this->era, this->revision };
    }
    void setFrom(const StorePosition &position)
    {
        this->fromEra = position.era;
        this->from = position.revision;
    }
    void setPosition(const StorePosition &position)
    {
        this->era = position.era;
        this->revision = position.revision;
    }

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->from, this->revision, this->ageMs, this->updated, this->removed, this->fromEra, this->era);
    }
};

using StoreTargetChanges = StoreEntryChanges<StoreTarget>;
using StoreEvacuationChanges = StoreEntryChanges<StoreEvacuation>; // revision 0: the sender doesn't know the evacuations

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

/** How the cold targets of a service are warmed up. */
struct StoreWarmup
{
    std::string service;
    bool hasRate = false;
    uint32_t ratePerMille = 0; // thousandths of an opening packet per second and target
    uint32_t timeMs = 0;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->service, this->hasRate, this->ratePerMille, this->timeMs);
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
    std::vector<StoreWarmup> warmups;                   // of all services that have one
    uint64_t fromEra = 0;                               // of `from`; the eras are 0 if the sender knows none
    uint64_t era = 0;                                   // of `revision`
    uint64_t unusableEra = 0;                           // of `unusableRevision`

    StorePosition fromPosition() const
    {
        return { this->fromEra, this->from };
    }
    StorePosition position() const
    {
        return { this->era, this->revision };
    }
    StorePosition unusablePosition() const
    {
        return { this->unusableEra, this->unusableRevision };
    }
    void setFrom(const StorePosition &position)
    {
        this->fromEra = position.era;
        this->from = position.revision;
    }
    void setPosition(const StorePosition &position)
    {
        this->era = position.era;
        this->revision = position.revision;
    }
    void setUnusable(const StorePosition &position)
    {
        this->unusableEra = position.era;
        this->unusableRevision = position.revision;
    }

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->from, this->revision, this->ageMs, this->hasContent, this->version, this->flowIdleTimeoutMs, this->routes, this->removed,
              this->connectionLimits, this->unusableRevision, this->warmups, this->fromEra, this->era, this->unusableEra);
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
    StoreEvacuationChanges evacuations;

    template<typename Visitor>
    void visitFields(Visitor &visit)
    {
        visit(this->sequence, this->sender, this->incarnation, this->heldMs, this->targets, this->configuration, this->evacuations);
    }
};

} // namespace hornbeam
