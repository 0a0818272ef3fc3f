#include "requestbench.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace hornbeam;

TEST_CASE("a GET is served where it lands")
{
    RequestBench bench;
    bench.get();
    CHECK(bench.places.wants.at(0).flow == flowKey(RequestBench::service, bench.caller));
    bench.grant(0);
    const CoapMessage sent = bench.lastSent();

    SECTION("and answered on its newest message ID, once")
    {
        bench.deliver(bench.request(CoapCode::Get, {}, 200));
        CHECK(bench.out.toTargets.size() == 1);
        bench.answer(bench.targets[0], sent, CoapCode::Content, "board");
        CHECK(bench.lastAnswer().type == CoapType::Acknowledgement);
        CHECK(bench.lastAnswer().messageId == 200);
        CHECK(bench.lastAnswer().token == Bytes{ 0xAB });
        CHECK(bench.lastPayload() == "board");
        CHECK(bench.places.ends.back().second == SlotOutcome::Answered);
        bench.answer(bench.targets[0], sent, CoapCode::Content, "board");
        CHECK(bench.out.toCallers.size() == 1);
        CHECK(bench.counters.value(Counter::AnswersUnmatched) == 1);
        CHECK(bench.engine->isIdle());
    }
    SECTION("an answer from a target that was not asked is dropped")
    {
        bench.answer(bench.targets[1], sent, CoapCode::Content, "other");
        CHECK(bench.out.toCallers.empty());
        CHECK(bench.counters.value(Counter::AnswersUnmatched) == 1);
    }
    SECTION("a separate response is awaited and acknowledged")
    {
        bench.answer(bench.targets[0], sent, CoapCode::Empty, "");
        bench.pass(seconds(4));
        CHECK(bench.places.wants.empty());
        bench.answer(bench.targets[0], sent, CoapCode::Content, "late", CoapType::Confirmable);
        CHECK(bench.lastSent().type == CoapType::Acknowledgement);
        CHECK(bench.lastPayload() == "late");
    }
    SECTION("a silent target is left for another")
    {
        bench.pass(seconds(2));
        CHECK(bench.counters.value(RetryReason::IdempotentLost) == 1);
        CHECK(bench.places.wants.at(0).avoid == 100);
        SECTION("and when there is none, nobody says that it did not run")
        {
            bench.engine->slotRefused(bench.places.takeWant().request, Reason::NoTarget, {}, bench.out);
            CHECK(bench.lastPayload() == "may_have_run: target_timeout");
        }
    }
    SECTION("the token reused for another request ends the first one")
    {
        bench.deliver(bench.request(CoapCode::Put, {}, 201));
        bench.answer(bench.targets[0], sent, CoapCode::Content, "old");
        CHECK(bench.out.toCallers.empty());
        CHECK(bench.engine->inProgress() == 1);
    }
}

TEST_CASE("an answer has the type that its request asks for, and a refusal claims no more than is known")
{
    RequestBench bench;
    bench.deliver(buildCoap(CoapType::NonConfirmable, CoapCode::Get, 5, { 1, 2 }, {}, ""));
    bench.engine->slotRefused(bench.places.takeWant().request, Reason::NoSlot, {}, bench.out);
    CHECK(bench.lastAnswer().type == CoapType::NonConfirmable);
    CHECK(bench.lastAnswer().token == Bytes{ 1, 2 });
    CHECK(bench.lastAnswer().code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
    CHECK(bench.lastPayload() == "may_have_run: no_slot"); // a copy of the packet may have run from another instance
    // a copy of a PUT may have reached another instance and run there
    bench.deliver(bench.request(CoapCode::Put, {}, 6));
    bench.engine->slotRefused(bench.places.takeWant().request, Reason::NoSlot, {}, bench.out);
    CHECK(bench.lastAnswer().code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
    CHECK(bench.lastPayload() == "may_have_run: no_slot");
}

TEST_CASE("retries stay within their budget")
{
    RequestSettings settings;
    settings.retryBurst = 1;
    RequestBench bench(settings);
    bench.post(bench.echo());
    bench.grant(0);
    bench.answer(bench.targets[0], bench.lastSent(), CoapCode::ServiceUnavailable, "busy");
    CHECK(bench.counters.value(RetryReason::TargetShed) == 1);
    bench.grant(1);
    bench.answer(bench.targets[1], bench.lastSent(), CoapCode::ServiceUnavailable, "busy");
    CHECK(bench.lastPayload() == "not_run: retry_budget");
    CHECK(bench.lastAnswer().maxAge == 1U);
}

TEST_CASE("a POST without an Echo value is challenged, and nothing runs")
{
    RequestBench bench;
    const Bytes first = bench.request(CoapCode::Post, {}, 7);
    bench.deliver(first);
    CHECK(bench.lastAnswer().code == static_cast<uint8_t>(CoapCode::Unauthorized));
    const Bytes value = bench.lastAnswer().echo;
    CHECK(value.size() == echoBytes);
    CHECK(bench.places.wants.empty());

    SECTION("a repeat gets the same value, another request a new one")
    {
        bench.deliver(first);
        CHECK(bench.lastAnswer().echo == value);
        CHECK(bench.echo() != value);
    }
    SECTION("a value of another length is replaced by a good one")
    {
        bench.post(Bytes(8, 1));
        CHECK(bench.lastAnswer().echo.size() == echoBytes);
    }
    SECTION("a forged one is not, for it may have named a request")
    {
        bench.post(Bytes(echoBytes, 1));
        CHECK(bench.lastPayload() == "may_have_run: foreign_echo");
    }
    SECTION("an unknown service is refused at once")
    {
        bench.tables.tables.clear();
        bench.echo();
        CHECK(bench.lastPayload() == "not_run: no_table");
    }
    SECTION("a leaving instance passes it on")
    {
        bench.engine->beginDrain(bench.out);
        bench.directory.own.state = MemberState::Leaving;
        bench.deliver(bench.request(CoapCode::Post, {}, 8));
        REQUIRE(bench.out.toPeers.size() == 1);
        CHECK(bench.out.toPeers[0].peer == RequestBench::peer);
        CHECK(std::get<Relay>(bench.out.toPeers[0].message).hops == 1);
    }
}

TEST_CASE("a POST runs at most once")
{
    RequestBench bench;
    const Bytes value = bench.echo();
    bench.post(value);
    REQUIRE(bench.places.wants.size() == 1);

    SECTION("its repeats are answered from the record")
    {
        bench.grant(0);
        bench.post(value);
        bench.answer(bench.targets[0], bench.lastSent(), CoapCode::Changed, "booked");
        CHECK(bench.lastAnswer().messageId == bench.nextMessageId);
        bench.post(value);
        CHECK(bench.lastPayload() == "booked");
        CHECK(bench.out.toTargets.size() == 1);
        CHECK(bench.counters.value(Counter::RepeatsAnswered) == 1);
        SECTION("until the record expires; then nobody can tell")
        {
            bench.pass(seconds(248));
            CHECK(bench.engine->recordBytes() == 0);
            bench.post(value);
            CHECK(bench.lastPayload() == "may_have_run: record_expired");
        }
    }
    SECTION("another request under its number neither runs nor takes its answer")
    {
        bench.grant(0);
        bench.deliver(bench.request(CoapCode::Post, value, 900, {}, "another bid"));
        CHECK(bench.lastAnswer().code == static_cast<uint8_t>(CoapCode::Unauthorized));
        CHECK(bench.lastAnswer().echo != value);
        bench.answer(bench.targets[0], bench.lastSent(), CoapCode::Changed, "booked");
        CHECK(bench.lastAnswer().messageId == bench.nextMessageId);
        bench.post(value, 700);
        CHECK(bench.lastPayload() == "booked");
        CHECK(bench.out.toTargets.size() == 1);
    }
    SECTION("a refusal as not run is final")
    {
        bench.engine->slotRefused(bench.places.takeWant().request, Reason::NoSlot, seconds(3), bench.out);
        CHECK(bench.lastPayload() == "not_run: no_slot");
        CHECK(bench.lastAnswer().maxAge == 3U);
        bench.post(value);
        CHECK(bench.lastPayload() == "not_run: no_slot");
        CHECK(bench.places.wants.empty());
    }
    SECTION("a target that stays silent leaves it open, and its late answer settles it")
    {
        bench.grant(0);
        const CoapMessage sent = bench.lastSent();
        bench.pass(seconds(5));
        CHECK(bench.lastPayload() == "may_have_run: target_timeout");
        CHECK(bench.out.toTargets.size() == 1);
        bench.answer(bench.targets[1], sent, CoapCode::Changed, "not mine");
        bench.answer(bench.targets[0], sent, CoapCode::Changed, "booked");
        bench.post(value);
        CHECK(bench.lastPayload() == "booked");
    }
    SECTION("a target that rejects it, or whose host does, leaves it open too")
    {
        bench.grant(0);
        if (GENERATE(true, false)) {
            bench.answer(bench.targets[0], bench.lastSent(), CoapCode::Empty, "", CoapType::Reset);
        } else {
            bench.engine->onTargetUnreachable(bench.targets[0], bench.out);
        }
        CHECK(bench.lastPayload() == "may_have_run: target_reset");
        CHECK(bench.places.ends.back().second == SlotOutcome::Reset);
    }
    SECTION("a row that left the table meanwhile gets nothing")
    {
        bench.setTable(1);
        bench.grant(1);
        CHECK(bench.out.toTargets.empty());
        CHECK(bench.lastPayload() == "not_run: wrong_service");
    }
    SECTION("a process that stood still sends nothing past the deadline")
    {
        bench.clock.advance(seconds(30));
        bench.grant(0);
        CHECK(bench.out.toTargets.empty());
        CHECK(bench.lastPayload() == "not_run: queue_deadline");
        REQUIRE(bench.places.ends.size() == 1);
        CHECK(bench.places.ends.back().second == SlotOutcome::Cancelled);
    }
    SECTION("a process that stood still reads the answers that wait before it gives up")
    {
        bench.grant(0);
        bench.clock.advance(seconds(30));
        bench.engine->tick(bench.out);
        bench.answer(bench.targets[0], bench.lastSent(), CoapCode::Changed, "booked");
        CHECK(bench.lastPayload() == "booked");
    }
    SECTION("an instance that was declared dead sends nothing more")
    {
        bench.directory.own.state = MemberState::Dead;
        bench.grant(0);
        CHECK(bench.out.toTargets.empty());
        CHECK(bench.lastPayload() == "may_have_run: maker_gone");
    }
    SECTION("the caller's deadline bounds the queue")
    {
        bench.post(bench.echo(), 300);
        CHECK(bench.places.wants.at(1).queueTimeout == milliseconds(300));
        const Bytes late = bench.echo();
        bench.post(late, 0);
        CHECK(bench.lastPayload() == "not_run: deadline_passed");
        bench.post(late);
        CHECK(bench.lastPayload() == "not_run: deadline_passed");
        CHECK(bench.places.wants.size() == 2);
    }
}

TEST_CASE("an Echo value not used in time never runs")
{
    RequestBench bench;
    const Bytes value = bench.echo();
    bench.pass(seconds(61));
    bench.post(value);
    CHECK(bench.lastPayload() == "may_have_run: record_expired");
    CHECK(bench.places.wants.empty());
}

TEST_CASE("full records refuse new POSTs and drop none")
{
    RequestSettings settings;
    settings.maxRecordBytes = 2 * recordOverheadBytes + settings.answerReserveBytes + 100; // one in progress, or one done and one in progress
    RequestBench bench(settings);
    const Bytes first = bench.echo();
    const Bytes second = bench.echo();
    bench.post(first);
    bench.post(second);
    CHECK(bench.lastPayload() == "not_run: records_full");
    CHECK(bench.echo().empty());
    bench.grant(0);
    bench.answer(bench.targets[0], bench.lastSent(), CoapCode::Changed, "booked");
    CHECK(bench.engine->recordBytes() <= settings.maxRecordBytes);

    SECTION("what was refused does not run when there is room again")
    {
        bench.post(second);
        CHECK(bench.lastPayload() == "not_run: records_full");
        CHECK(bench.places.wants.empty());
        bench.post(bench.echo());
        CHECK(bench.places.wants.size() == 1);
    }
    SECTION("what ran is still answered")
    {
        bench.post(first);
        CHECK(bench.lastPayload() == "booked");
    }
}

TEST_CASE("a POST goes to the maker of its value")
{
    RequestBench maker;
    RequestSettings settings;
    settings.viewLag = milliseconds(maker.clock.wallMillis()); // the benches' processes start at 1 s of the epoch: they are young for another second
    RequestBench entry(settings, RequestBench::peer);
    entry.directory.members.clear();
    entry.directory.members[RequestBench::self] = maker.directory.own;
    MemberRecord &record = entry.directory.members[RequestBench::self];
    const Bytes value = maker.echo();

    SECTION("which is alive, suspected or leaving")
    {
        record.state = GENERATE(MemberState::Alive, MemberState::Suspect, MemberState::Leaving);
        entry.post(value);
        REQUIRE(entry.out.toPeers.size() == 1);
        CHECK(entry.out.toPeers[0].peer == RequestBench::self);
        CHECK(entry.places.wants.empty());
        maker.deliver(std::get<Relay>(entry.out.toPeers[0].message).packet, 1);
        CHECK(maker.places.wants.size() == 1);
    }
    SECTION("which died")
    {
        record.state = MemberState::Dead;
        entry.post(value);
        CHECK(entry.lastPayload() == "may_have_run: maker_gone");
        CHECK(entry.out.toPeers.empty());
    }
    SECTION("which is not known here, or only its process before: the caller's repeat is awaited while one of the two is young")
    {
        if (GENERATE(true, false)) {
            entry.directory.members.clear();
        } else {
            --record.incarnation;
        }
        entry.post(value);
        CHECK(entry.out.isEmpty());
        CHECK(entry.counters.value(Counter::RepeatsAwaited) == 1);
        entry.clock.advance(seconds(1));
        entry.post(value);
        CHECK(entry.lastPayload() == "may_have_run: maker_gone");
        CHECK(entry.out.toPeers.empty());
        CHECK(entry.places.wants.empty());
    }
    SECTION("which was replaced under its name: the successor may have its records")
    {
        ++record.incarnation;
        const auto echo = decodeEcho(value);
        const MemberId successor = entry.directory.ownerIn(record.zone, mixHash(echo->maker, echo->incarnation), 0);
        REQUIRE(successor == RequestBench::self);
        entry.post(value);
        REQUIRE(entry.out.toPeers.size() == 1);
        CHECK(entry.out.toPeers[0].peer == successor);
        CHECK(entry.places.wants.empty());
    }
    SECTION("which is cut off, or farther away than relays go")
    {
        if (GENERATE(true, false)) {
            record.zone = 2;
            entry.post(value);
        } else {
            entry.deliver(entry.request(CoapCode::Post, value, 9), maxRelayHops);
        }
        CHECK(entry.lastPayload() == "may_have_run: maker_unreachable");
    }
    SECTION("which left, and its successor answers from its records")
    {
        maker.post(value);
        maker.grant(0);
        maker.answer(maker.targets[0], maker.lastSent(), CoapCode::Changed, "booked");
        const Bytes unused = maker.echo();
        const Bytes queued = maker.echo();
        maker.post(queued);
        maker.directory.own.state = MemberState::Leaving;
        maker.engine->beginDrain(maker.out);
        CHECK_FALSE(maker.engine->isIdle());
        maker.engine->handOver(maker.out);
        CHECK(maker.lastPayload() == "not_run: draining");
        CHECK(maker.engine->inProgress() == 0);
        CHECK_FALSE(maker.engine->isIdle()); // one of its Echo values may still come
        maker.clock.advance(RequestSettings{}.echoLinger);
        CHECK(maker.engine->isIdle());
        REQUIRE(maker.out.toStreams.size() == 1);
        CHECK(maker.out.toStreams[0].peer == RequestBench::peer);
        const auto &handover = std::get<RecordHandover>(maker.out.toStreams[0].message);
        CHECK(handover.last);
        CHECK(handover.records.at(0).number > handover.records.at(1).number);
        entry.engine->onRecordHandover(handover, entry.out);
        record.state = MemberState::Left;
        entry.post(value);
        CHECK(entry.lastPayload() == "booked");
        entry.deliver(entry.request(CoapCode::Post, value, 900, {}, "another bid"));
        CHECK(entry.lastAnswer().echo.size() == echoBytes);
        entry.post(queued);
        CHECK(entry.lastPayload() == "not_run: draining");
        entry.post(unused);
        CHECK(entry.lastPayload() == "may_have_run: maker_gone");
        maker.post(unused);
        CHECK(maker.lastPayload() == "not_run: draining");
        CHECK(maker.places.wants.empty());
        entry.pass(seconds(248));
        CHECK(entry.engine->recordBytes() == 0);
    }
}

namespace {

/** Counts what a target ran and what its caller was told, over a random schedule for one POST. */
struct Schedule
{
    RequestBench bench;
    Bytes value = bench.echo();
    size_t sent = 0;      // copies that reached a target
    std::set<Bytes> shed; // exchanges that a target refused
    std::set<Bytes> ran;  // exchanges that a target answered
    size_t refusals = 0;  // answers that said "not run"

    void step(uint8_t choice)
    {
        const size_t before = this->bench.out.toTargets.size();
        const size_t target = choice & 1U;
        switch ((choice >> 1U) % 8) {
        case 0: // first, doubled, late
            this->bench.post(this->value, choice > 200 ? std::optional<uint32_t>(200) : std::nullopt);
            break;
        case 1:
            if (!this->bench.places.wants.empty()) {
                this->bench.grant(target);
            }
            break;
        case 2:
            if (!this->bench.places.wants.empty()) {
                this->bench.engine->slotRefused(this->bench.places.takeWant().request, Reason::NoSlot, {}, this->bench.out);
            }
            break;
        case 3:
            this->answerOne(choice, CoapCode::Changed);
            break;
        case 4:
            this->answerOne(choice, CoapCode::ServiceUnavailable);
            break;
        case 5:
            this->bench.pass(milliseconds(50 * (choice >> 4U)));
            break;
        case 6: // a freeze
            this->bench.clock.advance(seconds(choice >> 5U));
            break;
        default: // a row is removed and comes back
            this->bench.setTable(1 + target);
            break;
        }
        this->sent += this->bench.out.toTargets.size() - before;
        for (const PacketOut &packet : this->bench.out.toCallers) {
            const std::string text(packet.packet.begin(), packet.packet.end());
            this->refusals += text.find("\xFFnot_run") != std::string::npos ? 1 : 0;
        }
        this->bench.out.toCallers.clear();
    }
    void answerOne(uint8_t choice, CoapCode code)
    {
        if (this->bench.out.toTargets.empty()) {
            return;
        }
        // any exchange so far: answers come late, doubled and out of order, but a target never both sheds and answers one
        const PacketOut packet = this->bench.out.toTargets.at((choice >> 4U) % this->bench.out.toTargets.size());
        const CoapMessage sentMessage = *parseCoap(packet.packet);
        const bool isShed = code == CoapCode::ServiceUnavailable;
        if ((isShed ? this->ran : this->shed).contains(sentMessage.token)) {
            return;
        }
        (isShed ? this->shed : this->ran).insert(sentMessage.token);
        this->bench.answer(packet.endpoint, sentMessage, code, "done");
    }
};

} // namespace

TEST_CASE("over any schedule a number is sent at most once, but after a shed, and a refusal as not run is true")
{
    size_t sent = 0;
    size_t shed = 0;
    size_t refusals = 0;
    const bool held = rc::check("at most once", [&] {
        Schedule schedule;
        for (const uint8_t choice : *rc::gen::container<Bytes>(60, rc::gen::arbitrary<uint8_t>())) {
            const size_t refusedBefore = schedule.refusals;
            const size_t sentBefore = schedule.sent;
            schedule.step(choice);
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
    CHECK(held);
    // the schedules reached all that is claimed
    CHECK(sent > 0);
    CHECK(shed > 0);
    CHECK(refusals > 0);
}
