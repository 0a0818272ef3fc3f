// Tests of load distribution. Each test name begins with the overload or failure pattern that it covers.

#include "flowfakes.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hornbeam;

namespace {

std::map<std::string, int> placeFlows(ForwarderFixture &fixture, uint16_t first, uint16_t count)
{
    std::map<std::string, int> placed;
    for (uint16_t port = first; port < first + count; ++port) {
        const PacketDecision decision = fixture.establish(port);
        if (decision.kind == PacketDecision::Kind::Forward) {
            ++placed[decision.target->record.name];
        }
    }
    return placed;
}

}

TEST_CASE("hot spot: new flows go to the targets with the fewest open flows")
{
    ForwarderFixture fixture;
    SECTION("targets of equal size get equal shares")
    {
        fixture.load({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3"), makeTarget("b4") });
        for (const auto &[name, count] : placeFlows(fixture, 1, 40)) {
            CHECK(count == 10);
        }
    }
    SECTION("a target with more slots gets more flows")
    {
        TargetRecord large = makeTarget("b1");
        large.slots = 6;
        fixture.load({ large, makeTarget("b2") });
        CHECK(placeFlows(fixture, 1, 40)["b1"] == 30);
    }
    SECTION("thundering herd: instances with different seeds do not all start with the same target")
    {
        std::map<std::string, int> first;
        for (uint64_t seed = 1; seed <= 60; ++seed) {
            TargetDirectory directory{ FlowSettings{} };
            const FlowSettings settings;
            TargetChooser chooser(settings, localZone, seed * 977);
            directory.updateAll({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3") }, {}, {});
            ++first[chooser.choose(directory.targetsOf("booking"), nullptr, { {}, {} })->record.name];
        }
        CHECK(first.size() == 3);
    }
}

TEST_CASE("idle connections: a new flow goes to the target with the fewest outstanding requests, although another has fewer open flows")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2") });
    const PacketDecision busy = fixture.establish(1);
    for (uint16_t port = 2; port <= 6; ++port) {
        const PacketDecision opened = fixture.establish(port);
        if (opened.target == busy.target) {
            fixture.close(port, opened.token);
        }
    }
    REQUIRE(busy.target->openFlows == 1);
    fixture.send(1, busy.token, 1001, 5000, 100);
    REQUIRE(busy.target->outstandingRequests == 1);

    CHECK(fixture.open(20).target != busy.target);
    SECTION("a request no longer counts once it is answered")
    {
        fixture.send(1, busy.token, 1101, 5100, 0);
        CHECK(busy.target->outstandingRequests == 0);
        CHECK(fixture.open(21).target == busy.target);
    }
    SECTION("a request no longer counts after a timeout, because its answer may have been acknowledged through another instance")
    {
        fixture.run(seconds(3));
        CHECK(busy.target->outstandingRequests == 0);
    }
    SECTION("a request no longer counts when the caller closes the flow")
    {
        fixture.close(1, busy.token);
        CHECK(busy.target->outstandingRequests == 0);
    }
    SECTION("an opening packet counts until the caller confirms the flow without a request")
    {
        const PacketDecision opened = fixture.open(22);
        const uint32_t before = opened.target->outstandingRequests;
        fixture.send(22, opened.token, 1001, 5000, 0);
        CHECK(opened.target->outstandingRequests == before - 1);
    }
}

TEST_CASE("zone overload: flows stay in the own zone unless it is much busier than the others")
{
    ForwarderFixture fixture;
    SECTION("no flows leave the own zone while it has free capacity")
    {
        fixture.load({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3", remoteZone) });
        const auto placed = placeFlows(fixture, 1, 4);
        CHECK(placed.count("b3") == 0);
    }
    SECTION("a zone that has lost targets spills over to other zones instead of overloading the last target")
    {
        fixture.load({ makeTarget("b1"), makeTarget("b3", remoteZone), makeTarget("b4", remoteZone), makeTarget("b5", remoteZone) });
        const auto placed = placeFlows(fixture, 1, 60);
        CHECK(placed.at("b1") >= 28);
        CHECK(placed.at("b1") <= 32);
    }
    SECTION("a zone without targets is served by the other zones")
    {
        fixture.load({ makeTarget("b3", remoteZone) });
        CHECK(placeFlows(fixture, 1, 5)["b3"] == 5);
    }
}

TEST_CASE("slow target: a target slower than the mean of its route gets fewer new flows")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3") });
    std::map<std::string, RoutingToken> tokens;
    std::map<std::string, uint16_t> ports;
    for (uint16_t port = 1; port <= 3; ++port) {
        const PacketDecision opened = fixture.establish(port);
        tokens[opened.target->record.name] = opened.token;
        ports[opened.target->record.name] = port;
    }
    REQUIRE(tokens.size() == 3);
    for (uint32_t round = 0; round < 20; ++round) {
        for (const auto &[name, token] : tokens) {
            fixture.exchange(ports[name], token, round, name == "b2" ? milliseconds(100) : milliseconds(20));
        }
    }
    const auto placed = placeFlows(fixture, 10, 30);
    CHECK(placed.at("b1") > 2 * placed.at("b2"));
    CHECK(placed.at("b3") > 2 * placed.at("b2"));
}
