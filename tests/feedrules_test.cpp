#include "feedfakes.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

FeedState stateOf(uint16_t port, uint32_t sequence, MemberId owner, const std::string &path)
{
    const Bytes get = buildCoap(CoapType::Confirmable, CoapCode::Get, 1, {}, { { optionObserve, {} }, { optionUriPath, optionValue(path) } }, "");
    const size_t tail = parseCoap(get)->tailOffset;
    return { bookingService, Endpoint{ 0x0A000001, port }, Bytes{ 5 }, Bytes(get.begin() + static_cast<std::ptrdiff_t>(tail), get.end()), sequence, owner, 0 };
}

AdditionalFeed callerOf(const FeedState &state, bool hasText)
{
    return { state.caller, state.token, state.sequence, hasText ? state.registration : Bytes{} };
}

size_t countPath(const Actions &out, const std::string &path)
{
    return static_cast<size_t>(std::count_if(out.toTargets.begin(), out.toTargets.end(), [&](const OutgoingPacket &sent) {
        return std::string(sent.packet.begin(), sent.packet.end()).find(path) != std::string::npos;
    }));
}

/** Counts the feeds offered to other members. */
size_t countMoved(const Actions &out)
{
    size_t moved = 0;
    for (const OutgoingMessage &sent : out.toPeers) {
        const auto *move = std::get_if<FeedMove>(&sent.message);
        moved += move == nullptr ? 0 : 1 + move->others.size();
    }
    return moved;
}

} // namespace

TEST_CASE("one message carries several feeds")
{
    FeedTestCluster cluster({ 11 });
    FeedNode &node = cluster.node(11);
    const FeedState first = stateOf(1, 0, 9, "slots");
    const FeedState second = stateOf(2, 0, 9, "slots");
    const FeedState third = stateOf(3, 0, 9, "lots/7");
    const std::vector<AdditionalFeed> others{ callerOf(second, false), callerOf(third, true) };
    Actions out;

    SECTION("each is moved with its own request tail")
    {
        node.engine->onMessage(FeedMove{ first, 12, others }, out);
        REQUIRE(node.engine->openCount() == 3);
        node.slotProvider.processRequests(*node.engine, *cluster.tables.table, {}, out);
        CHECK(countPath(out, "slots") == 2);
        CHECK(countPath(out, "lots/7") == 1);
    }
    SECTION("each is stored as a copy")
    {
        node.directory.states[12] = MemberState::Alive;
        node.directory.states[11] = MemberState::Leaving; // 12 owns them all
        node.engine->onMessage(FeedCopy{ stateOf(1, 0, 12, "slots"), others }, out);
        CHECK(node.engine->copyCount() == 3);
    }
    SECTION("each is dropped only when the member that it was offered to has taken it")
    {
        node.engine->onMessage(FeedMove{ first, 12, others }, out);
        node.directory.states[12] = MemberState::Alive;
        node.directory.states[11] = MemberState::Leaving;
        node.engine->onMessage(FeedMoveAck{ bookingService, first.caller, first.token, 77, others }, out);
        CHECK(node.engine->openCount() == 3);
        node.engine->onMessage(FeedMoveAck{ bookingService, first.caller, first.token, 12, others }, out);
        CHECK(node.engine->openCount() == 0);
    }
}

TEST_CASE("the first sequence number of a new owner is newer than all of the previous owner")
{
    FeedTestCluster cluster({ 11 });
    FeedNode &node = cluster.node(11);
    const auto wall = static_cast<uint32_t>(cluster.clock.wallMillis() & sequenceMask);
    const uint32_t known = GENERATE(0U, 400U); // no number known, or the previous owner's clock was ahead
    const uint32_t last = known == 0 ? 0 : (wall + known) & sequenceMask;
    Actions out;
    node.engine->onMessage(FeedMove{ stateOf(1, last, 9, "slots"), 12, {} }, out);
    cluster.caller.acknowledgesNotifications = false;
    cluster.run(milliseconds(50));
    REQUIRE(cluster.caller.hasState);
    CHECK(isNewerSequence(cluster.caller.sequence, (wall + 450) & sequenceMask));
}

TEST_CASE("draining offers all feeds at a limited rate")
{
    ManualClock clock;
    FakeTables tables;
    FeedSettings settings;
    settings.drainMovePeriod = seconds(4);
    FeedNode node(11, settings, tables, clock);
    for (uint16_t port = 1; port <= 600; ++port) {
        Actions out;
        const Bytes get = buildCoap(CoapType::Confirmable, CoapCode::Get, 1, { 5 }, { { optionObserve, {} } }, "");
        node.engine->onCallerPacket(Relay{ bookingService, Endpoint{ 0x0A000001, port }, 11, 0, get }, *parseCoap(get), out);
    }
    REQUIRE(node.engine->openCount() == 600);
    node.directory.states[11] = MemberState::Leaving;
    node.directory.states[12] = MemberState::Alive;
    ++node.directory.version;
    std::vector<size_t> moved; // per second
    Actions drain;
    node.engine->beginDrain(drain);
    for (int tick = 0; tick < 120; ++tick) {
        Actions out;
        node.engine->tick(out);
        clock.advance(milliseconds(50));
        moved.resize(static_cast<size_t>(tick / 20 + 1));
        moved.back() += countMoved(out);
    }
    CHECK(moved[0] == 0); // the copy holders hand over first
    CHECK(moved[1] > 50);
    CHECK(moved[1] < 550);
    CHECK(moved[1] + moved[2] + moved[3] + moved[4] + moved[5] >= 600);
}

TEST_CASE("the number of stored copies is bounded")
{
    ManualClock clock;
    FakeTables tables;
    FeedSettings settings;
    settings.copyBytes = 16 * 1200;
    FeedNode node(11, settings, tables, clock);
    node.directory.states[11] = MemberState::Leaving;
    node.directory.states[12] = MemberState::Alive;
    Actions out;
    for (uint16_t port = 1; port <= 500; ++port) {
        node.engine->onMessage(FeedCopy{ stateOf(port, 0, 12, "slots"), {} }, out);
    }
    CHECK(node.engine->copyCount() >= 16);
    CHECK(node.engine->copyCount() <= 160);

    SECTION("a copy that is not refreshed expires")
    {
        clock.advance(settings.copyLifetime + seconds(1));
        node.engine->tick(out);
        CHECK(node.engine->copyCount() == 0);
    }
}

TEST_CASE("refusal and retention of feeds")
{
    FeedTestCluster cluster({ 11 });
    FeedNode &node = cluster.node(11);

    SECTION("a feed above the limit of its flow is refused")
    {
        for (uint8_t token = 0; token <= cluster.settings.maxFeedsPerFlow; ++token) {
            cluster.caller.token = { token };
            cluster.get(11, 0);
        }
        CHECK(node.engine->openCount() == cluster.settings.maxFeedsPerFlow);
        CHECK(cluster.caller.state == "not_run: no_slot");

        SECTION("feeds of a draining target are moved at a limited rate")
        {
            cluster.rowAt(cluster.observedTargets().front()).state = RowState::Draining;
            ++cluster.tables.version;
            cluster.run(milliseconds(50));
            CHECK(node.counters.value(RetryReason::TargetDraining) <= 51);
            cluster.run(seconds(1));
            CHECK(node.counters.value(RetryReason::TargetDraining) == cluster.settings.maxFeedsPerFlow);
        }
    }
    SECTION("a draining instance without other members refuses a new feed")
    {
        Actions out;
        cluster.setMemberState(11, MemberState::Leaving);
        node.engine->beginDrain(out);
        cluster.get(11, 0);
        CHECK(cluster.caller.state == "not_run: draining");
        CHECK(node.engine->openCount() == 0);
    }
    SECTION("a new feed is refused if no target responds")
    {
        for (auto &[endpoint, target] : cluster.targets) {
            target.silent = true;
        }
        cluster.get(11, 0);
        cluster.run(seconds(60));
        CHECK(cluster.caller.last.code == static_cast<uint8_t>(CoapCode::GatewayTimeout));
        CHECK(node.engine->openCount() == 0);
        CHECK(node.slotProvider.heldSlots.empty());
    }
    SECTION("a notification that crosses the caller's cancellation is not taken as its response")
    {
        cluster.get(11, 0);
        FakeTarget &target = cluster.targets[cluster.observedTargets().front()];
        const Endpoint endpoint = cluster.observedTargets().front();
        const auto observer = *target.observers.begin();
        target.silent = true;
        cluster.get(11, 1);
        cluster.notifyFrom(endpoint, observer, 50, "crossed");
        CHECK(node.engine->openCount() == 1);
        CHECK(cluster.caller.state == "0");
    }
    SECTION("a registration reset by its target is retried before the timeout")
    {
        Actions out;
        const Bytes get = buildCoap(CoapType::Confirmable, CoapCode::Get, 5, { 7 }, { { optionObserve, {} } }, "");
        node.engine->onCallerPacket(Relay{ bookingService, cluster.caller.endpoint, 11, 0, get }, *parseCoap(get), out);
        node.slotProvider.processRequests(*node.engine, *cluster.tables.table, {}, out);
        REQUIRE(out.toTargets.size() == 1);
        const OutgoingPacket sent = out.toTargets[0];
        const Bytes reset = buildCoap(CoapType::Reset, CoapCode::Empty, parseCoap(sent.packet)->messageId, {}, {}, "");
        node.engine->onTargetPacket(sent.endpoint, reset.data(), reset.size(), *parseCoap(reset), out);
        cluster.clock.advance(milliseconds(150));
        Actions later;
        node.engine->tick(later);
        REQUIRE(later.toTargets.size() == 1);
        CHECK(parseCoap(later.toTargets[0].packet)->messageId != parseCoap(sent.packet)->messageId);
    }
}

TEST_CASE("an open feed reacts to messages about its target")
{
    FeedTestCluster cluster({ 11, 12, 13 });
    const MemberId owner = cluster.expectedOwner();
    const MemberId entry = cluster.liveMemberExcept(owner);
    FeedNode &node = cluster.node(owner);
    cluster.get(entry, 0);
    const Endpoint target = cluster.observedTargets().front();
    const auto observer = *cluster.targets[target].observers.begin();
    const TargetId id = cluster.rowAt(target).id;
    Actions out;

    SECTION("a 5.03 response of the target moves the feed without notifying the caller")
    {
        const Bytes shed = buildCoap(CoapType::NonConfirmable, CoapCode::ServiceUnavailable, 9, observer.token, {}, "shed");
        cluster.deliverFromTarget(target, owner, shed);
        cluster.run(seconds(3));
        CHECK(cluster.caller.state == "0");
        CHECK(cluster.feedOwners() == std::vector<MemberId>{ owner });
        CHECK(cluster.observedTargets().size() == 2); // no deregistration is sent to the target that shed the feed
        cluster.publish("1");
        CHECK(cluster.caller.state == "1");
    }
    SECTION("a target whose draining was revoked may be used again")
    {
        node.engine->onMessage(TargetNotice{ bookingService, feedZone, id, true, false }, out);
        node.engine->onMessage(TargetNotice{ bookingService, feedZone, id, false, false }, out);
        cluster.run(seconds(1));
        CHECK(cluster.observedTargets() == std::vector<Endpoint>{ target });
    }
    SECTION("a registration through another entry instance drops the copy at the first one")
    {
        const auto third =
            std::find_if(cluster.nodes.begin(), cluster.nodes.end(), [&](const auto &each) { return each.first != owner && each.first != entry; });
        cluster.get(third->first, 0);
        CHECK(cluster.node(entry).engine->copyCount() == 0);
        CHECK(third->second->engine->copyCount() == 1);
    }
    SECTION("FeedTaken is sent both to the copy holder that moves the feed and to the owner that still serves it")
    {
        FeedTestCluster other({ 21 });
        other.node(21).directory.states[31] = MemberState::Leaving;
        other.node(21).engine->onMessage(FeedMove{ stateOf(1, 0, 31, "slots"), 32, {} }, out);
        Actions settled;
        other.node(21).slotProvider.processRequests(*other.node(21).engine, *other.tables.table, {}, settled);
        REQUIRE(settled.toTargets.size() == 1);
        const auto get = parseCoap(settled.toTargets[0].packet);
        const Bytes answer = buildCoap(CoapType::Acknowledgement, CoapCode::Content, get->messageId, get->token, { { optionObserve, optionValue(1U) } }, "1");
        other.deliverFromTarget(settled.toTargets[0].endpoint, 21, answer);
        Actions tickActions;
        other.node(21).engine->tick(tickActions);
        std::set<MemberId> receivers;
        for (const OutgoingMessage &sent : tickActions.toPeers) {
            CHECK(std::holds_alternative<FeedMoveAck>(sent.message));
            receivers.insert(sent.peer);
        }
        CHECK(receivers == std::set<MemberId>{ 31, 32 });
    }
}
