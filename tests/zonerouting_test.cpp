// Tests of the zone decision in the flow forwarder. Each test name begins with the load or fault that it covers.

#include "fakedirectory.h"
#include "flowfakes.h"

#include "balancing/zoneloads.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hornbeam;

namespace {

/** Excludes all targets of a zone. */
class ZoneRule final : public PlacementRule
{
public:
    ZoneId excluded = 0;

    CandidateStatus statusOf(const Target &target, TimePoint /*now*/) const override
    {
        return target.record.zone == this->excluded ? CandidateStatus::Evacuated : CandidateStatus::Eligible;
    }
};

/** A placement in the local zone, with reports of the remote zone. */
struct ZoneFixture
{
    explicit ZoneFixture(const FlowSettings &flowSettings = {}, uint32_t localTargets = 4)
        : settings(flowSettings), targets(this->settings), placement(this->settings, this->targets, localZone, 1), loads({}, this->members, this->clock, 1)
    {
        this->members.members.resize(2);
        this->members.members[0].id = 1;
        this->members.members[0].zone = localZone;
        this->members.members[1].id = 2;
        this->members.members[1].zone = remoteZone;
        this->members.selfRecord = this->members.members[0];
        std::vector<TargetRecord> records;
        for (uint32_t i = 0; i < localTargets; ++i) {
            records.push_back(makeTarget("l" + std::to_string(i)));
        }
        for (const char *name : { "r0", "r1", "r2", "r3" }) {
            records.push_back(makeTarget(name, remoteZone));
        }
        this->targets.updateAll(records, {}, {});
        this->placement.addRule(this->rule);
        this->placement.zoneRouting().setLoads(&this->loads);
    }
    /** Lets time pass, in which the local targets respond after `took` with `outstanding` requests each, and the remote zone reports `remoteWaiting`. */
    std::vector<ZoneShareChange> run(Duration time, Duration took, uint32_t outstanding, Duration remoteWaiting = Duration{ 0 })
    {
        std::vector<ZoneShareChange> changes;
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(50)) {
            this->clock.advance(milliseconds(50));
            Actions out;
            this->loads.tick(out);
            if (this->isReporting) {
                const auto waitingMs = static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(remoteWaiting).count());
                this->loads.onMessage({ 2, remoteZone, ++this->sequence, 0, { { remoteZone, serviceIdOf("booking"), 8, 1, waitingMs } } }, out);
            }
            for (const TargetPtr &target : this->targets.all()) {
                if (target->record.zone == localZone) {
                    target->outstandingRequests = outstanding;
                    ++target->observed.requests;
                    this->placement.zoneRouting().addAnswer(feedAddress, *target, { took, Duration{ 0 }, false }, 300);
                }
            }
            for (ZoneShareChange &change : this->placement.updateZoneShares(this->clock.now())) {
                changes.push_back(std::move(change));
            }
        }
        return changes;
    }
    /** Places flows and counts them by zone. */
    std::map<ZoneId, int> place(int count)
    {
        std::map<ZoneId, int> placed;
        const RouteConfiguration configuration = makeConfiguration(1);
        for (int i = 0; i < count; ++i) {
            const Placement placement =
                this->placement.place(configuration.routes[0], { ForwarderFixture::flow(++this->port), nullptr, false }, this->clock.now());
            if (placement.target != nullptr) {
                ++placed[placement.target->record.zone];
                this->byShare += placement.isByZoneShare ? 1 : 0;
            }
        }
        return placed;
    }

    FlowSettings settings;
    ManualClock clock;
    FakeDirectory members;
    TargetDirectory targets;
    ZoneRule rule;
    FlowPlacement placement;
    ZoneLoads loads;
    uint64_t sequence = 0;
    uint16_t port = 0;
    int byShare = 0;
    bool isReporting = true;
};

}

TEST_CASE("light load: the targets are those of the comparison by load, as without the decision")
{
    ZoneFixture fixture;
    fixture.run(seconds(10), milliseconds(40), 0);
    CHECK(fixture.place(100)[localZone] == 100);
    CHECK(fixture.byShare == 0);
    SECTION("a short peak of one target's load is still compared across zones")
    {
        fixture.run(seconds(1), milliseconds(40), 1); // 4 of 8 slots; the remote targets have none
        CHECK(fixture.place(100)[remoteZone] == 100);
        CHECK(fixture.byShare == 0);
    }
}

TEST_CASE("slow targets of the own zone: flows leave by the decision, a log event says so, and they return")
{
    ZoneFixture fixture;
    fixture.run(seconds(10), milliseconds(40), 1);
    const std::vector<ZoneShareChange> changes = fixture.run(seconds(5), milliseconds(200), 4);
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.front().ownWaiting > milliseconds(50));
    CHECK(changes.back().service == "booking");
    CHECK(changes.back().share > 0.3);
    CHECK(fixture.place(1000)[remoteZone] == 1000); // the others by comparison: the targets at home have queues
    CHECK(fixture.byShare > 300);
    CHECK(fixture.byShare < 960);
    const std::vector<ZoneShareChange> after = fixture.run(seconds(20), milliseconds(40), 0);
    REQUIRE_FALSE(after.empty());
    CHECK(after.back().share == 0);
    CHECK(fixture.place(100)[localZone] == 100);
}

TEST_CASE("both zones slow: the decision keeps flows in their zone, although single targets there have less load")
{
    ZoneFixture fixture;
    fixture.run(seconds(10), milliseconds(40), 1);
    fixture.run(seconds(5), milliseconds(200), 4, milliseconds(160));
    CHECK(fixture.place(100)[localZone] == 100);
    CHECK(fixture.byShare == 100);
}

TEST_CASE("the decision is not used when it has no data, is switched off or its zone has no candidate")
{
    SECTION("no reports, partition: the targets of both zones are compared")
    {
        ZoneFixture fixture;
        fixture.run(seconds(10), milliseconds(40), 1);
        fixture.isReporting = false;
        fixture.run(seconds(5), milliseconds(200), 4);
        CHECK(fixture.place(10)[remoteZone] == 10);
        CHECK(fixture.byShare == 0);
    }
    SECTION("zone_routing 0")
    {
        FlowSettings settings;
        settings.zoneRouting = false;
        ZoneFixture fixture(settings);
        fixture.run(seconds(10), milliseconds(40), 1);
        CHECK(fixture.run(seconds(5), milliseconds(200), 4).empty());
        fixture.place(10);
        CHECK(fixture.byShare == 0);
    }
    SECTION("evacuated destination: its targets are no slots, and flows drawn for it are placed at home at once")
    {
        ZoneFixture fixture;
        fixture.run(seconds(10), milliseconds(40), 1);
        fixture.run(seconds(5), milliseconds(200), 4);
        fixture.rule.excluded = remoteZone;
        CHECK(fixture.place(100)[localZone] == 100);
        fixture.run(milliseconds(500), milliseconds(200), 4);
        CHECK(fixture.placement.zoneRouting().decisions().at("booking").leavingShare() == 0);
    }
    SECTION("evacuated own zone: all flows leave at once and by the decision afterwards")
    {
        ZoneFixture fixture;
        fixture.run(seconds(10), milliseconds(40), 1);
        fixture.rule.excluded = localZone;
        CHECK(fixture.place(100)[remoteZone] == 100);
        fixture.run(seconds(1), milliseconds(40), 1);
        fixture.byShare = 0;
        CHECK(fixture.place(100)[remoteZone] == 100);
        CHECK(fixture.byShare == 100);
    }
    SECTION("no own targets listed")
    {
        ZoneFixture fixture({}, 0);
        fixture.run(seconds(1), milliseconds(40), 0);
        CHECK(fixture.place(10)[remoteZone] == 10);
    }
}
