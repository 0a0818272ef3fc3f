#include "apps/flowexplain.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using Json = nlohmann::ordered_json;

// returns the first entry of an array whose field has the value, or null
Json findEntry(const Json &page, const std::string &field, const std::string &value)
{
    for (const Json &entry : page) {
        if (entry.value(field, "") == value) {
            return entry;
        }
    }
    return nullptr;
}

bool acceptsNewFlows(const Json &target)
{
    constexpr double never = -1;
    return target.value("phase", "") == "ready" && target.value("silent_age_s", never) == never && target.value("new_flows", "eligible") == "eligible";
}

void appendEntry(std::string &text, const std::string &title, const Json &entry)
{
    text += title + "\n";
    for (const auto &[key, value] : entry.items()) {
        text += "  " + key + " " + (value.is_string() ? value.get<std::string>() : value.dump()) + "\n";
    }
}
}

FlowExplanation explainFlow(const std::string &flow, const std::string &flowsPage, const std::string &targetsPage, const std::string &routesPage)
{
    FlowExplanation result;
    const Json flows = Json::parse(flowsPage, nullptr, false);
    const Json targets = Json::parse(targetsPage, nullptr, false);
    const Json routes = Json::parse(routesPage, nullptr, false);
    const size_t separator = flow.find('>');
    if (separator == std::string::npos) {
        result.problem = flow + " is not a flow; expected CALLER:PORT>ADDRESS:PORT";
        return result;
    }
    if (!flows.is_array() || !targets.is_array() || !routes.is_object() || !routes.contains("routes")) {
        result.problem = "cannot parse the pages of the instance; it may not be configured to forward flows";
        return result;
    }
    const Json state = findEntry(flows, "flow", flow);
    const Json route = findEntry(routes["routes"], "address", flow.substr(separator + 1));
    const Json target = state.is_null() ? Json() : findEntry(targets, "target", state.value("target", ""));
    Json usable = Json::array();
    for (const Json &candidate : targets) {
        const bool isOfRoute = !route.is_null() && !findEntry(route["shares"], "service", candidate.value("service", "")).is_null();
        if (isOfRoute && acceptsNewFlows(candidate)) {
            usable.push_back(candidate.value("target", ""));
        }
    }
    const Json explanation{ { "flow", flow },     { "version", routes.value("version", 0) },
                            { "state", state },   { "route", route },
                            { "target", target }, { "usable_targets", usable } };
    result.json = explanation.dump(2) + "\n";
    if (state.is_null()) {
        result.text = "this instance has not seen the flow lately\n";
    } else {
        appendEntry(result.text, "flow", state);
    }
    if (route.is_null()) {
        result.text += "no route has its address in version " + std::to_string(routes.value("version", 0)) + "\n";
    } else {
        appendEntry(result.text, "route, version " + std::to_string(routes.value("version", 0)), route);
    }
    if (!target.is_null()) {
        appendEntry(result.text, "target", target);
    }
    result.text += "targets that can take a new flow of the route: " + std::to_string(usable.size()) + "\n";
    return result;
}

} // namespace hornbeam
