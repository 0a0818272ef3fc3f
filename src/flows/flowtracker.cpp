#include "flows/flowtracker.h"

#include <algorithm>

namespace hornbeam {

namespace {
// Sequence numbers wrap around.
bool isAfter(uint32_t a, uint32_t b)
{
    return static_cast<int32_t>(a - b) > 0;
}

bool countsAsOpen(const FlowState &state)
{
    return state.target != nullptr && !state.isClosing && !state.isReset;
}
}

FlowTracker::FlowTracker(const FlowSettings &settings, uint64_t &evictedCount) : settings(settings), evictedCount(evictedCount)
{
}

FlowState *FlowTracker::find(const FlowKey &flow)
{
    const auto found = this->flows.find(flow);
    return found == this->flows.end() ? nullptr : &*found->second;
}

FlowState &FlowTracker::add(const FlowKey &flow, TimePoint now)
{
    const auto found = this->flows.find(flow);
    if (found != this->flows.end()) {
        this->flowsByLastSeen.splice(this->flowsByLastSeen.end(), this->flowsByLastSeen, found->second);
        found->second->lastSeen = now;
        return *found->second;
    }
    if (this->flows.size() >= this->settings.maxFlows) {
        ++this->evictedCount;
        this->eraseFlow(this->flowsByLastSeen.begin());
    }
    FlowState state;
    state.flow = flow;
    state.firstSeen = now;
    state.lastSeen = now;
    this->flowsByLastSeen.push_back(std::move(state));
    this->flows.emplace(flow, std::prev(this->flowsByLastSeen.end()));
    return this->flowsByLastSeen.back();
}

void FlowTracker::assign(FlowState &state, const TargetPtr &target)
{
    if (state.target == target) {
        return;
    }
    if (countsAsOpen(state)) {
        --state.target->openFlows;
    }
    endOutstanding(state);
    state.target = target;
    if (countsAsOpen(state)) {
        ++state.target->openFlows;
    }
}

void FlowTracker::addOpening(FlowState &state, TimePoint now)
{
    this->beginOutstanding(state, now); // callers send their request as soon as the flow is open
    this->openings.push_back({ state.flow, now });
}

void FlowTracker::markReset(FlowState &state)
{
    if (countsAsOpen(state)) {
        --state.target->openFlows;
    }
    endOutstanding(state);
    state.isReset = true;
}

FlowObservation FlowTracker::observe(FlowState &state, const FlowPacket &packet, TimePoint now)
{
    this->flowsByLastSeen.splice(this->flowsByLastSeen.end(), this->flowsByLastSeen, this->flows.at(state.flow));
    state.lastSeen = now;
    FlowObservation observation;
    if (packet.contentBytes > 0) {
        observation.acknowledgement = Acknowledgement::WithRequest;
    } else if (packet.isClosing || packet.isReset) {
        observation.acknowledgement = Acknowledgement::WithClosing;
    }
    if (!state.isOpen && state.openings == 1) {
        observation.roundTrip = now - state.firstSeen;
    }
    if (!state.isOpen || isAfter(packet.acknowledged, state.acknowledged)) {
        if (state.unansweredSince != TimePoint{} && state.repeats == 0) {
            observation.answerTime = now - state.unansweredSince;
            observation.answerBytes = packet.acknowledged - state.acknowledged;
        }
        if (state.isOpen || packet.contentBytes == 0) {
            endOutstanding(state);
        }
        state.isOpen = true;
        state.acknowledged = packet.acknowledged;
        state.unansweredSince = TimePoint{};
        state.repeats = 0;
        observation.isProgress = true;
    }
    const uint32_t end = packet.sequence + packet.contentBytes;
    if (packet.contentBytes > 0 && (state.contentEnd == 0 || isAfter(end, state.contentEnd))) {
        state.contentEnd = end;
        if (state.unansweredSince == TimePoint{}) {
            state.unansweredSince = now;
            observation.isRequest = true;
            this->beginOutstanding(state, now);
            ++state.target->observed.requests;
            this->requests.push_back({ state.flow, now });
        }
    } else if (packet.contentBytes > 0 && !observation.isProgress) {
        ++state.repeats;
        observation.isRetransmission = true;
    }
    if (packet.isClosing && !state.isClosing) {
        const bool wasOpen = countsAsOpen(state);
        state.isClosing = true;
        state.target->openFlows -= wasOpen ? 1 : 0;
        endOutstanding(state);
    }
    return observation;
}

void FlowTracker::expire(TimePoint now, Duration idleTimeout)
{
    while (!this->flowsByLastSeen.empty() && now - this->flowsByLastSeen.front().lastSeen >= idleTimeout) {
        this->eraseFlow(this->flowsByLastSeen.begin());
    }
    // Closed flows may be anywhere in the list.
    for (auto position = this->flowsByLastSeen.begin(); position != this->flowsByLastSeen.end();) {
        const auto next = std::next(position);
        if ((position->isClosing || position->isReset) && now - position->lastSeen >= this->settings.closedFlowRetention) {
            this->eraseFlow(position);
        }
        position = next;
    }
}

void FlowTracker::remove(const FlowKey &flow)
{
    const auto found = this->flows.find(flow);
    if (found != this->flows.end()) {
        this->eraseFlow(found->second);
    }
}

void FlowTracker::expireOutstanding(TimePoint before)
{
    while (!this->outstanding.empty() && this->outstanding.front().at < before) {
        FlowState *state = this->find(this->outstanding.front().flow);
        if (state != nullptr && state->outstandingSince == this->outstanding.front().at) {
            endOutstanding(*state);
        }
        this->outstanding.pop_front();
    }
}

std::vector<FlowState *> FlowTracker::takeUnansweredOpenings(TimePoint before)
{
    std::vector<FlowState *> unanswered;
    while (!this->openings.empty() && this->openings.front().at < before) {
        FlowState *state = this->find(this->openings.front().flow);
        this->openings.pop_front();
        if (state != nullptr && !state->isOpen && !state->isReset && state->target != nullptr) {
            unanswered.push_back(state);
        }
    }
    return unanswered;
}

std::vector<FlowState *> FlowTracker::takeOverdueRequests(TimePoint now, const std::function<Duration(const FlowKey &)> &timeoutOf)
{
    std::vector<FlowState *> overdue;
    std::erase_if(this->requests, [&](const PendingAnswer &request) {
        FlowState *state = this->find(request.flow);
        if (state == nullptr || state->unansweredSince != request.at || state->isReset || state->target == nullptr) {
            return true; // answered, or the flow has ended
        }
        if (now - request.at < timeoutOf(request.flow)) {
            return false;
        }
        overdue.push_back(state);
        return true;
    });
    return overdue;
}

std::vector<FlowState *> FlowTracker::flowsOf(const TargetPtr &target)
{
    std::vector<FlowState *> found;
    for (FlowState &state : this->flowsByLastSeen) {
        if (state.target == target) {
            found.push_back(&state);
        }
    }
    return found;
}

size_t FlowTracker::size() const
{
    return this->flows.size();
}

std::vector<FlowState> FlowTracker::recent(size_t limit) const
{
    std::vector<FlowState> found;
    for (auto state = this->flowsByLastSeen.rbegin(); state != this->flowsByLastSeen.rend() && found.size() < limit; ++state) {
        found.push_back(*state);
    }
    return found;
}

void FlowTracker::eraseFlow(FlowList::iterator position)
{
    if (countsAsOpen(*position)) {
        --position->target->openFlows;
    }
    endOutstanding(*position);
    this->flows.erase(position->flow);
    this->flowsByLastSeen.erase(position);
}

void FlowTracker::beginOutstanding(FlowState &state, TimePoint now)
{
    if (state.outstandingSince == TimePoint{} && countsAsOpen(state)) {
        ++state.target->outstandingRequests;
        state.outstandingSince = now;
        this->outstanding.push_back({ state.flow, now });
    }
}

void FlowTracker::endOutstanding(FlowState &state)
{
    if (state.outstandingSince != TimePoint{}) {
        --state.target->outstandingRequests;
        state.outstandingSince = TimePoint{};
    }
}

} // namespace hornbeam
