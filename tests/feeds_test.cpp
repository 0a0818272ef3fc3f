#include "feedfakes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("a caller's feed is opened, updated and ended")
{
    FeedTestCluster cluster({ 11, 12, 13 });
    const MemberId owner = cluster.expectedOwner();
    const MemberId entry = cluster.liveMemberExcept(owner);

    GIVEN("a registration that came to an instance that is not its owner")
    {
        cluster.get(entry, 0);
        REQUIRE(cluster.feedOwners() == std::vector<MemberId>{ owner });
        CHECK(cluster.caller.last.type == CoapType::Acknowledgement);
        CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
        CHECK(cluster.caller.last.token == cluster.caller.token);
        CHECK(cluster.caller.state == "0");
        CHECK(cluster.node(entry).engine->copyCount() == 1);
        CHECK(cluster.node(owner).slotProvider.heldSlots.size() == 1);

        SECTION("each state of the target reaches the caller, the numbers rising")
        {
            for (int i = 1; i <= 5; ++i) {
                cluster.run(milliseconds(50));
                cluster.publish(std::to_string(i));
                CHECK(cluster.caller.state == std::to_string(i));
            }
            CHECK(cluster.caller.last.type == CoapType::NonConfirmable);
            CHECK(cluster.caller.isSequenceIncreasing);
        }
        SECTION("the caller cancels it: the target's answer comes back, place and copy are given up")
        {
            cluster.get(entry, 1);
            CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
            CHECK_FALSE(cluster.caller.last.observe.has_value());
            CHECK(cluster.feedOwners().empty());
            CHECK(cluster.observedTargets().empty());
            CHECK(cluster.node(owner).slotProvider.heldSlots.empty());
            CHECK(cluster.node(entry).engine->copyCount() == 0);
        }
        SECTION("an RST to a notification, at any instance, ends it")
        {
            cluster.publish("1");
            cluster.sendEmpty(entry, CoapType::Reset, cluster.caller.last.messageId);
            CHECK(cluster.feedOwners().empty());
            CHECK(cluster.observedTargets().empty());
            CHECK(cluster.node(entry).engine->copyCount() == 0);
        }
        SECTION("an RST to a message that was never sent leaves it open")
        {
            cluster.publish("1");
            cluster.sendEmpty(entry, CoapType::Reset, static_cast<uint16_t>(cluster.caller.last.messageId + 77));
            CHECK(cluster.feedOwners().size() == 1);
        }
        SECTION("now and then a notification is confirmable; an ACK at any instance settles it")
        {
            cluster.run(seconds(61));
            cluster.publish("1");
            CHECK(cluster.caller.last.type == CoapType::Confirmable);
            const Counters &counters = cluster.node(owner).counters;
            const uint64_t sent = counters.value(Counter::NotificationsSent);
            CHECK(sent >= 2);
            cluster.run(seconds(120));
            CHECK(cluster.feedOwners().size() == 1);
        }
        SECTION("a caller that acknowledges nothing any more is dropped")
        {
            cluster.caller.acknowledgesNotifications = false;
            cluster.run(seconds(300));
            CHECK(cluster.feedOwners().empty());
            CHECK(cluster.node(owner).slotProvider.heldSlots.empty());
            CHECK(cluster.node(entry).engine->copyCount() == 0);
        }
        SECTION("the caller registers again: one feed, answered with the new message ID")
        {
            cluster.publish("1");
            cluster.get(entry, 0);
            CHECK(cluster.caller.last.type == CoapType::Acknowledgement);
            CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
            CHECK(cluster.caller.isSequenceIncreasing);
            CHECK(cluster.node(owner).engine->openCount() == 1);
            CHECK(cluster.node(owner).slotProvider.heldSlots.size() == 1);
        }
        SECTION("another token of the same caller is another feed")
        {
            cluster.caller.token = Bytes{ 8 };
            cluster.get(entry, 0);
            CHECK(cluster.node(owner).engine->openCount() == 2);
        }
        SECTION("a confirmable notification of the target is acknowledged to it")
        {
            const Endpoint target = cluster.observedTargets().front();
            const auto observer = *cluster.targets[target].observers.begin();
            const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Content, 900, observer.token, { { optionObserve, optionValue(50U) } }, "c");
            Actions out;
            cluster.node(owner).engine->onTargetPacket(target, packet.data(), packet.size(), *parseCoap(packet), out);
            REQUIRE(out.toTargets.size() == 1);
            const auto reply = parseCoap(out.toTargets[0].packet);
            CHECK(reply->type == CoapType::Acknowledgement);
            CHECK(reply->messageId == 900);
            CHECK(out.toCallers.size() == 1);
        }
        SECTION("a notification from an endpoint that it was not registered at is reset and goes nowhere")
        {
            const auto observer = *cluster.targets[cluster.observedTargets().front()].observers.begin();
            const Bytes packet = buildCoap(CoapType::NonConfirmable, CoapCode::Content, 901, observer.token, { { optionObserve, optionValue(50U) } }, "x");
            Actions out;
            cluster.node(owner).engine->onTargetPacket(Endpoint{ 0x0C000001, 5683 }, packet.data(), packet.size(), *parseCoap(packet), out);
            CHECK(out.toCallers.empty());
            REQUIRE(out.toTargets.size() == 1);
            CHECK(parseCoap(out.toTargets[0].packet)->type == CoapType::Reset);
        }
        SECTION("an older notification that comes late is not delivered")
        {
            const Endpoint target = cluster.observedTargets().front();
            const auto observer = *cluster.targets[target].observers.begin();
            cluster.notifyFrom(target, observer, 10, "new");
            cluster.notifyFrom(target, observer, 9, "old");
            CHECK(cluster.caller.state == "new");
            CHECK(cluster.caller.isSequenceIncreasing);
        }
        SECTION("a lost notification is made good by the next refresh")
        {
            cluster.dropToCaller = [] { return true; };
            cluster.publish("lost");
            cluster.dropToCaller = [] { return false; };
            CHECK(cluster.caller.state == "0");
            cluster.run(seconds(13));
            CHECK(cluster.caller.state == "lost");
        }
        SECTION("a target that restarted and counts anew is registered at again")
        {
            FakeTarget &target = cluster.targets[cluster.observedTargets().front()];
            target.sequence = 1000;
            cluster.publish("1");
            target.observers.clear();
            target.sequence = 1;
            cluster.state = "after restart";
            cluster.run(seconds(13));
            CHECK(cluster.caller.state == "after restart");
            cluster.publish("2");
            CHECK(cluster.caller.state == "2");
        }
        SECTION("a host that refuses packets is asked again at once")
        {
            const Endpoint target = cluster.observedTargets().front();
            cluster.targets[target].observers.clear();
            cluster.node(owner).engine->onTargetUnreachable(target);
            cluster.run(milliseconds(100));
            CHECK(cluster.observedTargets() == std::vector<Endpoint>{ target });
        }
        SECTION("the numbers go on rising over the wrap of 24 bits")
        {
            for (int i = 1; i <= 200; ++i) { // 200 times 100 s pass the 16,777 s after which the numbers begin anew
                cluster.run(milliseconds(50));
                cluster.clock.advance(seconds(100));
                cluster.publish(std::to_string(i));
                REQUIRE(cluster.caller.state == std::to_string(i));
                cluster.sendEmpty(owner, CoapType::Acknowledgement, cluster.caller.last.messageId);
            }
            CHECK(cluster.caller.isSequenceIncreasing);
        }
    }
    GIVEN("no place at any target")
    {
        cluster.node(owner).slotProvider.refusal = Reason::NoSlot;
        cluster.get(entry, 0);
        CHECK(cluster.caller.last.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
        CHECK(cluster.caller.state == "not_run: no_slot");
        CHECK(cluster.caller.last.maxAge.has_value());
        CHECK(cluster.feedOwners().empty());
        CHECK(cluster.node(owner).counters.value(Reason::NoSlot) == 1);
    }
    GIVEN("a grant for an endpoint that is no row of the service")
    {
        const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Get, 5, cluster.caller.token, { { optionObserve, optionValue(0U) } }, "");
        Actions out;
        FeedNode &node = cluster.node(owner);
        node.engine->onCallerPacket(Relay{ bookingService, cluster.caller.endpoint, owner, 0, packet }, *parseCoap(packet), out);
        REQUIRE(node.slotProvider.pendingRequests.size() == 1);
        node.engine->slotGranted(GrantedSlot{ node.slotProvider.pendingRequests[0].request, bookingService, feedZone, 1, Endpoint{ 0x0C000009, 1 } }, out);
        CHECK(out.toTargets.empty());
        CHECK(node.counters.value(Reason::WrongService) == 1);
        REQUIRE(out.toCallers.size() == 1);
        CHECK(parseCoap(out.toCallers[0].packet)->code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
    }
}

TEST_CASE("a feed is moved away from a target")
{
    FeedTestCluster cluster({ 11, 12, 13 });
    const MemberId owner = cluster.expectedOwner();
    cluster.get(owner, 0);
    const Endpoint first = cluster.observedTargets().front();

    SECTION("that went silent: the caller's token stays and the numbers rise")
    {
        cluster.targets[first].silent = true;
        cluster.run(seconds(40));
        const auto observed = cluster.observedTargets();
        CHECK(std::any_of(observed.begin(), observed.end(), [&](const auto &each) { return each != first; }));
        cluster.publish("1");
        CHECK(cluster.caller.state == "1");
        CHECK(cluster.caller.isSequenceIncreasing);
        CHECK(cluster.node(owner).counters.value(RetryReason::FeedSilent) >= 1);
        CHECK(cluster.node(owner).slotProvider.heldSlots.size() == 1);
    }
    SECTION("that drains by its row, without a gap")
    {
        cluster.rowAt(first).state = RowState::Draining;
        ++cluster.tables.version;
        cluster.publish("before");
        CHECK(cluster.caller.state == "before");
        cluster.run(milliseconds(500));
        CHECK(cluster.targets[first].observers.empty());
        CHECK(cluster.observedTargets().size() == 1);
        cluster.publish("after");
        CHECK(cluster.caller.state == "after");
        CHECK(cluster.caller.isSequenceIncreasing);
        CHECK(cluster.node(owner).slotProvider.heldSlots.size() == 1);
        CHECK(cluster.node(owner).counters.value(RetryReason::TargetDraining) == 1);
    }
    SECTION("that its keeper says is leaving")
    {
        Actions out;
        cluster.unusableTargets.insert(cluster.rowAt(first).id);
        cluster.node(owner).engine->onMessage(TargetNotice{ bookingService, feedZone, cluster.rowAt(first).id, true, false }, out);
        cluster.run(milliseconds(500));
        CHECK(cluster.targets[first].observers.empty());
        CHECK(cluster.observedTargets().size() == 1);
    }
    SECTION("but not while no other has a place: the old one goes on")
    {
        for (const TargetRow &row : cluster.tables.table->rows) {
            cluster.unusableTargets.insert(row.id);
        }
        cluster.rowAt(first).state = RowState::Draining;
        ++cluster.tables.version;
        cluster.run(seconds(3));
        cluster.publish("still here");
        CHECK(cluster.caller.state == "still here");
        cluster.unusableTargets.clear();
        cluster.run(seconds(11));
        CHECK(cluster.targets[first].observers.empty());
        CHECK(cluster.observedTargets().size() == 1);
    }
}
