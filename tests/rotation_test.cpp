// Tests of the rotation policy after a partial loss of a zone, considering the routers' panic threshold.

#include "rotation/rotationpolicy.h"

#include <catch2/catch.hpp>
#include <functional>
#include <set>

using namespace hornbeam;

namespace {

constexpr ZoneId localZone = 1;
constexpr ZoneId remoteZone = 2;
constexpr ZoneId thirdZone = 3;

/** The rotation policy of an instance in `localZone`, with its inputs. */
struct RotationFixture
{
    RotationFixture()
    {
        for (const ZoneId zone : { localZone, remoteZone, thirdZone }) {
            for (size_t i = 0; i < 4; ++i) {
                MemberRecord record;
                record.id = zone * 100 + i;
                record.zone = zone;
                this->members.push_back(record);
            }
        }
    }
    /** Advances the clock in steps of 50 ms. The zones in `heard` report every 200 ms whether they are healthy. */
    void run(Duration time, const std::vector<ZoneId> &heard = { remoteZone, thirdZone })
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(50)) {
            this->now += milliseconds(50);
            std::vector<ZoneContact> contacts;
            for (const ZoneId zone : { remoteZone, thirdZone }) {
                if (std::find(heard.begin(), heard.end(), zone) != heard.end() && (this->now.time_since_epoch() % milliseconds(200)) == Duration{ 0 }) {
                    this->heardAt[zone] = this->now;
                }
                const auto age = std::chrono::duration_cast<milliseconds>(this->now - this->heardAt[zone]).count();
                if (age < 5000) {
                    contacts.push_back({ zone, static_cast<uint32_t>(age), this->degradedZones.contains(zone) ? neverMs : static_cast<uint32_t>(age) });
                }
            }
            this->changes += this->policy.update(this->members, contacts, this->now) ? 1 : 0;
        }
    }
    /** Sets the state of the first `count` instances of a zone. */
    void set(ZoneId zone, size_t count, MemberState state)
    {
        for (MemberRecord &record : this->members) {
            if (record.zone == zone && record.id % 100 < count) {
                record.state = state;
            }
        }
    }

    RotationPolicy policy{ RotationSettings{}, localZone };
    std::vector<MemberRecord> members;
    std::map<ZoneId, TimePoint> heardAt;
    std::set<ZoneId> degradedZones;
    TimePoint now{ seconds(1000) };
    size_t changes = 0;
};

}

TEST_CASE("remaining instances of a zone that lost more than half leave the rotation while another zone can take over")
{
    RotationFixture fixture;
    fixture.run(seconds(3));
    REQUIRE_FALSE(fixture.policy.isOutOfRotation());

    SECTION("three of four lost: leaves the rotation within a second, rejoins when half serve again")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.run(seconds(1));
        CHECK(fixture.policy.isOutOfRotation());
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(5));
        CHECK(fixture.policy.isOutOfRotation());
        fixture.set(localZone, 2, MemberState::Alive);
        fixture.run(milliseconds(100));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
        CHECK(fixture.changes == 2);
    }
    SECTION("half lost: routers use the ready half, so the zone stays in rotation")
    {
        fixture.set(localZone, 2, MemberState::Dead);
        fixture.run(seconds(5));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
    }
    SECTION("a suspicion that is refuted immediately has no effect")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.run(milliseconds(150));
        fixture.set(localZone, 3, MemberState::Alive);
        fixture.run(seconds(2));
        CHECK(fixture.changes == 0);
    }
    SECTION("all zones degraded at once: no zone leaves the rotation")
    {
        for (const ZoneId zone : { localZone, remoteZone, thirdZone }) {
            fixture.set(zone, 3, MemberState::Dead);
        }
        fixture.run(seconds(5));
        CHECK(fixture.changes == 0);
    }
    SECTION("two zones degraded: both rely on the third, which stays in rotation")
    {
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.set(remoteZone, 3, MemberState::Dead);
        fixture.run(seconds(1));
        CHECK(fixture.policy.isOutOfRotation());
        SECTION("until the third zone is degraded as well")
        {
            fixture.set(thirdZone, 3, MemberState::Dead);
            fixture.run(seconds(1));
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
        SECTION("or too few of its instances are alive to carry the load")
        {
            fixture.set(thirdZone, 2, MemberState::Dead);
            fixture.run(seconds(1));
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
        SECTION("or its reports stop")
        {
            fixture.run(seconds(4), { remoteZone });
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
    }
    SECTION("all zones degraded at once, with the other zones' losses not yet known locally: their reports are enough")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.degradedZones = { remoteZone, thirdZone };
        fixture.run(seconds(5));
        CHECK(fixture.changes == 0);
    }
    SECTION("zone isolated from the others: stays in rotation, because its callers have no alternative")
    {
        fixture.run(seconds(6), {});
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(10), {});
        CHECK(fixture.changes == 0);
    }
    SECTION("zone isolated at the moment of the loss: reports from before the loss are ignored")
    {
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(5), {});
        CHECK(fixture.changes == 0);
    }
    SECTION("planned stops: leaving instances still forward packets")
    {
        fixture.set(localZone, 3, MemberState::Leaving);
        fixture.run(seconds(2));
        CHECK(fixture.changes == 0);
        SECTION("three of four stopped at once count as lost until routers no longer list them")
        {
            fixture.set(localZone, 3, MemberState::Left);
            fixture.run(seconds(1));
            CHECK(fixture.policy.isOutOfRotation());
            fixture.run(seconds(6));
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
    }
    SECTION("permanently lost instances do not keep the others out of rotation indefinitely")
    {
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(30));
        CHECK(fixture.policy.isOutOfRotation());
        fixture.run(seconds(40));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
    }
    SECTION("a false suspicion of other instances ends when they refute it")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.run(milliseconds(300));
        fixture.set(localZone, 3, MemberState::Alive);
        fixture.run(seconds(1));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
    }
}

TEST_CASE("an instance that was paused while out of rotation ignores reports from before the pause")
{
    RotationFixture fixture;
    fixture.run(seconds(1));
    fixture.set(localZone, 3, MemberState::Dead);
    fixture.run(seconds(2));
    REQUIRE(fixture.policy.isOutOfRotation());
    fixture.now += seconds(10); // no reports during the pause
    fixture.run(milliseconds(50), {});
    CHECK_FALSE(fixture.policy.isOutOfRotation());
}

TEST_CASE("instances with different views: each decides by its own view, and both agree within the next probes")
{
    RotationFixture one;
    RotationFixture other;
    one.run(seconds(1));
    other.run(seconds(1));
    one.set(localZone, 3, MemberState::Suspect);
    other.set(localZone, 1, MemberState::Suspect); // has detected only one failure so far
    one.run(milliseconds(400));
    other.run(milliseconds(400));
    CHECK(one.policy.isOutOfRotation());
    CHECK_FALSE(other.policy.isOutOfRotation());
    other.set(localZone, 3, MemberState::Suspect);
    other.run(milliseconds(400));
    CHECK(other.policy.isOutOfRotation());
}

TEST_CASE("an instance that starts during a loss is ready until it has learned of it")
{
    RotationFixture fixture;
    const std::vector<MemberRecord> all = fixture.members;
    fixture.members.resize(1);
    fixture.run(seconds(1));
    CHECK_FALSE(fixture.policy.isOutOfRotation());
    fixture.members = all;
    fixture.set(localZone, 3, MemberState::Dead);
    fixture.run(seconds(1));
    CHECK(fixture.policy.isOutOfRotation());
}

TEST_CASE("a zone of one or two instances")
{
    RotationFixture fixture;
    std::erase_if(fixture.members, [](const MemberRecord &record) { return record.zone == localZone && record.id % 100 > 1; });
    fixture.run(seconds(1));
    fixture.set(localZone, 1, MemberState::Dead);
    fixture.run(seconds(5));
    CHECK_FALSE(fixture.policy.isOutOfRotation()); // half of the zone is serving
}
