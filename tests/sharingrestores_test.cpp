// Tests of a store that is restored from a backup, as the instances of a zone and their views of it see it.

#include "sharingzone.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

constexpr size_t zoneNodes = 29;

FlowServiceSettings withEvacuations()
{
    FlowServiceSettings flows;
    flows.evacuationBound = seconds(5);
    return flows;
}

/** A zone whose store is copied and later restored from the copy. */
struct RestoredZone : Zone
{
    explicit RestoredZone(size_t count = zoneNodes) : Zone(count, withEvacuations()), backup(this->store)
    {
    }
    void takeBackup()
    {
        this->backup = this->store;
    }
    /** Raises the store's revision by changes of a target that plays no role otherwise. */
    void raiseRevision(size_t changes)
    {
        for (size_t i = 0; i < changes; ++i) {
            this->store.put(makeTarget("other", localZone, "catalogue", ++this->incarnation), this->clock.now());
        }
        this->run(seconds(2));
    }
    template<typename Predicate>
    bool all(const Predicate &predicate) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &node) { return node->isStopped || predicate(*node); });
    }
    bool allKnowTarget(const std::string &name) const
    {
        return this->all([&](const Node &node) { return node.targets.contains(name); });
    }
    bool allEvacuate(const std::string &name) const
    {
        return this->all([&](const Node &node) { return node.evacuated.contains(name); });
    }
    bool noneEvacuates(const std::string &name) const
    {
        return this->all([&](const Node &node) { return !node.evacuated.contains(name); });
    }
    SharedStore backup;
    uint64_t incarnation = 1;
};

StorePosition at(uint64_t era, uint64_t revision)
{
    return { era, revision };
}

TargetEntry entryOf(const TargetRecord &record, const StorePosition &position)
{
    return { record, position, {} };
}

TargetUpdate snapshot(const StorePosition &position, const std::vector<TargetEntry> &entries)
{
    return { true, {}, position, TimePoint{ seconds(100) }, entries, {} };
}

}

// Guards against changes of a restored store that are ignored, since their revisions were seen before the restore.
TEST_CASE("what is written to a restored store reaches all members, although its revisions were seen before")
{
    RestoredZone zone;
    zone.raiseRevision(50);
    zone.store.restore(zone.backup);

    SECTION("a configuration")
    {
        zone.store.configure(withRoutes(2, 3), zone.clock.now());
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allHaveVersion(2); }) < seconds(3));
    }
    SECTION("a target that drains, one that registers and one that the backup lacks")
    {
        zone.store.put(makeTarget("fresh"), zone.clock.now());
        CHECK(zone.drain("target-3") < seconds(3));
        zone.run(seconds(1));
        CHECK(zone.allKnowTarget("fresh"));
        CHECK(zone.all([](const SharingNode &node) { return !node.targets.contains("other"); }));
    }
    SECTION("an evacuation and its end")
    {
        zone.store.evacuate("z1", zone.clock.now());
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allEvacuate("z1"); }) < seconds(3));
        zone.store.endEvacuation("z1", zone.clock.now());
        CHECK(zone.runUntil(seconds(10), [&] { return zone.noneEvacuates("z1"); }) < seconds(3));
    }
    SECTION("after a second restore within a second")
    {
        zone.run(milliseconds(700));
        zone.store.restore(zone.backup);
        zone.store.configure(withRoutes(2, 3), zone.clock.now());
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allHaveVersion(2); }) < seconds(3));
        CHECK(zone.drain("target-3") < seconds(3));
    }
    SECTION("while a member is stopped, which starts later")
    {
        zone.stop(5);
        zone.store.configure(withRoutes(2, 3), zone.clock.now());
        zone.run(seconds(2));
        zone.start(5);
        CHECK(zone.runUntil(seconds(20), [&] { return zone.allHaveVersion(2); }) < seconds(10));
    }
    SECTION("on a member that only hears of the new era from its source")
    {
        const size_t reader = zone.reader();
        for (size_t i = 0; i < zoneNodes; ++i) {
            zone.at(i).store->setState(i == reader ? FakeStoreClient::State::Good : FakeStoreClient::State::Refusing);
        }
        zone.store.configure(withRoutes(2, 3), zone.clock.now());
        CHECK(zone.drain("target-3") < seconds(3));
        CHECK(zone.runUntil(seconds(10), [&] { return zone.allHaveVersion(2); }) < seconds(3));
    }
}

TEST_CASE("a restore costs a few calls of the store, whatever the size of the zone")
{
    const size_t count = GENERATE(29, 100);
    CAPTURE(count);
    RestoredZone zone(count);
    zone.raiseRevision(50);
    const size_t before = zone.calls();
    zone.run(seconds(20));
    const size_t usual = zone.calls() - before;
    zone.store.restore(zone.backup);
    zone.run(seconds(20));
    CHECK(zone.calls() - before - usual < usual + 12);
}

TEST_CASE("a restored store brings no evacuation back that was taken back, and one that it lacks stays in effect for a while")
{
    RestoredZone zone(6);
    SECTION("taken back since the backup")
    {
        zone.store.evacuate("z1", zone.clock.now());
        zone.run(seconds(2));
        REQUIRE(zone.allEvacuate("z1"));
        zone.takeBackup();
        zone.store.endEvacuation("z1", zone.clock.now());
        zone.run(seconds(2));
        zone.store.restore(zone.backup);
        for (int i = 0; i < 20; ++i) {
            zone.run(seconds(1));
            CHECK(zone.noneEvacuates("z1"));
        }
        SECTION("a later one of the same zone is applied")
        {
            zone.store.evacuate("z1", zone.clock.now());
            CHECK(zone.runUntil(seconds(10), [&] { return zone.allEvacuate("z1"); }) < seconds(3));
        }
    }
    SECTION("begun since the backup")
    {
        zone.store.evacuate("z1", zone.clock.now());
        zone.run(seconds(2));
        zone.store.restore(zone.backup);
        for (int i = 0; i < 10; ++i) {
            zone.run(seconds(1));
            CHECK(zone.allEvacuate("z1"));
        }
        SECTION("written again: it stays")
        {
            zone.store.evacuate("z1", zone.clock.now());
            for (int i = 0; i < 20; ++i) {
                zone.run(seconds(1));
                CHECK(zone.allEvacuate("z1"));
            }
        }
        SECTION("not written again: it ends after 15 s")
        {
            zone.run(seconds(9));
            CHECK(zone.noneEvacuates("z1"));
        }
    }
    SECTION("in effect all the while")
    {
        zone.store.evacuate("z1", zone.clock.now());
        zone.run(seconds(2));
        zone.takeBackup();
        zone.raiseRevision(20);
        zone.store.restore(zone.backup);
        for (int i = 0; i < 20; ++i) {
            zone.run(seconds(1));
            CHECK(zone.allEvacuate("z1"));
        }
    }
}

// Guards against targets that a backup shows in an earlier state than is known.
TEST_CASE("the entries of a restored store are reconciled with what is known of the targets")
{
    TargetView view(seconds(60), seconds(15));
    TimePoint now{ seconds(100) };
    const TargetRecord ready = makeTarget("a");
    TargetRecord cold = ready;
    cold.remainingWarmupMs = 20'000;
    TargetRecord drains = ready;
    drains.isDraining = true;
    const auto readState = [&](const TargetUpdate &update) { return update.updated.empty() ? nullptr : &update.updated.front().record; };

    SECTION("one that drains goes on draining, also in a later list; when its entry changes, that counts")
    {
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(drains, at(1, 50)) }), now).has_value());
        for (const uint64_t revision : { 40, 41 }) {
            const auto update = view.update(snapshot(at(2, revision), { entryOf(ready, at(2, 30)) }), now);
            REQUIRE(update.has_value());
            REQUIRE(readState(*update) != nullptr);
            CHECK(readState(*update)->isDraining);
        }
        CHECK(view.all().at("a").record.isDraining);
        REQUIRE(view.update({ false, at(2, 41), at(2, 42), now, { entryOf(ready, at(2, 42)) }, {} }, now).has_value());
        CHECK_FALSE(view.all().at("a").record.isDraining);
    }
    SECTION("one that drains goes on draining in a list that follows differences from a member")
    {
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(drains, at(1, 50)) }), now).has_value());
        REQUIRE(view.update({ false, at(1, 50), at(2, 40), now, {}, {} }, now).has_value());
        REQUIRE(view.update(snapshot(at(2, 41), { entryOf(ready, at(2, 30)) }), now).has_value());
        CHECK(view.all().at("a").record.isDraining);
    }
    SECTION("one that drained after the restore drains")
    {
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(ready, at(1, 50)) }), now).has_value());
        REQUIRE(view.update(snapshot(at(2, 40), { entryOf(drains, at(2, 40)) }), now).has_value());
        CHECK(view.all().at("a").record.isDraining);
    }
    SECTION("one that was removed isn't listed; a later process under its name is")
    {
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(ready, at(1, 50)) }), now).has_value());
        REQUIRE(view.update({ false, at(1, 50), at(1, 51), now, {}, { "a" } }, now).has_value());
        auto update = view.update(snapshot(at(2, 40), { entryOf(ready, at(2, 30)) }), now);
        REQUIRE(update.has_value());
        CHECK(update->updated.empty());
        CHECK(view.all().empty());
        SECTION("by a change")
        {
            REQUIRE(view.update({ false, at(2, 40), at(2, 41), now, { entryOf(ready, at(2, 41)) }, {} }, now).has_value());
            CHECK(view.all().size() == 1);
        }
        SECTION("by the list after a second restore")
        {
            TargetRecord later = ready;
            ++later.incarnation;
            REQUIRE(view.update(snapshot(at(3, 40), { entryOf(later, at(3, 40)) }), now).has_value());
            CHECK(view.all().size() == 1);
        }
    }
    SECTION("one that restarted keeps its later process")
    {
        TargetRecord restarted = ready;
        ++restarted.incarnation;
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(restarted, at(1, 50)) }), now).has_value());
        const auto update = view.update(snapshot(at(2, 40), { entryOf(ready, at(2, 30)) }), now);
        REQUIRE(update.has_value());
        REQUIRE(readState(*update) != nullptr);
        CHECK(readState(*update)->incarnation == restarted.incarnation);
    }
    SECTION("its warm-up doesn't start again")
    {
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(cold, at(1, 50)) }), now).has_value());
        now += seconds(15);
        const auto update = view.update(snapshot(at(2, 40), { entryOf(cold, at(2, 30)) }), now);
        REQUIRE(update.has_value());
        REQUIRE(readState(*update) != nullptr);
        CHECK(readState(*update)->remainingWarmupMs == 5'000);
    }
    SECTION("members of the earlier era get differences only")
    {
        const TargetRecord other = makeTarget("b");
        REQUIRE(view.update(snapshot(at(1, 50), { entryOf(ready, at(1, 30)), entryOf(other, at(1, 50)) }), now).has_value());
        REQUIRE(view.update(snapshot(at(2, 40), { entryOf(ready, at(2, 30)), entryOf(makeTarget("c"), at(2, 40)) }), now).has_value());
        const StoreTargetChanges changes = view.changesSince(at(1, 50), now);
        CHECK(changes.position() == at(2, 40));
        REQUIRE(changes.updated.size() == 1);
        CHECK(changes.updated.front().name == "c");
        CHECK(changes.removed == std::vector<std::string>{ "b" });
    }
    SECTION("a response of the earlier era that arrives late changes nothing")
    {
        REQUIRE(view.update(snapshot(at(2, 40), { entryOf(ready, at(2, 40)) }), now).has_value());
        const auto update = view.update(snapshot(at(1, 50), { entryOf(drains, at(1, 50)) }), now);
        REQUIRE(update.has_value());
        CHECK(update->updated.empty());
        CHECK(view.position() == at(2, 40));
        CHECK_FALSE(view.all().at("a").record.isDraining);
    }
}
