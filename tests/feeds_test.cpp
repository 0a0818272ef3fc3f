#include "feedfakes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("a caller's feed is opened, updated and ended")
{
    FeedWorld world({ 11, 12, 13 });
    const MemberId owner = world.ownerByView();
    const MemberId entry = world.otherThan(owner);

    GIVEN("a registration that came to an instance that is not its owner")
    {
        world.get(entry, 0);
        REQUIRE(world.holders() == std::vector<MemberId>{ owner });
        CHECK(world.caller.last.type == CoapType::Acknowledgement);
        CHECK(world.caller.last.messageId == world.caller.messageId);
        CHECK(world.caller.last.token == world.caller.token);
        CHECK(world.caller.state == "0");
        CHECK(world.node(entry).engine->copies() == 1);
        CHECK(world.node(owner).places.held.size() == 1);

        SECTION("each state of the target reaches the caller, the numbers rising")
        {
            for (int i = 1; i <= 5; ++i) {
                world.run(milliseconds(50));
                world.publish(std::to_string(i));
                CHECK(world.caller.state == std::to_string(i));
            }
            CHECK(world.caller.last.type == CoapType::NonConfirmable);
            CHECK(world.caller.rising);
        }
        SECTION("the caller cancels it: the target's answer comes back, place and copy are given up")
        {
            world.get(entry, 1);
            CHECK(world.caller.last.messageId == world.caller.messageId);
            CHECK_FALSE(world.caller.last.observe.has_value());
            CHECK(world.holders().empty());
            CHECK(world.observed().empty());
            CHECK(world.node(owner).places.held.empty());
            CHECK(world.node(entry).engine->copies() == 0);
        }
        SECTION("an RST to a notification, at any instance, ends it")
        {
            world.publish("1");
            world.sendEmpty(entry, CoapType::Reset, world.caller.last.messageId);
            CHECK(world.holders().empty());
            CHECK(world.observed().empty());
            CHECK(world.node(entry).engine->copies() == 0);
        }
        SECTION("an RST to a message that was never sent leaves it open")
        {
            world.publish("1");
            world.sendEmpty(entry, CoapType::Reset, static_cast<uint16_t>(world.caller.last.messageId + 77));
            CHECK(world.holders().size() == 1);
        }
        SECTION("now and then a notification is confirmable; an ACK at any instance settles it")
        {
            world.run(seconds(61));
            world.publish("1");
            CHECK(world.caller.last.type == CoapType::Confirmable);
            const Counters &counters = world.node(owner).counters;
            const uint64_t sent = counters.value(Counter::NotificationsSent);
            CHECK(sent >= 2);
            world.run(seconds(120));
            CHECK(world.holders().size() == 1);
        }
        SECTION("a caller that acknowledges nothing any more is dropped")
        {
            world.caller.answersConfirmable = false;
            world.run(seconds(300));
            CHECK(world.holders().empty());
            CHECK(world.node(owner).places.held.empty());
            CHECK(world.node(entry).engine->copies() == 0);
        }
        SECTION("the caller registers again: one feed, answered with the new message ID")
        {
            world.publish("1");
            world.get(entry, 0);
            CHECK(world.caller.last.type == CoapType::Acknowledgement);
            CHECK(world.caller.last.messageId == world.caller.messageId);
            CHECK(world.caller.rising);
            CHECK(world.node(owner).engine->open() == 1);
            CHECK(world.node(owner).places.held.size() == 1);
        }
        SECTION("another token of the same caller is another feed")
        {
            world.caller.token = Bytes{ 8 };
            world.get(entry, 0);
            CHECK(world.node(owner).engine->open() == 2);
        }
        SECTION("a confirmable notification of the target is acknowledged to it")
        {
            const Endpoint target = world.observed().front();
            const auto observer = *world.targets[target].observers.begin();
            const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Content, 900, observer.token, { { optionObserve, optionValue(50U) } }, "c");
            Actions out;
            world.node(owner).engine->onTargetPacket(target, packet.data(), packet.size(), *parseCoap(packet), out);
            REQUIRE(out.toTargets.size() == 1);
            const auto reply = parseCoap(out.toTargets[0].packet);
            CHECK(reply->type == CoapType::Acknowledgement);
            CHECK(reply->messageId == 900);
            CHECK(out.toCallers.size() == 1);
        }
        SECTION("a notification from an endpoint that it was not registered at is reset and goes nowhere")
        {
            const auto observer = *world.targets[world.observed().front()].observers.begin();
            const Bytes packet = buildCoap(CoapType::NonConfirmable, CoapCode::Content, 901, observer.token, { { optionObserve, optionValue(50U) } }, "x");
            Actions out;
            world.node(owner).engine->onTargetPacket(Endpoint{ 0x0C000001, 5683 }, packet.data(), packet.size(), *parseCoap(packet), out);
            CHECK(out.toCallers.empty());
            REQUIRE(out.toTargets.size() == 1);
            CHECK(parseCoap(out.toTargets[0].packet)->type == CoapType::Reset);
        }
        SECTION("an older notification that comes late is not delivered")
        {
            const Endpoint target = world.observed().front();
            const auto observer = *world.targets[target].observers.begin();
            world.notifyFrom(target, observer, 10, "new");
            world.notifyFrom(target, observer, 9, "old");
            CHECK(world.caller.state == "new");
            CHECK(world.caller.rising);
        }
        SECTION("a lost notification is made good by the next refresh")
        {
            world.loseToCaller = [] { return true; };
            world.publish("lost");
            world.loseToCaller = [] { return false; };
            CHECK(world.caller.state == "0");
            world.run(seconds(13));
            CHECK(world.caller.state == "lost");
        }
        SECTION("a target that restarted and counts anew is registered at again")
        {
            FakeTarget &target = world.targets[world.observed().front()];
            target.sequence = 1000;
            world.publish("1");
            target.observers.clear();
            target.sequence = 1;
            world.state = "after restart";
            world.run(seconds(13));
            CHECK(world.caller.state == "after restart");
            world.publish("2");
            CHECK(world.caller.state == "2");
        }
        SECTION("a host that refuses packets is asked again at once")
        {
            const Endpoint target = world.observed().front();
            world.targets[target].observers.clear();
            world.node(owner).engine->onTargetUnreachable(target);
            world.run(milliseconds(100));
            CHECK(world.observed() == std::vector<Endpoint>{ target });
        }
        SECTION("the numbers go on rising over the wrap of 24 bits")
        {
            for (int i = 1; i <= 200; ++i) { // 200 times 100 s pass the 16,777 s after which the numbers begin anew
                world.run(milliseconds(50));
                world.clock.advance(seconds(100));
                world.publish(std::to_string(i));
                REQUIRE(world.caller.state == std::to_string(i));
                world.sendEmpty(owner, CoapType::Acknowledgement, world.caller.last.messageId);
            }
            CHECK(world.caller.rising);
        }
    }
    GIVEN("no place at any target")
    {
        world.node(owner).places.refusal = Reason::NoSlot;
        world.get(entry, 0);
        CHECK(world.caller.last.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
        CHECK(world.caller.state == "not_run: no_slot");
        CHECK(world.caller.last.maxAge.has_value());
        CHECK(world.holders().empty());
        CHECK(world.node(owner).counters.value(Reason::NoSlot) == 1);
    }
    GIVEN("a grant for an endpoint that is no row of the service")
    {
        const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Get, 5, world.caller.token, { { optionObserve, optionValue(0U) } }, "");
        Actions out;
        FeedNode &node = world.node(owner);
        node.engine->onCallerPacket(Relay{ board, world.caller.endpoint, owner, 0, packet }, *parseCoap(packet), out);
        REQUIRE(node.places.wants.size() == 1);
        node.engine->slotGranted(GrantedSlot{ node.places.wants[0].request, board, feedZone, 1, Endpoint{ 0x0C000009, 1 } }, out);
        CHECK(out.toTargets.empty());
        CHECK(node.counters.value(Reason::WrongService) == 1);
        REQUIRE(out.toCallers.size() == 1);
        CHECK(parseCoap(out.toCallers[0].packet)->code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
    }
}

TEST_CASE("a feed is moved away from a target")
{
    FeedWorld world({ 11, 12, 13 });
    const MemberId owner = world.ownerByView();
    world.get(owner, 0);
    const Endpoint first = world.observed().front();

    SECTION("that went silent: the caller's token stays and the numbers rise")
    {
        world.targets[first].silent = true;
        world.run(seconds(40));
        const auto observed = world.observed();
        CHECK(std::any_of(observed.begin(), observed.end(), [&](const auto &each) { return each != first; }));
        world.publish("1");
        CHECK(world.caller.state == "1");
        CHECK(world.caller.rising);
        CHECK(world.node(owner).counters.value(RetryReason::FeedSilent) >= 1);
        CHECK(world.node(owner).places.held.size() == 1);
    }
    SECTION("that drains by its row, without a gap")
    {
        world.rowAt(first).state = RowState::Draining;
        ++world.tables.version;
        world.publish("before");
        CHECK(world.caller.state == "before");
        world.run(milliseconds(500));
        CHECK(world.targets[first].observers.empty());
        CHECK(world.observed().size() == 1);
        world.publish("after");
        CHECK(world.caller.state == "after");
        CHECK(world.caller.rising);
        CHECK(world.node(owner).places.held.size() == 1);
        CHECK(world.node(owner).counters.value(RetryReason::TargetDraining) == 1);
    }
    SECTION("that its keeper says is leaving")
    {
        Actions out;
        world.unfit.insert(world.rowAt(first).id);
        world.node(owner).engine->onMessage(TargetNotice{ board, feedZone, world.rowAt(first).id, true, false }, out);
        world.run(milliseconds(500));
        CHECK(world.targets[first].observers.empty());
        CHECK(world.observed().size() == 1);
    }
    SECTION("but not while no other has a place: the old one goes on")
    {
        for (const TargetRow &row : world.tables.table->rows) {
            world.unfit.insert(row.id);
        }
        world.rowAt(first).state = RowState::Draining;
        ++world.tables.version;
        world.run(seconds(3));
        world.publish("still here");
        CHECK(world.caller.state == "still here");
        world.unfit.clear();
        world.run(seconds(11));
        CHECK(world.targets[first].observers.empty());
        CHECK(world.observed().size() == 1);
    }
}
