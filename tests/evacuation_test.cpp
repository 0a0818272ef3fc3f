// Tests of new flows while zones are evacuated: placement, start, and what the instance logs.

#include "apps/evacuatedzones.h"
#include "apps/storereadersettings.h"
#include "flowfakes.h"
#include "platform/flowobjects.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hornbeam;

namespace {

FlowSettings withEvacuations()
{
    FlowSettings settings;
    settings.needsEvacuations = true;
    return settings;
}

/** Updates of the evacuations, and the events that they log, as "event zone". */
struct ZonesFixture
{
    void apply(bool isSnapshot, const std::vector<EvacuationRecord> &updated, const std::vector<std::string> &removed)
    {
        EvacuationUpdate update{ isSnapshot, {}, {}, this->clock.now() - milliseconds(30), {}, removed };
        for (const EvacuationRecord &record : updated) {
            update.updated.push_back({ record, record.position });
        }
        this->events.clear();
        this->begun = this->zones.apply(update, 7);
    }
    ManualClock clock;
    std::vector<std::string> events;
    size_t begun = 0;
    EvacuatedZones zones{ this->clock, [this](const std::string &event, const nlohmann::ordered_json &fields) {
                             this->events.push_back(event + " " + fields.value("zone", ""));
                             CHECK(fields.value("age_ms", 0) == 30);
                         } };
};

}

TEST_CASE("new flows avoid the targets of an evacuated zone, and open flows stay")
{
    ForwarderFixture fixture(withEvacuations());
    fixture.load({ makeTarget("near"), makeTarget("far", remoteZone) });
    fixture.forwarder.onEvacuations({});
    const PacketDecision open = fixture.establish(1);
    REQUIRE(open.target->record.name == "near");
    REQUIRE(fixture.open(2).target->record.name == "near"); // not opened yet

    SECTION("the own zone is evacuated")
    {
        fixture.forwarder.onEvacuations({ localZone });
        for (uint16_t port = 10; port < 40; ++port) {
            REQUIRE(fixture.open(port).target->record.name == "far");
        }
        SECTION("packets of an open flow go to its target")
        {
            CHECK(fixture.send(1, open.token, 1001, 5000, 100).target == open.target);
        }
        SECTION("a copy of an opening packet moves, also when its target is answering")
        {
            fixture.exchange(1, open.token, 1, milliseconds(10));
            CHECK(fixture.open(2).target->record.name == "far");
        }
        SECTION("a late copy of an open flow's opening packet neither moves nor resets the flow")
        {
            CHECK(fixture.open(1).kind == PacketDecision::Kind::Drop);
            CHECK(fixture.observer.drops == std::vector<DropReason>{ DropReason::AlreadyOpen });
            CHECK(fixture.send(1, open.token, 1001, 5000, 100).target == open.target);
        }
        SECTION("the zone takes new flows as soon as its evacuation has ended")
        {
            fixture.forwarder.onEvacuations({});
            CHECK(fixture.open(50).target->record.name == "near");
        }
    }
    SECTION("all targets of the service are evacuated")
    {
        fixture.forwarder.onEvacuations({ localZone, remoteZone });
        CHECK(fixture.open(10).kind == PacketDecision::Kind::Reset);
        CHECK(fixture.open(2).kind == PacketDecision::Kind::Reset);
        CHECK(fixture.resets(ResetReason::Evacuated) == 2);
        CHECK(fixture.observer.restrictions.back() == CandidateStatus::Evacuated);
        CHECK(fixture.send(1, open.token, 1001, 5000, 100).target == open.target);
    }
    SECTION("missing targets of an evacuated zone are no candidates either")
    {
        fixture.list({});
        fixture.forwarder.onEvacuations({ localZone });
        CHECK(fixture.open(10).target->record.name == "far");
    }
    SECTION("the name of an unknown zone has no effect")
    {
        ForwarderFixture other(withEvacuations());
        other.load({ makeTarget("near"), makeTarget("far", remoteZone) });
        other.forwarder.onEvacuations({ zoneIdOf("nowhere") });
        CHECK(other.open(10).target->record.name == "near");
    }
}

TEST_CASE("an instance that has just started places no flow before the evacuations are known, for a limited time")
{
    ForwarderFixture fixture(withEvacuations());
    fixture.forwarder.onConfiguration(makeConfiguration(1), fixture.actions);
    fixture.run(seconds(3)); // the store is away: the limit begins when only the evacuations are missing
    fixture.load({ makeTarget("near") }, 2);
    CHECK_FALSE(fixture.forwarder.isReady());
    CHECK(fixture.open(1).kind == PacketDecision::Kind::Drop);
    CHECK(fixture.drops(DropReason::NoEvacuations) == 1);

    SECTION("the set arrives")
    {
        fixture.forwarder.onEvacuations({ localZone });
        CHECK(fixture.forwarder.isReady());
        CHECK(fixture.open(1).kind == PacketDecision::Kind::Reset);
    }
    SECTION("the set does not arrive in time")
    {
        fixture.run(milliseconds(980));
        CHECK_FALSE(fixture.forwarder.isReady());
        fixture.run(milliseconds(20));
        CHECK(fixture.forwarder.isReady());
        CHECK(fixture.open(1).kind == PacketDecision::Kind::Forward);
        fixture.forwarder.onEvacuations({ localZone });
        CHECK(fixture.open(2).kind == PacketDecision::Kind::Reset);
    }
    SECTION("a deployment without evacuations does not wait")
    {
        ForwarderFixture other;
        other.load({ makeTarget("near") });
        CHECK(other.forwarder.isReady());
    }
}

TEST_CASE("evacuations are logged once each when they begin and end")
{
    ZonesFixture fixture;
    fixture.apply(true, { { "z1", { 0, 5 } } }, {});
    CHECK(fixture.events == std::vector<std::string>{ "evacuation_begun z1", "evacuations_loaded " });
    CHECK(fixture.zones.zones() == std::set<ZoneId>{ zoneIdOf("z1") });

    SECTION("a confirmation and an unchanged snapshot log nothing")
    {
        fixture.apply(false, {}, {});
        fixture.apply(true, { { "z1", { 0, 5 } } }, {});
        CHECK(fixture.events.empty());
        CHECK(fixture.begun == 0);
    }
    SECTION("a removed object ends the evacuation; one that is not known changes nothing")
    {
        fixture.apply(false, {}, { "z1", "z9" });
        CHECK(fixture.events == std::vector<std::string>{ "evacuation_ended z1" });
        CHECK(fixture.zones.zones().empty());
    }
    SECTION("a snapshot without the object ends it, too")
    {
        fixture.apply(true, { { "z2", { 0, 8 } } }, {});
        CHECK(fixture.events == std::vector<std::string>{ "evacuation_begun z2", "evacuation_ended z1" });
    }
    SECTION("a deleted object that reappears is a new evacuation, also when its absence was not seen")
    {
        fixture.apply(true, { { "z1", { 0, 9 } } }, {});
        CHECK(fixture.events == std::vector<std::string>{ "evacuation_begun z1" });
        CHECK(fixture.begun == 1);
    }
}

TEST_CASE("an evacuation is named by its object, whatever the content")
{
    const auto object = [](const std::string &name, uint64_t version, bool isDeleted) {
        return PlatformObject{ std::string(evacuationPrefix) + name, version, version % 2 == 0 ? "{}" : "odd", isDeleted, nullptr };
    };
    const std::vector<PlatformObject> objects{ object("z1", 11, false),
                                               object("z2", 12, false),
                                               object("z1", 13, true),
                                               object("z2", 14, true),
                                               object("z2", 15, false),
                                               object("", 16, false),
                                               object(std::string(maxNameBytes + 1, 'z'), 17, false) };
    std::vector<IgnoredEntry> ignored;
    const EvacuationUpdate update = makeEvacuationUpdate({ objects, false, TimePoint{}, 10, 17, 0 }, ignored);
    REQUIRE(update.updated.size() == 1);
    CHECK(update.updated.front().record == EvacuationRecord{ "z2", { 0, 15 } });
    CHECK(update.removed == std::vector<std::string>{ "", "z1" });
    CHECK(ignored.size() == 2);
}
