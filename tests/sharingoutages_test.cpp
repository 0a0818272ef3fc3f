// Tests of store reads shared between the instances of a zone, after outages, pauses and unusable data.

#include "sharingzone.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace hornbeam;

// Guards against an instance that never reads the store again after the store turned it away while members provided data now and then.
TEST_CASE("a member that the store turned away reads the store again when it is the last one of its zone")
{
    constexpr size_t smallZone = 3;
    const int seed = GENERATE(range(1, 31));
    CAPTURE(seed);
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
    Zone zone(smallZone);
    const size_t reader = zone.reader();
    REQUIRE(reader < smallZone);
    zone.extraDelay = [&random] { return milliseconds(random() % 40); };
    zone.afterStep = [&] { // changes of targets end the long polls of targets but not those of configurations, so the data ages differ
        if (random() % 80 == 0) {
            zone.store.put(makeTarget("target-" + std::to_string(20 + random() % 10), random()), zone.clock.now());
        }
    };

    zone.at(reader).store->setState(FakeStoreClient::State::Refusing);
    zone.run(seconds(9));
    zone.at(reader).store->setState(FakeStoreClient::State::Good);
    zone.run(zone.flows.stability + seconds(2));
    for (size_t i = 0; i < smallZone; ++i) {
        if (i != reader) {
            zone.stop(i);
            zone.updateMembers();
            zone.run(seconds(3));
        }
    }
    zone.run(zone.flows.stability);

    zone.store.put(draining("target-1"), zone.clock.now());
    zone.store.configure(makeConfiguration(2), zone.clock.now());
    CHECK(zone.runUntil(seconds(30), [&] { return zone.allKnowDraining("target-1"); }) < zone.flows.drainBound);
    CHECK(zone.runUntil(seconds(30), [&] { return zone.allHaveVersion(2); }) < zone.flows.changeBound);
}

TEST_CASE("a resumed process does not act on data that became outdated during the pause")
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
    CHECK(zone.at(pausedNode).store->calls > calls); // its data is outdated by its own clock, so it reads the store immediately
    CHECK(zone.ageBoundsHold());
    CHECK(zone.runUntil(seconds(2), [&] { return zone.allKnowDraining("target-5"); }) < milliseconds(100));
}

// Guards against a process that resets callers of a route which was added while it stood still, by a response of the store from before.
TEST_CASE("a resumed process does not take a response that waited for it as recent")
{
    constexpr size_t pauses = 20; // at different points of a call
    Zone zone(2);
    const size_t reader = zone.reader();
    REQUIRE(reader < 2);
    for (size_t i = 0; i < pauses; ++i) {
        zone.run(milliseconds(130));
        zone.at(reader).isFrozen = true;
        zone.run(seconds(3));
        zone.store.configure(withRoutes(i + 2, 1 + i % 5), zone.clock.now());
        zone.run(milliseconds(500));
        zone.at(reader).isFrozen = false;
        for (int step = 0; step < 50; ++step) {
            zone.run(SharingNetwork::step);
            CHECK(zone.ageBoundsHold());
        }
        zone.run(seconds(6));
    }
}

// Guards against instances that take the configuration in force as confirmed although the store holds a newer one, which they can't parse.
TEST_CASE("a configuration that can't be used confirms no older one")
{
    Zone zone(6);
    const auto isConfirmedSince = [&zone](TimePoint since) {
        return std::all_of(zone.nodes.begin(), zone.nodes.end(), [since](const auto &node) { return node->configurationConfirmed >= since; });
    };
    const TimePoint before = zone.clock.now();
    zone.run(seconds(2));
    REQUIRE(isConfirmedSince(before));

    GIVEN("a configuration that no instance can parse")
    {
        zone.store.configure(makeConfiguration(2), zone.clock.now());
        zone.store.isConfigurationUsable = false;
        const TimePoint written = zone.clock.now();
        const size_t callsBefore = zone.calls();
        zone.run(seconds(20));

        THEN("the one before stays in force but isn't confirmed by the reader or by members")
        {
            for (const auto &node : zone.nodes) {
                CHECK(node->configuration.version == 1);
                CHECK(node->configurationConfirmed < written);
            }
        }
        THEN("members don't all start to read the store")
        {
            const size_t callsMeanwhile = zone.calls() - callsBefore;
            zone.run(seconds(20));
            CHECK(zone.calls() - callsBefore - callsMeanwhile < 80); // two resources, a call a second each
        }
        WHEN("a usable one follows")
        {
            zone.store.configure(makeConfiguration(3), zone.clock.now());
            const TimePoint mended = zone.clock.now();
            THEN("it is in force in time and confirmed again")
            {
                CHECK(zone.runUntil(seconds(30), [&] { return zone.allHaveVersion(3); }) < zone.flows.changeBound);
                zone.run(seconds(2));
                CHECK(isConfirmedSince(mended));
            }
        }
    }
}

TEST_CASE("a member that starts during a store outage gets a full copy from another member, with its true age")
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

    SECTION("the copy arrives within 3 s and carries its age")
    {
        CHECK(zone.runUntil(seconds(10), [&] { return zone.at(restartedNode).configuration.version == 1; }) < seconds(3));
        CHECK(zone.at(restartedNode).targets.size() == 30);
        CHECK(zone.at(restartedNode).sharing->targetView().confirmedAt() < restarted - seconds(8));
        CHECK(zone.ageBoundsHold());
        SECTION("after the outage, targets removed meanwhile do not reappear")
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
    SECTION("if all other members have just started too, it waits for the store")
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
