#include "flows/placement.h"

#include <algorithm>
#include <array>

namespace hornbeam {

namespace {
constexpr double minRequestsPerFlow = 2; // of a service, for a choice by the reports of other members
constexpr double reuseDecay = 0.98;      // in a tick of 20 ms, so that sums cover about a second
// Slots are added up again after this long in case a change of a target was not reported by onTargetsChanged().
constexpr Duration capacityInterval = seconds(1);

bool isUsable(const Target &target, const CandidateFilter &filter)
{
    return target.phase == TargetPhase::Ready && !target.isSilent() && filter.isEligible(target);
}

RouteDemand demandOf(const Route &route)
{
    return { route.address, route.priority, route.latencyTarget };
}
}

std::string_view nameOf(PlacementOutcome outcome)
{
    constexpr std::array<std::string_view, static_cast<size_t>(PlacementOutcome::Count)> names{ "placed", "no_target", "restricted", "overloaded" };
    return names[static_cast<size_t>(outcome)];
}

FlowPlacement::FlowPlacement(const FlowSettings &settings, const TargetDirectory &directory, ZoneId ownZone, uint64_t seed)
    : settings(settings)
    , directory(directory)
    , ownZone(ownZone)
    , chooser(settings, ownZone, seed)
    , admission(settings)
    , waiting(settings.waiting)
    , zones(settings, directory, ownZone)
{
}

void FlowPlacement::addRule(PlacementRule &rule)
{
    this->rules.push_back(&rule);
}

Placement FlowPlacement::place(const Route &route, const PlacementRequest &request, TimePoint now)
{
    Placement placement = this->decide(route, request, now);
    if (placement.outcome == PlacementOutcome::Placed) {
        this->recordOpening(*placement.target, now);
        this->recordRequest(placement.target);
        this->reuse[placement.service].openings += request.previousTarget == nullptr ? 1 : 0;
    }
    return placement;
}

// Reports nothing to the rules.
Placement FlowPlacement::decide(const Route &route, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const std::string *service = RouteTable::serviceOf(route, request.flow);
    placement.service = service == nullptr ? std::string() : *service;
    placement.selectedService = placement.service;
    this->choose(placement, request, now);
    if (placement.target != nullptr && request.previousTarget == nullptr && !request.isRepeated) { // a repeated opening packet has waited for long enough
        this->admit(placement, route, now);
        const bool isRefused = placement.outcome == PlacementOutcome::Overloaded && !this->placeOnOtherShare(placement, route, request, now);
        this->waiting.record(demandOf(route), placement.service, isRefused);
    }
    return placement;
}

// Sets the target of the placement's service and the outcome.
void FlowPlacement::choose(Placement &placement, const PlacementRequest &request, TimePoint now)
{
    const std::vector<TargetPtr> &candidates = this->directory.targetsOf(placement.service);
    placement.candidates = candidates.size();
    const CandidateFilter filter{ this->rules, now };
    placement.zoneChoice = this->zones.choose(placement.service, request.flow);
    placement.target = this->chooseTarget(candidates, request.previousTarget, filter, placement);
    if (placement.target == nullptr && request.previousTarget != nullptr) {
        placement.target = this->chooseTarget(candidates, nullptr, filter, placement);
    }
    if (placement.target != nullptr) {
        placement.outcome = PlacementOutcome::Placed;
        return;
    }
    placement.restriction = filter.restriction();
    placement.outcome = placement.restriction == CandidateStatus::Eligible ? PlacementOutcome::NoTarget : PlacementOutcome::Restricted;
}

void FlowPlacement::admit(Placement &placement, const Route &route, TimePoint now)
{
    placement.verdict = this->admission.admit(route, placement.service, *placement.target, now);
    // The expected waiting is that of the own zone's requests. A share of another zone has been limited by what that zone has free.
    const bool isInOtherZone = placement.isByZoneShare && placement.target->record.zone != this->ownZone;
    placement.verdict.waiting = isInOtherZone ? WaitingVerdict{} : this->waiting.check(demandOf(route), placement.service);
    const bool isAdmitted = placement.verdict.isAdmitted && placement.verdict.waiting.isAdmitted;
    placement.outcome = isAdmitted ? PlacementOutcome::Placed : PlacementOutcome::Overloaded;
}

bool FlowPlacement::placeOnOtherShare(Placement &placement, const Route &route, const PlacementRequest &request, TimePoint now)
{
    for (const RouteShare &share : route.shares) {
        if (share.weight == 0 || share.service == placement.selectedService || !this->waiting.hasRoom(demandOf(route), share.service)) {
            continue;
        }
        Placement other;
        other.service = share.service;
        other.selectedService = placement.selectedService;
        this->choose(other, request, now);
        if (other.outcome == PlacementOutcome::Placed) {
            this->admit(other, route, now);
        }
        if (other.outcome == PlacementOutcome::Placed) {
            placement = other;
            return true;
        }
    }
    return false;
}

PlacementPreview FlowPlacement::preview(const Route &route, const FlowKey &flow, TimePoint now) const
{
    PlacementPreview preview;
    FlowPlacement copy(*this); // the choice among equal loads and admission control change their state
    preview.placement = copy.decide(route, { flow, nullptr, false }, now);
    for (const TargetPtr &target : this->directory.targetsOf(preview.placement.service)) {
        const CandidateStatus status = this->statusOf(*target, now);
        const bool isUsable = target->phase == TargetPhase::Ready && !target->isSilent() && !target->isTokenTaken && status == CandidateStatus::Eligible;
        preview.candidates.push_back({ target, this->chooser.loadOf(*target, target->reportedRequests), status, isUsable });
    }
    return preview;
}

// The zone's shares decide first. If they don't, or the zone has no candidate, targets of all zones are compared.
TargetPtr FlowPlacement::chooseTarget(const std::vector<TargetPtr> &candidates, const TargetPtr &excluded, const CandidateFilter &filter, Placement &placement)
{
    if (placement.zoneChoice.zone.has_value()) {
        TargetPtr target = this->chooser.chooseInZone(candidates, excluded, filter, *placement.zoneChoice.zone, this->mayUseReports(placement.service));
        if (target != nullptr) {
            placement.isByZoneShare = true;
            return target;
        }
    }
    return this->chooser.choose(candidates, excluded, filter, this->mayUseReports(placement.service));
}

// Where each flow carries one request, a report is older than the requests that it counts, and a choice by reports is worse than one by the own counts.
bool FlowPlacement::mayUseReports(const std::string &service) const
{
    const auto found = this->reuse.find(service);
    return this->hasReports && found != this->reuse.end() && found->second.requests >= minRequestsPerFlow * found->second.openings;
}

void FlowPlacement::recordOpening(const Target &target, TimePoint now)
{
    for (PlacementRule *rule : this->rules) {
        rule->onPlaced(target, now);
    }
}

CandidateStatus FlowPlacement::statusOf(const Target &target, TimePoint now) const
{
    return CandidateFilter{ this->rules, now }.statusOf(target);
}

void FlowPlacement::recordRequest(const TargetPtr &target)
{
    if (!target->isBusy) {
        target->isBusy = true;
        this->busyTargets[target->record.service].push_back(target);
    }
}

void FlowPlacement::onTargetsChanged()
{
    this->capacities.clear();
}

void FlowPlacement::onRoutes(const RouteTable &routes)
{
    this->admission.retainRoutes(routes);
    this->waiting.retainRoutes([&routes](const Endpoint &address) { return routes.find(address) != nullptr; });
    this->services.clear();
    for (const Route &route : routes.all()) {
        for (const RouteShare &share : route.shares) {
            this->services.insert(share.service);
        }
    }
}

void FlowPlacement::onObservation(const Route &route, Target &target, const FlowObservation &observation, TimePoint now)
{
    const std::string &service = target.record.service;
    if (observation.roundTrip > Duration{ 0 }) {
        this->waiting.addRoundTrip(route.address, service, observation.roundTrip);
        this->zones.addRoundTrip(target, observation.roundTrip);
    }
    if (observation.answerTime > Duration{ 0 }) {
        this->admission.addAnswer(route, target, { observation.answerTime, observation.answerBytes }, now);
        const bool isShort = observation.answerBytes <= maxPacketContent;
        const AnswerParts times =
            this->waiting.addAnswer(demandOf(route), service, { observation.answerTime, observation.answerBytes, isShort, observation.acknowledgement }, now);
        this->zones.addAnswer(route.address, target, times, observation.answerBytes);
    }
    if (observation.isRequest) {
        ++this->reuse[service].requests;
        this->waiting.addRequest(demandOf(route), service);
    }
}

void FlowPlacement::setInstanceCounts(size_t allZones, size_t ownZone)
{
    this->instances = std::max<size_t>(1, allZones);
    this->zoneInstances = std::max<size_t>(1, ownZone);
}

void FlowPlacement::tick(TimePoint now)
{
    for (auto &[service, flows] : this->reuse) {
        flows.requests *= reuseDecay;
        flows.openings *= reuseDecay;
    }
    for (auto &[service, targets] : this->busyTargets) {
        std::erase_if(targets, [](const TargetPtr &target) {
            target->isBusy = target->outstandingRequests > 0;
            return !target->isBusy;
        });
    }
    const CandidateFilter filter{ this->rules, now };
    for (const std::string &service : this->services) {
        this->waiting.update(service, this->occupancyOf(service, filter, now), now);
    }
}

// Requests at a target behind a cut link or of an ended process are no queue, and say nothing about the waiting time at the other targets. Nor do those at
// one that refuses connections: in a model of a zone that loses its targets, 1,679 new flows were refused for them in 3 s, and 6 without them.
bool FlowPlacement::isUnresponsive(const Target &target, TimePoint now) const
{
    return target.outstandingRequests > 0 && target.lastProgress != TimePoint{} && now - target.lastProgress > this->settings.waiting.responseAge;
}

// Assumes that other zones send as many requests to the targets of this zone as this one to theirs. A zone with few targets counts on all targets, because
// its flows go to other zones.
ServiceOccupancy FlowPlacement::occupancyOf(const std::string &service, const CandidateFilter &filter, TimePoint now)
{
    ServiceOccupancy occupancy;
    Capacity capacity = this->capacityOf(service, filter, now);
    for (const TargetPtr &target : this->busyTargets[service]) {
        if (!isUsable(*target, filter)) {
            continue;
        }
        if (!target->isRefusing() && !this->isUnresponsive(*target, now)) {
            occupancy.outstanding += target->outstandingRequests;
            continue;
        }
        capacity.slots -= target->record.slots;
        capacity.zoneSlots -= target->record.zone == this->ownZone ? target->record.slots : 0;
        --capacity.targets;
    }
    occupancy.slots = std::max(capacity.slots / static_cast<double>(this->instances), capacity.zoneSlots / static_cast<double>(this->zoneInstances));
    occupancy.isReportExpected = this->zoneInstances > 1 && this->settings.reports.loadPercent > 0;
    const auto reported = this->reportedServices.find(service);
    if (this->hasReports && reported != this->reportedServices.end()) {
        occupancy.reportedOutstanding = reported->second.held;
        occupancy.reports = reported->second.reports;
    }
    occupancy.slotsPerTarget = capacity.targets == 0 ? 1 : capacity.slots / static_cast<double>(capacity.targets);
    return occupancy;
}

FlowPlacement::Capacity FlowPlacement::capacityOf(const std::string &service, const CandidateFilter &filter, TimePoint now)
{
    const auto known = this->capacities.find(service);
    if (known != this->capacities.end() && now - known->second.summedAt < capacityInterval) {
        return known->second;
    }
    Capacity capacity;
    capacity.summedAt = now;
    for (const TargetPtr &target : this->directory.targetsOf(service)) {
        if (isUsable(*target, filter)) {
            capacity.slots += target->record.slots;
            capacity.zoneSlots += target->record.zone == this->ownZone ? target->record.slots : 0;
            ++capacity.targets;
        }
    }
    this->capacities[service] = capacity;
    return capacity;
}

OwnLoad FlowPlacement::ownLoad() const
{
    OwnLoad load;
    for (const auto &[service, state] : this->waiting.states()) {
        if (!this->services.contains(service)) {
            continue;
        }
        load.services.push_back({ serviceIdOf(service), state.ownOutstanding, state.slots });
        const auto busy = this->busyTargets.find(service);
        std::vector<TargetPtr> targets = busy == this->busyTargets.end() ? std::vector<TargetPtr>{} : busy->second;
        std::sort(targets.begin(), targets.end(), [](const TargetPtr &a, const TargetPtr &b) { return a->record.name < b->record.name; });
        for (const TargetPtr &target : targets) {
            const bool isListed = target->phase != TargetPhase::Unlisted && target->phase != TargetPhase::Departed;
            if (target->outstandingRequests > 0 && isListed) {
                load.targets.push_back({ target->token, target->outstandingRequests });
            }
        }
    }
    return load;
}

void FlowPlacement::onReportedLoad(const ReportedLoad &load)
{
    if (load.reports == 0 && !this->hasReports && this->reportedServices.empty() && this->reportedTargets.empty()) {
        return;
    }
    this->hasReports = load.reports > 0 && 2 * load.members >= static_cast<double>(this->zoneInstances - 1);
    this->reportedServices.clear();
    for (const std::string &service : this->services) {
        const auto found = load.services.find(serviceIdOf(service));
        if (found != load.services.end()) {
            this->reportedServices[service] = found->second;
        }
    }
    for (const TargetPtr &target : this->reportedTargets) {
        target->reportedRequests = 0;
    }
    this->reportedTargets.clear();
    for (const auto &[token, outstanding] : load.targets) {
        const TargetPtr target = this->directory.findToken(token);
        if (target != nullptr && this->services.contains(target->record.service)) {
            target->reportedRequests = outstanding;
            this->reportedTargets.push_back(target);
        }
    }
}

std::map<std::string, WaitingAdmission::ServiceState> FlowPlacement::serviceStates() const
{
    return this->waiting.states();
}

ZoneRouting &FlowPlacement::zoneRouting()
{
    return this->zones;
}

const ZoneRouting &FlowPlacement::zoneRouting() const
{
    return this->zones;
}

std::vector<ZoneShareChange> FlowPlacement::updateZoneShares(TimePoint now)
{
    std::vector<ZoneShareChange> changes = this->zones.tick(this->rules, now);
    this->chooser.setUnreachableZones(this->zones.unreachableZones());
    return changes;
}

} // namespace hornbeam
