#include "feedfakes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("a caller's feed is opened, updated and ended")
{
    FeedTestCluster cluster({ 11, 12, 13 });
    const MemberId owner = cluster.expectedOwner();
    const MemberId entry = cluster.liveMemberExcept(owner);

    GIVEN("a registration received by an instance that is not its owner")
    {
        cluster.get(entry, 0);
        REQUIRE(cluster.feedOwners() == std::vector<MemberId>{ owner });
        CHECK(cluster.caller.last.type == CoapType::Acknowledgement);
        CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
        CHECK(cluster.caller.last.token == cluster.caller.token);
        CHECK(cluster.caller.state == "0");
        CHECK(cluster.node(entry).engine->copyCount() == 1);
        CHECK(cluster.node(owner).slotProvider.heldSlots.size() == 1);

        SECTION("each state of the target reaches the caller with increasing sequence numbers")
        {
            for (int i = 1; i <= 5; ++i) {
                cluster.run(milliseconds(50));
                cluster.publish(std::to_string(i));
                CHECK(cluster.caller.state == std::to_string(i));
            }
            CHECK(cluster.caller.last.type == CoapType::NonConfirmable);
            CHECK(cluster.caller.isSequenceIncreasing);
        }
        SECTION("cancellation by the caller returns the target's response and releases slot and copy")
        {
            cluster.get(entry, 1);
            CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
            CHECK_FALSE(cluster.caller.last.observe.has_value());
            CHECK(cluster.feedOwners().empty());
            CHECK(cluster.observedTargets().empty());
            CHECK(cluster.node(owner).slotProvider.heldSlots.empty());
            CHECK(cluster.node(entry).engine->copyCount() == 0);
        }
        SECTION("an RST to a notification received by any instance closes the feed")
        {
            cluster.publish("1");
            cluster.sendEmpty(entry, CoapType::Reset, cluster.caller.last.messageId);
            CHECK(cluster.feedOwners().empty());
            CHECK(cluster.observedTargets().empty());
            CHECK(cluster.node(entry).engine->copyCount() == 0);
        }
        SECTION("an RST with an unknown message ID does not close the feed")
        {
            cluster.publish("1");
            cluster.sendEmpty(entry, CoapType::Reset, static_cast<uint16_t>(cluster.caller.last.messageId + 77));
            CHECK(cluster.feedOwners().size() == 1);
        }
        SECTION("notifications are periodically confirmable and may be acknowledged at any instance")
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
        SECTION("the feed of a caller that stops acknowledging is closed")
        {
            cluster.caller.acknowledgesNotifications = false;
            cluster.run(seconds(300));
            CHECK(cluster.feedOwners().empty());
            CHECK(cluster.node(owner).slotProvider.heldSlots.empty());
            CHECK(cluster.node(entry).engine->copyCount() == 0);
        }
        SECTION("a repeated registration keeps one feed and is answered with the new message ID")
        {
            cluster.publish("1");
            cluster.get(entry, 0);
            CHECK(cluster.caller.last.type == CoapType::Acknowledgement);
            CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
            CHECK(cluster.caller.isSequenceIncreasing);
            CHECK(cluster.node(owner).engine->openCount() == 1);
            CHECK(cluster.node(owner).slotProvider.heldSlots.size() == 1);
        }
        SECTION("another token of the same caller opens another feed")
        {
            cluster.caller.token = Bytes{ 8 };
            cluster.get(entry, 0);
            CHECK(cluster.node(owner).engine->openCount() == 2);
        }
        SECTION("a confirmable notification of a target is acknowledged")
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
        SECTION("a notification from an endpoint without the registration is reset and not forwarded")
        {
            const auto observer = *cluster.targets[cluster.observedTargets().front()].observers.begin();
            const Bytes packet = buildCoap(CoapType::NonConfirmable, CoapCode::Content, 901, observer.token, { { optionObserve, optionValue(50U) } }, "x");
            Actions out;
            cluster.node(owner).engine->onTargetPacket(Endpoint{ 0x0C000001, 5683 }, packet.data(), packet.size(), *parseCoap(packet), out);
            CHECK(out.toCallers.empty());
            REQUIRE(out.toTargets.size() == 1);
            CHECK(parseCoap(out.toTargets[0].packet)->type == CoapType::Reset);
        }
        SECTION("a reordered older notification is not delivered")
        {
            const Endpoint target = cluster.observedTargets().front();
            const auto observer = *cluster.targets[target].observers.begin();
            cluster.notifyFrom(target, observer, 10, "new");
            cluster.notifyFrom(target, observer, 9, "old");
            CHECK(cluster.caller.state == "new");
            CHECK(cluster.caller.isSequenceIncreasing);
        }
        SECTION("the next refresh recovers a lost notification")
        {
            cluster.dropToCaller = [] { return true; };
            cluster.publish("lost");
            cluster.dropToCaller = [] { return false; };
            CHECK(cluster.caller.state == "0");
            cluster.run(seconds(13));
            CHECK(cluster.caller.state == "lost");
        }
        SECTION("a target that restarted with new sequence numbers is registered again")
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
        SECTION("an unreachable target is registered again at once")
        {
            const Endpoint target = cluster.observedTargets().front();
            cluster.targets[target].observers.clear();
            cluster.node(owner).engine->onTargetUnreachable(target);
            cluster.run(milliseconds(100));
            CHECK(cluster.observedTargets() == std::vector<Endpoint>{ target });
        }
        SECTION("sequence numbers keep increasing across the 24-bit wraparound")
        {
            for (int i = 1; i <= 200; ++i) { // 200 times 100 s exceed the 16,777 s after which the numbers wrap around
                cluster.run(milliseconds(50));
                cluster.clock.advance(seconds(100));
                cluster.publish(std::to_string(i));
                REQUIRE(cluster.caller.state == std::to_string(i));
                cluster.sendEmpty(owner, CoapType::Acknowledgement, cluster.caller.last.messageId);
            }
            CHECK(cluster.caller.isSequenceIncreasing);
        }
    }
    GIVEN("no free slot at any target")
    {
        cluster.node(owner).slotProvider.refusal = Reason::NoSlot;
        cluster.get(entry, 0);
        CHECK(cluster.caller.last.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable));
        CHECK(cluster.caller.state == "not_run: no_slot");
        CHECK(cluster.caller.last.maxAge.has_value());
        CHECK(cluster.feedOwners().empty());
        CHECK(cluster.node(owner).counters.value(Reason::NoSlot) == 1);
    }
    GIVEN("a grant for an endpoint that is not in the service table")
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

    SECTION("that stopped responding, with the caller's token kept and increasing sequence numbers")
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
    SECTION("that is draining in the service table, without losing a state")
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
    SECTION("that a target notice reports as draining")
    {
        Actions out;
        cluster.unusableTargets.insert(cluster.rowAt(first).id);
        cluster.node(owner).engine->onMessage(TargetNotice{ bookingService, feedZone, cluster.rowAt(first).id, true, false }, out);
        cluster.run(milliseconds(500));
        CHECK(cluster.targets[first].observers.empty());
        CHECK(cluster.observedTargets().size() == 1);
    }
    SECTION("only once another target has a free slot")
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
