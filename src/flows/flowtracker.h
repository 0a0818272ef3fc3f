#pragma once

// What the callers' half of recent flows showed. A cache: a flow that is forgotten is still forwarded by its token.

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
    TargetPtr target; // null when its token names no known target
    RequestKind kind = RequestKind::NonIdempotent;
    TimePoint firstSeen;
    TimePoint lastSeen;
    TimePoint unansweredSince; // when content was first sent that no acknowledgement has followed; TimePoint{} for none
    uint32_t openingSequence = 0;
    uint32_t contentEnd = 0;   // behind the last content byte seen
    uint32_t acknowledged = 0; // of the target's bytes
    uint16_t repeats = 0;      // of that content
    uint16_t openings = 0;     // opening packets seen
    bool isOpen = false;       // the caller has followed up its opening packet
    bool isClosing = false;
    bool isReset = false; // its caller was sent a reset
};

/** What a packet showed of its flow's target. */
struct FlowObservation
{
    bool isProgress = false;       // the target answered
    bool isRetransmission = false; // content was sent again without an answer in between
    Duration answerTime{ 0 };      // how long a request that was sent once took to be answered; 0 when no such answer came
};

/** Not thread safe: one event loop owns it. Keeps Target::openFlows. */
class FlowTracker
{
public:
    FlowTracker(const FlowSettings &settings, uint64_t &evictedCount);

    /** The state of a flow, or null. Valid until the next call that is not const. */
    FlowState *find(const FlowKey &flow);
    /** Adds a flow, or gives the one that is known. Forgets the flow that was seen least recently when full. */
    FlowState &add(const FlowKey &flow, TimePoint now);
    /** Sets the target of a flow. */
    void assign(FlowState &state, const TargetPtr &target);
    /** An opening packet was sent to the flow's target. */
    void addOpening(const FlowState &state, TimePoint now);
    /** The caller was sent a reset. */
    void markReset(FlowState &state);
    /** Takes a packet that does not open its flow. */
    FlowObservation observe(FlowState &state, const FlowPacket &packet, TimePoint now);
    /** Forgets flows that were idle for too long or have ended. */
    void expire(TimePoint now, Duration idleTimeout);
    /** Forgets one flow. */
    void remove(const FlowKey &flow);
    /** Opening packets sent to targets before `before` that no packet of their callers has followed; each is told once. */
    std::vector<FlowState *> takeUnansweredOpenings(TimePoint before);
    /** Requests that are not answered after the time that `patience` allows for their flows; each is told once, however late it gets. */
    std::vector<FlowState *> takeOverdueRequests(TimePoint now, const std::function<Duration(const FlowKey &)> &timeoutOf);
    /** All flows of a target. Valid until the next call that is not const. */
    std::vector<FlowState *> flowsOf(const TargetPtr &target);
    size_t size() const;
    /** Copies of the flows that were seen last, newest first, `most` at most. */
    std::vector<FlowState> recent(size_t limit) const;

private:
    using FlowList = std::list<FlowState>; // least recently seen first

    void eraseFlow(FlowList::iterator position);

    struct PendingAnswer
    {
        FlowKey flow;
        TimePoint at; // when its opening packet or its request was sent
    };

    const FlowSettings &settings;
    uint64_t &evictedCount;
    FlowList flowsByLastSeen;
    std::unordered_map<FlowKey, FlowList::iterator> flows;
    std::deque<PendingAnswer> openings; // oldest first
    std::deque<PendingAnswer> requests; // oldest first; those of patient routes stay among later ones
};

} // namespace hornbeam
