// Stories of a zone whose instances share one reading of the store. Pattern: leader-less cache fill by rendezvous, with a fallback to the source.

#include "flowfakes.h"
#include "sharingnetwork.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {

constexpr size_t nodeCount = 20;
constexpr size_t noNode = ~size_t{ 0 };

TargetRecord draining(const std::string &name)
{
    TargetRecord record = makeTarget(name);
    record.isDraining = true;
    return record;
}

RouteConfiguration withRoutes(uint64_t version, size_t count)
{
    RouteConfiguration configuration = makeConfiguration(version);
    for (size_t i = 0; i < count; ++i) {
        configuration.routes.push_back({ "extra-" + std::to_string(i),
                                         { 0xC6130000U + static_cast<uint32_t>(i), 443 },
                                         RequestKind::Idempotent,
                                         seconds(1),
                                         seconds(2),
                                         { { "booking", 1 } } });
    }
    return configuration;
}

/** A zone that serves: targets and a configuration are known, one member reads the store. */
struct Zone : SharingNetwork
{
    explicit Zone(size_t count = nodeCount) : SharingNetwork(count)
    {
        for (size_t i = 0; i < 30; ++i) {
            this->store.put(makeTarget("target-" + std::to_string(i)), this->clock.now());
        }
        this->store.configure(makeConfiguration(1), this->clock.now());
        this->run(seconds(4));
    }
    Node &at(size_t index)
    {
        return *this->nodes[index];
    }
    /** A target drains; returns the time until all others than `except` know it. */
    Duration drain(const std::string &name, size_t except = noNode)
    {
        this->store.put(draining(name), this->clock.now());
        return this->runUntil(seconds(30), [&] { return this->allKnowDraining(name, except); });
    }
    uint64_t sum(Counter counter) const
    {
        uint64_t total = 0;
        for (const auto &node : this->nodes) {
            total += node->counters.value(counter);
        }
        return total;
    }
};

}

TEST_CASE("one member of a zone reads the store for all")
{
    Zone zone;
    const size_t reader = zone.reader();
    REQUIRE(reader < nodeCount);

    SECTION("in quiet time the store gets a tenth of the calls that each instance for itself would make")
    {
        const size_t before = zone.calls();
        zone.run(seconds(60));
        const Duration cycle = zone.reading.targets.watchTimeout + zone.reading.targets.coalescingDelay;
        const auto alone = static_cast<double>(2 * nodeCount) * 60 / std::chrono::duration<double>(cycle).count();
        CHECK(static_cast<double>(zone.calls() - before) < alone / 10);
    }
    SECTION("a draining target is known by all within half a second")
    {
        CHECK(zone.drain("target-3") < milliseconds(500));
    }
    SECTION("removed targets go, and one that registers anew is back")
    {
        zone.store.remove("target-4", zone.clock.now());
        zone.run(seconds(1));
        for (const auto &node : zone.nodes) {
            CHECK_FALSE(node->targets.contains("target-4"));
        }
        zone.store.put(makeTarget("target-4", localZone, "booking", 2), zone.clock.now());
        zone.run(seconds(1));
        for (const auto &node : zone.nodes) {
            CHECK(node->targets.at("target-4").incarnation == 2);
        }
    }
    SECTION("a small change of the configuration is told by its differences, a large one is read from the store by each")
    {
        RouteConfiguration next = withRoutes(2, 3);
        next.routes.erase(next.routes.begin());
        zone.store.configure(next, zone.clock.now());
        const size_t before = zone.calls();
        CHECK(zone.runUntil(seconds(5), [&] { return zone.allHaveVersion(2); }) < seconds(1));
        CHECK(zone.calls() - before < nodeCount);
        for (const auto &node : zone.nodes) {
            CHECK(node->configuration.routes.size() == 4);
        }
        zone.store.configure(withRoutes(3, 400), zone.clock.now());
        CHECK(zone.runUntil(seconds(5), [&] { return zone.allHaveVersion(3); }) < seconds(2));
        CHECK(zone.at((reader + 1) % nodeCount).configuration.routes.size() == 402);
    }
    SECTION("datagrams stay under the size that is sent whole")
    {
        zone.run(seconds(10));
        for (size_t i = 0; i < 8; ++i) {
            zone.store.put(draining("target-" + std::to_string(i)), zone.clock.now());
        }
        zone.run(seconds(2));
        for (const auto &node : zone.nodes) {
            CHECK(node->largestDatagram < 1200);
        }
    }
}

TEST_CASE("the bound for drains and configurations is kept whatever befalls the member that reads the store")
{
    Zone zone;
    const size_t reader = zone.reader();
    REQUIRE(reader < nodeCount);
    const Duration bound = zone.flows.drainBound;

    SECTION("it dies")
    {
        zone.stop(reader);
        CHECK(zone.drain("target-1") < bound);
    }
    SECTION("it dies, and so does its successor")
    {
        zone.stop(reader);
        zone.run(milliseconds(1200));
        REQUIRE(zone.reader() < nodeCount);
        zone.stop(zone.reader());
        CHECK(zone.drain("target-1") < bound);
    }
    SECTION("its calls to the store are never answered any more")
    {
        zone.at(reader).store->setState(FakeStoreClient::State::Silent);
        for (int i = 0; i < 5; ++i) { // at several moments of a call
            zone.run(milliseconds(170));
            CHECK(zone.drain("target-" + std::to_string(i), reader) < bound);
        }
    }
    SECTION("the store refuses it alone")
    {
        zone.at(reader).store->setState(FakeStoreClient::State::Refusing);
        CHECK(zone.drain("target-1", reader) < bound);
        SECTION("and it still learns the rest from others")
        {
            CHECK(zone.drain("target-2") < bound);
        }
    }
    SECTION("the first three that would be asked are cut off from the store")
    {
        for (const size_t rank : { 0U, 1U, 2U }) {
            const MemberId member = zone.at(0).directory.ownerIn(1, mixHash(0x7265616465720000ULL, 1), rank);
            for (const auto &node : zone.nodes) {
                if (node->directory.me.id == member) {
                    node->store->setState(FakeStoreClient::State::Silent);
                }
            }
        }
        zone.store.put(draining("target-1"), zone.clock.now());
        const auto isKnown = [&](const auto &node) { return node->targets.at("target-1").isDraining; };
        const auto areKnown = [&] { return static_cast<size_t>(std::count_if(zone.nodes.begin(), zone.nodes.end(), isKnown)) >= nodeCount - 3; };
        CHECK(zone.runUntil(seconds(30), areKnown) < bound);
    }
    SECTION("it stands still for seconds, and wakes with what it knew")
    {
        zone.at(reader).isFrozen = true;
        CHECK(zone.drain("target-1") < bound);
        zone.run(seconds(5));
        zone.at(reader).isFrozen = false;
        zone.run(milliseconds(20));
        CHECK(zone.ageBoundsHold());
        CHECK(zone.runUntil(seconds(5), [&] { return zone.allKnowDraining("target-1"); }) < seconds(1));
        CHECK(zone.allKnowDraining("target-1"));
    }
    SECTION("messages between members are lost for good")
    {
        zone.isLost = [](size_t, size_t) { return true; };
        CHECK(zone.drain("target-1") < bound);
        const size_t before = zone.calls();
        zone.run(seconds(5));
        CHECK(zone.calls() - before > nodeCount); // each reads for itself
    }
    SECTION("messages to and from one member are lost")
    {
        const size_t alone = (reader + 1) % nodeCount;
        zone.isLost = [alone](size_t from, size_t to) { return from == alone || to == alone; };
        CHECK(zone.drain("target-1") < bound);
    }
    SECTION("a configuration meanwhile")
    {
        zone.at(reader).store->setState(FakeStoreClient::State::Silent);
        zone.store.configure(makeConfiguration(2), zone.clock.now());
        CHECK(zone.runUntil(seconds(30), [&] {
            return std::all_of(zone.nodes.begin(), zone.nodes.end(),
                               [&](const auto &node) { return node == zone.nodes[reader] || node->configuration.version == 2; });
        }) < zone.flows.changeBound);
    }
}

TEST_CASE("a process that stood still acts on nothing that has aged meanwhile")
{
    Zone zone;
    const size_t reader = zone.reader();
    const size_t pausedNode = (reader + 1) % nodeCount;
    zone.at(pausedNode).isFrozen = true;
    zone.run(seconds(3));
    zone.store.put(draining("target-5"), zone.clock.now());
    zone.run(seconds(7));
    const size_t calls = zone.at(pausedNode).store->calls;
    zone.at(pausedNode).isFrozen = false;
    zone.run(milliseconds(30));
    CHECK(zone.at(pausedNode).store->calls > calls); // what it knows is old by its own clock, so it reads for itself at once
    CHECK(zone.ageBoundsHold());
    CHECK(zone.runUntil(seconds(2), [&] { return zone.allKnowDraining("target-5"); }) < milliseconds(100));
}

TEST_CASE("a member that starts while the store is away gets everything from another, as old as it is")
{
    Zone zone;
    const size_t reader = zone.reader();
    const size_t restartedNode = (reader + 1) % nodeCount;
    for (const auto &node : zone.nodes) {
        node->store->setState(FakeStoreClient::State::Refusing);
    }
    zone.run(seconds(10));
    const TimePoint restarted = zone.clock.now();
    zone.start(restartedNode);
    zone.at(restartedNode).store->setState(FakeStoreClient::State::Refusing);

    SECTION("soon, and its age is told")
    {
        CHECK(zone.runUntil(seconds(10), [&] { return zone.at(restartedNode).configuration.version == 1; }) < seconds(3));
        CHECK(zone.at(restartedNode).targets.size() == 30);
        CHECK(zone.at(restartedNode).sharing->targetView().confirmedAt() < restarted - seconds(8));
        CHECK(zone.ageBoundsHold());
        SECTION("and when the store is back, what was withdrawn meanwhile is gone for good")
        {
            zone.store.remove("target-7", zone.clock.now());
            for (const auto &node : zone.nodes) {
                node->store->setState(FakeStoreClient::State::Good);
            }
            zone.run(seconds(3));
            zone.at(restartedNode).store->setState(FakeStoreClient::State::Refusing);
            zone.run(seconds(5));
            for (const auto &node : zone.nodes) {
                CHECK_FALSE(node->targets.contains("target-7"));
            }
        }
    }
    SECTION("from none when all others have just started too: it waits for the store")
    {
        for (size_t i = 0; i < nodeCount; ++i) {
            zone.start(i);
            zone.at(i).store->setState(FakeStoreClient::State::Refusing);
        }
        zone.run(seconds(3));
        CHECK(zone.at(restartedNode).configuration.version == 0);
        for (const auto &node : zone.nodes) {
            node->store->setState(FakeStoreClient::State::Good);
        }
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allHaveVersion(1); }) < seconds(3));
    }
}

TEST_CASE("members whose views of the zone differ: two read for a while, and nothing is told that is not so")
{
    Zone zone;
    const size_t reader = zone.reader();
    REQUIRE(reader < nodeCount);
    for (size_t i = 0; i < nodeCount; i += 2) { // half of the members have lost sight of the reader
        std::erase_if(zone.at(i).directory.members, [&](const MemberRecord &member) { return member.id == zone.at(reader).directory.me.id && i != reader; });
    }
    bool ageBoundsHold = true;
    zone.afterStep = [&] { ageBoundsHold = ageBoundsHold && zone.ageBoundsHold(); };
    zone.run(seconds(2));
    CHECK(zone.drain("target-1") < milliseconds(1000));
    zone.store.remove("target-2", zone.clock.now());
    zone.run(seconds(2));
    size_t readers = 0;
    for (const auto &node : zone.nodes) {
        readers += node->sharing->isReader(StoreResource::Targets) ? 1 : 0;
        CHECK_FALSE(node->targets.contains("target-2"));
    }
    CHECK(readers == 2);
    CHECK(ageBoundsHold);
}

TEST_CASE("an answer to an earlier question, of an earlier process or of a member that was given up changes nothing")
{
    Zone zone(3);
    const size_t reader = zone.reader();
    const size_t follower = (reader + 1) % 3;
    StoreNews lateResponse;
    lateResponse.sender = zone.at(reader).directory.me.id;
    lateResponse.incarnation = zone.at(follower).directory.me.incarnation;
    lateResponse.targets.revision = zone.store.revision + 100;
    lateResponse.targets.updated.push_back(toMessage({ makeTarget("ghost"), zone.store.revision + 50 }, Duration{ 0 }));
    Actions out;

    SECTION("another question")
    {
        lateResponse.sequence = 1;
    }
    SECTION("an earlier process of the asker")
    {
        lateResponse.sequence = zone.at(follower).counters.value(Counter::StoreAsksSent);
        lateResponse.incarnation = 0;
    }
    SECTION("a member that is not asked")
    {
        lateResponse.sequence = zone.at(follower).counters.value(Counter::StoreAsksSent);
        lateResponse.sender = zone.at(follower).directory.me.id;
    }
    zone.at(follower).sharing->onMessage(lateResponse, out);
    CHECK_FALSE(zone.at(follower).targets.contains("ghost"));
    CHECK(zone.at(follower).sharing->targetView().revision() <= zone.store.revision);
}

TEST_CASE("retry storm: all members start at once before a store that answers slowly; none asks another for everything")
{
    Zone zone;
    zone.storeLatency = milliseconds(1500);
    for (size_t i = 0; i < nodeCount; ++i) {
        zone.start(i);
    }
    const uint64_t before = zone.sum(Counter::StoreAsksSent);
    zone.run(milliseconds(1400));
    CHECK(zone.sum(Counter::StoreAsksSent) == before);
    CHECK(zone.runUntil(seconds(10), [&] { return zone.allHaveVersion(1); }) < seconds(1));
}

TEST_CASE("retry storm: while members read the store for what can't be told, they don't ask on and on")
{
    Zone zone;
    zone.storeLatency = milliseconds(800);
    const uint64_t before = zone.sum(Counter::StoreAsksSent);

    SECTION("a configuration that differs in too many routes")
    {
        zone.store.configure(withRoutes(2, 400), zone.clock.now());
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allHaveVersion(2); }) < seconds(5));
        CHECK(zone.sum(Counter::StoreAsksSent) - before < nodeCount * 12);
    }
    SECTION("targets changed since a revision that the reader can't tell from")
    {
        const size_t reader = zone.reader();
        zone.start(reader); // knows only what the store lists from now on
        for (size_t i = 0; i < 20; ++i) {
            zone.store.put(draining("target-" + std::to_string(i)), zone.clock.now());
            zone.run(milliseconds(150));
        }
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allKnowDraining("target-19"); }) < seconds(3));
        CHECK(zone.sum(Counter::StoreAsksSent) - before < nodeCount * 60);
    }
}

TEST_CASE("a member that was away for longer than removals are remembered reads the store itself")
{
    Zone zone;
    const size_t reader = zone.reader();
    const size_t away = (reader + 1) % nodeCount;
    zone.at(away).isFrozen = true;
    zone.store.remove("target-9", zone.clock.now());
    zone.run(zone.reading.sharing.removalRetention + seconds(3));
    zone.at(away).store->setState(FakeStoreClient::State::Silent); // for the moment
    zone.at(away).isFrozen = false;
    zone.run(seconds(2));
    zone.at(away).store->setState(FakeStoreClient::State::Good);
    CHECK(zone.runUntil(seconds(10), [&] { return !zone.at(away).targets.contains("target-9"); }) < seconds(5));
    CHECK(zone.ageBoundsHold());
}

TEST_CASE("what a member takes for the age of its knowledge is never less than the true age, and all agree in the end")
{
    const bool passed = rc::check("random pauses, deaths, cuts, losses and delays", [] {
        Zone zone(6);
        bool ageBoundsHold = true;
        zone.afterStep = [&] { ageBoundsHold = ageBoundsHold && zone.ageBoundsHold(); };
        std::minstd_rand random(*rc::gen::inRange(1, 1 << 30));
        const auto below = [&random](size_t bound) { return static_cast<size_t>(random() % bound); };
        zone.isLost = [&](size_t, size_t) { return below(10) == 0; };
        zone.extraDelay = [&]() -> Duration { return below(20) == 0 ? milliseconds(below(3000)) : milliseconds(below(20)); };
        for (size_t round = 0; round < 30; ++round) {
            const size_t who = below(6);
            switch (below(8)) {
            case 0:
                zone.at(who).isFrozen = !zone.at(who).isFrozen;
                break;
            case 1:
                zone.at(who).store->setState(FakeStoreClient::State::Silent);
                break;
            case 2:
                zone.at(who).store->setState(FakeStoreClient::State::Refusing);
                break;
            case 3:
                zone.at(who).store->setState(FakeStoreClient::State::Good);
                break;
            case 4:
                zone.start(who);
                break;
            case 5:
                zone.store.configure(withRoutes(round + 2, below(100)), zone.clock.now());
                break;
            case 6:
                zone.store.remove("target-" + std::to_string(below(30)), zone.clock.now());
                break;
            default:
                zone.store.put(makeTarget("target-" + std::to_string(below(30)), localZone, "booking", round + 2), zone.clock.now());
            }
            zone.run(milliseconds(below(1500)));
        }
        RC_ASSERT(ageBoundsHold);
        zone.isLost = [](size_t, size_t) { return false; };
        for (const auto &node : zone.nodes) {
            node->isFrozen = false;
            node->store->setState(FakeStoreClient::State::Good);
        }
        zone.run(seconds(15));
        for (const auto &node : zone.nodes) {
            RC_ASSERT(node->configuration.version == zone.store.configuration.version);
            RC_ASSERT(node->targets.size() == zone.store.targets.size());
            for (const auto &[name, entry] : zone.store.targets) {
                RC_ASSERT(node->targets.at(name) == entry.first);
            }
        }
    });
    CHECK(passed);
}

TEST_CASE("thundering news: targets that count down their cold start are told once, not with each of their heartbeats")
{
    TargetView view(seconds(60));
    TimePoint now{ seconds(100) };
    TargetRecord cold = makeTarget("cold");
    cold.warmupLeft = seconds(8);
    REQUIRE(view.update({ true, 0, 40, now, { { cold, 40 } }, {} }, now).has_value());
    for (uint64_t revision = 41; revision < 45; ++revision) {
        now += seconds(2);
        cold.warmupLeft -= seconds(2);
        const auto news = view.update({ false, revision - 1, revision, now, { { cold, revision } }, {} }, now);
        REQUIRE(news.has_value());
        CHECK(news->updated.empty());
        CHECK_FALSE(view.hasChangedSince(40));
    }
    CHECK(view.revision() == 44);
    CHECK(view.changesSince(40, now).updated.empty());

    SECTION("what changes besides is told")
    {
        cold.isDraining = true;
        REQUIRE(view.update({ false, 44, 45, now, { { cold, 45 } }, {} }, now).has_value());
        CHECK(view.changesSince(44, now).updated.size() == 1);
    }
    SECTION("a cold start that begins anew is told")
    {
        cold.warmupLeft = seconds(8);
        REQUIRE(view.update({ false, 44, 45, now, { { cold, 45 } }, {} }, now).has_value());
        CHECK(view.changesSince(44, now).updated.size() == 1);
    }
    SECTION("one that starts now is told how much is left")
    {
        now += seconds(1);
        CHECK(view.changesSince(0, now).updated.front().coldForMs == 0);
    }
}

TEST_CASE("a target that came and went between two answers is told to a member that has seen it")
{
    const TimePoint now{ seconds(100) };
    TargetView view(seconds(60));
    TargetUpdate first{ true, 0, 47, now, { { makeTarget("kept"), 40 } }, {} };
    REQUIRE(view.update(first, now).has_value());

    SECTION("answers that list changes: its removal is remembered although its entry was never seen here")
    {
        REQUIRE(view.update({ false, 47, 49, now, {}, { "brief" } }, now).has_value());
        const StoreTargetChanges told = view.changesSince(48, now);
        CHECK(told.revision == 49);
        CHECK(told.removed == std::vector<std::string>{ "brief" });
    }
    SECTION("whole answers: a member whose knowledge ends between them is told nothing and reads the store")
    {
        REQUIRE(view.update({ true, 0, 50, now, { { makeTarget("kept"), 40 } }, {} }, now).has_value());
        CHECK(view.changesSince(48, now).revision == 0);
        CHECK(view.changesSince(47, now).revision == 50);
        CHECK(view.changesSince(50, now).revision == 50);
    }
}
