#include "slotfakes.h"

#include "peer/codec.h"
#include "requests/settings.h"
#include "slots/rebuildprogress.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {

/** Adds one target in each of the zones 1 to `zones`, whose identifier is the zone number. */
void useTargets(FakeCluster &cluster, ZoneId zones, uint32_t slots)
{
    cluster.tables.update([=](ServiceTable &table) {
        for (ZoneId id = 1; id <= zones; ++id) {
            table.rows.push_back(fakeRow(id, id, slots, slots));
        }
    });
    cluster.run(milliseconds(300));
}

/** Makes `owner` the allocator of zone 1 in the view of every instance. */
void changeAllocator(FakeCluster &cluster, MemberId owner)
{
    for (const auto &instance : cluster.instances) {
        instance->directory.updateOwner(1, owner);
    }
}

size_t countSlotRequests(const FakeCluster &cluster, MemberId receiver)
{
    return static_cast<size_t>(std::count_if(cluster.network.begin(), cluster.network.end(), [receiver](const OutgoingMessage &message) {
        return message.peer == receiver && std::holds_alternative<SlotRequest>(message.message);
    }));
}

} // namespace

TEST_CASE("slot client: acquires and releases slots")
{
    FakeCluster cluster({ 1, 1, 2, 3, 4 });
    FakeListener &listener = cluster.at(2).listener;

    SECTION("the default limit allows for 300,000 feeds and all requests in progress")
    {
        CHECK(SlotClientSettings{}.maxHeldSlots >= 300'000 + RequestSettings{}.maxInProgress);
    }
    SECTION("a service without a table is refused at the next tick")
    {
        cluster.acquire(2, 1);
        CHECK(listener.outcomes.empty());
        cluster.tick();
        CHECK(listener.refusals[1] == Reason::NoTable);
    }
    GIVEN("targets in four zones, one slot each")
    {
        useTargets(cluster, 4, 1);
        cluster.acquire(2, 1);
        cluster.deliverAll();
        REQUIRE(listener.grantedSlots.at(1).target == 1);

        SECTION("a client that holds no slots reports a later epoch to the allocator and gets a slot")
        {
            cluster.release(2, 1);
            cluster.deliverAll();
            const uint64_t later = makeEpoch(cluster.clock.wallMillis() + 60'000, 2);
            Actions ignored; // the report is lost
            cluster.at(2).client.onHeldQuery(HeldSlotsQuery{ 2, fakeService, 1, later, {} }, ignored);
            cluster.acquire(2, 2);
            cluster.run(seconds(1));
            CHECK(cluster.at(2).listener.grantedSlots.contains(2));
            CHECK(cluster.used(1) == 1);
        }
        SECTION("overflow goes to at most two other zones, then requests are queued")
        {
            cluster.acquire(2, 2, SlotKind::Request, seconds(2), 1);
            cluster.acquire(2, 3, SlotKind::Request, seconds(2), 1);
            cluster.deliverAll();
            CHECK(listener.grantedSlots.at(2).zone != 1);
            CHECK(listener.grantedSlots.at(3).zone != 1);
            cluster.acquire(2, 4, SlotKind::Request, seconds(2), 1);
            cluster.deliverAll();
            CHECK_FALSE(listener.outcomes.contains(4));
            cluster.release(2, 1);
            cluster.deliverAll();
            CHECK(listener.grantedSlots.at(4).zone == 1);
        }
        SECTION("a request that times out in the queue is refused once and leaks no slot")
        {
            for (uint64_t request = 2; request <= 4; ++request) {
                cluster.acquire(2, request, SlotKind::Request, milliseconds(400), 1);
            }
            cluster.run(seconds(1));
            CHECK(listener.refusals[4] == Reason::QueueDeadline);
            CHECK(listener.outcomes[4] == 1);
            CHECK(cluster.at(2).client.heldCount() == 3);
        }
        SECTION("a grant that arrives after the request was cancelled is released")
        {
            cluster.release(2, 1);
            cluster.deliverAll();
            cluster.acquire(2, 2);
            cluster.deliver(0); // the slot request; its grant is now in flight
            cluster.release(2, 2);
            cluster.deliverAll();
            CHECK_FALSE(listener.outcomes.contains(2));
            cluster.acquire(2, 3);
            cluster.deliverAll();
            CHECK(listener.grantedSlots.at(3).target == 1);
        }
    }
    GIVEN("an allocator that does not answer")
    {
        useTargets(cluster, 1, 1);
        cluster.at(1).isAlive = false;
        cluster.acquire(2, 1, SlotKind::Request, seconds(1));
        cluster.tick();
        REQUIRE(countSlotRequests(cluster, 1) == 1);

        SECTION("the slot request is retransmitted, then refused")
        {
            cluster.tick(milliseconds(150));
            CHECK(countSlotRequests(cluster, 1) == 2);
            CHECK(cluster.at(2).counters.value(RetryReason::KeeperSilent) == 1);
            cluster.run(seconds(1));
            CHECK(listener.refusals[1] == Reason::KeeperUnreachable);
        }
        SECTION("the next allocator is asked as soon as the view changes")
        {
            cluster.kill(1);
            for (MemberId member = 2; member <= 5; ++member) {
                cluster.syncRecord(member, 1);
            }
            cluster.run(milliseconds(100));
            CHECK(listener.grantedSlots.at(1).target == 1);
        }
    }
}

TEST_CASE("slot allocator: a takeover counts held slots before it grants")
{
    SlotAllocatorSettings settings;
    settings.probeFailures = UINT32_MAX; // probes are not answered in this test
    FakeCluster cluster({ 1, 1, 1, 2 }, settings);
    useTargets(cluster, 1, 2);
    cluster.acquire(3, 1);
    cluster.acquire(4, 2); // a holder in another zone
    cluster.deliverAll();
    REQUIRE(cluster.used(1) == 2);

    SECTION("no slot is granted twice")
    {
        changeAllocator(cluster, 2);
        cluster.acquire(3, 3, SlotKind::Request, milliseconds(500));
        cluster.run(seconds(1));
        CHECK(cluster.used(1) == 2);
        CHECK(cluster.at(3).listener.refusals.contains(3));
    }
    SECTION("no slot is granted twice while two instances act as the allocator")
    {
        cluster.at(2).directory.updateOwner(1, 2);
        cluster.at(4).directory.updateOwner(1, 2);
        cluster.acquire(4, 3, SlotKind::Request, milliseconds(500));
        cluster.acquire(3, 4, SlotKind::Request, milliseconds(500));
        cluster.run(seconds(1));
        CHECK(cluster.used(1) == 2);
    }
    SECTION("a silent member delays grants by at most rebuildWait, and overbooking is limited to its slots")
    {
        cluster.at(4).isAlive = false; // does not respond, but is not declared dead
        changeAllocator(cluster, 2);
        cluster.run(milliseconds(2500));
        cluster.acquire(3, 3, SlotKind::Request, seconds(2));
        cluster.run(milliseconds(200));
        CHECK_FALSE(cluster.at(3).listener.grantedSlots.contains(3));
        cluster.run(seconds(1));
        CHECK(cluster.at(3).listener.grantedSlots.contains(3));
        cluster.at(4).isAlive = true;
        CHECK(cluster.used(1) == 3); // the limit plus the one slot that was not reported
        cluster.acquire(3, 5, SlotKind::Request, milliseconds(300));
        cluster.run(seconds(1));
        CHECK(cluster.used(1) == 3);
    }
    SECTION("requests queued at the old allocator move to the new one")
    {
        cluster.acquire(3, 3, SlotKind::Request, seconds(2));
        cluster.run(milliseconds(100));
        changeAllocator(cluster, 2);
        cluster.run(milliseconds(500));
        cluster.release(3, 1);
        cluster.run(milliseconds(500));
        CHECK(cluster.at(3).listener.grantedSlots.contains(3));
    }
}

TEST_CASE("slot allocator: two takeovers in the same millisecond don't both grant")
{
    FakeCluster cluster({ 1, 1, 1 });
    cluster.at(2).directory.updateOwner(1, 2); // in the view of the others it is instance 1
    useTargets(cluster, 1, 1);
    cluster.acquire(2, 1, SlotKind::Request, milliseconds(500));
    cluster.acquire(3, 2, SlotKind::Request, milliseconds(500));
    for (int i = 0; i < 20; ++i) {
        cluster.run(milliseconds(50));
        CHECK(cluster.used(1) <= 1);
    }
}

TEST_CASE("slot allocator: a joining instance doesn't disrupt allocation")
{
    FakeCluster cluster({ 1, 1, 1 });
    useTargets(cluster, 1, 2);
    cluster.acquire(2, 1);
    cluster.deliverAll();

    SECTION("it allocates nothing while it knows no other member, so that no slot is granted twice")
    {
        MemberRecord record = cluster.records.at(2);
        FakeInstance joining(record, cluster.tables, cluster.clock, {});
        joining.directory.updateMember(record);
        SlotRequest slotRequest;
        slotRequest.request = 9;
        slotRequest.requester = record.id;
        slotRequest.incarnation = record.incarnation;
        slotRequest.service = fakeService;
        slotRequest.zone = 1;
        Actions out;
        joining.allocator.onSlotRequest(slotRequest, out);
        REQUIRE(out.toPeers.size() == 1);
        CHECK(std::get<SlotRefusal>(out.toPeers[0].message).reason == Reason::KeeperUnreachable);

        Actions later; // still alone after joinWait: it takes over
        cluster.clock.advance(SlotAllocatorSettings().joinWait);
        joining.allocator.tick(later);
        joining.allocator.onSlotRequest(slotRequest, later);
        const auto isTakeover = [](const OutgoingMessage &message) { return std::holds_alternative<HeldSlotsQuery>(message.message); };
        CHECK(std::any_of(later.toPeers.begin(), later.toPeers.end(), isTakeover));
    }
    SECTION("an instance that has seen a later epoch gets slots again, and no slot is granted twice")
    {
        Actions out;
        cluster.at(3).client.onHeldQuery({ 3, fakeService, 1, UINT64_MAX >> 8, {} }, out); // the query that it sent to itself while it was alone
        for (uint64_t request = 10; request < 14; ++request) {
            cluster.acquire(3, request, SlotKind::Request, seconds(1));
        }
        for (int i = 0; i < 20; ++i) {
            cluster.run(milliseconds(50));
            CHECK(cluster.used(1) <= 2);
        }
        CHECK(cluster.at(3).listener.grantedSlots.size() == 1);
        cluster.release(2, 1);
        cluster.acquire(3, 20, SlotKind::Request, seconds(1));
        cluster.run(milliseconds(100));
        CHECK(cluster.at(3).listener.grantedSlots.contains(20));
    }
}

TEST_CASE("slot client: requests survive the failure of an allocator")
{
    FakeCluster cluster({ 1, 1, 2, 2 });
    useTargets(cluster, 2, 1);
    FakeListener &listener = cluster.at(2).listener;
    cluster.at(1).isAlive = false; // not detected yet
    const auto begin = [&cluster](uint64_t request, Duration firstResponseTimeout) {
        Actions out;
        cluster.at(2).client.acquireSlot({ request, fakeService, SlotKind::Request, 0, milliseconds(400), 0, firstResponseTimeout }, out);
        cluster.send(out);
    };

    SECTION("another zone is tried when the allocator does not answer")
    {
        begin(1, seconds(4));
        cluster.run(milliseconds(400));
        REQUIRE(listener.grantedSlots.contains(1));
        CHECK(listener.grantedSlots.at(1).zone == 2);
    }
    SECTION("another zone is tried first while the allocator is suspected")
    {
        MemberRecord suspect = cluster.records.at(0);
        suspect.state = MemberState::Suspect;
        cluster.at(2).directory.updateMember(suspect);
        begin(1, seconds(4));
        cluster.deliverAll();
        CHECK(listener.grantedSlots.contains(1));
    }
    SECTION("with no other zone, a request outlives queueTimeout until the next allocator answers")
    {
        cluster.tables.update([](ServiceTable &table) { std::erase_if(table.rows, [](const TargetRow &row) { return row.zone == 2; }); });
        begin(1, seconds(4));
        cluster.run(seconds(3));
        CHECK_FALSE(listener.outcomes.contains(1));
        cluster.kill(1);
        for (MemberId member = 2; member <= 4; ++member) {
            cluster.syncRecord(member, 1);
        }
        cluster.run(milliseconds(200));
        CHECK(listener.grantedSlots.contains(1));
    }
    SECTION("the request is refused after firstResponseTimeout")
    {
        cluster.at(3).isAlive = false;
        begin(1, seconds(4));
        cluster.run(milliseconds(4100));
        CHECK(listener.refusals[1] == Reason::KeeperUnreachable);
    }
}

TEST_CASE("slot messages: bytes per request are within the budget")
{
    // identifiers encoded with the full length of hashes
    SlotRequest slotRequest{ 1ULL << 40, ~1ULL, 1'790'000'000'000, 0xF0000000, 0xF0000000, SlotKind::Request, ~2ULL, 2000, false, 0 };
    SlotGrant grant{ slotRequest.request, slotRequest.service, slotRequest.zone, ~3ULL, 1'790'000'000'000, ~4ULL, { 0x7F000001, 6000 }, SlotKind::Request };
    SlotRelease release{
        slotRequest.request, slotRequest.requester, slotRequest.incarnation, slotRequest.service, slotRequest.zone, ~4ULL, SlotOutcome::Answered, 20000
    };
    const size_t requestBytes = encodeMessage(slotRequest).size();
    const size_t grantBytes = encodeMessage(grant).size();
    const size_t releaseBytes = encodeMessage(release).size();
    const size_t bytes = requestBytes + grantBytes + releaseBytes;
    std::cout << "ask " << requestBytes << " grant " << grantBytes << " release " << releaseBytes << " bytes\n";
    // budget: 17 KB/s per daemon at 32,000 flows/s over 650 daemons, with one request, grant and release per flow
    CHECK(bytes * 32000 / 650 < 17000);
}

namespace {

constexpr uint32_t slots = 2;

/** Releases all slots of live instances. */
void releaseAll(FakeCluster &cluster)
{
    for (MemberId member = 1; member <= 4; ++member) {
        while (cluster.at(member).isAlive && !cluster.at(member).listener.grantedSlots.empty()) {
            cluster.release(member, cluster.at(member).listener.grantedSlots.begin()->first);
        }
    }
}

/** Performs one random operation. */
void runRandomStep(FakeCluster &cluster, uint64_t &request)
{
    const auto member = *rc::gen::inRange<MemberId>(1, 5);
    const auto choice = *rc::gen::inRange(0, 100);
    FakeInstance &instance = cluster.at(member);
    if (choice < 20 && instance.isAlive) {
        const bool isFeed = *rc::gen::inRange(0, 4) == 0;
        ++request;
        cluster.acquire(member, isFeed ? request | feedRequestBit : request, isFeed ? SlotKind::Feed : SlotKind::Request, milliseconds(800), request);
    } else if (choice < 32 && instance.isAlive && !instance.listener.grantedSlots.empty()) {
        cluster.release(member, instance.listener.grantedSlots.begin()->first);
    } else if (choice < 80 && !cluster.network.empty()) {
        const auto index = *rc::gen::inRange<size_t>(0, cluster.network.size());
        const auto action = *rc::gen::inRange(0, 10);
        if (action == 0) {
            cluster.network.erase(cluster.network.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            cluster.deliver(index, action == 1);
        }
    } else if (choice < 94) {
        cluster.tick(milliseconds(*rc::gen::inRange(1, 60)));
    } else if (choice < 98) { // changes the owner in one view, so that two allocators overlap
        instance.directory.updateOwner(1, *rc::gen::inRange<MemberId>(1, 3));
    } else if (member >= 3 && instance.isAlive) {
        cluster.kill(member);
    } else {
        cluster.syncRecord(member, *rc::gen::inRange<MemberId>(1, 5));
    }
}

} // namespace

TEST_CASE("slot allocator: random schedules don't overbook a target")
{
    const bool held = rc::check("while all members report", [] {
        SlotAllocatorSettings settings;
        settings.rebuildWait = seconds(3600); // no rebuild ends before all members have reported, so that no overbooking is allowed
        settings.feedAuditAge = seconds(5);   // so that audits find lost releases within the run
        settings.probeFailures = UINT32_MAX;  // probes are not answered in this test
        FakeCluster cluster({ 1, 1, 1, 2 }, settings);
        useTargets(cluster, 1, slots);
        uint64_t request = 0;
        for (int i = 0; i < 400; ++i) {
            runRandomStep(cluster, request);
            std::map<SlotKind, uint32_t> used;
            for (const auto &instance : cluster.instances) {
                for (const auto &[number, slot] : instance->listener.grantedSlots) {
                    used[(number & feedRequestBit) != 0 ? SlotKind::Feed : SlotKind::Request] += instance->isAlive ? 1 : 0;
                }
                for (const auto &[number, count] : instance->listener.outcomes) {
                    RC_ASSERT(count == 1);
                }
            }
            RC_ASSERT(used[SlotKind::Request] <= slots);
            RC_ASSERT(used[SlotKind::Feed] <= slots);
        }
        // After views have converged and all slots are released, every slot can be acquired again.
        changeAllocator(cluster, 2);
        for (MemberId member = 1; member <= 4; ++member) {
            for (MemberId subject = 1; subject <= 4; ++subject) {
                cluster.syncRecord(member, subject);
            }
        }
        cluster.run(seconds(2));
        releaseAll(cluster);
        cluster.run(seconds(12));
        for (uint64_t i = 1; i <= slots; ++i) {
            cluster.acquire(2, request + i);
            cluster.acquire(2, (request + i) | feedRequestBit, SlotKind::Feed);
        }
        cluster.run(milliseconds(100));
        RC_ASSERT(cluster.at(2).listener.grantedSlots.size() == 2 * slots);
    });
    CHECK(held);
}
