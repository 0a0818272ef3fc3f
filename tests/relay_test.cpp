// Tests of POSTs that reach another instance than the one that issued their Echo value.

#include "requestfixture.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

TEST_CASE("a POST is relayed to the maker of its Echo value")
{
    RequestFixture maker;
    RequestSettings settings;
    settings.membershipConvergenceTime =
        milliseconds(maker.clock.wallMillis()); // the fixtures' processes start 1 s after the epoch, so they count as recently started for one more second
    RequestFixture entry(settings, RequestFixture::peer);
    entry.directory.members.clear();
    entry.directory.members[RequestFixture::self] = maker.directory.own;
    MemberRecord &record = entry.directory.members[RequestFixture::self];
    const Bytes value = maker.requestEcho();

    SECTION("the maker is alive, suspected or leaving")
    {
        record.state = GENERATE(MemberState::Alive, MemberState::Suspect, MemberState::Leaving);
        entry.sendPost(value);
        REQUIRE(entry.out.toPeers.size() == 1);
        CHECK(entry.out.toPeers[0].peer == RequestFixture::self);
        CHECK(entry.slotProvider.pendingRequests.empty());
        maker.deliver(std::get<Relay>(entry.out.toPeers[0].message).packet, 1);
        CHECK(maker.slotProvider.pendingRequests.size() == 1);
    }
    SECTION("the maker is dead")
    {
        record.state = MemberState::Dead;
        entry.sendPost(value);
        CHECK(entry.lastPayload() == "may_have_run: maker_gone");
        CHECK(entry.out.toPeers.empty());
    }
    SECTION("the maker or its incarnation is unknown: a retransmission is awaited while either process has started recently")
    {
        if (GENERATE(true, false)) {
            entry.directory.members.clear();
        } else {
            --record.incarnation;
        }
        entry.sendPost(value);
        CHECK(entry.out.isEmpty());
        CHECK(entry.counters.value(Counter::RepeatsAwaited) == 1);
        entry.clock.advance(seconds(1));
        entry.sendPost(value);
        CHECK(entry.lastPayload() == "may_have_run: maker_gone");
        CHECK(entry.out.toPeers.empty());
        CHECK(entry.slotProvider.pendingRequests.empty());
    }
    SECTION("the maker was replaced by a newer incarnation: the successor may have its records")
    {
        ++record.incarnation;
        const auto echo = decodeEcho(value);
        const MemberId successor = entry.directory.ownerIn(record.zone, mixHash(echo->maker, echo->incarnation), 0);
        REQUIRE(successor == RequestFixture::self);
        entry.sendPost(value);
        REQUIRE(entry.out.toPeers.size() == 1);
        CHECK(entry.out.toPeers[0].peer == successor);
        CHECK(entry.slotProvider.pendingRequests.empty());
    }
    SECTION("the maker is in an unreachable zone, or the relay limit is reached")
    {
        if (GENERATE(true, false)) {
            record.zone = 2;
            entry.sendPost(value);
        } else {
            entry.deliver(entry.request(CoapCode::Post, value, 9), maxRelayHops);
        }
        CHECK(entry.lastPayload() == "may_have_run: maker_unreachable");
    }
    SECTION("the maker left: its successor answers from the records taken over")
    {
        maker.sendPost(value);
        maker.grant(0);
        maker.respondFromTarget(maker.targets[0], maker.lastSent(), CoapCode::Changed, "booked");
        const Bytes unused = maker.requestEcho();
        const Bytes queued = maker.requestEcho();
        maker.sendPost(queued);
        maker.directory.own.state = MemberState::Leaving;
        maker.engine->beginDrain(maker.out);
        CHECK_FALSE(maker.engine->isIdle());
        maker.engine->handOverRecords(maker.out);
        CHECK(maker.lastPayload() == "not_run: draining");
        CHECK(maker.engine->inProgress() == 0);
        CHECK_FALSE(maker.engine->isIdle()); // one of its Echo values may still be used
        maker.clock.advance(RequestSettings{}.drainEchoGrace);
        CHECK(maker.engine->isIdle());
        REQUIRE(maker.out.toStreams.size() == 1);
        CHECK(maker.out.toStreams[0].peer == RequestFixture::peer);
        const auto &handover = std::get<RecordHandover>(maker.out.toStreams[0].message);
        CHECK(handover.last);
        CHECK(handover.records.at(0).number > handover.records.at(1).number);
        entry.engine->onRecordHandover(handover, entry.out);
        record.state = MemberState::Left;
        entry.sendPost(value);
        CHECK(entry.lastPayload() == "booked");
        entry.deliver(entry.request(CoapCode::Post, value, 900, {}, "another bid"));
        CHECK(entry.lastResponse().echo.size() == echoBytes);
        entry.sendPost(queued);
        CHECK(entry.lastPayload() == "not_run: draining");
        entry.sendPost(unused);
        CHECK(entry.lastPayload() == "may_have_run: maker_gone");
        maker.sendPost(unused);
        CHECK(maker.lastPayload() == "not_run: draining");
        CHECK(maker.slotProvider.pendingRequests.empty());
        entry.advanceTime(seconds(248));
        CHECK(entry.engine->recordBytes() == 0);
    }
}
