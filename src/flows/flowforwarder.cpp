// Sections: incoming packets | opening packets | established flows | store updates and checks | timers | state

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
    , placement(this->settings, this->directory, ownZone, seed)
{
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
        this->placement.recordOpening(*previousTarget, now);
        this->observer.onOpeningRepeated(*known, route, this->routes.version());
        return this->forwardTo(previousTarget, previousTarget->token); // if the target is answering, a packet was lost
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
    default:
        return this->rejectWithReset(packet, result.outcome == PlacementOutcome::Restricted ? ResetReason::Restricted : ResetReason::NoTarget, nullptr);
    }
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
    this->observer.onPlaced(state, route, { this->routes.version(), this->configurationConfirmed, result.candidates, result.selectedService });
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

//--- Store updates and checks

RouteTable::Update FlowForwarder::onConfiguration(const RouteConfiguration &configuration, FlowActions &)
{
    const RouteTable::Update update = this->routes.update(configuration);
    if (update == RouteTable::Update::Applied) {
        this->placement.onRoutes(this->routes);
    }
    return update;
}

void FlowForwarder::onConfigurationConfirmed(TimePoint answeredAt)
{
    this->configurationConfirmed = std::max(this->configurationConfirmed, answeredAt);
}

void FlowForwarder::onTargets(const std::vector<TargetRecord> &records, TimePoint requestedAt, FlowActions &out)
{
    this->handleTargetChanges(this->directory.updateAll(records, requestedAt, this->clock.now()), out);
}

void FlowForwarder::onTargetChanges(const std::vector<TargetRecord> &updated, const std::vector<std::string> &removed, TimePoint requestedAt, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    for (const TargetRecord &record : updated) {
        this->handleTargetChanges(this->directory.update(record, now), out);
    }
    for (const std::string &name : removed) {
        this->handleTargetChanges(this->directory.remove(name, now), out);
    }
    this->handleTargetChanges(this->directory.confirm(requestedAt, now), out);
}

void FlowForwarder::handleTargetChanges(const std::vector<TargetChange> &changes, FlowActions &out)
{
    for (const TargetChange &change : changes) {
        this->observer.onTargetChange(change);
        const TargetPtr &target = change.target;
        if (change.isNew) {
            if (target->isSilent()) {
                this->scheduleRecheck(target); // a known silent target whose entry has returned
            }
        } else if (target->phase == TargetPhase::Departed) {
            this->resetFlows(target, ResetReason::TargetDeparted, out);
        } else if (target->phase == TargetPhase::Unlisted && target->isSilent()) {
            this->handleTargetChanges(this->directory.markDeparted(target, this->clock.now()), out);
        } else if (target->phase == TargetPhase::Unlisted && !target->isChecking && target->openFlows > 0) {
            this->beginCheck(target, out);
        }
    }
}

void FlowForwarder::endCheck(const TargetPtr &target, CheckOutcome outcome, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    const bool wasSilent = target->isSilent();
    const HealthVerdict verdict = this->health.endCheck(*target, outcome, this->directory.listedAt(*target), this->mayBeFull(*target), now);
    if (wasSilent != target->isSilent()) {
        this->observer.onTargetHealth(*target, outcome);
    }
    if (target->isSilent() && target->phase == TargetPhase::Unlisted) {
        this->handleTargetChanges(this->directory.markDeparted(target, now), out);
    } else if (verdict == HealthVerdict::Silent) {
        this->resetFlows(target, ResetReason::TargetSilent, out);
        this->scheduleRecheck(target);
        this->checkRelatedTargets(*target, out);
    } else if (verdict == HealthVerdict::CheckLater) {
        this->scheduleRecheck(target);
    } else if (verdict == HealthVerdict::StillSilent) {
        this->resetFlows(target, ResetReason::TargetSilent, out); // flows that arrived during the check
    } else if (verdict == HealthVerdict::CheckAgain) {
        this->beginCheck(target, out);
        this->checkReferenceTarget(target, out);
    }
}

// This instance sees only its own share of the target's flows.
bool FlowForwarder::mayBeFull(const Target &target) const
{
    const uint32_t limit = this->routes.connectionLimitOf(target.record.service);
    return limit > 0 && this->instanceCount * target.openFlows * this->settings.fullTargetMargin >= limit;
}

// Checks the target with the most recent answer, to find out whether connections get through the own link at all.
void FlowForwarder::checkReferenceTarget(const TargetPtr &suspect, FlowActions &out)
{
    TargetPtr reference;
    for (const TargetPtr &target : this->directory.all()) {
        const bool isUsable = target != suspect && target->phase != TargetPhase::Departed && !target->isSilent() && !target->isChecking;
        if (isUsable && (reference == nullptr || target->lastProgress > reference->lastProgress)) {
            reference = target;
        }
    }
    if (reference != nullptr) {
        this->beginCheck(reference, out);
    }
}

// Faults of hosts, racks and links usually affect several targets, and idle flows reveal nothing until their next request.
void FlowForwarder::checkRelatedTargets(const Target &failed, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    uint32_t left = this->settings.maxRelatedChecks;
    const std::vector<TargetPtr> targets = this->directory.all();
    for (const bool isSameZone : { true, false }) {
        for (const TargetPtr &target : targets) {
            const bool isCandidate = target->phase != TargetPhase::Departed && !target->isSilent() && target->openFlows > 0;
            const bool isSelected = left > 0 && (target->record.zone == failed.record.zone) == isSameZone;
            if (isCandidate && isSelected && this->health.needsCheck(*target, now, now)) {
                --left;
                this->beginCheck(target, out);
            }
        }
    }
}

void FlowForwarder::resetFlows(const TargetPtr &target, ResetReason reason, FlowActions &out)
{
    for (FlowState *state : this->tracker.flowsOf(target)) {
        if (state->isReset || state->isClosing) {
            continue;
        }
        this->counters.add(reason);
        const FlowReset reset{ state->flow, state->isOpen ? state->acknowledged : state->openingSequence };
        out.resets.push_back(reset);
        this->observer.onReset(reset, reason, state);
        this->tracker.markReset(*state);
    }
}

//--- Timers

void FlowForwarder::setInstanceCounts(size_t allZones, size_t ownZone)
{
    this->instanceCount = allZones;
    this->placement.setInstanceCounts(allZones, ownZone);
}

OwnLoad FlowForwarder::ownLoad() const
{
    return this->placement.ownLoad();
}

void FlowForwarder::onReportedLoad(const ReportedLoad &load)
{
    this->placement.onReportedLoad(load);
}

void FlowForwarder::tick(FlowActions &out)
{
    const TimePoint now = this->clock.now();
    for (FlowState *state : this->tracker.takeUnansweredOpenings(now - this->settings.openingTimeout)) {
        if (this->health.needsCheck(*state->target, state->firstSeen, now)) {
            this->beginCheck(state->target, out);
        }
    }
    this->tracker.expireOutstanding(now - this->settings.outstandingTimeout);
    this->placement.tick(now);
    const auto answerTimeout = [this](const FlowKey &flow) {
        return std::max(this->settings.minAnswerTimeout, this->settings.answerTimeoutFactor * this->answers.meanOf(flow.service));
    };
    for (FlowState *state : this->tracker.takeOverdueRequests(now, answerTimeout)) {
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
    }
}

void FlowForwarder::scheduleRecheck(const TargetPtr &target)
{
    if (std::find(this->rechecks.begin(), this->rechecks.end(), target) == this->rechecks.end()) {
        this->rechecks.push_back(target);
    }
}

void FlowForwarder::beginCheck(const TargetPtr &target, FlowActions &out)
{
    out.checks.push_back({ target, this->health.beginCheck(*target, this->clock.now()) });
}

//--- State

bool FlowForwarder::isReady() const
{
    return this->routes.isLoaded() && this->directory.isLoaded();
}

const RouteTable &FlowForwarder::routeTable() const
{
    return this->routes;
}

const TargetDirectory &FlowForwarder::targetDirectory() const
{
    return this->directory;
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
