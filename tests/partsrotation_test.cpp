// Tests of overloaded instances that leave the rotation while their zone is evacuated or another instance of it restarts. Bounds are those of
// docs/design/instance-rotation.md.

#include "flowfakes.h"
#include "rotationzone.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

constexpr Duration slowLink = milliseconds(250);
constexpr Duration leaveTime = seconds(4);     // from the onset
constexpr Duration returnTime = seconds(4);    // minimum time out of 3 s, and 1 s without a signal
constexpr Duration detectionTime = seconds(3); // members know of a failure within 2 s, and recall those beyond the limit 200 ms after the next report
constexpr Duration restartTime = seconds(4);   // of an instance; longer than the detection of its end

/** A zone of 28 instances beside one of 6, and the forwarder of the first instance with targets in both. */
struct EvacuatedRotationFixture
{
    EvacuatedRotationFixture() : flows(settings())
    {
        this->flows.load({ makeTarget("near"), makeTarget("near2"), makeTarget("far", remoteZone) });
        this->flows.forwarder.onEvacuations({});
        this->open = this->flows.establish(1);
        REQUIRE(this->open.target->record.zone == localZone);
    }
    static FlowSettings settings()
    {
        FlowSettings settings;
        settings.needsEvacuations = true;
        return settings;
    }
    /** Each half second, the first instance forwards a request of the open flow and places a new flow. */
    void run(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(500)) {
            this->zone.run(milliseconds(500));
            this->flows.run(milliseconds(440));
            const uint32_t number = ++this->requests;
            const PacketDecision request = this->flows.send(1, this->open.token, 1001 + number * 100, 5000 + number * 100, 100);
            CHECK(request.target == this->open.target);
            const auto port = static_cast<uint16_t>(1 + number);
            const PacketDecision opened = this->flows.establish(port);
            REQUIRE(opened.kind == PacketDecision::Kind::Forward);
            this->flows.close(port, opened.token);
            CHECK((opened.target->record.zone == remoteZone) == this->isEvacuated);
            this->flows.endChecks(CheckOutcome::Connected);
        }
    }
    void evacuate(bool isBegun)
    {
        this->isEvacuated = isBegun;
        this->flows.forwarder.onEvacuations(isBegun ? std::set<ZoneId>{ localZone } : std::set<ZoneId>{});
    }

    RotationZoneFixture zone{ 6 };
    ForwarderFixture flows;
    PacketDecision open;
    uint32_t requests = 0;
    bool isEvacuated = false;
};

}

// Guards against an instance that refuses flows because it is out, or that stays out because its zone is evacuated.
TEST_CASE("an overloaded instance of an evacuated zone is out of rotation: it forwards, places flows in other zones and returns")
{
    EvacuatedRotationFixture fixture;
    const bool isEvacuatedFirst = GENERATE(true, false);
    CAPTURE(isEvacuatedFirst);
    fixture.evacuate(isEvacuatedFirst);
    fixture.zone.setDelay(1, slowLink);
    fixture.run(leaveTime);
    CHECK(fixture.zone.out() == std::set<size_t>{ 0 });
    fixture.evacuate(true);

    SECTION("no other instance leaves, and it returns when its link has recovered")
    {
        fixture.run(seconds(5));
        CHECK(fixture.zone.out() == std::set<size_t>{ 0 });
        fixture.zone.setDelay(1, Duration{ 0 });
        fixture.run(returnTime);
        CHECK(fixture.zone.out().empty());
    }
    SECTION("the evacuation ends while it is out: its flows return to the zone before it returns")
    {
        fixture.evacuate(false);
        fixture.run(seconds(2));
        CHECK(fixture.zone.out() == std::set<size_t>{ 0 });
    }
    SECTION("another instance restarts meanwhile")
    {
        fixture.zone.net.nodes[27]->isStopped = true;
        fixture.run(restartTime);
        fixture.zone.restart(27);
        fixture.run(seconds(5));
        CHECK(fixture.zone.out() == std::set<size_t>{ 0 });
        fixture.zone.setDelay(1, Duration{ 0 });
        fixture.run(returnTime);
        CHECK(fixture.zone.out().empty());
    }
    CHECK(fixture.zone.mostOut == 1);
    CHECK(fixture.flows.forwarder.isReady());
    CHECK(fixture.flows.observer.resets.empty());
}

// Guards against more than a quarter of the live instances out because the end of one was not counted.
TEST_CASE("as many instances are out as the limit allows when another one restarts: one of them returns, and all do in the end")
{
    EvacuatedRotationFixture fixture;
    RotationZoneFixture &zone = fixture.zone;
    fixture.evacuate(true);
    zone.setDelay(7, slowLink);
    fixture.run(leaveTime + seconds(1));
    REQUIRE(zone.out() == std::set<size_t>{ 0, 1, 2, 3, 4, 5, 6 }); // 25% of 28
    zone.net.nodes[27]->isStopped = true;
    fixture.run(detectionTime);
    CHECK(zone.out().size() == 6); // 25% of 27
    fixture.run(restartTime - detectionTime);
    zone.restart(27);
    fixture.run(seconds(8)); // the one that returned may leave again after 5 s
    CHECK(zone.out().size() >= 6);
    CHECK(zone.mostOut == 7);
    zone.setDelay(7, Duration{ 0 });
    fixture.run(seconds(7)); // 6 s out after a return that failed, and 1 s without a signal
    CHECK(zone.out().empty());
    CHECK(fixture.flows.observer.resets.empty());
}

// Guards against an instance that stays out although the members that are left can't spare it.
TEST_CASE("a zone of four: one instance may be out, and none when another one has ended")
{
    EvacuatedRotationFixture fixture;
    RotationZoneFixture &zone = fixture.zone;
    for (size_t i = 4; i < RotationZoneFixture::count; ++i) {
        zone.net.nodes[i]->isStopped = true;
    }
    fixture.run(seconds(65)); // the routers list an instance for 60 s after its end
    zone.setDelay(1, slowLink);
    fixture.run(leaveTime + seconds(1));
    CHECK(zone.out() == std::set<size_t>{ 0 }); // 25% of 4
    zone.net.nodes[3]->isStopped = true;
    fixture.run(detectionTime);
    CHECK(zone.out().empty());
    CHECK(zone.mostOut == 1);
}
