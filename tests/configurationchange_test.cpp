// Tests of flows that are being opened while the configuration changes.

#include "flowfakes.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

RouteConfiguration withShares(uint64_t version, std::vector<RouteShare> shares)
{
    RouteConfiguration configuration = makeConfiguration(version);
    configuration.routes.front().shares = std::move(shares);
    return configuration;
}

}

// Guards against a flow that opens at a service of an older configuration because its first opening packet was lost and only a copy arrived.
TEST_CASE("a repeated opening packet is placed by the configuration in force")
{
    ForwarderFixture fixture;
    const TargetRecord booking = makeTarget("b1");
    const TargetRecord catalogue = makeTarget("c1", localZone, "catalogue");
    fixture.load({ booking, catalogue });

    GIVEN("an opening packet that was sent to a target, which has answered another flow since")
    {
        fixture.clock.advance(seconds(1));
        REQUIRE(fixture.open(1).target->record.name == "b1");
        fixture.establish(2, orderAddress);

        WHEN("the route moves to another service before the caller repeats the packet")
        {
            fixture.forwarder.onConfiguration(withShares(2, { { "catalogue", 1 } }), fixture.actions);
            THEN("the copy goes to the other service, and so does the next one")
            {
                CHECK(fixture.open(1).target->record.name == "c1");
                CHECK(fixture.open(1).target->record.name == "c1");
            }
        }
        WHEN("the service's share of the route becomes 0")
        {
            fixture.forwarder.onConfiguration(withShares(2, { { "booking", 0 }, { "catalogue", 100 } }), fixture.actions);
            THEN("the copy goes to the service that has all of it")
            {
                CHECK(fixture.open(1).target->record.name == "c1");
            }
        }
        WHEN("the route moves after as many copies as may go to other targets")
        {
            fixture.open(1);
            fixture.open(1);
            fixture.open(1);
            fixture.forwarder.onConfiguration(withShares(2, { { "catalogue", 1 } }), fixture.actions);
            THEN("the copy goes to the other service")
            {
                CHECK(fixture.open(1).target->record.name == "c1");
            }
        }
        WHEN("the service keeps a share of the route")
        {
            fixture.forwarder.onConfiguration(withShares(2, { { "booking", 1 }, { "catalogue", 99 } }), fixture.actions);
            THEN("the copy goes to the same target, which may be answering, and the log can name both versions")
            {
                CHECK(fixture.open(1).target->record.name == "b1");
                CHECK(fixture.observer.repeatedOpenings == std::vector<std::pair<uint64_t, uint64_t>>{ { 1, 2 } });
            }
        }
        WHEN("the flow has opened before the route moves")
        {
            fixture.send(1, routingTokenOf(booking), 1001, 5000, 0);
            fixture.forwarder.onConfiguration(withShares(2, { { "catalogue", 1 } }), fixture.actions);
            THEN("a late copy goes to the target that holds the flow")
            {
                CHECK(fixture.open(1).target->record.name == "b1");
            }
        }
    }
}
