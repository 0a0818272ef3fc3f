// Tests of targets that refuse connection checks although their processes run: full, overloaded and draining ones, and of ended ones among them. Each test name
// begins with the pattern that it covers.

#include "flowfakes.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

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
