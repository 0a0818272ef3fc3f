#pragma once

// State of recent flows, derived from the callers' packets only. This is a cache: packets of evicted flows are still forwarded by token.

#include "balancing/servicetimes.h"
#include "core/clock.h"
#include "flows/flowpacket.h"
#include "flows/flowsettings.h"
#include "flows/routetable.h"
#include "flows/targetdirectory.h"

#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace hornbeam {

struct FlowState
{
    FlowKey flow;
    TargetPtr target; // null if the token matches no known target
    RequestKind kind = RequestKind::NonIdempotent;
    TimePoint firstSeen;
    TimePoint lastSeen;
    TimePoint unansweredSince;    // when the oldest unacknowledged payload was first sent; TimePoint{} if there is none
    TimePoint outstandingSince;   // when the flow was counted in Target::outstandingRequests; TimePoint{} if it is not counted
    uint64_t placedByVersion = 0; // configuration by which this instance chose the target; 0 if it did not choose it
    uint32_t openingSequence = 0;
    uint32_t contentEnd = 0;   // sequence number after the last payload byte seen
    uint32_t acknowledged = 0; // highest acknowledged sequence number of the target's data
    uint16_t repeats = 0;      // retransmissions of the unacknowledged payload
    uint16_t openings = 0;     // number of opening packets seen
    bool isOpen = false;       // the caller has sent a packet after its opening packet
    bool isClosing = false;
    bool isReset = false; // a reset was sent to the caller
};

/** What a caller's packet reveals about the flow's target. */
struct FlowObservation
{
    bool isProgress = false;       // the target has answered
    bool isRetransmission = false; // payload was retransmitted without an answer in between
    Duration answerTime{ 0 };      // of a request that was not retransmitted; 0 if this packet acknowledges none
    uint32_t answerBytes = 0;      // of the answer, as far as this packet acknowledges it
    Duration roundTrip{ 0 };       // from the flow's only opening packet to this one; 0 if this is not the first packet after it
    bool isRequest = false;        // the packet begins a request
    Acknowledgement acknowledgement = Acknowledgement::Alone;
};

/** Updates Target::openFlows and Target::outstandingRequests, and counts requests in Target::observed. Not thread safe: owned by one event loop. */
class FlowTracker
{
public:
    /** `evictedCount` is incremented for each evicted flow. Precondition: both arguments outlive the tracker. */
    FlowTracker(const FlowSettings &settings, uint64_t &evictedCount);

    /** The state of a flow, or null. Valid until the next non-const call. */
    FlowState *find(const FlowKey &flow);
    /** Adds a flow, or returns the existing one. Evicts the least recently seen flow if the table is full. */
    FlowState &add(const FlowKey &flow, TimePoint now);
    void assign(FlowState &state, const TargetPtr &target);
    /** Records that an opening packet was sent to the flow's target. */
    void addOpening(FlowState &state, TimePoint now);
    /** Records that a reset was sent to the caller. */
    void markReset(FlowState &state);
    /** Updates a flow from a packet that is not an opening packet. Precondition: `state` has a target. */
    FlowObservation observe(FlowState &state, const FlowPacket &packet, TimePoint now);
    /** Removes flows that were idle for `idleTimeout`, and closed or reset flows after their retention time. */
    void expire(TimePoint now, Duration idleTimeout);
    void remove(const FlowKey &flow);
    /** Stops counting requests as outstanding that began before `before`: their answers may have been acknowledged through another instance. */
    void expireOutstanding(TimePoint before);
    /** Flows whose opening packet was sent before `before` and not followed by another packet of the caller. Each opening packet is reported once. */
    std::vector<FlowState *> takeUnansweredOpenings(TimePoint before);
    /** Flows with a request that has been unanswered for at least the time that `timeoutOf` returns for the flow. Each request is reported once. */
    std::vector<FlowState *> takeOverdueRequests(TimePoint now, const std::function<Duration(const FlowKey &)> &timeoutOf);
    /** All flows of a target. Valid until the next non-const call. */
    std::vector<FlowState *> flowsOf(const TargetPtr &target);
    size_t size() const;
    /** Copies of the most recently seen flows, newest first, at most `limit`. */
    std::vector<FlowState> recent(size_t limit) const;

private:
    using FlowList = std::list<FlowState>; // least recently seen first

    void eraseFlow(FlowList::iterator position);
    void beginOutstanding(FlowState &state, TimePoint now);
    static void endOutstanding(FlowState &state);

    struct PendingAnswer
    {
        FlowKey flow;
        TimePoint at; // when the opening packet or the request was sent
    };

    const FlowSettings &settings;
    uint64_t &evictedCount;
    FlowList flowsByLastSeen;
    std::unordered_map<FlowKey, FlowList::iterator> flows;
    std::deque<PendingAnswer> openings;    // oldest first
    std::deque<PendingAnswer> outstanding; // oldest first
    std::deque<PendingAnswer> requests;    // oldest first; entries of routes with long timeouts may stay behind later ones
};

} // namespace hornbeam
