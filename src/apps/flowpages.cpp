#include "apps/flowpages.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using Json = nlohmann::ordered_json;

constexpr size_t maxFlows = 2000; // per page: about 0.5 MB, which takes a few milliseconds to generate

std::string gauge(std::string_view name, double value)
{
    return "hornbeam_" + std::string(name) + " " + Json(value).dump() + "\n";
}

// -1 if the time is not set
double ageSeconds(TimePoint since, TimePoint now)
{
    return since == TimePoint{} ? -1 : std::chrono::duration<double>(now - since).count();
}

std::string formatPage(const Json &page)
{
    return page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}
}

std::string flowGauges(const FlowForwarder &forwarder, bool isReady, TimePoint now)
{
    std::array<uint64_t, static_cast<size_t>(TargetPhase::Count)> phases{};
    uint64_t silent = 0;
    uint64_t evacuated = 0;
    for (const TargetPtr &target : forwarder.targetDirectory().all()) {
        ++phases[static_cast<size_t>(target->phase)];
        silent += target->isSilent() && target->phase != TargetPhase::Departed ? 1 : 0;
        evacuated += forwarder.candidateStatusOf(*target) == CandidateStatus::Evacuated && target->phase != TargetPhase::Departed ? 1 : 0;
    }
    std::string text = gauge("flow_ready", isReady ? 1 : 0);
    text += gauge("flow_configuration_version", static_cast<double>(forwarder.routeTable().version()));
    text += gauge("flow_configuration_age_seconds", ageSeconds(forwarder.configurationConfirmedAt(), now));
    text += gauge("flow_targets_age_seconds", ageSeconds(forwarder.targetDirectory().confirmedAt(), now));
    text += gauge("flow_routes", static_cast<double>(forwarder.routeTable().size()));
    text += gauge("flow_flows_remembered", static_cast<double>(forwarder.flowCount()));
    for (size_t i = 0; i < phases.size(); ++i) {
        text += gauge("flow_targets{phase=\"" + std::string(nameOf(static_cast<TargetPhase>(i))) + "\"}", static_cast<double>(phases.at(i)));
    }
    text += gauge("flow_targets_silent", static_cast<double>(silent));
    text += gauge("flow_zones_evacuated", static_cast<double>(forwarder.evacuationRule().zones().size()));
    text += gauge("flow_targets_evacuated", static_cast<double>(evacuated));
    for (const auto &[service, state] : forwarder.serviceStates()) {
        const std::string label = "{service=" + Json(service).dump(-1, ' ', false, Json::error_handler_t::replace) + "}";
        text += gauge("flow_service_waiting_seconds" + label, state.waitingSeconds);
        text += gauge("flow_service_time_seconds" + label, state.serviceSeconds);
        text += gauge("flow_service_outstanding" + label, state.outstanding);
        text += gauge("flow_service_slots" + label, state.slots);
        text += gauge("flow_service_refused_share" + label, state.refusedShare);
    }
    for (const auto &[service, shares] : forwarder.zoneRouting().decisions()) {
        const std::string label = "{service=" + Json(service).dump(-1, ' ', false, Json::error_handler_t::replace) + "}";
        const auto seconds = [](Duration duration) { return std::chrono::duration<double>(duration).count(); };
        text += gauge("flow_zone_leaving_share" + label, shares.leavingShare());
        text += gauge("flow_zone_own_waiting_seconds" + label, seconds(shares.ownWaiting()));
        text += gauge("flow_zone_expected_gain_seconds" + label, seconds(shares.expectedGain()));
    }
    text += gauge("flow_targets_cold", static_cast<double>(forwarder.coldTargets().all));
    text += gauge("flow_targets_cold_limited", static_cast<double>(forwarder.coldTargets().limitedInOwnZone));
    return text;
}

std::string targetsPage(const FlowForwarder &forwarder, TimePoint now)
{
    Json page = Json::array();
    for (const TargetPtr &target : forwarder.targetDirectory().all()) {
        page.push_back({ { "target", target->record.name },
                         { "service", target->record.service },
                         { "address", toString(target->record.address) },
                         { "incarnation", target->record.incarnation },
                         { "token", target->token },
                         { "phase", nameOf(target->phase) },
                         { "phase_age_s", ageSeconds(target->phaseSince, now) },
                         { "silent_age_s", ageSeconds(target->silentSince, now) },
                         { "progress_age_s", ageSeconds(target->lastProgress, now) },
                         { "refused_age_s", ageSeconds(target->refusedAt, now) },
                         { "cold", target->isCold(now) },
                         { "failed_checks", target->failedChecks },
                         { "new_flows", nameOf(forwarder.candidateStatusOf(*target)) },
                         { "open_flows", target->openFlows },
                         { "outstanding_requests", target->outstandingRequests },
                         { "slowness", target->slowness },
                         { "congestion", AdmissionControl::congestionOf(*target, now) } });
    }
    return formatPage(page);
}

std::string routesPage(const FlowForwarder &forwarder)
{
    Json routes = Json::array();
    for (const Route &route : forwarder.routeTable().all()) {
        Json shares = Json::array();
        for (const RouteShare &share : route.shares) {
            shares.push_back({ { "service", share.service }, { "weight", share.weight } });
        }
        routes.push_back({ { "route", route.name }, { "address", toString(route.address) }, { "kind", nameOf(route.kind) }, { "shares", std::move(shares) } });
    }
    return formatPage({ { "version", forwarder.routeTable().version() }, { "routes", std::move(routes) } });
}

std::string flowsPage(const FlowForwarder &forwarder, TimePoint now)
{
    Json page = Json::array();
    for (const FlowState &state : forwarder.recentFlows(maxFlows)) {
        page.push_back({ { "flow", formatFlow(state.flow) },
                         { "target", state.target == nullptr ? "" : state.target->record.name },
                         { "kind", nameOf(state.kind) },
                         { "age_s", ageSeconds(state.firstSeen, now) },
                         { "last_seen_s", ageSeconds(state.lastSeen, now) },
                         { "unanswered_s", ageSeconds(state.unansweredSince, now) },
                         { "repeats", state.repeats },
                         { "openings", state.openings },
                         { "open", state.isOpen },
                         { "closing", state.isClosing },
                         { "reset", state.isReset } });
    }
    return formatPage(page);
}

std::string formatFlow(const FlowKey &flow)
{
    return toString(flow.caller) + ">" + toString(flow.service);
}

} // namespace hornbeam
