#include "flows/placement.h"

#include <array>

namespace hornbeam {

std::string_view nameOf(PlacementOutcome outcome)
{
    constexpr std::array<std::string_view, static_cast<size_t>(PlacementOutcome::Count)> names{ "placed", "no_target", "restricted", "overloaded" };
    return names[static_cast<size_t>(outcome)];
}

FlowPlacement::FlowPlacement(const FlowSettings &settings, const TargetDirectory &directory, ZoneId ownZone, uint64_t seed)
    : directory(directory), chooser(settings, ownZone, seed), admission(settings), zones(settings, directory, ownZone)
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
    }
    return placement;
}

// Reports nothing to the rules.
Placement FlowPlacement::decide(const Route &route, const PlacementRequest &request, TimePoint now)
{
    Placement placement;
    const std::string *service = RouteTable::serviceOf(route, request.flow);
    placement.service = service == nullptr ? std::string() : *service;
    const std::vector<TargetPtr> &candidates = this->directory.targetsOf(placement.service);
    placement.candidates = candidates.size();
    const CandidateFilter filter{ this->rules, now };
    placement.zoneChoice = this->zones.choose(placement.service, request.flow);
    placement.target = this->choose(candidates, request.previousTarget, filter, placement);
    if (placement.target == nullptr && request.previousTarget != nullptr) {
        placement.target = this->choose(candidates, nullptr, filter, placement);
    }
    if (placement.target == nullptr) {
        placement.restriction = filter.restriction();
        placement.outcome = placement.restriction == CandidateStatus::Eligible ? PlacementOutcome::NoTarget : PlacementOutcome::Restricted;
        return placement;
    }
    if (request.previousTarget == nullptr && !request.isRepeated) { // a repeated opening packet has waited for long enough
        placement.verdict = this->admission.admit(route, placement.service, *placement.target, now);
    }
    placement.outcome = placement.verdict.isAdmitted ? PlacementOutcome::Placed : PlacementOutcome::Overloaded;
    return placement;
}

PlacementPreview FlowPlacement::preview(const Route &route, const FlowKey &flow, TimePoint now) const
{
    PlacementPreview preview;
    FlowPlacement copy(*this); // the choice among equal loads and admission control change their state
    preview.placement = copy.decide(route, { flow, nullptr, false }, now);
    for (const TargetPtr &target : this->directory.targetsOf(preview.placement.service)) {
        const CandidateStatus status = this->statusOf(*target, now);
        const bool isUsable = target->phase == TargetPhase::Ready && !target->isSilent() && !target->isTokenTaken && status == CandidateStatus::Eligible;
        preview.candidates.push_back({ target, this->chooser.loadOf(*target), status, isUsable });
    }
    return preview;
}

// The zone's shares decide first. If they don't, or the zone has no candidate, targets of all zones are compared.
TargetPtr FlowPlacement::choose(const std::vector<TargetPtr> &candidates, const TargetPtr &excluded, const CandidateFilter &filter, Placement &placement)
{
    if (placement.zoneChoice.zone.has_value()) {
        TargetPtr target = this->chooser.chooseInZone(candidates, excluded, filter, *placement.zoneChoice.zone);
        if (target != nullptr) {
            placement.isByZoneShare = true;
            return target;
        }
    }
    return this->chooser.choose(candidates, excluded, filter);
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

AdmissionControl &FlowPlacement::admissionControl()
{
    return this->admission;
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
    return this->zones.tick(this->rules, now);
}

} // namespace hornbeam
