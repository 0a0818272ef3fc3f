#pragma once

// The targets as the store lists them, what became of those that it no longer lists, and the routing tokens of both.
//
// Sections: records | directory

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

/** What the store says of one process of a target. */
struct TargetRecord
{
    std::string name; // unique in the system; a restarted process may keep it
    std::string service;
    Endpoint address;
    ZoneId zone = 0;
    uint64_t deliveryId = 0;  // written before each packet, so that a later user of the address ignores it
    uint64_t incarnation = 0; // of this process
    uint32_t slots = 1;       // requests that it serves at once, at least 1
    bool isDraining = false;
    Duration warmupLeft{ 0 }; // slow for this long from when the record was read

    bool operator==(const TargetRecord &) const = default;
};

enum class TargetPhase : uint8_t {
    Ready,
    Draining, // keeps its flows, gets no new ones
    Missing,  // the store lists it no longer, which may be an outage of the store
    Unlisted, // missing for longer than a return takes: gets no new flows, keeps those it has while it can be connected to
    Departed, // its process has ended: its flows are reset
    Count,
};

std::string_view nameOf(TargetPhase phase);

/** One process of a target and what this instance knows of it. */
struct Target
{
    TargetRecord record;
    RoutingToken token = 0;
    TargetPhase phase = TargetPhase::Ready;
    TimePoint phaseSince;
    TimePoint warmupEnd;       // slow until then
    bool isTokenTaken = false; // another target has the same token, so that no new flow may carry it

    uint32_t openFlows = 0; // through this instance, kept by FlowTracker

    // kept by AnswerTimes
    double slowness = 1;  // its answer times over those of its routes, a moving mean
    uint32_t answers = 0; // that were timed

    // kept by PassiveHealth
    TimePoint lastProgress;            // when a flow last showed that the target answers
    TimePoint silentSince;             // TimePoint{} unless the target is silent
    TimePoint checkedAt;               // when the last check of the connection began
    TimePoint nextCheck;               // of a silent target
    TimePoint refusedAt;               // when a connection was last refused; TimePoint{} once the store shows that the process lives on
    bool isIdentityUnverified = false; // silent, but the last check connected: maybe to another process at the address
    Duration recheckDelay{ 0 };        // doubles with each check of a silent target
    bool isChecking = false;           // a check is on its way
    uint32_t failedChecks = 0;         // in a row

    bool isSilent() const
    {
        return this->silentSince != TimePoint{};
    }
};

using TargetPtr = std::shared_ptr<Target>;

/** A token from a target's name and incarnation, the same at each instance; never 0. Thread safe. */
RoutingToken routingTokenOf(const TargetRecord &record);

//--- Directory

/** A change of a target's phase, for the log. */
struct TargetChange
{
    TargetPtr target;
    TargetPhase before = TargetPhase::Departed;
    bool isNew = false;
};

/** Not thread safe: one event loop owns it. */
class TargetDirectory
{
public:
    explicit TargetDirectory(const FlowSettings &settings);

    /** Takes a whole list of the store, asked for at `asked`. */
    std::vector<TargetChange> updateAll(const std::vector<TargetRecord> &records, TimePoint requestedAt, TimePoint now);
    /** Takes one changed record. */
    std::vector<TargetChange> update(const TargetRecord &record, TimePoint now);
    /** The store no longer has the record. */
    std::vector<TargetChange> remove(const std::string &name, TimePoint now);
    /** The store answered a question asked at `asked`: what is missing since long before is unlisted, what was replaced at its address has departed. */
    std::vector<TargetChange> confirm(TimePoint requestedAt, TimePoint now);
    /** An unlisted target can't be connected to: its process has ended. */
    std::vector<TargetChange> markDeparted(const TargetPtr &target, TimePoint now);
    /** Forgets targets whose flows have all ended. */
    void expire(TimePoint now);

    /** Whether a list was ever read. */
    bool isLoaded() const;
    /** When the store last answered, by the time of the question. */
    TimePoint confirmedAt() const;
    /** When the store last listed a target; TimePoint{} while it doesn't. */
    TimePoint listedAt(const Target &target) const;
    /** Whether the store must be asked soon, because a target is missing. */
    bool hasMissing() const;
    /** The target of a token, or null. */
    TargetPtr findToken(RoutingToken token) const;
    /** Targets of a service that are listed or missing, in the order of their names. */
    const std::vector<TargetPtr> &targetsOf(const std::string &service) const;
    /** All known targets, by name and incarnation. */
    std::vector<TargetPtr> all() const;

private:
    void add(const TargetRecord &record, TimePoint now, std::vector<TargetChange> &changes);
    void setPhase(const TargetPtr &target, TargetPhase phase, TimePoint now, std::vector<TargetChange> &changes);
    void markMissing(const TargetPtr &target, TimePoint now, std::vector<TargetChange> &changes);
    void removeFromService(const TargetPtr &target);
    void markReplacedDeparted(TimePoint now, std::vector<TargetChange> &changes);
    TargetPtr restoreOrCreate(const TargetRecord &record);
    // of two targets with one token the one with the earlier incarnation has it, so that all instances agree
    void assignToken(const TargetPtr &target);

    const FlowSettings &settings;
    std::map<std::string, TargetPtr> listed; // newest process of each name
    std::vector<TargetPtr> delisted;         // unlisted or departed
    std::unordered_map<RoutingToken, TargetPtr> tokens;
    std::map<std::string, std::vector<TargetPtr>> services;
    TimePoint confirmed;
    bool loaded = false;
};

} // namespace hornbeam
