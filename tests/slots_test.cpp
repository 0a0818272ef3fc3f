#include "slotfakes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {

constexpr ZoneId zone = 1;

/** Answers all outstanding probes with `payload`. */
void answerProbes(FakeCluster &cluster, std::string_view payload)
{
    for (const OutgoingPacket &probe : std::exchange(cluster.probes, {})) {
        const auto head = parseCoap(probe.packet);
        const Bytes answer = buildCoap(CoapType::Acknowledgement, CoapCode::Content, head->messageId, head->token, {}, payload);
        Actions out;
        cluster.at(1).allocator.onTargetPacket(probe.endpoint, answer, *parseCoap(answer), out);
    }
}

void useTargets(FakeCluster &cluster, uint32_t count, uint32_t slots, uint32_t connections = 100)
{
    cluster.tables.update([=](ServiceTable &table) {
        for (TargetId id = 1; id <= count; ++id) {
            table.rows.push_back(fakeRow(id, zone, slots, connections));
        }
    });
    cluster.run(milliseconds(100));
}

SlotRequest makeRequest(MemberId requester, uint64_t request, bool mayQueue = false, uint32_t deadlineMs = 1000)
{
    SlotRequest slotRequest;
    slotRequest.request = request;
    slotRequest.requester = requester;
    slotRequest.incarnation = 1;
    slotRequest.service = fakeService;
    slotRequest.zone = zone;
    slotRequest.mayQueue = mayQueue;
    slotRequest.deadlineMs = deadlineMs;
    return slotRequest;
}

SlotRelease makeRelease(MemberId holder, uint64_t request, SlotOutcome outcome = SlotOutcome::Answered)
{
    return { request, holder, 1, fakeService, zone, 0, outcome, 0 };
}

/** The answer of the allocator at instance 1 to a slot request. */
PeerMessage answerTo(FakeCluster &cluster, const SlotRequest &slotRequest)
{
    Actions out;
    cluster.at(1).allocator.onSlotRequest(slotRequest, out);
    REQUIRE(out.toPeers.size() == 1);
    return out.toPeers[0].message;
}

/** The granted target, or 0 when the request is refused. */
TargetId grantFor(FakeCluster &cluster, const SlotRequest &slotRequest)
{
    const PeerMessage answer = answerTo(cluster, slotRequest);
    const auto *grant = std::get_if<SlotGrant>(&answer);
    return grant == nullptr ? 0 : grant->target;
}

Reason refusalFor(FakeCluster &cluster, const SlotRequest &slotRequest)
{
    const PeerMessage answer = answerTo(cluster, slotRequest);
    const auto *refusal = std::get_if<SlotRefusal>(&answer);
    return refusal == nullptr ? Reason::None : refusal->reason;
}

Actions release(FakeCluster &cluster, const SlotRelease &message)
{
    Actions out;
    cluster.at(1).allocator.onSlotRelease(message, out);
    return out;
}

} // namespace

TEST_CASE("slot allocator: counts slots exactly")
{
    FakeCluster cluster({ zone, zone });
    useTargets(cluster, 1, 2);
    REQUIRE(grantFor(cluster, makeRequest(2, 1)) == 1);

    SECTION("a retransmitted request gets the same slot and takes no second one")
    {
        CHECK(grantFor(cluster, makeRequest(2, 1)) == 1);
        CHECK(grantFor(cluster, makeRequest(2, 2)) == 1);
        CHECK(refusalFor(cluster, makeRequest(2, 3)) == Reason::NoSlot);
    }
    SECTION("a duplicate release frees no second slot")
    {
        CHECK(grantFor(cluster, makeRequest(2, 2)) == 1);
        release(cluster, makeRelease(2, 1));
        release(cluster, makeRelease(2, 1));
        CHECK(grantFor(cluster, makeRequest(2, 3)) == 1);
        CHECK(refusalFor(cluster, makeRequest(2, 4)) == Reason::NoSlot);
    }
    SECTION("a request that arrives after its release takes no slot")
    {
        release(cluster, makeRelease(2, 9));
        Actions out;
        cluster.at(1).allocator.onSlotRequest(makeRequest(2, 9), out);
        CHECK(out.isEmpty());
        CHECK(grantFor(cluster, makeRequest(2, 2)) == 1);
    }
    SECTION("an audit reclaims a slot whose release was lost")
    {
        for (int i = 0; i < 7; ++i) { // the client of instance 2 doesn't hold request 1
            cluster.run(seconds(1));
            answerProbes(cluster, R"({"load":0.0,"busy":0})");
        }
        CHECK(cluster.at(1).counters.value(Counter::SlotsReclaimed) == 1);
        CHECK(grantFor(cluster, makeRequest(2, 2)) == 1);
        CHECK(grantFor(cluster, makeRequest(2, 3)) == 1);
    }
    SECTION("slots of a dead holder are freed once the directory lists it as dead")
    {
        CHECK(grantFor(cluster, makeRequest(2, 2)) == 1);
        cluster.kill(2);
        cluster.run(milliseconds(200));
        CHECK(refusalFor(cluster, makeRequest(1, 3)) == Reason::NoSlot);
        cluster.syncRecord(1, 2);
        cluster.run(milliseconds(50));
        CHECK(grantFor(cluster, makeRequest(1, 3)) == 1);
    }
}

TEST_CASE("slot allocator: the queue is bounded in length and time")
{
    FakeCluster cluster({ zone, zone, zone });
    useTargets(cluster, 1, 1);
    cluster.tables.update([](ServiceTable &table) { table.queueLimit = 4; });
    REQUIRE(grantFor(cluster, makeRequest(2, 1)) == 1);
    cluster.clock.advance(milliseconds(100));
    release(cluster, makeRelease(2, 1)); // sets the mean hold time to 100 ms
    REQUIRE(grantFor(cluster, makeRequest(2, 2)) == 1);

    SECTION("a request that can't be served before its deadline is refused immediately")
    {
        CHECK(refusalFor(cluster, makeRequest(2, 3, true, 50)) == Reason::QueueDeadline);
    }
    SECTION("queued requests are served in order and refused at their deadline")
    {
        Actions out;
        cluster.at(1).allocator.onSlotRequest(makeRequest(2, 3, true), out);
        cluster.at(1).allocator.onSlotRequest(makeRequest(2, 4, true), out);
        CHECK(out.isEmpty());
        const Actions served = release(cluster, makeRelease(2, 2));
        REQUIRE(served.toPeers.size() == 1);
        CHECK(std::get<SlotGrant>(served.toPeers[0].message).request == 3);
        cluster.clock.advance(seconds(1));
        cluster.at(1).allocator.tick(out);
        const bool isRefused = std::any_of(out.toPeers.begin(), out.toPeers.end(), [](const OutgoingMessage &message) {
            const auto *refusal = std::get_if<SlotRefusal>(&message.message);
            return refusal != nullptr && refusal->request == 4 && refusal->reason == Reason::QueueDeadline;
        });
        CHECK(isRefused);
    }
    SECTION("one instance can't fill the whole queue")
    {
        Actions out;
        for (uint64_t request = 3; request < 6; ++request) {
            cluster.at(1).allocator.onSlotRequest(makeRequest(2, request, true), out);
        }
        REQUIRE(out.isEmpty());
        cluster.at(1).allocator.onSlotRequest(makeRequest(3, 1, true), out);
        CHECK(out.isEmpty());
        CHECK(refusalFor(cluster, makeRequest(3, 2, true)) == Reason::NoSlot);
    }
}

TEST_CASE("slot allocator: request outcomes take precedence over probes")
{
    FakeCluster cluster({ zone, zone });
    useTargets(cluster, 2, 4);
    uint64_t request = 0;
    const auto endNext = [&](TargetId target, SlotOutcome outcome) {
        SlotRequest slotRequest = makeRequest(2, ++request);
        slotRequest.avoid = target == 1 ? 2 : 1;
        REQUIRE(grantFor(cluster, slotRequest) == target);
        release(cluster, makeRelease(2, request, outcome));
    };

    SECTION("a target with good probes whose requests time out is ejected, but at most half of the targets")
    {
        for (int i = 0; i < 3; ++i) {
            endNext(1, SlotOutcome::TimedOut);
            answerProbes(cluster, R"({"load":0.0,"busy":0})");
        }
        for (int i = 0; i < 4; ++i) {
            CHECK(grantFor(cluster, makeRequest(2, ++request)) == 2);
        }
        CHECK(refusalFor(cluster, makeRequest(2, ++request)) == Reason::NoSlot);
        release(cluster, makeRelease(2, request - 1));
        for (int i = 0; i < 3; ++i) {
            const SlotRequest slotRequest = makeRequest(2, ++request);
            REQUIRE(grantFor(cluster, slotRequest) == 2);
            release(cluster, makeRelease(2, request, SlotOutcome::TimedOut));
        }
        CHECK(grantFor(cluster, makeRequest(2, ++request)) == 2);
    }
    SECTION("a target whose probes fail stays in use while it answers requests")
    {
        for (int i = 0; i < 100; ++i) {
            answerProbes(cluster, "not json");
            cluster.run(milliseconds(50));
            endNext(1, SlotOutcome::Answered);
        }
        endNext(1, SlotOutcome::Answered);
    }
    SECTION("failed probes exclude a target that answers no requests")
    {
        for (int i = 0; i < 100; ++i) {
            answerProbes(cluster, "not json");
            cluster.run(milliseconds(50));
            endNext(2, SlotOutcome::Answered);
        }
        SlotRequest slotRequest = makeRequest(2, ++request);
        slotRequest.avoid = 2;
        CHECK(grantFor(cluster, slotRequest) == 2); // preferred even though the request avoids it
    }
    SECTION("each shed request causes a longer backoff")
    {
        endNext(1, SlotOutcome::Shed);
        CHECK(grantFor(cluster, makeRequest(2, ++request)) == 2);
        cluster.run(milliseconds(50));
        endNext(1, SlotOutcome::Shed);
        cluster.run(milliseconds(50));
        CHECK(grantFor(cluster, makeRequest(2, ++request)) == 2);
    }
    SECTION("a new target ramps up from one slot to all slots")
    {
        cluster.tables.update([](ServiceTable &table) { table.rows.push_back(fakeRow(3, zone, 100, 100)); });
        cluster.run(milliseconds(50));
        const auto countGrants = [&]() {
            int grants = 0;
            for (int i = 0; i < 120; ++i) {
                grants += grantFor(cluster, makeRequest(2, ++request)) == 3 ? 1 : 0;
            }
            return grants;
        };
        CHECK(countGrants() == 1);
        cluster.clock.advance(seconds(5));
        CHECK(countGrants() == 49);
        cluster.clock.advance(seconds(5));
        CHECK(countGrants() == 50);
    }
}

TEST_CASE("slot allocator: a leaving target gets no new slots")
{
    FakeCluster cluster({ zone, zone });
    useTargets(cluster, 1, 4);
    SlotRequest feed = makeRequest(2, feedRequestBit | 1);
    feed.kind = SlotKind::Feed;
    REQUIRE(grantFor(cluster, feed) == 1);
    const auto notices = [&]() {
        cluster.clock.advance(milliseconds(50));
        Actions out;
        cluster.at(1).allocator.tick(out);
        std::vector<MemberId> receivers;
        for (const OutgoingMessage &message : out.toPeers) {
            const auto *notice = std::get_if<TargetNotice>(&message.message);
            if (notice != nullptr && notice->draining) {
                receivers.push_back(message.peer);
            }
        }
        return receivers;
    };

    SECTION("table row set to Draining")
    {
        REQUIRE(grantFor(cluster, makeRequest(2, 1)) == 1);
        cluster.tables.update([](ServiceTable &table) { table.rows[0].state = RowState::Draining; });
        CHECK(refusalFor(cluster, makeRequest(2, 2)) == Reason::NoTarget);
        CHECK(refusalFor(cluster, makeRequest(2, 1)) == Reason::NoTarget); // a lost grant is not repeated either
        CHECK(notices() == std::vector<MemberId>{ 1, 2 });
        CHECK(notices().empty());
        cluster.clock.advance(seconds(1));
        CHECK(notices() == std::vector<MemberId>{ 2 }); // still holds a feed slot
        release(cluster, makeRelease(2, feedRequestBit | 1));
        cluster.clock.advance(seconds(1));
        CHECK(notices().empty());
    }
    SECTION("table row removed")
    {
        cluster.tables.update([](ServiceTable &table) { table.rows.clear(); });
        CHECK(refusalFor(cluster, makeRequest(2, 2)) == Reason::NoTarget);
        CHECK(notices() == std::vector<MemberId>{ 1, 2 });
    }
    SECTION("health report with draining set")
    {
        cluster.run(seconds(1));
        answerProbes(cluster, R"({"load":0.5,"busy":1,"draining":true,"cold":false})");
        CHECK(refusalFor(cluster, makeRequest(2, 2)) == Reason::NoTarget);
        CHECK(notices() == std::vector<MemberId>{ 1, 2 });
    }
}

TEST_CASE("slot allocator: a new term prefers targets that have answered")
{
    FakeCluster cluster({ zone });
    useTargets(cluster, 2, 4);
    SECTION("all targets are used before any has answered")
    {
        const TargetId first = grantFor(cluster, makeRequest(1, 1));
        const TargetId second = grantFor(cluster, makeRequest(1, 2));
        CHECK(first + second == 3);
    }
    SECTION("a target that never answered is not used once another has")
    {
        std::erase_if(cluster.probes, [](const OutgoingPacket &probe) { return probe.endpoint != fakeRow(2, zone, 4, 100).endpoint; });
        answerProbes(cluster, R"({"load":0.0,"busy":0})");
        for (uint64_t request = 1; request <= 4; ++request) {
            CHECK(grantFor(cluster, makeRequest(1, request)) == 2);
        }
        CHECK(refusalFor(cluster, makeRequest(1, 5)) == Reason::NoSlot);
    }
}

TEST_CASE("slot allocator: feeds are distributed by weight within the load bound")
{
    FakeCluster cluster({ zone });
    useTargets(cluster, 10, 1, 1000);
    std::map<TargetId, int> feeds;
    for (uint64_t i = 1; i <= 1000; ++i) {
        SlotRequest slotRequest = makeRequest(1, feedRequestBit | i);
        slotRequest.kind = SlotKind::Feed;
        slotRequest.flow = mixHash(i, 1);
        ++feeds[grantFor(cluster, slotRequest)];
    }
    CHECK(feeds.size() == 10);
    CHECK(std::all_of(feeds.begin(), feeds.end(), [](const auto &entry) { return entry.second <= 111; }));
}

TEST_CASE("health report: malformed answers are rejected")
{
    const auto parse = [](std::string_view payload) {
        const Bytes packet = buildCoap(CoapType::Acknowledgement, CoapCode::Content, 1, {}, { { optionMaxAge, { 60 } } }, payload);
        return parseHealth(packet, parseCoap(packet)->tailOffset);
    };
    REQUIRE(parse(R"({"load":0.25,"busy":3,"draining":false,"cold":true})").has_value());
    CHECK(parse(R"({"load":0.25,"busy":3,"cold":true})")->cold);
    for (const char *bad : { "", "{", "[]", R"({"load":2,"busy":0})", R"({"load":0.1,"busy":-1})", R"({"load":0.1,"busy":0,"cold":1})", R"({"busy":0})" }) {
        CAPTURE(bad);
        CHECK_FALSE(parse(bad).has_value());
    }
    CHECK(rc::check("arbitrary datagrams are parsed safely", [](const Bytes &noise) {
        const auto report = parseHealth(noise, 0);
        const bool isSane = !report.has_value() || report->load <= 1;
        RC_ASSERT(isSane);
    }));
}
