// Tests of late answers: which targets are checked, and which are marked silent. Each test name begins with the failure pattern that it covers.

#include "flowfakes.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hornbeam;

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
