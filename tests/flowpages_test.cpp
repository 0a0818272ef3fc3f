// Tests of the status pages and gauges of an instance, and of the explanation of a single flow.

#include "apps/flowexplain.h"
#include "apps/flowpages.h"
#include "flowfakes.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hornbeam;
using Catch::Matchers::Contains;

TEST_CASE("flow pages: gauges, pages and explanations of flows")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2") }, 7);
    const PacketDecision opened = fixture.establish(1);
    const auto explain = [&fixture](const std::string &flow) {
        const TimePoint now = fixture.clock.now();
        return explainFlow(flow, flowsPage(fixture.forwarder, now), targetsPage(fixture.forwarder, now), routesPage(fixture.forwarder));
    };
    const std::string flow = formatFlow(ForwarderFixture::flow(1));

    SECTION("gauges contain the version in force, the ages of the configuration and of the target data, and the targets by phase")
    {
        fixture.clock.advance(seconds(2));
        fixture.list({ makeTarget("b1") });
        const std::string text = flowGauges(fixture.forwarder, true, fixture.clock.now());
        CHECK_THAT(text, Contains("hornbeam_flow_configuration_version 7"));
        CHECK_THAT(text, Contains("hornbeam_flow_configuration_age_seconds 2.00"));
        CHECK_THAT(text, Contains("hornbeam_flow_targets_age_seconds 0.0"));
        CHECK_THAT(text, Contains("hornbeam_flow_targets{phase=\"ready\"} 1.0"));
        CHECK_THAT(text, Contains("hornbeam_flow_targets{phase=\"missing\"} 1.0"));
    }
    SECTION("the explanation contains the state, the route and the target of the flow")
    {
        const FlowExplanation explanation = explain(flow);
        CHECK(explanation.problem.empty());
        CHECK_THAT(explanation.text, Contains("route, version 7"));
        CHECK_THAT(explanation.text, Contains("target " + opened.target->record.name));
        CHECK_THAT(explanation.text, Contains("can take a new flow of the route: 2"));
        CHECK(nlohmann::json::parse(explanation.json)["usable_targets"].size() == 2);
    }
    SECTION("a silent target is not counted as available for new flows")
    {
        fixture.send(1, opened.token, 1001, 5000, 10);
        fixture.run(milliseconds(100));
        fixture.endChecks(CheckOutcome::Refused, opened.target->record.name == "b1" ? "b2" : "b1");
        const FlowExplanation explanation = explain(flow);
        CHECK_THAT(explanation.text, Contains("can take a new flow of the route: 1"));
        CHECK_THAT(explanation.text, Contains("reset true"));
    }
    SECTION("evacuated targets are counted, marked on the page, and not available for new flows")
    {
        fixture.forwarder.onEvacuations({ localZone, zoneIdOf("nowhere") });
        const std::string text = flowGauges(fixture.forwarder, true, fixture.clock.now());
        CHECK_THAT(text, Contains("hornbeam_flow_zones_evacuated 2.0"));
        CHECK_THAT(text, Contains("hornbeam_flow_targets_evacuated 2.0"));
        CHECK(nlohmann::json::parse(targetsPage(fixture.forwarder, fixture.clock.now()))[0]["new_flows"] == "evacuated");
        CHECK_THAT(explain(flow).text, Contains("can take a new flow of the route: 0"));
    }
    SECTION("unknown flows and addresses without a route are reported")
    {
        const FlowExplanation explanation = explain("10.0.0.1:5>198.18.9.9:1");
        CHECK_THAT(explanation.text, Contains("has not seen the flow"));
        CHECK_THAT(explanation.text, Contains("no route has its address in version 7"));
    }
    SECTION("invalid flow identifiers and invalid pages are reported as errors")
    {
        CHECK_THAT(explain("nonsense").problem, Contains("nonsense is not a flow"));
        CHECK_THAT(explainFlow(flow, "{", "", "").problem, Contains("cannot parse the pages"));
    }
    SECTION("the page of flows is limited in size and starts with the newest flow")
    {
        for (uint16_t port = 10; port < 2500; ++port) {
            fixture.open(port);
        }
        const nlohmann::json page = nlohmann::json::parse(flowsPage(fixture.forwarder, fixture.clock.now()));
        CHECK(page.size() == 2000);
        CHECK(page[0]["flow"] == formatFlow(ForwarderFixture::flow(2499)));
    }
}
