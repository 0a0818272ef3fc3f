// Tests of the load reports between zones. Each test names the fault that it guards against.

#include "fakedirectory.h"

#include "balancing/zoneloads.h"
#include "peer/codec.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

constexpr ServiceId service = 77;
constexpr size_t signatureBytes = 9;

/** Members of three zones that exchange reports; messages arrive with the next step. */
struct LoadNetwork
{
    explicit LoadNetwork(size_t membersPerZone, const ZoneLoadSettings &settings = {})
    {
        for (MemberId id = 1; id <= 3 * membersPerZone; ++id) {
            MemberRecord record;
            record.id = id;
            record.zone = static_cast<ZoneId>(0xA0000000U + id % 3);
            this->records.push_back(record);
        }
        for (const MemberRecord &record : this->records) {
            auto &directory = this->directories.emplace_back(std::make_unique<FakeDirectory>());
            directory->selfRecord = record;
            directory->members = this->records;
            this->loads.push_back(std::make_unique<ZoneLoads>(settings, *directory, this->clock, record.id * 7919));
        }
    }
    void report(size_t member, double outstanding)
    {
        this->loads[member]->setOwnLoads({ { service, 80, outstanding, milliseconds(100), 0.25, 900 } });
    }
    /** One tick of every member; all messages that they send arrive after `delay`. */
    void step(Duration delay = milliseconds(5))
    {
        std::vector<Actions> sent(this->loads.size());
        for (size_t i = 0; i < this->loads.size(); ++i) {
            this->loads[i]->tick(sent[i]);
        }
        for (int round = 0; round < 2; ++round) { // reports, then answers
            this->clock.advance(delay);
            std::vector<Actions> answers(this->loads.size());
            for (size_t i = 0; i < this->loads.size(); ++i) {
                for (const OutgoingMessage &message : sent[i].toPeers) {
                    this->bytes += encodeMessage(message.message).size() + signatureBytes;
                    const bool isCut = this->records[i].zone != this->records[message.peer - 1].zone && this->isCut;
                    if (!isCut) {
                        this->loads[message.peer - 1]->onMessage(std::get<ZoneLoad>(message.message), answers[message.peer - 1]);
                    }
                }
            }
            sent = std::move(answers);
        }
    }
    void run(Duration time)
    {
        const TimePoint end = this->clock.now() + time;
        while (this->clock.now() < end) {
            this->step();
        }
    }

    ManualClock clock;
    std::vector<MemberRecord> records;
    std::vector<std::unique_ptr<FakeDirectory>> directories;
    std::vector<std::unique_ptr<ZoneLoads>> loads;
    size_t bytes = 0;
    bool isCut = false; // between zones
};

}

TEST_CASE("zone loads: every member learns the load of all zones, averaged over views that differ, and the delay to them")
{
    LoadNetwork network(29);
    for (size_t i = 0; i < network.loads.size(); ++i) {
        network.report(i, i % 2 == 0 ? 10 : 90);
    }
    network.run(seconds(5));
    double sum = 0;
    for (const auto &loads : network.loads) {
        for (const MemberRecord &record : { network.records[0], network.records[1], network.records[2] }) {
            const ReportedZoneLoad *load = loads->find(record.zone, service);
            REQUIRE(load != nullptr);
            CHECK(load->outstanding > 10);
            CHECK(load->outstanding < 90);
            sum += load->outstanding;
            CHECK(load->waiting == milliseconds(100));
            CHECK(load->leavingShare == Approx(0.25));
            CHECK(load->requestsPerSecond == Approx(900));
        }
    }
    CHECK(sum / static_cast<double>(3 * network.loads.size()) == Approx(50).margin(10));
    CHECK(network.loads[0]->delayTo(network.records[1].zone) == milliseconds(10));
    CHECK(network.loads[0]->ownMembers() == 29);
}

TEST_CASE("zone loads, control traffic: below 2 KB per second and instance, with any number of members and services")
{
    for (const size_t members : { 3U, 29U, 100U }) {
        LoadNetwork network(members);
        std::vector<OwnZoneLoad> loads;
        for (ServiceId id = 1; id <= 40; ++id) {
            loads.push_back({ 0x90000000U + id, 65'000, 65'000, milliseconds(59'000), 1, 65'000 });
        }
        const bool isManyServices = GENERATE(false, true);
        for (const auto &instance : network.loads) {
            instance->setOwnLoads(isManyServices ? loads : std::vector<OwnZoneLoad>{ loads[0], loads[1] });
        }
        network.run(seconds(3));
        network.bytes = 0;
        network.run(seconds(10));
        const double perSecond = static_cast<double>(network.bytes) / 10 / static_cast<double>(network.loads.size());
        INFO(members << " members, " << (isManyServices ? 40 : 2) << " services: " << perSecond << " bytes/s");
        CHECK(perSecond < 2000);
    }
}

TEST_CASE("zone loads, partition between zones: old values are not passed on as new ones")
{
    LoadNetwork network(5);
    for (size_t i = 0; i < network.loads.size(); ++i) {
        network.report(i, 50);
    }
    network.run(seconds(3));
    network.isCut = true;
    network.run(milliseconds(2600));
    for (size_t i = 0; i < network.loads.size(); ++i) {
        for (const MemberRecord &record : { network.records[0], network.records[1], network.records[2] }) {
            CHECK((network.loads[i]->find(record.zone, service) != nullptr) == (record.zone == network.records[i].zone));
        }
    }
}

TEST_CASE("zone loads: messages that are not to be believed")
{
    LoadNetwork network(2);
    ZoneLoads &loads = *network.loads[0];
    const ZoneId ownZone = network.records[0].zone;
    const ZoneId otherZone = network.records[1].zone;
    const ZoneId thirdZone = network.records[2].zone;
    Actions out;
    SECTION("a member of another zone reports a third zone or this one")
    {
        loads.onMessage({ 2, otherZone, 5, 0, { { thirdZone, service, 80 }, { ownZone, service, 80 }, { otherZone, service, 80 } } }, out);
        CHECK(loads.find(thirdZone, service) == nullptr);
        CHECK(loads.find(ownZone, service) == nullptr);
        CHECK(loads.find(otherZone, service) != nullptr);
        CHECK(out.toPeers.size() == 1); // the answer
    }
    SECTION("a duplicate, an unknown sender, a sender that claims another zone, an answer to nothing")
    {
        loads.onMessage({ 2, otherZone, 5, 0, { { otherZone, service, 80, 10 } } }, out);
        loads.onMessage({ 2, otherZone, 5, 0, { { otherZone, service, 80, 1000 } } }, out);
        loads.onMessage({ 2, otherZone, 4, 0, { { otherZone, service, 80, 1000 } } }, out);
        loads.onMessage({ 99, otherZone, 6, 0, { { otherZone, service, 80, 1000 } } }, out);
        loads.onMessage({ 3, otherZone, 6, 0, { { otherZone, service, 80, 1000 } } }, out);
        CHECK(loads.find(otherZone, service)->outstanding == 10);
        CHECK(out.toPeers.size() == 1);
        loads.onMessage({ 2, otherZone, 7, 12345, {} }, out);
        CHECK(loads.delayTo(otherZone) == Duration{ 0 });
    }
    SECTION("a process that restarts after its clock was set back is heard again")
    {
        loads.onMessage({ 2, otherZone, 9'000'000'000, 0, {} }, out);
        loads.onMessage({ 2, otherZone, 1'000'000'000, 0, { { otherZone, service, 80 } } }, out);
        CHECK(loads.find(otherZone, service) != nullptr);
    }
    SECTION("values out of range")
    {
        loads.onMessage({ 2, otherZone, 5, 0, { { otherZone, service, 80, 0, 0, 1001 }, { otherZone, service + 1, 80, 0, 4'000'000'000U } } }, out);
        CHECK(loads.find(otherZone, service) == nullptr);
        CHECK(loads.find(otherZone, service + 1)->waiting == seconds(60));
    }
}

TEST_CASE("zone loads: nothing is sent while the setting is off")
{
    ZoneLoadSettings settings;
    settings.isEnabled = false;
    LoadNetwork network(2, settings);
    network.report(0, 10);
    network.run(seconds(2));
    CHECK(network.bytes == 0);
}
