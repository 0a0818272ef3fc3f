#include "flows/flowcounters.h"

namespace hornbeam {

namespace {
constexpr std::string_view dropNames[] = { "none",     "malformed",      "no_configuration", "no_targets", "route_unconfirmed", "target_unconfirmed",
                                           "no_token", "no_evacuations", "already_open" };
static_assert(std::size(dropNames) == static_cast<size_t>(DropReason::Count));
constexpr std::string_view resetNames[] = { "none",          "route_unknown",  "route_dropped", "no_target",  "target_departed",
                                            "target_silent", "target_unknown", "overloaded",    "restricted", "evacuated" };
static_assert(std::size(resetNames) == static_cast<size_t>(ResetReason::Count));
constexpr std::string_view eventNames[] = { "packets_forwarded",  "flows_placed",         "flows_moved",      "flows_forgotten",     "placed_other_zone",
                                            "checks_begun",       "checks_failed",        "targets_silenced", "targets_recovered",   "sends_refused",
                                            "evacuations_begun",  "cold_openings",        "warmup_limited",   "checks_inconclusive", "refused_by_waiting",
                                            "placed_other_share", "placed_by_zone_share", "members_queried",  "answering_others" };
static_assert(std::size(eventNames) == static_cast<size_t>(FlowCounter::Count));

void appendLine(std::string &out, const std::string &name, const std::string &labels, uint64_t value)
{
    out.append("hornbeam_").append(name).append("_total").append(labels).append(" ").append(std::to_string(value)).append("\n");
}

std::string reasonLabel(std::string_view reason)
{
    return "{reason=\"" + std::string(reason) + "\"}";
}
}

std::string_view nameOf(DropReason reason)
{
    return dropNames[static_cast<size_t>(reason)];
}

std::string_view nameOf(ResetReason reason)
{
    return resetNames[static_cast<size_t>(reason)];
}

std::string_view nameOf(FlowCounter counter)
{
    return eventNames[static_cast<size_t>(counter)];
}

std::string FlowCounters::text() const
{
    std::string out;
    for (size_t i = 0; i < this->events.size(); ++i) {
        appendLine(out, "flow_" + std::string(eventNames[i]), "", this->events.at(i));
    }
    for (size_t i = 1; i < this->drops.size(); ++i) {
        appendLine(out, "flow_packets_dropped", reasonLabel(dropNames[i]), this->drops.at(i));
    }
    for (size_t i = 1; i < this->resets.size(); ++i) {
        appendLine(out, "flow_resets", reasonLabel(resetNames[i]), this->resets.at(i));
    }
    return out;
}

} // namespace hornbeam
