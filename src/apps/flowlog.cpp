#include "apps/flowlog.h"

#include "apps/flowpages.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using Fields = nlohmann::ordered_json;

int64_t toMillis(double seconds)
{
    constexpr double perSecond = 1000;
    return std::llround(seconds * perSecond);
}
}

FlowLog::FlowLog(EventLog &log, const Clock &clock) : log(log), clock(clock)
{
}

void FlowLog::onPlaced(const FlowState &state, const Route &route, const PlacementInputs &inputs)
{
    const std::string event = state.openings > 1 ? "flow_moved" : "flow_placed";
    if (!this->log.admits(event)) {
        return;
    }
    const Target &target = *state.target;
    Fields fields{ { "flow", formatFlow(state.flow) }, { "route", route.name }, { "configuration", inputs.version } };
    fields["configuration_age_ms"] = this->ageMillis(inputs.confirmedAt);
    fields["service"] = target.record.service;
    fields["target"] = target.record.name;
    fields["target_flows"] = target.openFlows;
    fields["target_phase"] = nameOf(target.phase);
    fields["candidates"] = inputs.candidates;
    if (inputs.selectedService != target.record.service) {
        fields["selected_service"] = inputs.selectedService; // had no capacity
    }
    fields["opening"] = state.openings;
    if (inputs.zoneChoice.zone.has_value()) {
        fields["zone"] = *inputs.zoneChoice.zone;
        fields["leaving_share"] = inputs.zoneChoice.leavingShare;
    }
    this->log.add(event, fields);
}

void FlowLog::onOpeningRepeated(const FlowState &state, const Route &route, uint64_t version)
{
    if (this->log.admits("flow_opening_repeated")) {
        this->log.add("flow_opening_repeated",
                      { { "flow", formatFlow(state.flow) },
                        { "route", route.name },
                        { "configuration", version },
                        { "placed_by", state.placedByVersion },
                        { "service", state.target->record.service },
                        { "target", state.target->record.name },
                        { "opening", state.openings } });
    }
}

void FlowLog::onNotAdmitted(const FlowReset &reset, const Route &route, const Target &target, const AdmissionVerdict &verdict)
{
    if (!this->log.admits("flow_not_admitted")) {
        return;
    }
    this->log.add("flow_not_admitted",
                  { { "flow", formatFlow(reset.flow) },
                    { "reason", nameOf(ResetReason::Overloaded) },
                    { "route", route.name },
                    { "priority", route.priority },
                    { "service", target.record.service },
                    { "target", target.record.name },
                    { "outstanding_requests", target.outstandingRequests },
                    { "congestion", verdict.congestion },
                    { "limit", verdict.limit },
                    { "expected_waiting_ms", toMillis(verdict.waiting.waitingSeconds) },
                    { "waiting_limit_ms", toMillis(verdict.waiting.limitSeconds) },
                    { "service_outstanding", verdict.waiting.outstanding },
                    { "service_slots", verdict.waiting.slots },
                    { "demand", verdict.waiting.demand },
                    { "measured_age_ms", this->ageMillis(target.congestionMeasuredAt) } });
}

void FlowLog::onRestricted(const FlowReset &reset, ResetReason reason, const Route &route, const Placement &placement)
{
    if (this->log.admits("flow_restricted")) {
        this->log.add("flow_restricted",
                      { { "flow", formatFlow(reset.flow) },
                        { "reason", nameOf(reason) },
                        { "restriction", nameOf(placement.restriction) },
                        { "route", route.name },
                        { "service", placement.service },
                        { "candidates", placement.candidates } });
    }
}

void FlowLog::onReset(const FlowReset &reset, ResetReason reason, const FlowState *state)
{
    if (!this->log.admits("flow_reset")) {
        return;
    }
    Fields fields{ { "flow", formatFlow(reset.flow) }, { "reason", nameOf(reason) } };
    if (state != nullptr && state->target != nullptr) {
        const Target &target = *state->target;
        fields["target"] = target.record.name;
        fields["target_phase"] = nameOf(target.phase);
        fields["target_phase_age_ms"] = this->ageMillis(target.phaseSince);
        fields["target_progress_age_ms"] = this->ageMillis(target.lastProgress);
        fields["target_silent_age_ms"] = this->ageMillis(target.silentSince);
        fields["kind"] = nameOf(state->kind);
        fields["open"] = state->isOpen;
        fields["unanswered_ms"] = this->ageMillis(state->unansweredSince);
        fields["repeats"] = state->repeats;
    }
    this->log.add("flow_reset", fields);
}

void FlowLog::onDropped(const FlowPacket &packet, DropReason reason)
{
    if (this->log.admits("packet_dropped")) {
        this->log.add("packet_dropped", { { "flow", formatFlow(packet.flow) }, { "reason", nameOf(reason) }, { "token", packet.token } });
    }
}

void FlowLog::onTargetChange(const TargetChange &change)
{
    if (!this->log.admits("target_changed")) {
        return;
    }
    const Target &target = *change.target;
    this->log.add("target_changed",
                  { { "target", target.record.name },
                    { "service", target.record.service },
                    { "address", toString(target.record.address) },
                    { "incarnation", target.record.incarnation },
                    { "from", change.isNew ? std::string_view("unknown") : nameOf(change.before) },
                    { "to", nameOf(target.phase) },
                    { "open_flows", target.openFlows } });
}

void FlowLog::onTargetHealth(const Target &target, CheckOutcome outcome)
{
    if (!this->log.admits("target_health")) {
        return;
    }
    this->log.add("target_health",
                  { { "target", target.record.name },
                    { "silent", target.isSilent() },
                    { "check", nameOf(outcome) },
                    { "failed_checks", target.failedChecks },
                    { "progress_age_ms", this->ageMillis(target.lastProgress) },
                    { "open_flows", target.openFlows } });
}

void FlowLog::onMembersQueried(const Target &target, Duration answerAge)
{
    if (this->log.admits("members_queried")) {
        this->log.add("members_queried",
                      { { "target", target.record.name },
                        { "service", target.record.service },
                        { "progress_age_ms", this->ageMillis(target.lastProgress) },
                        { "outstanding_requests", target.outstandingRequests },
                        { "open_flows", target.openFlows },
                        { "answer_age_ms", std::chrono::duration_cast<milliseconds>(answerAge).count() } });
    }
}

void FlowLog::onAnsweringOthers(const Target &target)
{
    if (this->log.admits("target_answers_others")) {
        this->log.add("target_answers_others", { { "target", target.record.name }, { "open_flows", target.openFlows } });
    }
}

void FlowLog::onTargetSuspected(const Target &target, Duration grace)
{
    if (this->log.admits("target_suspected")) {
        this->log.add("target_suspected",
                      { { "target", target.record.name },
                        { "service", target.record.service },
                        { "progress_age_ms", this->ageMillis(target.lastProgress) },
                        { "outstanding_requests", target.outstandingRequests },
                        { "open_flows", target.openFlows },
                        { "grace_ms", std::chrono::duration_cast<milliseconds>(grace).count() } });
    }
}

void FlowLog::onZoneShareChange(const ZoneShareChange &change)
{
    if (!this->log.admits("zone_share_changed")) {
        return;
    }
    const auto millis = [](Duration duration) { return std::chrono::duration_cast<milliseconds>(duration).count(); };
    Fields zones = Fields::array();
    for (const ZoneShare &zone : change.destinations) {
        zones.push_back({ { "zone", zone.zone }, { "share", zone.share }, { "cost_ms", millis(zone.cost) }, { "gain_ms", millis(zone.gain) } });
    }
    this->log.add("zone_share_changed",
                  { { "service", change.service },
                    { "before", change.before },
                    { "leaving_share", change.share },
                    { "own_waiting_ms", millis(change.ownWaiting) },
                    { "expected_gain_ms", millis(change.expectedGain) },
                    { "zones", std::move(zones) } });
}

void FlowLog::onTargetWarmup(const Target &target, bool isCold, std::optional<uint32_t> limit)
{
    const std::string event = isCold ? "target_cold" : "target_warm";
    if (!this->log.admits(event)) {
        return;
    }
    Fields fields{ { "target", target.record.name }, { "service", target.record.service }, { "zone", target.record.zone } };
    if (isCold) {
        const Duration remaining = std::max(target.coldUntil, target.startColdUntil) - this->clock.now();
        fields["remaining_ms"] = std::chrono::duration_cast<milliseconds>(remaining).count();
        fields["cause"] = target.coldUntil >= target.startColdUntil ? "entry" : "start";
        fields["limit"] = limit.has_value() ? Fields(*limit) : Fields();
    }
    this->log.add(event, fields);
}

int64_t FlowLog::ageMillis(TimePoint since) const
{
    constexpr int64_t never = -1;
    return since == TimePoint{} ? never : std::chrono::duration_cast<milliseconds>(this->clock.now() - since).count();
}

} // namespace hornbeam
