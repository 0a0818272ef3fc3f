// Tests of overloaded instances together with the membership, whose failure detection is affected by the same late messages.

#include "rotationzone.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

TEST_CASE("an instance with a full link leaves although it and its members suspect each other")
{
    RotationZoneFixture zone;
    REQUIRE(zone.events.empty());
    const Duration delay = GENERATE(milliseconds(30), milliseconds(60), milliseconds(150), milliseconds(250), milliseconds(500));
    CAPTURE(delay.count());
    zone.setDelay(1, delay);
    zone.run(seconds(4));
    CHECK(zone.out() == std::set<size_t>{ 0 });
    zone.setDelay(1, Duration{ 0 });
    zone.run(seconds(4));
    CHECK(zone.out().empty());
    CHECK(zone.events.contains("overload_rotation_rejoined"));
}

TEST_CASE("a fifth of the links are full: only their instances leave")
{
    RotationZoneFixture zone;
    zone.setDelay(5, milliseconds(250));
    zone.run(seconds(5));
    CHECK(zone.out() == std::set<size_t>{ 0, 1, 2, 3, 4 });
}

TEST_CASE("an instance that was paused stays in rotation")
{
    RotationZoneFixture zone;
    zone.net.nodes[0]->isPaused = true;
    zone.run(GENERATE(milliseconds(200), milliseconds(700), milliseconds(3000)));
    zone.net.nodes[0]->isPaused = false;
    zone.run(seconds(5));
    CHECK(zone.events.empty());
}

TEST_CASE("no instance leaves in a zone that is partitioned in two")
{
    RotationZoneFixture zone;
    zone.net.isLost = [](size_t from, size_t to) { return from % 2 != to % 2; };
    zone.setDelay(2, milliseconds(150));
    zone.run(seconds(10));
    CHECK_FALSE(zone.events.contains("overload_rotation_left"));
}
