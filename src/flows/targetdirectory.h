#pragma once

// Targets listed by the store, the state of targets that it no longer lists, and the routing tokens of both.
//
// Sections: records | directory

#include "balancing/zonewaiting.h"
#include "core/clock.h"
#include "core/types.h"
#include "flows/flowpacket.h"
#include "flows/flowsettings.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hornbeam {

//--- Records

/** The store's entry for a target process. */
struct TargetRecord
{
    std::string name; // unique in the system; a restarted process may reuse it
    std::string service;
    Endpoint address;
    ZoneId zone = 0;
    uint64_t deliveryId = 0;  // precedes each packet sent, so that a later process at the address ignores packets for this one
    uint64_t incarnation = 0; // of this process
    uint32_t slots = 1;       // concurrent requests that the target serves, at least 1
    bool isDraining = false;
    uint32_t remainingWarmupMs = 0; // when the entry was read; 0: the target is not cold

    bool operator==(const TargetRecord &) const = default;
};

enum class TargetPhase : uint8_t {
    Ready,
    Draining, // keeps its flows but gets no new ones
    Missing,  // no longer listed by the store, possibly because of a store outage
    Unlisted, // missing for longer than an entry takes to return: gets no new flows, keeps its flows as long as connection checks pass
    Departed, // its process has ended; its flows are reset
    Count,
};

std::string_view nameOf(TargetPhase phase);

/** A target process and this instance's state for it. */
struct Target
{
    TargetRecord record;
    RoutingToken token = 0;
    TargetPhase phase = TargetPhase::Ready;
    TimePoint phaseSince;
    bool isTokenTaken = false; // the token belongs to another target with the same hash, so this target gets no new flows

    // through this instance; updated by FlowTracker
    uint32_t openFlows = 0;
    uint32_t outstandingRequests = 0; // opening packets and requests without an answer

    bool isBusy = false;         // listed by FlowPlacement, because it may have outstanding requests
    double reportedRequests = 0; // outstanding requests of other members of the zone, as of their last reports

    // updated by TargetDirectory and WarmupRule
    TimePoint coldUntil;      // as its entry says
    TimePoint startColdUntil; // after a start that this instance has seen
    TimePoint firstListed;    // when this instance first had its entry
    bool wasCold = false;     // when last reported

    // updated by AnswerTimes
    double slowness = 1;  // moving average of its answer times relative to the means of their routes
    uint32_t answers = 0; // number of measured answers

    // updated by FlowForwarder, collected by ZoneRouting
    ObservedTraffic observed; // since it was last collected

    // updated by AdmissionControl
    double congestion = 0; // when last measured; see AdmissionControl::congestionOf
    TimePoint congestionMeasuredAt;

    // updated by PassiveHealth
    TimePoint lastProgress;            // when a flow last received an answer from the target
    TimePoint silentSince;             // TimePoint{} unless the target is silent
    TimePoint checkedAt;               // start of the last connection check
    TimePoint nextCheck;               // when the next check is due, for a silent target or a draining one that refused a connection
    TimePoint refusedAt;               // when a connection was last refused; TimePoint{} after the store has confirmed that the process is alive
    bool isIdentityUnverified = false; // silent, but the last check connected, possibly to another process at the address
    Duration recheckDelay{ 0 };        // doubles with each failed check of a silent target
    bool isChecking = false;           // a check is in progress
    uint32_t failedChecks = 0;         // consecutive
    bool isOverloadSuspected = false;  // since refusedAt; see mayBeOverloaded()
    TimePoint waitingSince;            // since when an overdue request on an open flow has waited while no flow was answered; TimePoint{} if there is none
    Duration waitingRouteMean{ 0 };    // mean answer time of that request's route

    /** Whether the target is warming up. */
    bool isCold(TimePoint now) const
    {
        return now < this->coldUntil || now < this->startColdUntil;
    }
    bool isSilent() const
    {
        return this->silentSince != TimePoint{};
    }
    /** Whether the target has refused a connection and answered no flow since. */
    bool isRefusing() const
    {
        return this->refusedAt != TimePoint{} && this->lastProgress <= this->refusedAt;
    }
};

using TargetPtr = std::shared_ptr<Target>;

/** Derives the token of a target from its name and incarnation. All instances derive the same token; never 0. Thread safe. */
RoutingToken routingTokenOf(const TargetRecord &record);

//--- Directory

/** A change of a target's phase. */
struct TargetChange
{
    TargetPtr target;
    TargetPhase before = TargetPhase::Departed;
    bool isNew = false;
};

/** Not thread safe: owned by one event loop. */
class TargetDirectory
{
public:
    explicit TargetDirectory(const FlowSettings &settings);

    /** Applies a complete target list, from the store's response to a request sent at `requestedAt`. */
    std::vector<TargetChange> updateAll(const std::vector<TargetRecord> &records, TimePoint requestedAt, TimePoint now);
    /** Adds or updates a single target. */
    std::vector<TargetChange> update(const TargetRecord &record, TimePoint now);
    /** Marks a target as missing because the store no longer has its record. */
    std::vector<TargetChange> remove(const std::string &name, TimePoint now);
    /**
     * The store responded to a request sent at `requestedAt`. Unlists targets that had been missing for too long by then, and marks targets departed whose
     * address a newer process has taken over.
     */
    std::vector<TargetChange> confirm(TimePoint requestedAt, TimePoint now);
    /** Marks an unlisted target departed after a failed connection check. No effect in other phases. */
    std::vector<TargetChange> markDeparted(const TargetPtr &target, TimePoint now);
    /** Removes unlisted and departed targets after the token lifetime, when all their flows have ended. */
    void expire(TimePoint now);

    /** Whether a target list has been loaded. */
    bool isLoaded() const;
    /** When the latest request that the store has responded to was sent. */
    TimePoint confirmedAt() const;
    /** When the store last listed a target; TimePoint{} if it is not listed. */
    TimePoint listedAt(const Target &target) const;
    /** Whether any target is missing, so that the store should be queried soon. */
    bool hasMissing() const;
    /** The target that a token belongs to, or null. */
    TargetPtr findToken(RoutingToken token) const;
    /** Listed and missing targets of a service, sorted by name. */
    const std::vector<TargetPtr> &targetsOf(const std::string &service) const;
    /** All known targets: listed and missing ones sorted by name, then unlisted and departed ones. */
    std::vector<TargetPtr> all() const;

private:
    void add(const TargetRecord &record, TimePoint now, std::vector<TargetChange> &changes);
    void setPhase(const TargetPtr &target, TargetPhase phase, TimePoint now, std::vector<TargetChange> &changes);
    void markMissing(const TargetPtr &target, TimePoint now, std::vector<TargetChange> &changes);
    void removeFromService(const TargetPtr &target);
    void markReplacedDeparted(TimePoint now, std::vector<TargetChange> &changes);
    TargetPtr restoreOrCreate(const TargetRecord &record);
    // On a collision, the token belongs to the target with the lower incarnation, so that all instances agree.
    void assignToken(const TargetPtr &target);

    const FlowSettings &settings;
    std::map<std::string, TargetPtr> listed; // listed or missing; the newest process for each name
    std::vector<TargetPtr> delisted;         // unlisted and departed targets
    std::unordered_map<RoutingToken, TargetPtr> tokens;
    std::map<std::string, std::vector<TargetPtr>> services;
    TimePoint confirmed;
    bool loaded = false;
};

} // namespace hornbeam
