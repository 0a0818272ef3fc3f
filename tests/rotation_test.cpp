// Stories of a zone that lost instances. Pattern: panic threshold at a partial loss of a zone.

#include "rotation/rotationpolicy.h"

#include <catch2/catch.hpp>
#include <functional>
#include <set>

using namespace hornbeam;

namespace {

constexpr ZoneId localZone = 1;
constexpr ZoneId remoteZone = 2;
constexpr ZoneId thirdZone = 3;

/** What one instance of the zone `here` knows. */
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
    /** Lets time pass, in which the zones of `heard` say each 200 ms that they are well, or are not. */
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
    /** The first `count` instances of a zone change their state. */
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

TEST_CASE("survivors of a zone that lost more than half step aside while another zone can take over")
{
    RotationFixture fixture;
    fixture.run(seconds(3));
    REQUIRE_FALSE(fixture.policy.isOutOfRotation());

    SECTION("three of four lost: aside within a second, back when half serve again")
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
    SECTION("half lost: routers use the ready half, so the zone stays")
    {
        fixture.set(localZone, 2, MemberState::Dead);
        fixture.run(seconds(5));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
    }
    SECTION("a suspicion that is refuted at once changes nothing")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.run(milliseconds(150));
        fixture.set(localZone, 3, MemberState::Alive);
        fixture.run(seconds(2));
        CHECK(fixture.changes == 0);
    }
    SECTION("all zones hurt at once: nobody steps aside")
    {
        for (const ZoneId zone : { localZone, remoteZone, thirdZone }) {
            fixture.set(zone, 3, MemberState::Dead);
        }
        fixture.run(seconds(5));
        CHECK(fixture.changes == 0);
    }
    SECTION("two zones hurt: both rely on the third, which stays")
    {
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.set(remoteZone, 3, MemberState::Dead);
        fixture.run(seconds(1));
        CHECK(fixture.policy.isOutOfRotation());
        SECTION("until that one is hurt as well")
        {
            fixture.set(thirdZone, 3, MemberState::Dead);
            fixture.run(seconds(1));
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
        SECTION("or too few of it live to carry everything")
        {
            fixture.set(thirdZone, 2, MemberState::Dead);
            fixture.run(seconds(1));
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
        SECTION("or is heard no more")
        {
            fixture.run(seconds(4), { remoteZone });
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
    }
    SECTION("all zones hurt at once, and the others' losses are not known here yet: they say so themselves")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.degradedZones = { remoteZone, thirdZone };
        fixture.run(seconds(5));
        CHECK(fixture.changes == 0);
    }
    SECTION("the zone is cut off from the others: it stays, for its callers have nobody else")
    {
        fixture.run(seconds(6), {});
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(10), {});
        CHECK(fixture.changes == 0);
    }
    SECTION("cut off at the moment of the loss: what was heard before it proves nothing")
    {
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(5), {});
        CHECK(fixture.changes == 0);
    }
    SECTION("planned stops, one after the other: those that leave still forward")
    {
        fixture.set(localZone, 3, MemberState::Leaving);
        fixture.run(seconds(2));
        CHECK(fixture.changes == 0);
        SECTION("three of four gone at once are a loss, until routers no longer list them")
        {
            fixture.set(localZone, 3, MemberState::Left);
            fixture.run(seconds(1));
            CHECK(fixture.policy.isOutOfRotation());
            fixture.run(seconds(6));
            CHECK_FALSE(fixture.policy.isOutOfRotation());
        }
    }
    SECTION("instances that are gone for good don't keep the others aside for ever")
    {
        fixture.set(localZone, 3, MemberState::Dead);
        fixture.run(seconds(30));
        CHECK(fixture.policy.isOutOfRotation());
        fixture.run(seconds(40));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
    }
    SECTION("one instance's claim that others died ends when they refute it")
    {
        fixture.set(localZone, 3, MemberState::Suspect);
        fixture.run(milliseconds(300));
        fixture.set(localZone, 3, MemberState::Alive);
        fixture.run(seconds(1));
        CHECK_FALSE(fixture.policy.isOutOfRotation());
    }
}

TEST_CASE("an instance that stood still while it was aside acts on nothing that it was told before")
{
    RotationFixture fixture;
    fixture.run(seconds(1));
    fixture.set(localZone, 3, MemberState::Dead);
    fixture.run(seconds(2));
    REQUIRE(fixture.policy.isOutOfRotation());
    fixture.now += seconds(10); // no zone said anything meanwhile
    fixture.run(milliseconds(50), {});
    CHECK_FALSE(fixture.policy.isOutOfRotation());
}

TEST_CASE("survivors whose views differ: each is ready or not by its own, and both come to the same within the next probes")
{
    RotationFixture one;
    RotationFixture other;
    one.run(seconds(1));
    other.run(seconds(1));
    one.set(localZone, 3, MemberState::Suspect);
    other.set(localZone, 1, MemberState::Suspect); // it has found one only
    one.run(milliseconds(400));
    other.run(milliseconds(400));
    CHECK(one.policy.isOutOfRotation());
    CHECK_FALSE(other.policy.isOutOfRotation());
    other.set(localZone, 3, MemberState::Suspect);
    other.run(milliseconds(400));
    CHECK(other.policy.isOutOfRotation());
}

TEST_CASE("an instance that starts in the middle of a loss is ready until it knows better")
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
    CHECK_FALSE(fixture.policy.isOutOfRotation()); // half of them
}
