#include "flows/flowtracker.h"

#include <algorithm>

namespace hornbeam {

namespace {
// sequence numbers wrap around
bool isAfter(uint32_t a, uint32_t b)
{
    return static_cast<int32_t>(a - b) > 0;
}

bool countsAsOpen(const FlowState &state)
{
    return state.target != nullptr && !state.isClosing && !state.isReset;
}
}

FlowTracker::FlowTracker(const FlowSettings &settings, uint64_t &forgotten) : settings(settings), forgotten(forgotten)
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
        this->order.splice(this->order.end(), this->order, found->second);
        found->second->lastSeen = now;
        return *found->second;
    }
    if (this->flows.size() >= this->settings.maxFlows) {
        ++this->forgotten;
        this->drop(this->order.begin());
    }
    FlowState state;
    state.flow = flow;
    state.firstSeen = now;
    state.lastSeen = now;
    this->order.push_back(std::move(state));
    this->flows.emplace(flow, std::prev(this->order.end()));
    return this->order.back();
}

void FlowTracker::assign(FlowState &state, const TargetPtr &target)
{
    if (state.target == target) {
        return;
    }
    if (countsAsOpen(state)) {
        --state.target->openFlows;
    }
    state.target = target;
    if (countsAsOpen(state)) {
        ++state.target->openFlows;
    }
}

void FlowTracker::addOpening(const FlowState &state, TimePoint now)
{
    this->openings.push_back({ state.flow, now });
}

void FlowTracker::markReset(FlowState &state)
{
    if (countsAsOpen(state)) {
        --state.target->openFlows;
    }
    state.isReset = true;
}

FlowEvidence FlowTracker::observe(FlowState &state, const FlowPacket &packet, TimePoint now)
{
    this->order.splice(this->order.end(), this->order, this->flows.at(state.flow));
    state.lastSeen = now;
    FlowEvidence evidence;
    if (!state.isOpen || isAfter(packet.acknowledged, state.acknowledged)) {
        if (state.unansweredSince != TimePoint{} && state.repeats == 0) {
            evidence.answered = now - state.unansweredSince;
        }
        state.isOpen = true;
        state.acknowledged = packet.acknowledged;
        state.unansweredSince = TimePoint{};
        state.repeats = 0;
        evidence.isProgress = true;
    }
    const uint32_t end = packet.sequence + packet.contentBytes;
    if (packet.contentBytes > 0 && (state.contentEnd == 0 || isAfter(end, state.contentEnd))) {
        state.contentEnd = end;
        if (state.unansweredSince == TimePoint{}) {
            state.unansweredSince = now;
            this->requests.push_back({ state.flow, now });
        }
    } else if (packet.contentBytes > 0 && !evidence.isProgress) {
        ++state.repeats;
        evidence.isRepeat = true;
    }
    if (packet.isClosing && !state.isClosing) {
        const bool wasOpen = countsAsOpen(state);
        state.isClosing = true;
        state.target->openFlows -= wasOpen ? 1 : 0;
    }
    return evidence;
}

void FlowTracker::expire(TimePoint now, Duration idleTimeout)
{
    while (!this->order.empty() && now - this->order.front().lastSeen >= idleTimeout) {
        this->drop(this->order.begin());
    }
    // closed flows stand among the recent ones
    for (auto position = this->order.begin(); position != this->order.end();) {
        const auto next = std::next(position);
        if ((position->isClosing || position->isReset) && now - position->lastSeen >= this->settings.closedFlowKept) {
            this->drop(position);
        }
        position = next;
    }
}

void FlowTracker::remove(const FlowKey &flow)
{
    const auto found = this->flows.find(flow);
    if (found != this->flows.end()) {
        this->drop(found->second);
    }
}

std::vector<FlowState *> FlowTracker::takeUnanswered(TimePoint before)
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

std::vector<FlowState *> FlowTracker::takeOverdue(TimePoint now, const std::function<Duration(const FlowKey &)> &patience)
{
    std::vector<FlowState *> overdue;
    std::erase_if(this->requests, [&](const Awaited &request) {
        FlowState *state = this->find(request.flow);
        if (state == nullptr || state->unansweredSince != request.at || state->isReset || state->target == nullptr) {
            return true; // answered or ended
        }
        if (now - request.at < patience(request.flow)) {
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
    for (FlowState &state : this->order) {
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

std::vector<FlowState> FlowTracker::recent(size_t most) const
{
    std::vector<FlowState> found;
    for (auto state = this->order.rbegin(); state != this->order.rend() && found.size() < most; ++state) {
        found.push_back(*state);
    }
    return found;
}

void FlowTracker::drop(Order::iterator position)
{
    if (countsAsOpen(*position)) {
        --position->target->openFlows;
    }
    this->flows.erase(position->flow);
    this->order.erase(position);
}

} // namespace hornbeam
