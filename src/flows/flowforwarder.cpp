// What becomes of packets. Store updates and checks: flowupdates.cpp.
//
// Sections: incoming packets | opening packets | established flows | timers | state

#include "flows/flowforwarder.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr Duration expiryInterval = seconds(1);
}

FlowForwarder::FlowForwarder(const FlowSettings &settings, ZoneId ownZone, uint64_t seed, const Clock &clock, FlowObserver &observer)
    : settings(settings)
    , ownZone(ownZone)
    , clock(clock)
    , observer(observer)
    , directory(this->settings)
    , tracker(this->settings, this->counters.events[static_cast<size_t>(FlowCounter::FlowsForgotten)])
    , health(this->settings, this->counters)
    , evacuations(this->settings)
    , placement(this->settings, this->directory, ownZone, seed)
    , warmup(this->settings, this->routes, ownZone)
{
    this->placement.addRule(this->evacuations);
    this->placement.addRule(this->warmup);
}

//--- Incoming packets

PacketDecision FlowForwarder::onPacket(const FlowPacket &packet, FlowActions &out)
{
    return packet.isOpening ? this->handleOpening(packet, out) : this->forwardEstablished(packet, out);
}

//--- Opening packets

PacketDecision FlowForwarder::handleOpening(const FlowPacket &packet, FlowActions &out)
{
    if (!this->routes.isLoaded()) {
        return this->drop(packet, DropReason::NoConfiguration);
    }
    const Route *route = this->routes.find(packet.flow.service);
    if (route == nullptr && this->routes.isDropped(packet.flow.service)) {
        return this->rejectWithReset(packet, ResetReason::RouteDropped, nullptr);
    }
    if (route == nullptr) {
        return this->isConfigurationFresh() ? this->rejectWithReset(packet, ResetReason::RouteUnknown, nullptr)
                                            : this->drop(packet, DropReason::RouteUnconfirmed);
    }
    if (!this->directory.isLoaded()) {
        return this->drop(packet, DropReason::NoTargets);
    }
    if (!this->evacuations.mayPlace(this->clock.now())) {
        return this->drop(packet, DropReason::NoEvacuations);
    }
    return this->placeFlow(packet, *route, out);
}

PacketDecision FlowForwarder::placeFlow(const FlowPacket &packet, const Route &route, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    FlowState *known = this->tracker.find(packet.flow);
    if (known != nullptr && (known->openingSequence != packet.sequence || known->isClosing || known->isReset)) {
        this->tracker.remove(packet.flow); // the caller reuses the port for a new flow
        known = nullptr;
    }
    TargetPtr previousTarget = known != nullptr ? known->target : nullptr;
    const bool isAnswering = previousTarget != nullptr && (known->isOpen || previousTarget->lastProgress > known->firstSeen);
    const bool isMoveLimitReached = known != nullptr && known->openings > this->settings.maxOpeningMoves;
    // The configuration may have changed since the previous opening packet.
    const bool isPermitted = previousTarget != nullptr && (known->isOpen || RouteTable::hasShare(route, previousTarget->record.service));
    if (isPermitted && (isAnswering || isMoveLimitReached) && this->mayRepeatOpening(*previousTarget, now)) {
        ++known->openings;
        known->lastSeen = now;
        this->countColdOpening(*previousTarget, now);
        this->placement.recordOpening(*previousTarget, now);
        this->observer.onOpeningRepeated(*known, route, this->routes.version());
        return this->forwardTo(previousTarget, previousTarget->token); // if the target is answering, a packet was lost
    }
    // An open flow neither moves nor is reset because its target gets no opening packets any more.
    if (previousTarget != nullptr && known->isOpen && previousTarget->phase != TargetPhase::Departed && !previousTarget->isSilent()
        && this->placement.statusOf(*previousTarget, now) != CandidateStatus::Eligible) {
        return this->drop(packet, DropReason::AlreadyOpen);
    }
    if (previousTarget != nullptr && this->health.needsCheck(*previousTarget, known->firstSeen, now)) {
        this->beginCheck(previousTarget, out);
    }
    const Placement result = this->placement.place(route, { packet.flow, previousTarget, packet.acknowledged != 0 }, now);
    switch (result.outcome) {
    case PlacementOutcome::Placed:
        break;
    case PlacementOutcome::Overloaded:
        return this->rejectOverloaded(packet, route, *result.target, result.verdict);
    case PlacementOutcome::Restricted:
        return this->rejectRestricted(packet, route, result);
    default:
        return this->rejectWithReset(packet, ResetReason::NoTarget, nullptr);
    }
    this->countColdOpening(*result.target, now);
    FlowState &state = this->tracker.add(packet.flow, now);
    state.openingSequence = packet.sequence;
    state.kind = route.kind;
    state.placedByVersion = this->routes.version();
    ++state.openings;
    this->tracker.assign(state, result.target);
    this->tracker.addOpening(state, now);
    this->counters.add(previousTarget == nullptr ? FlowCounter::FlowsPlaced : FlowCounter::FlowsMoved);
    this->counters.add(FlowCounter::PlacedOtherShare, result.service == result.selectedService ? 0 : 1);
    this->counters.add(FlowCounter::PlacedOtherZone, result.target->record.zone == this->ownZone ? 0 : 1);
    this->counters.add(FlowCounter::PlacedByZoneShare, result.isByZoneShare && result.target->record.zone != this->ownZone ? 1 : 0);
    this->observer.onPlaced(state, route,
                            { this->routes.version(), this->configurationConfirmed, result.candidates, result.selectedService, result.zoneChoice });
    return this->forwardTo(result.target, result.target->token);
}

// Whether a target that was sent an opening packet may be sent its copies, too.
bool FlowForwarder::mayRepeatOpening(const Target &target, TimePoint now) const
{
    return target.phase == TargetPhase::Ready && !target.isSilent() && this->placement.statusOf(target, now) == CandidateStatus::Eligible;
}

//--- Established flows

PacketDecision FlowForwarder::forwardEstablished(const FlowPacket &packet, FlowActions &out)
{
    if (packet.token == 0) {
        return this->drop(packet, DropReason::NoToken);
    }
    const TimePoint now = this->clock.now();
    FlowState &state = this->tracker.add(packet.flow, now);
    const TargetPtr target = this->directory.findToken(packet.token);
    if (target == nullptr) {
        return this->handleUnknownToken(packet, state, out);
    }
    this->tracker.assign(state, target);
    const Route *route = this->routes.find(packet.flow.service);
    if (route != nullptr) {
        state.kind = route->kind;
    } else if (this->routes.isDropped(packet.flow.service)) {
        return this->rejectWithReset(packet, ResetReason::RouteDropped, &state);
    }
    if (target->phase == TargetPhase::Departed) {
        return this->rejectWithReset(packet, ResetReason::TargetDeparted, &state);
    }
    const FlowObservation observation = this->tracker.observe(state, packet, now);
    if (observation.isProgress) {
        this->health.recordProgress(*target, now);
    }
    if (observation.isRequest) {
        this->placement.recordRequest(target);
    }
    target->observed.bytes += packet.contentBytes;
    if (route != nullptr && observation.answerTime > Duration{ 0 }) {
        this->answers.add(packet.flow.service, *target, observation.answerTime);
    }
    if (route != nullptr) {
        this->placement.onObservation(*route, *target, observation, now);
    }
    if (packet.isReset || packet.isClosing) {
        return this->forwardTo(target, packet.token);
    }
    if (this->health.isConfirmedSilent(*target, now)) {
        return this->rejectWithReset(packet, ResetReason::TargetSilent, &state);
    }
    if (observation.isRetransmission) {
        PassiveHealth::recordOverdueRequest(*target, state.unansweredSince, this->answers.meanOf(packet.flow.service));
    }
    // Another instance may have placed the flow after this instance marked the target silent.
    const bool isSuspect = observation.isRetransmission || target->isSilent();
    if (isSuspect && this->health.needsCheck(*target, observation.isRetransmission ? state.unansweredSince : now, now)) {
        this->beginCheck(target, out);
    }
    return this->forwardTo(target, packet.token);
}

// The token may belong to a target that has just registered, or to one that departed before this process started.
PacketDecision FlowForwarder::handleUnknownToken(const FlowPacket &packet, FlowState &state, FlowActions &out)
{
    this->tracker.assign(state, nullptr);
    const TimePoint confirmed = this->directory.confirmedAt();
    if (this->directory.isLoaded() && confirmed - state.firstSeen >= this->settings.missingTimeout) {
        return this->rejectWithReset(packet, ResetReason::TargetUnknown, &state);
    }
    out.needsTargets = true;
    return this->drop(packet, DropReason::TargetUnconfirmed);
}

PacketDecision FlowForwarder::forwardTo(const TargetPtr &target, RoutingToken token)
{
    this->counters.add(FlowCounter::PacketsForwarded);
    PacketDecision decision;
    decision.kind = PacketDecision::Kind::Forward;
    decision.target = target;
    decision.token = token;
    return decision;
}

PacketDecision FlowForwarder::drop(const FlowPacket &packet, DropReason reason)
{
    this->counters.add(reason);
    this->observer.onDropped(packet, reason);
    return {};
}

PacketDecision FlowForwarder::rejectOverloaded(const FlowPacket &packet, const Route &route, const Target &target, const AdmissionVerdict &verdict)
{
    this->counters.add(ResetReason::Overloaded);
    this->counters.add(FlowCounter::RefusedByWaiting, verdict.waiting.isAdmitted ? 0 : 1);
    PacketDecision decision;
    decision.kind = PacketDecision::Kind::Reset;
    decision.reset = { packet.flow, packet.sequence };
    this->observer.onNotAdmitted(decision.reset, route, target, verdict);
    return decision;
}

PacketDecision FlowForwarder::rejectRestricted(const FlowPacket &packet, const Route &route, const Placement &placement)
{
    const ResetReason reason = placement.restriction == CandidateStatus::Evacuated ? ResetReason::Evacuated : ResetReason::Restricted;
    this->counters.add(reason);
    this->counters.add(FlowCounter::WarmupLimited, placement.restriction == CandidateStatus::WarmupLimited ? 1 : 0);
    PacketDecision decision;
    decision.kind = PacketDecision::Kind::Reset;
    decision.reset = { packet.flow, packet.sequence };
    this->observer.onRestricted(decision.reset, reason, route, placement);
    return decision;
}

PacketDecision FlowForwarder::rejectWithReset(const FlowPacket &packet, ResetReason reason, FlowState *state)
{
    this->counters.add(reason);
    PacketDecision decision;
    decision.kind = PacketDecision::Kind::Reset;
    decision.reset = { packet.flow, packet.isOpening ? packet.sequence : packet.acknowledged };
    this->observer.onReset(decision.reset, reason, state);
    if (state != nullptr) {
        this->tracker.markReset(*state);
    }
    return decision;
}

//--- Timers

void FlowForwarder::tick(FlowActions &out)
{
    const TimePoint now = this->clock.now();
    this->updateColdTargets(now);
    for (FlowState *state : this->tracker.takeUnansweredOpenings(now - this->settings.openingTimeout)) {
        if (this->health.needsCheck(*state->target, state->firstSeen, now)) {
            this->beginCheck(state->target, out);
        }
    }
    for (const ZoneShareChange &change : this->placement.updateZoneShares(now)) {
        this->observer.onZoneShareChange(change);
    }
    this->tracker.expireOutstanding(now - this->settings.outstandingTimeout);
    this->placement.tick(now);
    const auto answerTimeout = [this](const FlowKey &flow) {
        return std::max(this->settings.minAnswerTimeout, this->settings.answerTimeoutFactor * this->answers.meanOf(flow.service));
    };
    for (FlowState *state : this->tracker.takeOverdueRequests(now, answerTimeout)) {
        PassiveHealth::recordOverdueRequest(*state->target, state->unansweredSince, this->answers.meanOf(state->flow.service));
        if (this->health.needsCheck(*state->target, state->unansweredSince, now)) {
            this->beginCheck(state->target, out);
        }
    }
    std::erase_if(this->rechecks, [](const TargetPtr &target) {
        const bool needsRecheck = target->isSilent() || target->refusedAt != TimePoint{};
        return !needsRecheck || target->phase == TargetPhase::Departed;
    });
    for (const TargetPtr &target : this->rechecks) {
        if (this->health.isDue(*target, now)) {
            this->beginCheck(target, out);
        }
    }
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->tracker.expire(now, this->routes.idleTimeout());
        this->directory.expire(now);
        this->warmup.expire(now);
    }
}

//--- State

bool FlowForwarder::isReady() const
{
    return this->routes.isLoaded() && this->directory.isLoaded() && this->evacuations.mayPlace(this->clock.now());
}

const EvacuationRule &FlowForwarder::evacuationRule() const
{
    return this->evacuations;
}

CandidateStatus FlowForwarder::candidateStatusOf(const Target &target) const
{
    return this->placement.statusOf(target, this->clock.now());
}

const RouteTable &FlowForwarder::routeTable() const
{
    return this->routes;
}

const TargetDirectory &FlowForwarder::targetDirectory() const
{
    return this->directory;
}

PlacementPreview FlowForwarder::previewPlacement(const Route &route, const FlowKey &flow) const
{
    return this->placement.preview(route, flow, this->clock.now());
}

const ZoneRouting &FlowForwarder::zoneRouting() const
{
    return this->placement.zoneRouting();
}

const ColdTargets &FlowForwarder::coldTargets() const
{
    return this->cold;
}

const FlowCounters &FlowForwarder::flowCounters() const
{
    return this->counters;
}

FlowCounters &FlowForwarder::flowCounters()
{
    return this->counters;
}

const Histogram &FlowForwarder::answerTimes() const
{
    return this->answers.histogram();
}

size_t FlowForwarder::flowCount() const
{
    return this->tracker.size();
}

std::vector<FlowState> FlowForwarder::recentFlows(size_t limit) const
{
    return this->tracker.recent(limit);
}

TimePoint FlowForwarder::configurationConfirmedAt() const
{
    return this->configurationConfirmed;
}

std::map<std::string, WaitingAdmission::ServiceState> FlowForwarder::serviceStates() const
{
    return this->placement.serviceStates();
}

bool FlowForwarder::isConfigurationFresh() const
{
    return this->clock.now() - this->configurationConfirmed < this->settings.freshnessLifetime;
}

} // namespace hornbeam
