#include "requestfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace hornbeam;

TEST_CASE("a GET is handled by the instance that receives it")
{
    RequestFixture fixture;
    fixture.sendGet();
    CHECK(fixture.slotProvider.pendingRequests.at(0).flow == flowKey(RequestFixture::service, fixture.caller));
    fixture.grant(0);
    const CoapMessage sent = fixture.lastSent();

    SECTION("the response is sent once, with the latest message ID")
    {
        fixture.deliver(fixture.request(CoapCode::Get, {}, 200));
        CHECK(fixture.out.toTargets.size() == 1);
        fixture.respondFromTarget(fixture.targets[0], sent, CoapCode::Content, "board");
        CHECK(fixture.lastResponse().type == CoapType::Acknowledgement);
        CHECK(fixture.lastResponse().messageId == 200);
        CHECK(fixture.lastResponse().token == Bytes{ 0xAB });
        CHECK(fixture.lastPayload() == "board");
        CHECK(fixture.slotProvider.releases.back().second == SlotOutcome::Answered);
        fixture.respondFromTarget(fixture.targets[0], sent, CoapCode::Content, "board");
        CHECK(fixture.out.toCallers.size() == 1);
        CHECK(fixture.counters.value(Counter::AnswersUnmatched) == 1);
        CHECK(fixture.engine->isIdle());
    }
    SECTION("a response from a target that the request was not sent to is dropped")
    {
        fixture.respondFromTarget(fixture.targets[1], sent, CoapCode::Content, "other");
        CHECK(fixture.out.toCallers.empty());
        CHECK(fixture.counters.value(Counter::AnswersUnmatched) == 1);
    }
    SECTION("after an empty ACK the separate response is awaited and acknowledged")
    {
        fixture.respondFromTarget(fixture.targets[0], sent, CoapCode::Empty, "");
        fixture.advanceTime(seconds(4));
        CHECK(fixture.slotProvider.pendingRequests.empty());
        fixture.respondFromTarget(fixture.targets[0], sent, CoapCode::Content, "late", CoapType::Confirmable);
        CHECK(fixture.lastSent().type == CoapType::Acknowledgement);
        CHECK(fixture.lastPayload() == "late");
    }
    SECTION("a request without a response is retried at another target")
    {
        fixture.advanceTime(seconds(2));
        CHECK(fixture.counters.value(RetryReason::IdempotentLost) == 1);
        CHECK(fixture.slotProvider.pendingRequests.at(0).avoid == 100);
        SECTION("without another target, the refusal does not claim that the request did not run")
        {
            fixture.engine->slotRefused(fixture.slotProvider.takePendingRequest().request, Reason::NoTarget, {}, fixture.out);
            CHECK(fixture.lastPayload() == "may_have_run: target_timeout");
        }
    }
    SECTION("reusing the token for another request cancels the first one")
    {
        fixture.deliver(fixture.request(CoapCode::Put, {}, 201));
        fixture.respondFromTarget(fixture.targets[0], sent, CoapCode::Content, "old");
        CHECK(fixture.out.toCallers.empty());
        CHECK(fixture.engine->inProgress() == 1);
    }
}

TEST_CASE("a response has the type that matches its request, and a refusal of an idempotent request does not rule out that it ran")
{
    RequestFixture fixture;
    fixture.deliver(buildCoap(CoapType::NonConfirmable, CoapCode::Get, 5, { 1, 2 }, {}, ""));
    fixture.engine->slotRefused(fixture.slotProvider.takePendingRequest().request, Reason::NoSlot, {}, fixture.out);
    CHECK(fixture.lastResponse().type == CoapType::NonConfirmable);
    CHECK(fixture.lastResponse().token == Bytes{ 1, 2 });
    CHECK(fixture.lastResponse().code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
    CHECK(fixture.lastPayload() == "may_have_run: no_slot"); // a copy of the packet may have run through another instance
    // a copy of a PUT may have reached another instance and run there
    fixture.deliver(fixture.request(CoapCode::Put, {}, 6));
    fixture.engine->slotRefused(fixture.slotProvider.takePendingRequest().request, Reason::NoSlot, {}, fixture.out);
    CHECK(fixture.lastResponse().code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
    CHECK(fixture.lastPayload() == "may_have_run: no_slot");
}

TEST_CASE("retries stay within the retry budget")
{
    RequestSettings settings;
    settings.retryBurst = 1;
    RequestFixture fixture(settings);
    fixture.sendPost(fixture.requestEcho());
    fixture.grant(0);
    fixture.respondFromTarget(fixture.targets[0], fixture.lastSent(), CoapCode::ServiceUnavailable, "busy");
    CHECK(fixture.counters.value(RetryReason::TargetShed) == 1);
    fixture.grant(1);
    fixture.respondFromTarget(fixture.targets[1], fixture.lastSent(), CoapCode::ServiceUnavailable, "busy");
    CHECK(fixture.lastPayload() == "not_run: retry_budget");
    CHECK(fixture.lastResponse().maxAge == 1U);
}

TEST_CASE("a POST without an Echo value is challenged and does not run")
{
    RequestFixture fixture;
    const Bytes first = fixture.request(CoapCode::Post, {}, 7);
    fixture.deliver(first);
    CHECK(fixture.lastResponse().code == static_cast<uint8_t>(CoapCode::Unauthorized));
    const Bytes value = fixture.lastResponse().echo;
    CHECK(value.size() == echoBytes);
    CHECK(fixture.slotProvider.pendingRequests.empty());

    SECTION("a retransmission gets the same value, another request a new one")
    {
        fixture.deliver(first);
        CHECK(fixture.lastResponse().echo == value);
        CHECK(fixture.requestEcho() != value);
    }
    SECTION("a value of the wrong length is answered with a new challenge")
    {
        fixture.sendPost(Bytes(8, 1));
        CHECK(fixture.lastResponse().echo.size() == echoBytes);
    }
    SECTION("a value with an invalid signature is refused, because it may have identified a request")
    {
        fixture.sendPost(Bytes(echoBytes, 1));
        CHECK(fixture.lastPayload() == "may_have_run: foreign_echo");
    }
    SECTION("a request for an unknown service is refused immediately")
    {
        fixture.tables.tables.clear();
        fixture.requestEcho();
        CHECK(fixture.lastPayload() == "not_run: no_table");
    }
    SECTION("a leaving instance relays the request")
    {
        fixture.engine->beginDrain(fixture.out);
        fixture.directory.own.state = MemberState::Leaving;
        fixture.deliver(fixture.request(CoapCode::Post, {}, 8));
        REQUIRE(fixture.out.toPeers.size() == 1);
        CHECK(fixture.out.toPeers[0].peer == RequestFixture::peer);
        CHECK(std::get<Relay>(fixture.out.toPeers[0].message).hops == 1);
    }
}

TEST_CASE("a POST runs at most once")
{
    RequestFixture fixture;
    const Bytes value = fixture.requestEcho();
    fixture.sendPost(value);
    REQUIRE(fixture.slotProvider.pendingRequests.size() == 1);

    SECTION("retransmissions are answered from the record")
    {
        fixture.grant(0);
        fixture.sendPost(value);
        fixture.respondFromTarget(fixture.targets[0], fixture.lastSent(), CoapCode::Changed, "booked");
        CHECK(fixture.lastResponse().messageId == fixture.nextMessageId);
        fixture.sendPost(value);
        CHECK(fixture.lastPayload() == "booked");
        CHECK(fixture.out.toTargets.size() == 1);
        CHECK(fixture.counters.value(Counter::RepeatsAnswered) == 1);
        SECTION("after the record has expired, the outcome is unknown")
        {
            fixture.advanceTime(seconds(248));
            CHECK(fixture.engine->recordBytes() == 0);
            fixture.sendPost(value);
            CHECK(fixture.lastPayload() == "may_have_run: record_expired");
        }
    }
    SECTION("another request with the same Echo value neither runs nor gets the response")
    {
        fixture.grant(0);
        fixture.deliver(fixture.request(CoapCode::Post, value, 900, {}, "another bid"));
        CHECK(fixture.lastResponse().code == static_cast<uint8_t>(CoapCode::Unauthorized));
        CHECK(fixture.lastResponse().echo != value);
        fixture.respondFromTarget(fixture.targets[0], fixture.lastSent(), CoapCode::Changed, "booked");
        CHECK(fixture.lastResponse().messageId == fixture.nextMessageId);
        fixture.sendPost(value, 700);
        CHECK(fixture.lastPayload() == "booked");
        CHECK(fixture.out.toTargets.size() == 1);
    }
    SECTION("a request refused as not run never runs later")
    {
        fixture.engine->slotRefused(fixture.slotProvider.takePendingRequest().request, Reason::NoSlot, seconds(3), fixture.out);
        CHECK(fixture.lastPayload() == "not_run: no_slot");
        CHECK(fixture.lastResponse().maxAge == 3U);
        fixture.sendPost(value);
        CHECK(fixture.lastPayload() == "not_run: no_slot");
        CHECK(fixture.slotProvider.pendingRequests.empty());
    }
    SECTION("a timeout leaves the outcome open until a late response arrives")
    {
        fixture.grant(0);
        const CoapMessage sent = fixture.lastSent();
        fixture.advanceTime(seconds(5));
        CHECK(fixture.lastPayload() == "may_have_run: target_timeout");
        CHECK(fixture.out.toTargets.size() == 1);
        fixture.respondFromTarget(fixture.targets[1], sent, CoapCode::Changed, "not mine");
        fixture.respondFromTarget(fixture.targets[0], sent, CoapCode::Changed, "booked");
        fixture.sendPost(value);
        CHECK(fixture.lastPayload() == "booked");
    }
    SECTION("a reset or an unreachable host leaves the outcome open")
    {
        fixture.grant(0);
        if (GENERATE(true, false)) {
            fixture.respondFromTarget(fixture.targets[0], fixture.lastSent(), CoapCode::Empty, "", CoapType::Reset);
        } else {
            fixture.engine->onTargetUnreachable(fixture.targets[0], fixture.out);
        }
        CHECK(fixture.lastPayload() == "may_have_run: target_reset");
        CHECK(fixture.slotProvider.releases.back().second == SlotOutcome::Reset);
    }
    SECTION("nothing is sent to a target that was removed from the table before the grant")
    {
        fixture.setTable(1);
        fixture.grant(1);
        CHECK(fixture.out.toTargets.empty());
        CHECK(fixture.lastPayload() == "not_run: wrong_service");
    }
    SECTION("a paused process sends nothing after the deadline")
    {
        fixture.clock.advance(seconds(30));
        fixture.grant(0);
        CHECK(fixture.out.toTargets.empty());
        CHECK(fixture.lastPayload() == "not_run: queue_deadline");
        REQUIRE(fixture.slotProvider.releases.size() == 1);
        CHECK(fixture.slotProvider.releases.back().second == SlotOutcome::Cancelled);
    }
    SECTION("a paused process reads buffered responses before it times out requests")
    {
        fixture.grant(0);
        fixture.clock.advance(seconds(30));
        fixture.engine->tick(fixture.out);
        fixture.respondFromTarget(fixture.targets[0], fixture.lastSent(), CoapCode::Changed, "booked");
        CHECK(fixture.lastPayload() == "booked");
    }
    SECTION("an instance that was declared dead sends nothing")
    {
        fixture.directory.own.state = MemberState::Dead;
        fixture.grant(0);
        CHECK(fixture.out.toTargets.empty());
        CHECK(fixture.lastPayload() == "may_have_run: maker_gone");
    }
    SECTION("the caller's deadline limits the time in the queue")
    {
        fixture.sendPost(fixture.requestEcho(), 300);
        CHECK(fixture.slotProvider.pendingRequests.at(1).queueTimeout == milliseconds(300));
        const Bytes late = fixture.requestEcho();
        fixture.sendPost(late, 0);
        CHECK(fixture.lastPayload() == "not_run: deadline_passed");
        fixture.sendPost(late);
        CHECK(fixture.lastPayload() == "not_run: deadline_passed");
        CHECK(fixture.slotProvider.pendingRequests.size() == 2);
    }
}

TEST_CASE("a request whose Echo value is first used after the window never runs")
{
    RequestFixture fixture;
    const Bytes value = fixture.requestEcho();
    fixture.advanceTime(seconds(61));
    fixture.sendPost(value);
    CHECK(fixture.lastPayload() == "may_have_run: record_expired");
    CHECK(fixture.slotProvider.pendingRequests.empty());
}

TEST_CASE("when the record budget is exhausted, new POSTs are refused and no record is dropped")
{
    RequestSettings settings;
    settings.maxRecordBytes =
        2 * recordOverheadBytes + settings.responseReserveBytes + 100; // room for one record in progress, or one completed and one in progress
    RequestFixture fixture(settings);
    const Bytes first = fixture.requestEcho();
    const Bytes second = fixture.requestEcho();
    fixture.sendPost(first);
    fixture.sendPost(second);
    CHECK(fixture.lastPayload() == "not_run: records_full");
    CHECK(fixture.requestEcho().empty());
    fixture.grant(0);
    fixture.respondFromTarget(fixture.targets[0], fixture.lastSent(), CoapCode::Changed, "booked");
    CHECK(fixture.engine->recordBytes() <= settings.maxRecordBytes);

    SECTION("a refused request does not run when there is room again")
    {
        fixture.sendPost(second);
        CHECK(fixture.lastPayload() == "not_run: records_full");
        CHECK(fixture.slotProvider.pendingRequests.empty());
        fixture.sendPost(fixture.requestEcho());
        CHECK(fixture.slotProvider.pendingRequests.size() == 1);
    }
    SECTION("a completed request is still answered from its record")
    {
        fixture.sendPost(first);
        CHECK(fixture.lastPayload() == "booked");
    }
}

namespace {

/** Runs random steps for one POST and counts what targets ran and what the caller was told. */
struct Schedule
{
    RequestFixture fixture;
    Bytes value = fixture.requestEcho();
    size_t sent = 0;      // messages sent to targets
    std::set<Bytes> shed; // tokens of the exchanges that a target shed
    std::set<Bytes> ran;  // tokens of the exchanges that a target ran
    size_t refusals = 0;  // refusals with the verdict not_run

    void runRandomStep(uint8_t choice)
    {
        const size_t before = this->fixture.out.toTargets.size();
        const size_t target = choice & 1U;
        switch ((choice >> 1U) % 8) {
        case 0: // first use, duplicate or late retransmission
            this->fixture.sendPost(this->value, choice > 200 ? std::optional<uint32_t>(200) : std::nullopt);
            break;
        case 1:
            if (!this->fixture.slotProvider.pendingRequests.empty()) {
                this->fixture.grant(target);
            }
            break;
        case 2:
            if (!this->fixture.slotProvider.pendingRequests.empty()) {
                this->fixture.engine->slotRefused(this->fixture.slotProvider.takePendingRequest().request, Reason::NoSlot, {}, this->fixture.out);
            }
            break;
        case 3:
            this->respondToOne(choice, CoapCode::Changed);
            break;
        case 4:
            this->respondToOne(choice, CoapCode::ServiceUnavailable);
            break;
        case 5:
            this->fixture.advanceTime(milliseconds(50 * (choice >> 4U)));
            break;
        case 6: // a pause of the process
            this->fixture.clock.advance(seconds(choice >> 5U));
            break;
        default: // removes a target from the table, or restores it
            this->fixture.setTable(1 + target);
            break;
        }
        this->sent += this->fixture.out.toTargets.size() - before;
        for (const OutgoingPacket &packet : this->fixture.out.toCallers) {
            const std::string text(packet.packet.begin(), packet.packet.end());
            this->refusals += text.find("\xFFnot_run") != std::string::npos ? 1 : 0;
        }
        this->fixture.out.toCallers.clear();
    }
    void respondToOne(uint8_t choice, CoapCode code)
    {
        if (this->fixture.out.toTargets.empty()) {
            return;
        }
        // any exchange so far: responses may be late, duplicated or reordered, but a target never both sheds and runs the same exchange
        const OutgoingPacket packet = this->fixture.out.toTargets.at((choice >> 4U) % this->fixture.out.toTargets.size());
        const CoapMessage sentMessage = *parseCoap(packet.packet);
        const bool isShed = code == CoapCode::ServiceUnavailable;
        if ((isShed ? this->ran : this->shed).contains(sentMessage.token)) {
            return;
        }
        (isShed ? this->shed : this->ran).insert(sentMessage.token);
        this->fixture.respondFromTarget(packet.endpoint, sentMessage, code, "done");
    }
};

} // namespace

TEST_CASE("in any schedule a POST is sent at most once unless it was shed, and a refusal as not run is correct")
{
    size_t sent = 0;
    size_t shed = 0;
    size_t refusals = 0;
    const bool passed = rc::check("at most once", [&] {
        Schedule schedule;
        for (const uint8_t choice : *rc::gen::container<Bytes>(60, rc::gen::arbitrary<uint8_t>())) {
            const size_t refusedBefore = schedule.refusals;
            const size_t sentBefore = schedule.sent;
            schedule.runRandomStep(choice);
            RC_ASSERT(schedule.sent <= 1 + schedule.shed.size());
            const bool wasRefused = refusedBefore > 0;
            const bool sentNow = schedule.sent > sentBefore;
            RC_ASSERT(!(wasRefused && sentNow));
            const bool mayRun = schedule.sent > schedule.shed.size();
            const bool refusedNow = schedule.refusals > refusedBefore;
            RC_ASSERT(!(mayRun && refusedNow));
        }
        sent += schedule.sent;
        shed += schedule.shed.size();
        refusals += schedule.refusals;
    });
    CHECK(passed);
    // the schedules covered sends, sheds and refusals
    CHECK(sent > 0);
    CHECK(shed > 0);
    CHECK(refusals > 0);
}
