#include "apps/placementpage.h"

#include "apps/flowpages.h"
#include "core/jsontext.h"
#include "core/percentencoding.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using Json = nlohmann::ordered_json;

constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;

int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::string valueOf(const PageParameters &parameters, const std::string &name)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::optional<Route> findRoute(const RouteTable &table, const std::string &text)
{
    Endpoint address;
    const bool isAddress = parseEndpoint(text, address);
    for (const Route &route : table.all()) {
        if (isAddress ? route.address == address : route.name == text) {
            return route;
        }
    }
    return std::nullopt;
}

Json describeRoute(const Route &route)
{
    Json shares = Json::array();
    for (const RouteShare &share : route.shares) {
        shares.push_back({ { "service", share.service }, { "weight", share.weight } });
    }
    return { { "route", route.name },
             { "address", toString(route.address) },
             { "kind", nameOf(route.kind) },
             { "priority", route.priority },
             { "latency_target_ms", toMillis(route.latencyTarget) },
             { "shares", std::move(shares) } };
}

Json describeZones(const FlowForwarder &forwarder, const Placement &placement)
{
    Json zones{ { "decided", placement.zoneChoice.zone.has_value() } };
    if (placement.zoneChoice.zone.has_value()) {
        zones["zone"] = *placement.zoneChoice.zone;
        zones["has_candidate"] = placement.isByZoneShare;
    }
    const auto found = forwarder.zoneRouting().decisions().find(placement.service);
    if (found == forwarder.zoneRouting().decisions().end()) {
        return zones;
    }
    zones["leaving_share"] = found->second.leavingShare();
    zones["own_waiting_ms"] = toMillis(found->second.ownWaiting());
    zones["expected_gain_ms"] = toMillis(found->second.expectedGain());
    zones["others"] = Json::array();
    for (const ZoneShare &share : found->second.destinations()) {
        zones["others"].push_back(
            { { "zone", share.zone }, { "share", share.share }, { "cost_ms", toMillis(share.cost) }, { "gain_ms", toMillis(share.gain) } });
    }
    return zones;
}

Json describeCandidate(const CandidateView &candidate, uint32_t connectionLimit)
{
    const Target &target = *candidate.target;
    return { { "target", target.record.name },   { "zone", target.record.zone },
             { "usable", candidate.isUsable },   { "phase", nameOf(target.phase) },
             { "silent", target.isSilent() },    { "restriction", nameOf(candidate.status) }, // evacuation, warm-up
             { "load", candidate.load },         { "outstanding_requests", target.outstandingRequests },
             { "open_flows", target.openFlows }, { "connection_limit", connectionLimit },
             { "slots", target.record.slots },   { "slowness", target.slowness } };
}

PageResponse problem(unsigned status, const std::string &text)
{
    return { status, text + "\n" };
}
}

PageResponse placementPage(const FlowForwarder &forwarder, const PageParameters &parameters)
{
    FlowKey flow;
    const std::string caller = valueOf(parameters, "caller");
    const std::string routeText = valueOf(parameters, "route");
    if (!parseEndpoint(caller, flow.caller)) {
        return problem(badRequest, "caller \"" + caller + "\" is not a.b.c.d:port");
    }
    if (routeText.empty()) {
        return problem(badRequest, "route is missing; expected a name or a.b.c.d:port");
    }
    if (!forwarder.isReady()) {
        return problem(notFound, forwarder.routeTable().isLoaded() ? "the targets have not been loaded yet" : "the configuration has not been loaded yet");
    }
    const RouteTable &table = forwarder.routeTable();
    const std::optional<Route> route = findRoute(table, routeText);
    if (!route.has_value()) {
        return problem(notFound, "there is no route \"" + routeText + "\" in version " + std::to_string(table.version()));
    }
    flow.service = route->address;
    const PlacementPreview preview = forwarder.previewPlacement(*route, flow);
    const Placement &placement = preview.placement;
    Json candidates = Json::array();
    for (const CandidateView &candidate : preview.candidates) {
        candidates.push_back(describeCandidate(candidate, table.connectionLimitOf(placement.service)));
    }
    Json verdict{ { "outcome", nameOf(placement.outcome) }, { "target", placement.target == nullptr ? "" : placement.target->record.name } };
    verdict["restriction"] = nameOf(placement.restriction);
    verdict["congestion"] = placement.verdict.congestion;
    verdict["limit"] = placement.verdict.limit;
    const Json page{ { "flow", formatFlow(flow) },
                     { "configuration", table.version() },
                     { "route", describeRoute(*route) },
                     { "service", placement.service },
                     { "zones", describeZones(forwarder, placement) },
                     { "candidates", std::move(candidates) },
                     { "verdict", std::move(verdict) } };
    PageResponse response;
    response.text = page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
    return response;
}

std::string placementPath(const std::string &caller, const std::string &route)
{
    return "/explain?caller=" + percentEncode(caller) + "&route=" + percentEncode(route);
}

std::string placementText(const std::string &page)
{
    if (parseJson(page).is_discarded()) { // limits the nesting, which the following doesn't
        return {};
    }
    const Json json = Json::parse(page, nullptr, false);
    if (!json.is_object() || !json.contains("verdict") || !json["verdict"].is_object() || !json["candidates"].is_array()) {
        return {};
    }
    const auto format = [](const Json &value) { return value.is_string() ? value.get<std::string>() : value.dump(); };
    std::string text;
    for (const auto &[key, value] : json.items()) {
        if (!value.is_object() && !value.is_array()) {
            text += key + " " + format(value) + "\n";
            continue;
        }
        text += key + "\n";
        for (const auto &[name, item] : value.items()) {
            if (value.is_array()) { // one line for each candidate
                text += " ";
                for (const auto &[field, content] : item.items()) {
                    text += " " + field + " " + format(content);
                }
                text += "\n";
            } else {
                text += "  " + name + " " + format(item) + "\n";
            }
        }
    }
    return text;
}

} // namespace hornbeam
