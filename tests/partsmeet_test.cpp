// Tests of parts of docs/design/hard-load.md that act at the same time, with instances of three zones on a simulated network: an evacuated zone beside a zone
// that is cut off, flows that leave for a zone that becomes short itself, and cold targets of an overloaded service. Bounds are those of the design notes.

#include "partsworld.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

constexpr size_t a = 0;
constexpr size_t b = 1;
constexpr size_t c = 2;

constexpr double servedShare = 0.97; // goal for the callers of a zone whose targets can't serve them

// The membership knows of a cut after 1 s; zone reports read it every 500 ms, and shares follow every 250 ms.
constexpr Duration cutKnownTime = seconds(2);
// Reports are valid for 2 s. A zone without free slots loses a quarter of its share in 250 ms: 3% of it are left after 3 s.
constexpr Duration returnTime = seconds(5);

WorldSettings evacuationSettings()
{
    WorldSettings settings;
    settings.flows.needsEvacuations = true;
    return settings;
}

void startLoad(PartsWorld &world, const std::array<double, worldZones> &demands)
{
    for (size_t zone = 0; zone < worldZones; ++zone) {
        world.setDemand(zone, demands[zone]);
        world.openPool(zone, 8);
    }
    world.run(seconds(10));
}

size_t brokenFlows(const PartsWorld &world)
{
    return world.results[a].broken + world.results[b].broken + world.results[c].broken;
}

size_t openingsIn(const PartsWorld &world, size_t zone)
{
    return world.results[a].openings[zone] + world.results[b].openings[zone] + world.results[c].openings[zone];
}

}

TEST_CASE("a zone is evacuated while another is cut off: neither gets new flows, open flows stay, and what is left serves the evacuated zone's callers")
{
    PartsWorld world(evacuationSettings());
    const double demand = GENERATE(0.25, 0.4); // together 0.5 and 0.8 of the slots that are left
    const bool isCutFirst = GENERATE(false, true);
    CAPTURE(demand, isCutFirst);
    startLoad(world, { demand, demand, demand });
    if (isCutFirst) {
        world.cut(c);
        world.run(cutKnownTime);
        CHECK(brokenFlows(world) == 0);
        world.evacuate({ a });
    } else {
        world.evacuate({ a });
        world.run(seconds(2));
        CHECK(openingsIn(world, a) == 0);
        CHECK(brokenFlows(world) == 0);
        world.cut(c);
        world.run(cutKnownTime);
        CHECK(openingsIn(world, a) == 0);
        CHECK(brokenFlows(world) == 0);
    }
    world.run(seconds(10));
    CHECK(openingsIn(world, a) == 0);
    CHECK(world.results[a].openings[c] + world.results[b].openings[c] == 0);
    CHECK(world.results[c].openings[a] + world.results[c].openings[b] == 0);
    CHECK(brokenFlows(world) == 0);
    for (const ZoneResults &zone : world.results) {
        CHECK(zone.inTimeShare() >= servedShare);
        CHECK(zone.undecided == 0);
    }

    SECTION("the evacuation ends: the zone serves its callers again, and the cut one still gets nothing")
    {
        world.evacuate({});
        world.run(returnTime);
        world.run(seconds(10));
        CHECK(world.results[a].openingShare(a) > 0.9);
        CHECK(world.results[a].openings[c] + world.results[b].openings[c] == 0);
        CHECK(brokenFlows(world) == 0);
    }
    SECTION("the link returns: both zones that are not evacuated serve the third one's callers")
    {
        world.heal();
        world.run(seconds(5)); // silent targets are checked every 2.5 s
        world.run(seconds(10));
        CHECK(openingsIn(world, a) == 0);
        CHECK(world.results[a].openingShare(c) > 0.25);
        CHECK(world.results[a].inTimeShare() >= servedShare);
        CHECK(brokenFlows(world) == 0);
    }
    SECTION("the last zone that can be reached is evacuated, too: new flows are refused at once, and open flows stay")
    {
        world.evacuate({ a, b, c });
        world.run(seconds(5));
        CHECK(openingsIn(world, a) + openingsIn(world, b) + openingsIn(world, c) == 0);
        CHECK(world.results[a].refused == world.results[a].requests);
        CHECK(brokenFlows(world) == 0);
    }
}

TEST_CASE("flows leave for a zone that becomes short itself: they return or go to the third zone, and the two zones exchange none")
{
    PartsWorld world(evacuationSettings());
    startLoad(world, { 1.1, 0.4, 0.3 });
    world.run(seconds(10));
    REQUIRE(world.results[a].openings[b] > 100);

    SECTION("it loses two thirds of its slots")
    {
        world.list(b, 4);
        world.run(returnTime);
        world.run(seconds(15));
        CHECK(world.results[a].openingShare(b) < 0.01);
        CHECK(world.results[b].openingShare(a) < 0.01);
        CHECK(world.results[a].openingShare(c) > 0.02);
        CHECK(world.results[c].openingShare(c) > 0.99);
        CHECK(world.results[b].inTimeShare() >= servedShare);
        CHECK(world.results[c].inTimeShare() >= servedShare);
        SECTION("and takes flows again when they are back")
        {
            world.list(b, 12);
            world.run(seconds(10));
            world.run(seconds(10));
            CHECK(world.results[a].openingShare(b) > 0.02);
        }
    }
    SECTION("the demand of its own callers rises, above the 85% up to which flows of others may use its slots, and to all of them")
    {
        world.setDemand(b, GENERATE(0.85, 1.0)); // and 5% of requests on open flows
        world.run(returnTime);
        world.run(seconds(15));
        CHECK(world.results[a].openingShare(b) < 0.01);
        CHECK(world.results[b].openingShare(a) < 0.01);
        CHECK(world.results[a].openingShare(c) > 0.02);
        CHECK(world.results[c].inTimeShare() >= servedShare);
    }
    SECTION("both other zones have no free slots: all flows return")
    {
        world.list(b, 4);
        world.list(c, 3);
        world.run(returnTime);
        world.run(seconds(15));
        CHECK(world.results[a].openingShare(a) > 0.99);
        CHECK(world.results[b].openingShare(b) > 0.99);
        CHECK(world.results[c].openingShare(c) > 0.99);
    }
    CHECK(brokenFlows(world) == 0);
}

namespace {

constexpr size_t coldTargets = 6; // of 12 in each zone

struct ColdResults
{
    size_t mostOpenings = 0; // of a cold target in any second
    size_t cold = 0;         // opening packets
    size_t warm = 0;
    double coldProcessed = 0; // requests, also on flows that were open before
    double warmProcessed = 0;
};

ColdResults countOpenings(const PartsWorld &world)
{
    ColdResults results;
    for (size_t i = 0; i < world.targets.size(); ++i) {
        const TargetModel &target = world.targets[i];
        const bool isCold = i % 12 >= 12 - coldTargets;
        (isCold ? results.cold : results.warm) += target.results.openings;
        (isCold ? results.coldProcessed : results.warmProcessed) += static_cast<double>(target.results.processed);
        results.mostOpenings = isCold ? std::max(results.mostOpenings, target.results.mostOpenings) : results.mostOpenings;
    }
    return results;
}

}

TEST_CASE("half of the targets of an overloaded service are cold: they get their budget, and the other flows are placed on warm ones or refused at once")
{
    WorldSettings settings = evacuationSettings();
    settings.flows.warmupExcess = 1.5;
    settings.flows.warmupSlack = 5;
    PartsWorld world(settings);
    world.setWarmupRate(2);
    const double demand = GENERATE(0.7, 0.9, 1.2); // 1.4 to 2.4 of the slots of warm targets
    CAPTURE(demand);
    startLoad(world, { demand, demand, demand });
    world.cool(coldTargets, seconds(30));
    world.run(seconds(2));
    world.run(seconds(8));
    const ColdResults small = countOpenings(world);
    CHECK(small.mostOpenings <= 8); // 2 x 1.5 + 5
    CHECK(small.cold > 0);
    size_t requests = 0;
    size_t decided = 0;
    for (const ZoneResults &zone : world.results) {
        CHECK(zone.undecided == 0);
        requests += zone.requests;
        decided += zone.refused + zone.openings[a] + zone.openings[b] + zone.openings[c];
    }
    CHECK(decided == requests); // each by its first opening packet
    // The limit of the expected waiting time is 25% of a full queue: 8 requests at 2 slots, 40 ms each.
    CHECK(world.waitingSeconds() <= 0.04);
    CHECK(brokenFlows(world) == 0);

    SECTION("a larger rate is used, and not more than it")
    {
        world.setWarmupRate(20);
        world.run(seconds(2));
        world.run(seconds(8));
        const ColdResults large = countOpenings(world);
        CHECK(large.mostOpenings <= 35);
        CHECK(large.cold > 3 * small.cold);
        CHECK(large.warm > large.cold);
    }
    SECTION("they are warm: the load evens out")
    {
        world.cool(0, Duration{ 0 });
        world.run(seconds(2));
        world.run(seconds(8));
        const ColdResults warm = countOpenings(world);
        CHECK(world.waitingSeconds() <= 0.04);
        CHECK(warm.coldProcessed == Approx(warm.warmProcessed).epsilon(0.1));
    }
}

// Guards against new flows that are refused at home while other zones have free slots.
TEST_CASE("an overloaded zone beside two with free slots: its callers are served although admission limits its queues")
{
    PartsWorld world(evacuationSettings());
    startLoad(world, GENERATE(std::array{ 1.1, 0.4, 0.3 }, std::array{ 1.2, 0.5, 0.5 })); // 1.95 and 2.35 of 3 zones with the requests on open flows
    world.run(seconds(10));
    world.run(seconds(20));
    for (const ZoneResults &zone : world.results) {
        CHECK(zone.inTimeShare() >= servedShare);
    }
}
