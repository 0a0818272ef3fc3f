// Stories of a zone that lost instances. Pattern: panic threshold at a partial loss of a zone.

#include "rotation/rotationpolicy.h"

#include <catch2/catch.hpp>
#include <functional>
#include <set>

using namespace hornbeam;

namespace {

constexpr ZoneId here = 1;
constexpr ZoneId there = 2;
constexpr ZoneId third = 3;

/** What one instance of the zone `here` knows. */
struct RotationBench
{
    RotationBench()
    {
        for (const ZoneId zone : { here, there, third }) {
            for (size_t i = 0; i < 4; ++i) {
                MemberRecord record;
                record.id = zone * 100 + i;
                record.zone = zone;
                this->members.push_back(record);
            }
        }
    }
    /** Lets time pass, in which the zones of `heard` say each 200 ms that they are well, or are not. */
    void run(Duration time, const std::vector<ZoneId> &heard = { there, third })
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(50)) {
            this->now += milliseconds(50);
            std::vector<ZoneContact> contacts;
            for (const ZoneId zone : { there, third }) {
                if (std::find(heard.begin(), heard.end(), zone) != heard.end() && (this->now.time_since_epoch() % milliseconds(200)) == Duration{ 0 }) {
                    this->heardAt[zone] = this->now;
                }
                const auto age = std::chrono::duration_cast<milliseconds>(this->now - this->heardAt[zone]).count();
                if (age < 5000) {
                    contacts.push_back({ zone, static_cast<uint32_t>(age), this->sayHurt.contains(zone) ? neverMs : static_cast<uint32_t>(age) });
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

    RotationPolicy policy{ RotationSettings{}, here };
    std::vector<MemberRecord> members;
    std::map<ZoneId, TimePoint> heardAt;
    std::set<ZoneId> sayHurt;
    TimePoint now{ seconds(1000) };
    size_t changes = 0;
};

}

TEST_CASE("survivors of a zone that lost more than half step aside while another zone can take over")
{
    RotationBench bench;
    bench.run(seconds(3));
    REQUIRE_FALSE(bench.policy.isAside());

    SECTION("three of four lost: aside within a second, back when half serve again")
    {
        bench.set(here, 3, MemberState::Suspect);
        bench.run(seconds(1));
        CHECK(bench.policy.isAside());
        bench.set(here, 3, MemberState::Dead);
        bench.run(seconds(5));
        CHECK(bench.policy.isAside());
        bench.set(here, 2, MemberState::Alive);
        bench.run(milliseconds(100));
        CHECK_FALSE(bench.policy.isAside());
        CHECK(bench.changes == 2);
    }
    SECTION("half lost: routers use the ready half, so the zone stays")
    {
        bench.set(here, 2, MemberState::Dead);
        bench.run(seconds(5));
        CHECK_FALSE(bench.policy.isAside());
    }
    SECTION("a suspicion that is refuted at once changes nothing")
    {
        bench.set(here, 3, MemberState::Suspect);
        bench.run(milliseconds(150));
        bench.set(here, 3, MemberState::Alive);
        bench.run(seconds(2));
        CHECK(bench.changes == 0);
    }
    SECTION("all zones hurt at once: nobody steps aside")
    {
        for (const ZoneId zone : { here, there, third }) {
            bench.set(zone, 3, MemberState::Dead);
        }
        bench.run(seconds(5));
        CHECK(bench.changes == 0);
    }
    SECTION("two zones hurt: both rely on the third, which stays")
    {
        bench.set(here, 3, MemberState::Dead);
        bench.set(there, 3, MemberState::Dead);
        bench.run(seconds(1));
        CHECK(bench.policy.isAside());
        SECTION("until that one is hurt as well")
        {
            bench.set(third, 3, MemberState::Dead);
            bench.run(seconds(1));
            CHECK_FALSE(bench.policy.isAside());
        }
        SECTION("or too few of it live to carry everything")
        {
            bench.set(third, 2, MemberState::Dead);
            bench.run(seconds(1));
            CHECK_FALSE(bench.policy.isAside());
        }
        SECTION("or is heard no more")
        {
            bench.run(seconds(4), { there });
            CHECK_FALSE(bench.policy.isAside());
        }
    }
    SECTION("all zones hurt at once, and the others' losses are not known here yet: they say so themselves")
    {
        bench.set(here, 3, MemberState::Suspect);
        bench.sayHurt = { there, third };
        bench.run(seconds(5));
        CHECK(bench.changes == 0);
    }
    SECTION("the zone is cut off from the others: it stays, for its callers have nobody else")
    {
        bench.run(seconds(6), {});
        bench.set(here, 3, MemberState::Dead);
        bench.run(seconds(10), {});
        CHECK(bench.changes == 0);
    }
    SECTION("cut off at the moment of the loss: what was heard before it proves nothing")
    {
        bench.set(here, 3, MemberState::Dead);
        bench.run(seconds(5), {});
        CHECK(bench.changes == 0);
    }
    SECTION("planned stops, one after the other: those that leave still forward")
    {
        bench.set(here, 3, MemberState::Leaving);
        bench.run(seconds(2));
        CHECK(bench.changes == 0);
        SECTION("three of four gone at once are a loss, until routers no longer list them")
        {
            bench.set(here, 3, MemberState::Left);
            bench.run(seconds(1));
            CHECK(bench.policy.isAside());
            bench.run(seconds(6));
            CHECK_FALSE(bench.policy.isAside());
        }
    }
    SECTION("instances that are gone for good don't keep the others aside for ever")
    {
        bench.set(here, 3, MemberState::Dead);
        bench.run(seconds(30));
        CHECK(bench.policy.isAside());
        bench.run(seconds(40));
        CHECK_FALSE(bench.policy.isAside());
    }
    SECTION("one instance's claim that others died ends when they refute it")
    {
        bench.set(here, 3, MemberState::Suspect);
        bench.run(milliseconds(300));
        bench.set(here, 3, MemberState::Alive);
        bench.run(seconds(1));
        CHECK_FALSE(bench.policy.isAside());
    }
}

TEST_CASE("an instance that stood still while it was aside acts on nothing that it was told before")
{
    RotationBench bench;
    bench.run(seconds(1));
    bench.set(here, 3, MemberState::Dead);
    bench.run(seconds(2));
    REQUIRE(bench.policy.isAside());
    bench.now += seconds(10); // no zone said anything meanwhile
    bench.run(milliseconds(50), {});
    CHECK_FALSE(bench.policy.isAside());
}

TEST_CASE("survivors whose views differ: each is ready or not by its own, and both come to the same within the next probes")
{
    RotationBench one;
    RotationBench other;
    one.run(seconds(1));
    other.run(seconds(1));
    one.set(here, 3, MemberState::Suspect);
    other.set(here, 1, MemberState::Suspect); // it has found one only
    one.run(milliseconds(400));
    other.run(milliseconds(400));
    CHECK(one.policy.isAside());
    CHECK_FALSE(other.policy.isAside());
    other.set(here, 3, MemberState::Suspect);
    other.run(milliseconds(400));
    CHECK(other.policy.isAside());
}

TEST_CASE("an instance that starts in the middle of a loss is ready until it knows better")
{
    RotationBench bench;
    const std::vector<MemberRecord> all = bench.members;
    bench.members.resize(1);
    bench.run(seconds(1));
    CHECK_FALSE(bench.policy.isAside());
    bench.members = all;
    bench.set(here, 3, MemberState::Dead);
    bench.run(seconds(1));
    CHECK(bench.policy.isAside());
}

TEST_CASE("a zone of one or two instances")
{
    RotationBench bench;
    std::erase_if(bench.members, [](const MemberRecord &record) { return record.zone == here && record.id % 100 > 1; });
    bench.run(seconds(1));
    bench.set(here, 1, MemberState::Dead);
    bench.run(seconds(5));
    CHECK_FALSE(bench.policy.isAside()); // half of them
}
