// Tests of the names under which the counters of flow forwarding are published.

#include "flows/flowcounters.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

// Guards against a table of names in another order than the enumerators, by which operators read one counter as another.
TEST_CASE("flow counters: each is published under its own name")
{
    const std::pair<FlowCounter, std::string_view> expected[] = {
        { FlowCounter::PacketsForwarded, "packets_forwarded" },
        { FlowCounter::FlowsPlaced, "flows_placed" },
        { FlowCounter::FlowsMoved, "flows_moved" },
        { FlowCounter::FlowsForgotten, "flows_forgotten" },
        { FlowCounter::PlacedOtherZone, "placed_other_zone" },
        { FlowCounter::ChecksBegun, "checks_begun" },
        { FlowCounter::ChecksFailed, "checks_failed" },
        { FlowCounter::TargetsSilenced, "targets_silenced" },
        { FlowCounter::TargetsRecovered, "targets_recovered" },
        { FlowCounter::SendsRefused, "sends_refused" },
        { FlowCounter::EvacuationsBegun, "evacuations_begun" },
        { FlowCounter::ColdOpenings, "cold_openings" },
        { FlowCounter::WarmupLimited, "warmup_limited" },
        { FlowCounter::ChecksInconclusive, "checks_inconclusive" },
        { FlowCounter::RefusedByWaiting, "refused_by_waiting" },
        { FlowCounter::PlacedOtherShare, "placed_other_share" },
        { FlowCounter::PlacedByZoneShare, "placed_by_zone_share" },
        { FlowCounter::MembersQueried, "members_queried" },
        { FlowCounter::AnsweringOthers, "answering_others" },
    };
    REQUIRE(std::size(expected) == static_cast<size_t>(FlowCounter::Count));
    for (const auto &[counter, name] : expected) {
        FlowCounters counters;
        counters.add(counter, 7);
        CHECK(nameOf(counter) == name);
        CHECK(counters.text().find("hornbeam_flow_" + std::string(name) + "_total 7\n") != std::string::npos);
    }
}
