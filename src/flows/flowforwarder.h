#pragma once

// Forwards the packets of callers' flows. All instances derive the same routing token for a target, so any instance can forward any packet of a flow.
//
// Sections: results | forwarder

#include "balancing/answerqueries.h"
#include "balancing/loadreports.h"
#include "core/clock.h"
#include "flows/answertimes.h"
#include "flows/evacuationrule.h"
#include "flows/flowcounters.h"
#include "flows/flowpacket.h"
#include "flows/flowsettings.h"
#include "flows/flowtracker.h"
#include "flows/passivehealth.h"
#include "flows/placement.h"
#include "flows/routetable.h"
#include "flows/targetdirectory.h"
#include "flows/warmuprule.h"

namespace hornbeam {

//--- Results

/** Result of processing a packet. */
struct PacketDecision
{
    enum class Kind : uint8_t {
        Drop,
        Forward, // send to `target`, with `token` written into the packet
        Reset,   // send `reset` to the caller
    };
    Kind kind = Kind::Drop;
    TargetPtr target;
    RoutingToken token = 0;
    FlowReset reset;
};

/** A connection attempt to a target that tests whether it is reachable. */
struct ConnectionCheck
{
    TargetPtr target;
    Duration timeout;
};

/** Actions for the owner of the forwarder to carry out, in addition to the packet decision. */
struct FlowActions
{
    std::vector<FlowReset> resets;
    std::vector<ConnectionCheck> checks; // report the result of each with endCheck
    bool needsTargets = false;           // request the target list from the store immediately
};

/** What the placement of a flow was based on. */
struct PlacementInputs
{
    uint64_t version = 0;        // of the active configuration
    TimePoint confirmedAt;       // when the store last confirmed that version; TimePoint{} if it has not done so yet
    size_t candidates = 0;       // listed targets of the service
    std::string selectedService; // by weight; the flow is on another one if that had no capacity
    ZoneChoice zoneChoice;       // by the shares of the zones
};

/** Receives decisions and state changes of the forwarder. Must not call back into the forwarder. */
class FlowObserver
{
public:
    virtual ~FlowObserver() = default;
    virtual void onPlaced(const FlowState &state, const Route &route, const PlacementInputs &inputs) = 0;
    /** A repeated opening packet was sent to the target that an earlier one was sent to. `version` is that of the active configuration. */
    virtual void onOpeningRepeated(const FlowState &state, const Route &route, uint64_t version) = 0;
    virtual void onNotAdmitted(const FlowReset &reset, const Route &route, const Target &target, const AdmissionVerdict &verdict) = 0;
    /** A new flow was rejected because rules exclude all usable targets of the service. */
    virtual void onRestricted(const FlowReset &reset, ResetReason reason, const Route &route, const Placement &placement) = 0;
    virtual void onReset(const FlowReset &reset, ResetReason reason, const FlowState *state) = 0;
    virtual void onDropped(const FlowPacket &packet, DropReason reason) = 0;
    virtual void onTargetChange(const TargetChange &change) = 0;
    virtual void onTargetHealth(const Target &target, CheckOutcome outcome) = 0;
    /** Other members are queried about a target that refuses connections. `answerAge`: an answer to one of them within this time speaks for the target. */
    virtual void onMembersQueried(const Target &target, Duration answerAge)
    {
        static_cast<void>(target);
        static_cast<void>(answerAge);
    }
    /** Another member has had an answer from a target that refuses connections, which is therefore kept. */
    virtual void onAnsweringOthers(const Target &target)
    {
        static_cast<void>(target);
    }
    /** A refused connection check of a target is inconclusive, because it may be overloaded. `grace`: how long it is given to answer. */
    virtual void onTargetSuspected(const Target &target, Duration grace)
    {
        static_cast<void>(target);
        static_cast<void>(grace);
    }
    /** The share of a service's new flows that is sent to other zones has changed noticeably. */
    virtual void onZoneShareChange(const ZoneShareChange &change)
    {
        static_cast<void>(change);
    }
    /** A target has become cold or warm. `limit`: the opening packets that it may receive in a second from all instances; nothing without a limit. */
    virtual void onTargetWarmup(const Target &target, bool isCold, std::optional<uint32_t> limit)
    {
        static_cast<void>(target);
        static_cast<void>(isCold);
        static_cast<void>(limit);
    }
};

//--- Forwarder

/** Not thread safe: owned by one event loop. */
class FlowForwarder final : public AnswerSource
{
public:
    /** Precondition: `clock` and `observer` outlive the forwarder. */
    FlowForwarder(const FlowSettings &settings, ZoneId ownZone, uint64_t seed, const Clock &clock, FlowObserver &observer);

    /** Decides what to do with a caller's packet. */
    PacketDecision onPacket(const FlowPacket &packet, FlowActions &out);
    /** Activates a configuration. Flows of routes that it no longer contains are reset when their next packet arrives. */
    RouteTable::Update onConfiguration(const RouteConfiguration &configuration, FlowActions &out);
    /** The store's response at `answeredAt` contained no configuration newer than the active one. */
    void onConfigurationConfirmed(TimePoint answeredAt);
    /** Applies a complete target list, from the store's response to a request sent at `requestedAt`. */
    void onTargets(const std::vector<TargetRecord> &records, TimePoint requestedAt, FlowActions &out);
    /** Applies changes of individual targets, from the store's response to a request sent at `requestedAt`. */
    void onTargetChanges(const std::vector<TargetRecord> &updated, const std::vector<std::string> &removed, TimePoint requestedAt, FlowActions &out);
    /** Replaces the set of evacuated zones, whose targets get no new flows. Open flows stay. */
    void onEvacuations(const std::set<ZoneId> &zones);
    /** Processes the result of a connection check. */
    void endCheck(const TargetPtr &target, CheckOutcome outcome, FlowActions &out);
    /** Sets the number of live instances, including this one, in all zones and in the own zone. */
    void setInstanceCounts(size_t allZones, size_t ownZone);
    /** The load that this instance causes, to be reported to other members of the zone. */
    OwnLoad ownLoad() const;
    /** Applies the load that other members of the zone have reported. */
    void onReportedLoad(const ReportedLoad &load);
    /** Sets where reports of other zones' load come from; may be null. Precondition: `loads` outlives the forwarder's use. */
    void setZoneLoads(ZoneLoads *loads);
    /** Sets what queries other members about targets that refuse connections; may be null, and then they aren't queried. Precondition: `queries` outlives the
     * forwarder's use. */
    void setAnswerQueries(AnswerQueries *queries);
    /** Sets what divides the limits of cold targets among instances; until then, such targets get no new flows. Precondition: `shares` outlives the forwarder.
     */
    void setBudgetShares(const BudgetShares &shares);
    /** Detects unanswered packets, starts due checks and expires old flows. Call about every 20 ms. */
    void tick(FlowActions &out);

    TimePoint lastAnswerOf(uint32_t token) const override;

    /** Whether the configuration and the target list have been loaded, and the evacuated zones if they are needed and arrive in time. */
    bool isReady() const;
    const EvacuationRule &evacuationRule() const;
    /** Whether a target may be given a new flow now, apart from its health and phase. */
    CandidateStatus candidateStatusOf(const Target &target) const;
    const RouteTable &routeTable() const;
    const TargetDirectory &targetDirectory() const;
    /** The placement of a flow that does not exist yet. Changes nothing. */
    PlacementPreview previewPlacement(const Route &route, const FlowKey &flow) const;
    /** The shares of the zones. */
    const ZoneRouting &zoneRouting() const;
    /** Cold targets as of the last tick. */
    const ColdTargets &coldTargets() const;
    const FlowCounters &flowCounters() const;
    FlowCounters &flowCounters();
    /** Histogram of the time from a request to the first acknowledgement of its answer. */
    const Histogram &answerTimes() const;
    size_t flowCount() const;
    /** The most recently seen flows, newest first, at most `limit`. */
    std::vector<FlowState> recentFlows(size_t limit) const;
    /** When the store last confirmed the active configuration; TimePoint{} if it has not done so yet. */
    TimePoint configurationConfirmedAt() const;
    /** Load and expected waiting time of the services. */
    std::map<std::string, WaitingAdmission::ServiceState> serviceStates() const;

private:
    PacketDecision handleOpening(const FlowPacket &packet, FlowActions &out);
    PacketDecision placeFlow(const FlowPacket &packet, const Route &route, FlowActions &out);
    bool mayRepeatOpening(const Target &target, TimePoint now) const;
    PacketDecision forwardEstablished(const FlowPacket &packet, FlowActions &out);
    PacketDecision handleUnknownToken(const FlowPacket &packet, FlowState &state, FlowActions &out);
    PacketDecision forwardTo(const TargetPtr &target, RoutingToken token);
    PacketDecision drop(const FlowPacket &packet, DropReason reason);
    PacketDecision rejectOverloaded(const FlowPacket &packet, const Route &route, const Target &target, const AdmissionVerdict &verdict);
    PacketDecision rejectRestricted(const FlowPacket &packet, const Route &route, const Placement &placement);
    PacketDecision rejectWithReset(const FlowPacket &packet, ResetReason reason, FlowState *state);
    void resetFlows(const TargetPtr &target, ResetReason reason, FlowActions &out);
    void checkRelatedTargets(const Target &failed, FlowActions &out);
    void checkReferenceTarget(const TargetPtr &suspect, FlowActions &out);
    void scheduleRecheck(const TargetPtr &target);
    void beginCheck(const TargetPtr &target, FlowActions &out);
    void beginEvacuationWait();
    void handleTargetChanges(const std::vector<TargetChange> &changes, FlowActions &out);
    void updateColdTargets(TimePoint now);
    void countColdOpening(const Target &target, TimePoint now);
    bool isConfigurationFresh() const;
    bool mayBeFull(const Target &target) const;
    CheckContext checkContextOf(const Target &target, CheckOutcome outcome) const;
    void updateQuery(const Target &target, HealthVerdict verdict);

    const FlowSettings settings;
    const ZoneId ownZone;
    const Clock &clock;
    FlowObserver &observer;
    FlowCounters counters;
    RouteTable routes;
    TargetDirectory directory;
    FlowTracker tracker;
    PassiveHealth health;
    EvacuationRule evacuations;
    FlowPlacement placement;
    WarmupRule warmup;
    ColdTargets cold;
    TimePoint nextColdUpdate;
    AnswerTimes answers;
    std::vector<TargetPtr> rechecks; // silent targets, and draining targets that refused a connection
    AnswerQueries *answerQueries = nullptr;
    size_t instanceCount = 1;
    TimePoint configurationConfirmed;
    TimePoint nextExpiry;
};

} // namespace hornbeam
