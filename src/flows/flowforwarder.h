#pragma once

// Forwards the packets of callers' flows. Every instance derives the same token for a target, so that any of them forwards any packet.
//
// Sections: results | forwarder

#include "core/clock.h"
#include "flows/answertimes.h"
#include "flows/flowcounters.h"
#include "flows/flowpacket.h"
#include "flows/flowsettings.h"
#include "flows/flowtracker.h"
#include "flows/passivehealth.h"
#include "flows/routetable.h"
#include "flows/targetchooser.h"
#include "flows/targetdirectory.h"

namespace hornbeam {

//--- Results

/** What to do with one packet. */
struct PacketDecision
{
    enum class Kind : uint8_t {
        Drop,
        Forward, // to `target`, with `token` written into the packet
        Reset,   // send `reset` to the caller
    };
    Kind kind = Kind::Drop;
    TargetPtr target;
    RoutingToken token = 0;
    FlowReset reset;
};

/** A target to connect to, with the time that this may take. */
struct ConnectionCheck
{
    TargetPtr target;
    Duration timeout;
};

/** What the forwarder asks for besides the packet at hand. */
struct FlowActions
{
    std::vector<FlowReset> resets;
    std::vector<ConnectionCheck> checks; // each ends with endCheck
    bool needsTargets = false;           // ask the store for the targets now
};

/** Told of each decision and each change of what the forwarder believes. Must not call it back. */
class FlowObserver
{
public:
    virtual ~FlowObserver() = default;
    virtual void onPlaced(const FlowState &state, const Route &route, uint64_t version, size_t candidates) = 0;
    virtual void onReset(const FlowReset &reset, ResetReason reason, const FlowState *state) = 0;
    virtual void onDropped(const FlowPacket &packet, DropReason reason) = 0;
    virtual void onTargetChange(const TargetChange &change) = 0;
    virtual void onTargetHealth(const Target &target, CheckOutcome outcome) = 0;
};

//--- Forwarder

/** Not thread safe: one event loop owns it. */
class FlowForwarder
{
public:
    /** Precondition: the clock and the observer outlive the forwarder. */
    FlowForwarder(const FlowSettings &settings, ZoneId ownZone, uint64_t seed, const Clock &clock, FlowObserver &observer);

    /** Decides on a caller's packet. */
    PacketDecision onPacket(const FlowPacket &packet, FlowActions &out);
    /** Puts a configuration in force; resets the flows of routes that it no longer has. */
    RouteTable::Update onConfiguration(const RouteConfiguration &configuration, FlowActions &out);
    /** The store's answer at `answered` named no newer configuration than the one in force. */
    void onConfigurationConfirmed(TimePoint answeredAt);
    /** Takes all targets of the store, as of an answer to a question asked at `asked`. */
    void onTargets(const std::vector<TargetRecord> &records, TimePoint requestedAt, FlowActions &out);
    /** Takes changes of single targets, and then the time of the question that they answer. */
    void onTargetChanges(const std::vector<TargetRecord> &updated, const std::vector<std::string> &removed, TimePoint requestedAt, FlowActions &out);
    /** The end of a connection check. */
    void endCheck(const TargetPtr &target, CheckOutcome outcome, FlowActions &out);
    /** Looks for openings without an answer, due checks and flows that have ended. Call it about each 20 ms. */
    void tick(FlowActions &out);

    /** Whether a configuration and the targets have been read. */
    bool isReady() const;
    const RouteTable &routeTable() const;
    const TargetDirectory &targetDirectory() const;
    const FlowCounters &flowCounters() const;
    FlowCounters &flowCounters();
    /** Times from a request to the first acknowledgement of its answer. */
    const Histogram &answerTimes() const;
    size_t flowCount() const;
    /** The flows that were seen last, newest first, `most` at most. */
    std::vector<FlowState> recentFlows(size_t limit) const;
    /** When the store last confirmed the configuration in force; TimePoint{} before. */
    TimePoint configurationConfirmedAt() const;

private:
    PacketDecision handleOpening(const FlowPacket &packet, FlowActions &out);
    PacketDecision placeFlow(const FlowPacket &packet, const Route &route, FlowActions &out);
    PacketDecision forwardEstablished(const FlowPacket &packet, FlowActions &out);
    PacketDecision handleUnknownToken(const FlowPacket &packet, FlowState &state, FlowActions &out);
    PacketDecision forwardTo(const TargetPtr &target, RoutingToken token);
    PacketDecision drop(const FlowPacket &packet, DropReason reason);
    PacketDecision rejectWithReset(const FlowPacket &packet, ResetReason reason, FlowState *state);
    void resetFlows(const TargetPtr &target, ResetReason reason, FlowActions &out);
    void checkRelatedTargets(const Target &failed, FlowActions &out);
    void checkReferenceTarget(const TargetPtr &suspect, FlowActions &out);
    void scheduleRecheck(const TargetPtr &target);
    void beginCheck(const TargetPtr &target, FlowActions &out);
    void handleTargetChanges(const std::vector<TargetChange> &changes, FlowActions &out);
    bool isConfigurationFresh() const;

    const FlowSettings settings;
    const ZoneId ownZone;
    const Clock &clock;
    FlowObserver &observer;
    FlowCounters counters;
    RouteTable routes;
    TargetDirectory directory;
    FlowTracker tracker;
    PassiveHealth health;
    TargetChooser chooser;
    AnswerTimes answers;
    std::vector<TargetPtr> rechecks; // silent targets, and draining ones that refused a connection
    TimePoint configurationConfirmed;
    TimePoint nextExpiry;
};

} // namespace hornbeam
