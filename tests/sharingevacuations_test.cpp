// Tests of how the evacuations of zones reach the instances of a zone through the member that reads the store.

#include "sharingzone.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

FlowServiceSettings withEvacuationBound()
{
    FlowServiceSettings flows;
    flows.evacuationBound = seconds(5);
    return flows;
}

struct EvacuationZone : Zone
{
    explicit EvacuationZone(size_t count = 6) : Zone(count, withEvacuationBound())
    {
        this->afterStep = [this] { this->areAgesTrue = this->areAgesTrue && this->ageBoundsHold(); };
    }
    /** Time until all running instances but `except` know the store's evacuations. */
    Duration settle(size_t except = noNode)
    {
        return this->runUntil(seconds(30), [&] { return this->allKnowEvacuations(except); });
    }
    Duration evacuate(const std::string &name, size_t except = noNode)
    {
        this->store.evacuate(name, this->clock.now());
        return this->settle(except);
    }
    Duration end(const std::string &name, size_t except = noNode)
    {
        this->store.endEvacuation(name, this->clock.now());
        return this->settle(except);
    }
    size_t evacuationCalls(size_t index)
    {
        return this->at(index).store->evacuationCalls;
    }
    bool areAgesTrue = true;
};

}

TEST_CASE("evacuations reach all members through one reader, within the bound under any single failure")
{
    EvacuationZone zone;
    const size_t reader = zone.reader();
    const size_t follower = (reader + 1) % 6;
    const Duration bound = seconds(5);
    REQUIRE(reader < 6);
    CHECK(zone.evacuate("z1") < milliseconds(500));

    SECTION("only the reader watches the store")
    {
        const size_t before = zone.evacuationCalls(follower);
        zone.run(seconds(30));
        CHECK(zone.evacuationCalls(follower) == before);
        CHECK(zone.at(follower).evacuationSource == zone.at(reader).directory.selfRecord.id);
        CHECK(zone.clock.now() - zone.at(follower).sharing->evacuationView().confirmedAt() < zone.reading.sharing.maxEvacuationsAge);
    }
    SECTION("the end of an evacuation is known as quickly, and the object that reappears is a new one")
    {
        CHECK(zone.end("z1") < milliseconds(500));
        const uint64_t ended = zone.store.revision;
        CHECK(zone.evacuate("z1") < milliseconds(500));
        CHECK(zone.at(follower).evacuated.at("z1") > ended);
    }
    SECTION("an object that is deleted and written again between two calls is a new evacuation")
    {
        zone.store.endEvacuation("z1", zone.clock.now());
        CHECK(zone.evacuate("z1") < milliseconds(500));
    }
    SECTION("the reader crashes")
    {
        zone.stop(reader);
        CHECK(zone.evacuate("z2") < bound);
    }
    SECTION("the reader gets no more responses from the store")
    {
        zone.at(reader).store->setState(FakeStoreClient::State::Silent);
        CHECK(zone.end("z1", reader) < bound);
    }
    SECTION("all messages between members are lost")
    {
        zone.isLost = [](size_t, size_t) { return true; };
        CHECK(zone.evacuate("z2") < bound);
    }
    SECTION("the store no longer has the history for a watch")
    {
        zone.store.historyStart = zone.store.revision + 2;
        CHECK(zone.evacuate("z2") < bound);
        CHECK(zone.end("z1") < bound);
    }
    SECTION("the store is away: the last known set stays, and its age is shown")
    {
        for (const auto &node : zone.nodes) {
            node->store->setState(FakeStoreClient::State::Silent);
        }
        zone.run(seconds(20));
        for (const auto &node : zone.nodes) {
            CHECK(node->evacuated.contains("z1"));
            CHECK(zone.clock.now() - node->sharing->evacuationView().confirmedAt() > seconds(15));
            CHECK(node->sharing->isOutdated(StoreResource::Evacuations));
        }
        SECTION("an instance that starts meanwhile gets the set from a member, with its true age")
        {
            zone.start(follower);
            zone.at(follower).store->setState(FakeStoreClient::State::Refusing);
            CHECK(zone.runUntil(seconds(10), [&] { return zone.at(follower).sharing->evacuationView().isLoaded(); }) < seconds(1));
            CHECK(zone.at(follower).evacuated.contains("z1"));
            CHECK(zone.clock.now() - zone.at(follower).sharing->evacuationView().confirmedAt() > seconds(15));
        }
        SECTION("an end that was missed is made good when the store is back")
        {
            zone.store.endEvacuation("z1", zone.clock.now());
            for (const auto &node : zone.nodes) {
                node->store->setState(FakeStoreClient::State::Good);
            }
            CHECK(zone.settle() < bound);
        }
    }
    SECTION("a member that was paused for longer than tombstones are kept gets the whole set")
    {
        zone.at(follower).isFrozen = true;
        zone.isLost = [follower](size_t, size_t to) { return to == follower; };
        zone.end("z1");
        zone.run(zone.reading.sharing.removalRetention + seconds(3));
        zone.at(follower).store->setState(FakeStoreClient::State::Silent);
        zone.at(follower).isFrozen = false;
        zone.isLost = [](size_t, size_t) { return false; };
        CHECK(zone.settle() < seconds(2));
    }
    SECTION("the store refuses only the evacuations to an instance that starts: a member gives it the set")
    {
        zone.start(follower);
        zone.at(follower).store->failingPrefix = evacuationPrefix;
        CHECK(zone.settle() < milliseconds(500));
    }
    SECTION("only the reading of evacuations fails at the start: the other resources are shared as before")
    {
        EvacuationZone fresh;
        for (const auto &node : fresh.nodes) {
            node->store->failingPrefix = evacuationPrefix;
        }
        for (size_t i = 0; i < 6; ++i) {
            fresh.start(i);
            fresh.at(i).store->failingPrefix = evacuationPrefix;
        }
        fresh.run(seconds(8));
        size_t readers = 0;
        for (const auto &node : fresh.nodes) {
            readers += node->sharing->isReader(StoreResource::Targets) ? 1 : 0;
        }
        CHECK(readers == 1);
        CHECK(fresh.drain("target-1") < milliseconds(500));
    }
    CHECK(zone.areAgesTrue);
}

TEST_CASE("an instance without the setting does not know the evacuations, and nobody takes that for an empty set")
{
    EvacuationZone zone;
    const size_t reader = zone.reader();
    const size_t follower = (reader + 1) % 6;
    REQUIRE(reader < 6);
    zone.evacuate("z1");

    SECTION("it is the reader")
    {
        zone.at(reader).readsEvacuations = false;
        zone.start(reader);
        zone.run(seconds(8));
        CHECK(zone.evacuationCalls(reader) == 0);
        CHECK(zone.at(follower).evacuated.contains("z1"));
        REQUIRE(zone.at(follower).sharing->source() == zone.at(reader).directory.selfRecord.id);
        CHECK(zone.evacuate("z2") < seconds(1)); // by own watches
        CHECK(zone.drain("target-1") < milliseconds(500));
        const size_t before = zone.evacuationCalls(follower);
        zone.run(seconds(30));
        CHECK(zone.evacuationCalls(follower) - before < 30); // watches, not lists in a loop
        CHECK(zone.areAgesTrue);
    }
    SECTION("it gets data from a reader with the setting, without requests in a loop")
    {
        zone.at(follower).readsEvacuations = false;
        zone.start(follower);
        zone.run(seconds(2));
        const uint64_t before = zone.at(follower).counters.value(Counter::StoreAsksSent);
        zone.evacuate("z2");
        zone.run(seconds(10));
        CHECK(zone.at(follower).counters.value(Counter::StoreAsksSent) - before < 40);
        CHECK(zone.at(follower).evacuated.empty());
        CHECK(zone.evacuationCalls(follower) == 0);
    }
}
