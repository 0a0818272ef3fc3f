// Tests of load distribution and of the handling of late answers. Each test name begins with the overload or failure pattern that it covers.

#include "flowfakes.h"

#include <algorithm>
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

/** Loads two targets that accept `limit` connections each, for one of `instances` instances. */
void loadWithConnectionLimit(ForwarderFixture &fixture, uint32_t limit, size_t instances)
{
    RouteConfiguration configuration = makeConfiguration(1);
    configuration.connectionLimits["booking"] = limit;
    fixture.forwarder.onConfiguration(configuration, fixture.actions);
    fixture.forwarder.onConfigurationConfirmed(fixture.clock.now());
    fixture.list({ makeTarget("b1"), makeTarget("b2") });
    fixture.forwarder.setInstanceCounts(instances, instances);
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

TEST_CASE("silent target: a late answer triggers a connection check, and only the check marks the target silent")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2") });
    const PacketDecision first = fixture.establish(1);
    const PacketDecision second = fixture.establish(2);
    REQUIRE(first.target != second.target);
    for (uint32_t round = 0; round < 5; ++round) {
        fixture.exchange(1, first.token, round, milliseconds(20));
    }
    const std::string name = first.target->record.name;

    GIVEN("a request that is not answered in time")
    {
        fixture.send(1, first.token, 2001, 6000, 100);
        fixture.run(milliseconds(40));
        CHECK(fixture.actions.checks.empty());
        fixture.run(milliseconds(60));
        REQUIRE(fixture.actions.checks.size() == 1);
        CHECK(fixture.actions.checks[0].target->record.name == name);

        WHEN("the target accepts connections")
        {
            fixture.endChecks(CheckOutcome::Connected);
            THEN("it stays in use and no flow is reset, because only a packet was lost")
            {
                CHECK(fixture.actions.resets.empty());
                CHECK(fixture.send(1, first.token, 2001, 6000, 100).kind == PacketDecision::Kind::Forward);
                CHECK_FALSE(first.target->isSilent());
            }
        }
        WHEN("one check times out, but the target answers a flow during the check")
        {
            fixture.clock.advance(milliseconds(10));
            fixture.send(1, first.token, 2101, 6100, 0);
            fixture.endChecks(CheckOutcome::TimedOut);
            CHECK(fixture.actions.resets.empty());
            CHECK_FALSE(first.target->isSilent());
        }
        WHEN("two consecutive checks time out")
        {
            fixture.endChecks(CheckOutcome::TimedOut, second.target->record.name);
            THEN("its flows are reset immediately, so that their callers can retry in time")
            {
                REQUIRE(fixture.actions.resets.size() == 1);
                CHECK(fixture.actions.resets[0].flow == ForwarderFixture::flow(1));
                CHECK(fixture.resets(ResetReason::TargetSilent) == 1);
                CHECK(fixture.send(1, first.token, 2001, 6000, 100).kind == PacketDecision::Kind::Reset);
            }
            THEN("new flows go to other targets")
            {
                for (uint16_t port = 10; port < 20; ++port) {
                    CHECK(fixture.open(port).target == second.target);
                }
            }
            THEN("it is rechecked with increasing delays and used again after a successful check")
            {
                fixture.run(milliseconds(520));
                REQUIRE(fixture.endChecks(CheckOutcome::TimedOut) == 1);
                fixture.run(milliseconds(520));
                CHECK(fixture.actions.checks.empty());
                fixture.run(milliseconds(520));
                REQUIRE(fixture.endChecks(CheckOutcome::Connected) == 1);
                CHECK_FALSE(first.target->isSilent());
            }
        }
        WHEN("its host refuses the connection, a single check is conclusive")
        {
            fixture.endChecks(CheckOutcome::Refused, second.target->record.name);
            CHECK(fixture.actions.resets.size() == 1);
        }
    }
    GIVEN("an opening packet that is not followed by another packet")
    {
        const PacketDecision opened = fixture.open(5);
        fixture.run(milliseconds(100));
        REQUIRE(fixture.actions.checks.size() == 1);
        CHECK(fixture.actions.checks[0].target == opened.target);
        THEN("its retransmission goes to another target")
        {
            CHECK(fixture.open(5).target != opened.target);
        }
    }
    GIVEN("an opening packet whose target answers other flows")
    {
        const PacketDecision opened = fixture.open(5);
        fixture.clock.advance(milliseconds(100));
        fixture.exchange(opened.target == first.target ? 1 : 2, opened.token, 9, milliseconds(10));
        THEN("its retransmission goes to the same target, because the packet was lost")
        {
            CHECK(fixture.open(5).target == opened.target);
        }
    }
}

TEST_CASE("correlated failure: when a target is marked silent, all other targets with flows are checked")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3"), makeTarget("b4") });
    std::map<std::string, uint16_t> ports;
    std::map<std::string, RoutingToken> tokens;
    for (uint16_t port = 1; port <= 3; ++port) {
        const PacketDecision opened = fixture.establish(port);
        ports[opened.target->record.name] = port;
        tokens[opened.target->record.name] = opened.token;
    }
    const auto &[name, port] = *ports.begin();
    fixture.send(port, tokens[name], 2001, 6000, 100);
    fixture.run(milliseconds(100));
    REQUIRE(fixture.actions.checks.size() == 1);
    const TargetPtr silent = fixture.actions.checks[0].target;
    fixture.actions.checks.clear();
    fixture.forwarder.endCheck(silent, CheckOutcome::Refused, fixture.actions);
    CHECK(fixture.actions.checks.size() == 2); // the target without flows is not checked
    fixture.endChecks(CheckOutcome::Refused);
    CHECK(fixture.actions.resets.size() == 3); // including flows without an outstanding request
}

TEST_CASE("retry storm: callers of a service without a reachable target are rejected immediately")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1") });
    fixture.establish(1);
    fixture.open(2);
    fixture.run(milliseconds(100));
    fixture.endChecks(CheckOutcome::Refused);
    CHECK(fixture.open(3).kind == PacketDecision::Kind::Reset);
    CHECK(fixture.resets(ResetReason::NoTarget) == 1);
}

TEST_CASE("saturated link: while no target accepts connections, only the long check can mark a target silent")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2") });
    const PacketDecision first = fixture.establish(1);
    fixture.establish(2);
    fixture.send(1, first.token, 1001, 5000, 100);
    fixture.run(milliseconds(100));
    bool isReferenceLate = false;
    SECTION("the other target does not accept connections either")
    {
    }
    SECTION("the connection to the other target takes almost the full timeout")
    {
        isReferenceLate = true;
    }
    for (int round = 0; round < 2; ++round) { // the first check, then the second one together with a check of the reference target
        REQUIRE_FALSE(fixture.actions.checks.empty());
        const std::vector<ConnectionCheck> checks = std::move(fixture.actions.checks);
        fixture.actions.checks.clear();
        fixture.clock.advance(milliseconds(45));
        for (const ConnectionCheck &check : checks) {
            CHECK(check.timeout == milliseconds(50));
            const bool isLate = isReferenceLate && check.target != first.target;
            fixture.forwarder.endCheck(check.target, isLate ? CheckOutcome::Connected : CheckOutcome::TimedOut, fixture.actions);
        }
    }
    CHECK(fixture.actions.resets.empty());
    REQUIRE_FALSE(fixture.actions.checks.empty());
    CHECK(fixture.actions.checks.at(0).timeout == seconds(1));
    fixture.endChecks(CheckOutcome::Connected);
    CHECK(fixture.actions.resets.empty());
    CHECK(fixture.observer.silent.empty());
}

TEST_CASE("process pause: answers that are late because of the pause do not mark a reachable target silent")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1") });
    const PacketDecision opened = fixture.establish(1);
    fixture.send(1, opened.token, 1001, 5000, 100);
    fixture.clock.advance(seconds(4)); // no tick: the process was paused
    fixture.forwarder.tick(fixture.actions);
    REQUIRE(fixture.actions.checks.size() == 1);
    fixture.forwarder.endCheck(opened.target, CheckOutcome::TimedOut, fixture.actions); // the check may have started before the pause
    CHECK(fixture.actions.resets.empty());
    fixture.actions.checks.clear();
    fixture.forwarder.endCheck(opened.target, CheckOutcome::Connected, fixture.actions);
    CHECK(fixture.actions.resets.empty());
    CHECK_FALSE(opened.target->isSilent());
}

TEST_CASE("full target: a target that refuses connections because it has as many as it accepts keeps its flows while it answers them")
{
    ForwarderFixture fixture;
    loadWithConnectionLimit(fixture, 40, 4);
    std::vector<std::pair<uint16_t, PacketDecision>> flows;
    for (uint16_t port = 1; port <= 12; ++port) {
        flows.emplace_back(port, fixture.establish(port));
    }
    const TargetPtr full = flows.at(0).second.target;
    const std::string other = full->record.name == "b1" ? "b2" : "b1";
    const auto sibling = std::find_if(flows.begin() + 1, flows.end(), [&](const auto &flow) { return flow.second.target == full; });
    REQUIRE(sibling != flows.end());
    REQUIRE(full->openFlows == 6); // of 4 x 6 that the instances may have together; the limit is 40
    fixture.send(1, full->token, 1001, 5000, 100);
    fixture.run(milliseconds(100));
    REQUIRE(fixture.endChecks(CheckOutcome::Refused, other) > 0);

    THEN("no flow is reset")
    {
        CHECK(fixture.actions.resets.empty());
        CHECK_FALSE(full->isSilent());
    }
    WHEN("it answers another flow before it refuses again")
    {
        fixture.run(milliseconds(100));
        fixture.send(sibling->first, full->token, 1001, 5100, 0);
        fixture.run(milliseconds(220));
        fixture.endChecks(CheckOutcome::Refused, other);
        CHECK(fixture.actions.resets.empty());
        CHECK_FALSE(full->isSilent());
    }
    WHEN("it refuses again without an answer in between")
    {
        fixture.run(milliseconds(320));
        REQUIRE(fixture.endChecks(CheckOutcome::Refused, other) > 0);
        THEN("its process has ended, and all its flows are reset")
        {
            CHECK(fixture.actions.resets.size() == 6);
        }
    }
}

TEST_CASE("overloaded target: a target that refuses a connection right after it answered a flow is not conclusively dead")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2") });
    const PacketDecision suspect = fixture.establish(1);
    const PacketDecision overloaded = fixture.establish(2);
    REQUIRE(suspect.target != overloaded.target);
    fixture.send(1, suspect.token, 1001, 5000, 100);
    fixture.run(milliseconds(100));
    fixture.exchange(2, overloaded.token, 0, milliseconds(10));
    REQUIRE(fixture.actions.checks.size() == 1);
    fixture.actions.checks.clear();
    fixture.forwarder.endCheck(suspect.target, CheckOutcome::TimedOut, fixture.actions);
    REQUIRE(fixture.actions.checks.size() == 2); // the suspect again, and the other target as the reference, because it answered last
    fixture.endChecks(CheckOutcome::Refused, suspect.target->record.name);

    CHECK(fixture.actions.resets.empty());
    CHECK_FALSE(overloaded.target->isSilent());
    WHEN("it answers again before the next refusal")
    {
        fixture.run(milliseconds(100));
        fixture.exchange(2, overloaded.token, 1, milliseconds(10));
        fixture.run(milliseconds(200));
        REQUIRE(fixture.endChecks(CheckOutcome::Refused, suspect.target->record.name) > 0);
        CHECK(fixture.actions.resets.empty());
    }
    WHEN("it refuses again without an answer in between, its process has ended")
    {
        fixture.run(milliseconds(320));
        REQUIRE(fixture.endChecks(CheckOutcome::Refused, suspect.target->record.name) > 0);
        CHECK(overloaded.target->isSilent());
        CHECK(fixture.resets(ResetReason::TargetSilent) == 1);
    }
}

TEST_CASE("full target: a target with few flows for its connection limit is not full, and a single refusal is conclusive")
{
    ForwarderFixture fixture;
    loadWithConnectionLimit(fixture, 2000, 8);
    const PacketDecision opened = fixture.establish(1);
    fixture.run(milliseconds(1020)); // an answer within the last second would speak for overload
    fixture.send(1, opened.token, 1001, 5000, 100);
    fixture.run(milliseconds(100));
    fixture.endChecks(CheckOutcome::Refused, opened.target->record.name == "b1" ? "b2" : "b1");
    CHECK(fixture.actions.resets.size() == 1);
}

namespace {

/** Two targets; one of them has an open flow and drains. */
struct DrainingFixture : ForwarderFixture
{
    explicit DrainingFixture(const FlowSettings &settings = {}) : ForwarderFixture(settings)
    {
        this->load({ makeTarget("b1"), makeTarget("b2") });
        this->opened = this->establish(1);
        this->other = this->opened.target->record.name == "b1" ? "b2" : "b1";
        TargetRecord draining = this->opened.target->record;
        draining.isDraining = true;
        this->list({ draining, makeTarget(this->other) });
    }
    PacketDecision opened; // of the flow
    std::string other;     // name of the target that doesn't drain
};

}

// Guards against a connection check at each tick when the grace time of full targets is set to 0.
TEST_CASE("graceful shutdown: a draining target that refuses connections is checked at the interval of checks")
{
    FlowSettings settings;
    settings.refusalGrace = Duration{ 0 };
    DrainingFixture fixture(settings);
    fixture.send(1, fixture.opened.token, 1001, 5000, 100);
    size_t checks = 0;
    constexpr Duration tick = milliseconds(20);
    for (Duration passed{ 0 }; passed < seconds(3); passed += tick) {
        fixture.run(tick);
        checks += fixture.endChecks(CheckOutcome::Refused);
    }
    CHECK(fixture.actions.resets.empty());
    CHECK(checks >= 2);
    CHECK(checks <= 1 + static_cast<size_t>(seconds(3) / settings.checkInterval));
}

TEST_CASE("graceful shutdown: a draining target that refuses connections may still be sending its last answers")
{
    DrainingFixture fixture;
    const PacketDecision &opened = fixture.opened;
    const std::string &other = fixture.other;
    fixture.exchange(1, opened.token, 1, milliseconds(20));
    fixture.send(1, opened.token, 2001, 6000, 100);
    fixture.run(milliseconds(100));
    REQUIRE(fixture.endChecks(CheckOutcome::Refused, other) > 0);

    THEN("its flows continue at first")
    {
        CHECK(fixture.actions.resets.empty());
        CHECK(fixture.send(1, opened.token, 2001, 6000, 100).kind == PacketDecision::Kind::Forward);
    }
    WHEN("it answers a flow and then refuses again")
    {
        fixture.run(milliseconds(100));
        fixture.send(1, opened.token, 2101, 6100, 0);
        fixture.run(milliseconds(300));
        fixture.endChecks(CheckOutcome::Refused, other);
        CHECK(fixture.actions.resets.empty());
    }
    WHEN("it goes on refusing without an answer in between, because its last requests take long")
    {
        for (int check = 0; check < 10; ++check) {
            fixture.run(milliseconds(320));
            REQUIRE(fixture.endChecks(CheckOutcome::Refused, other) > 0);
        }
        THEN("its flows continue as long as its entry is listed")
        {
            CHECK(fixture.actions.resets.empty());
            CHECK(fixture.send(1, opened.token, 2001, 6000, 100).kind == PacketDecision::Kind::Forward);
        }
        AND_WHEN("its entry is removed")
        {
            fixture.list({ makeTarget(other) });
            fixture.run(milliseconds(320));
            REQUIRE(fixture.endChecks(CheckOutcome::Refused, other) > 0);
            THEN("it is considered ended, and its flows are reset")
            {
                CHECK(fixture.actions.resets.size() == 1);
            }
        }
    }
    WHEN("its entry is missing, the next refusal is conclusive")
    {
        fixture.list({ makeTarget(other) });
        fixture.send(1, opened.token, 2001, 6000, 100);
        fixture.run(milliseconds(320));
        REQUIRE(fixture.endChecks(CheckOutcome::Refused, other) > 0);
        CHECK(fixture.actions.resets.size() == 1);
    }
}
