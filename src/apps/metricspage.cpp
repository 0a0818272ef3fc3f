#include "metricspage.h"

#include <map>

namespace hornbeam {

namespace {

std::string gauge(const std::string &name, uint64_t value)
{
    return "hornbeam_" + name + " " + std::to_string(value) + "\n";
}

std::string membersByState(const std::vector<MemberRecord> &members)
{
    std::map<MemberState, uint64_t> counts;
    for (const MemberState state : { MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Left, MemberState::Dead }) {
        counts[state] = 0;
    }
    for (const MemberRecord &member : members) {
        ++counts[member.state];
    }
    std::string text;
    for (const auto &[state, count] : counts) {
        text += gauge("members{state=\"" + std::string(nameOf(state)) + "\"}", count);
    }
    return text;
}

} // namespace

std::string metricsPage(const Node &node, const Counters &counters, bool isPlatformReachable)
{
    std::string text = counters.text();
    text += gauge("requests_in_progress", node.requests().inProgress());
    text += gauge("record_bytes", node.requests().recordBytes());
    text += gauge("feeds_open", node.feeds().openCount());
    text += gauge("feed_copies", node.feeds().copyCount());
    text += gauge("places_held", node.heldSlotCount());
    const AllocatorLoad load = node.allocatorLoad();
    text += gauge("kept_services", load.services);
    text += gauge("kept_request_slots_busy", load.requestSlots);
    text += gauge("kept_feed_places_busy", load.feedSlots);
    text += gauge("kept_asks_queued", load.queued);
    text += membersByState(node.members());
    text += gauge("platform_reachable", isPlatformReachable ? 1 : 0);
    text += gauge("draining", node.state() == NodeState::Serving ? 0 : 1);
    for (const TableState &state : node.tables().states()) {
        text += gauge("table_version{service=\"" + state.service + "\"}", state.version);
    }
    return text;
}

} // namespace hornbeam
