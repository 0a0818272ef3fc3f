// Tests of targets that refuse connection checks because they are overloaded, and of ended ones among them.

#include "flowfakes.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

constexpr size_t instances = 82;

/** One of many instances, with targets that have been ready for longer than a second. */
struct OverloadFixture : ForwarderFixture
{
    OverloadFixture()
    {
        this->forwarder.setInstanceCounts(instances, instances);
        this->load({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3"), makeTarget("b4") });
        this->run(seconds(2));
        this->opened = this->establish(1);
        this->target = this->opened.target;
    }
    /** Sends a request that becomes overdue, so that the target is checked. */
    void sendOverdueRequest(uint32_t number)
    {
        this->send(1, this->opened.token, 1001 + number * 100, 5000 + number * 100, 100);
        this->run(milliseconds(100));
        for (int ticks = 0; ticks < 100 && this->actions.checks.empty(); ++ticks) {
            this->run(milliseconds(20));
        }
        REQUIRE(this->actions.checks.size() == 1);
        REQUIRE(this->actions.checks[0].target == this->target);
    }
    void answer(uint32_t number)
    {
        this->send(1, this->opened.token, 1101 + number * 100, 5100 + number * 100, 0);
    }
    /** Runs for `time`; the target refuses all checks, and others connect. Returns the time until its flows are reset, or `time`. */
    Duration refuseFor(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(20)) {
            this->endChecksOfTarget();
            if (!this->actions.resets.empty()) {
                return passed;
            }
            this->run(milliseconds(20));
        }
        return time;
    }
    void endChecksOfTarget()
    {
        std::vector<ConnectionCheck> checks;
        std::swap(checks, this->actions.checks);
        for (const ConnectionCheck &check : checks) {
            this->forwarder.endCheck(check.target, check.target == this->target ? CheckOutcome::Refused : CheckOutcome::Connected, this->actions);
        }
    }
    /** Gives each of the other targets `count` requests without an answer. */
    void loadOthers(uint16_t count)
    {
        uint16_t port = 100;
        for (const TargetPtr &other : this->forwarder.targetDirectory().targetsOf("booking")) {
            for (uint16_t i = 0; other != this->target && i < count; ++i) {
                this->send(++port, other->token, 1001, 5000, 100);
            }
        }
    }

    PacketDecision opened;
    TargetPtr target;
};

}

// Guards against resets of the flows of living targets: 1,201 within 6 s at 4.5 times the usual load, all by a single refusal.
TEST_CASE("overloaded target: one that answered a flow within the last second is not ended because it refuses a connection")
{
    for (const Duration age : { milliseconds(60), milliseconds(150), milliseconds(420), milliseconds(900) }) {
        OverloadFixture fixture;
        fixture.clock.advance(age - milliseconds(60));
        fixture.sendOverdueRequest(0);
        CHECK(fixture.refuseFor(milliseconds(800)) == milliseconds(800));
        CHECK_FALSE(fixture.target->isSilent());
        CHECK(fixture.send(1, fixture.opened.token, 1001, 5000, 100).kind == PacketDecision::Kind::Forward);
    }
    SECTION("also when it refuses for minutes, as long as it answers now and then")
    {
        OverloadFixture fixture;
        for (uint32_t number = 0; number < 100; ++number) {
            fixture.sendOverdueRequest(number);
            CHECK(fixture.refuseFor(milliseconds(800)) == milliseconds(800));
            fixture.answer(number);
            fixture.refuseFor(milliseconds(320));
        }
        CHECK(fixture.actions.resets.empty());
    }
    SECTION("also when other checks of it time out, because its host has responded in between")
    {
        OverloadFixture fixture;
        fixture.sendOverdueRequest(0);
        fixture.endChecksOfTarget();
        fixture.run(milliseconds(520));
        REQUIRE(fixture.actions.checks.size() == 1);
        fixture.actions.checks.clear();
        fixture.forwarder.endCheck(fixture.target, CheckOutcome::TimedOut, fixture.actions);
        CHECK(fixture.actions.resets.empty());
    }
    SECTION("also when its answers take half a second")
    {
        OverloadFixture fixture;
        for (uint32_t number = 0; number < 20; ++number) {
            fixture.exchange(1, fixture.opened.token, number, milliseconds(500));
        }
        fixture.run(milliseconds(100));
        fixture.sendOverdueRequest(20);
        CHECK(fixture.refuseFor(milliseconds(900)) == milliseconds(900));
    }
}

// Guards against resets by instances to which a new target's first answers have not come yet.
TEST_CASE("overloaded target: one that has just become ready is not ended because it refuses a connection")
{
    OverloadFixture fixture;
    fixture.list({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3"), makeTarget("b4"), makeTarget("b5") });
    for (uint16_t port = 7; fixture.target->record.name != "b5"; ++port) {
        fixture.target = fixture.open(port).target;
    }
    fixture.run(milliseconds(100));
    CHECK(fixture.refuseFor(milliseconds(900)) == milliseconds(900));
    CHECK_FALSE(fixture.target->isSilent());
}

// Guards against resets by instances that see few of the target's answers.
TEST_CASE("overloaded target: one that has not answered for long is not ended because it refuses a connection while its service is overloaded")
{
    OverloadFixture fixture;
    fixture.run(milliseconds(1020));
    SECTION("the other targets have as many outstanding requests as slots")
    {
        fixture.loadOthers(1);
        fixture.send(1, fixture.opened.token, 1001, 5000, 100);
        fixture.run(milliseconds(100));
    }
    SECTION("another one has refused a connection and answered since")
    {
        const PacketDecision other = fixture.establish(2);
        REQUIRE(other.target != fixture.target);
        fixture.send(2, other.token, 1001, 5000, 100);
        fixture.run(milliseconds(100));
        fixture.endChecks(CheckOutcome::Refused);
        fixture.clock.advance(milliseconds(10));
        fixture.send(2, other.token, 1101, 5100, 0);
        fixture.sendOverdueRequest(0);
    }
    CHECK(fixture.refuseFor(milliseconds(800)) == milliseconds(800));
    CHECK_FALSE(fixture.target->isSilent());
}

// Guards against callers that wait until an ended process's entry expires.
TEST_CASE("ended process: it is detected although it answered shortly before")
{
    OverloadFixture fixture;
    fixture.sendOverdueRequest(0);
    SECTION("its flows are reset when a request has waited for a second")
    {
        const Duration waited = milliseconds(100) + fixture.refuseFor(seconds(4));
        CHECK(waited >= seconds(1));
        CHECK(waited <= milliseconds(1300));
        CHECK(fixture.resets(ResetReason::TargetSilent) == 1);
    }
    SECTION("new flows avoid it from the first refusal on, unless all targets refuse")
    {
        fixture.endChecksOfTarget();
        for (uint16_t port = 10; port < 40; ++port) {
            CHECK(fixture.open(port).target != fixture.target);
        }
        fixture.list({ fixture.target->record });
        fixture.run(milliseconds(20));
        CHECK(fixture.open(50).target == fixture.target);
    }
    SECTION("an idle flow is not reset before its next request has waited")
    {
        fixture.answer(0);
        fixture.refuseFor(seconds(3));
        CHECK(fixture.actions.resets.empty());
        fixture.sendOverdueRequest(1);
        CHECK(fixture.refuseFor(seconds(4)) <= milliseconds(1300));
    }
    SECTION("it is detected at once when its entry is gone and the store has confirmed that")
    {
        fixture.answer(0);
        fixture.endChecksOfTarget();
        fixture.list({ makeTarget("zz") });
        fixture.clock.advance(milliseconds(2300));
        fixture.list({ makeTarget("zz") });
        fixture.endChecksOfTarget();
        CHECK(fixture.resets(ResetReason::TargetDeparted) == 1);
    }
}

TEST_CASE("ended process: a single refusal is conclusive if it has answered nobody for a second and its service is not overloaded")
{
    OverloadFixture fixture;
    fixture.run(milliseconds(1020));
    fixture.sendOverdueRequest(0);
    CHECK(fixture.refuseFor(seconds(1)) == Duration{ 0 });
}
