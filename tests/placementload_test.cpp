// Tests of the load that a placement keeps up to date as targets and requests change.

#include "flowfakes.h"

#include <array>
#include <catch2/catch.hpp>
#include <random>

using namespace hornbeam;

namespace {

/** A forwarder whose targets and flows change at random. */
struct ChangingFixture : ForwarderFixture
{
    static constexpr uint16_t ports = 30;

    explicit ChangingFixture(uint32_t seed) : random(seed)
    {
        for (int i = 0; i < 12; ++i) {
            this->records.push_back(makeTarget("b" + std::to_string(i), i % 3 == 0 ? remoteZone : localZone));
        }
        this->load(this->records);
        this->forwarder.onEvacuations({});
    }
    uint32_t below(uint32_t bound)
    {
        return std::uniform_int_distribution<uint32_t>(0, bound - 1)(this->random);
    }
    void changeTarget()
    {
        TargetRecord &record = this->records[this->below(static_cast<uint32_t>(this->records.size()))];
        record.slots = 1 + this->below(4);
        record.isDraining = this->below(4) == 0;
        record.incarnation += this->below(8) == 0 ? 1 : 0;
        if (this->below(4) == 0) {
            this->forwarder.onTargetChanges({}, { record.name }, this->clock.now(), this->actions);
        } else {
            this->forwarder.onTargetChanges({ record }, {}, this->clock.now(), this->actions);
        }
    }
    void sendPacket()
    {
        const auto port = static_cast<uint16_t>(1 + this->below(ports));
        if (this->tokens[port] == 0 || this->below(10) == 0) {
            this->tokens[port] = this->open(port, feedAddress, ++this->sequence).token;
        } else {
            this->sequence += 100;
            this->send(port, this->tokens[port], this->sequence, this->sequence, this->below(2) == 0 ? 100 : 0);
        }
    }
    void changeAnything()
    {
        switch (this->below(40)) {
        case 0:
            this->changeTarget();
            break;
        case 1:
            this->forwarder.onEvacuations(this->below(2) == 0 ? std::set<ZoneId>{ remoteZone } : std::set<ZoneId>{});
            break;
        case 2:
            this->endChecks(this->below(2) == 0 ? CheckOutcome::Refused : CheckOutcome::Connected);
            break;
        default:
            this->sendPacket();
        }
    }
    /** Slots of the usable targets, added up. */
    double slots() const
    {
        const Duration responseAge = FlowSettings{}.waiting.responseAge;
        double sum = 0;
        for (const TargetPtr &target : this->forwarder.targetDirectory().targetsOf("booking")) {
            const bool isSilentForLong = target->lastProgress != TimePoint{} && this->clock.now() - target->lastProgress > responseAge;
            const bool isUnresponsive = target->outstandingRequests > 0 && (isSilentForLong || target->isRefusing());
            const bool isEvacuated = this->forwarder.evacuationRule().zones().contains(target->record.zone);
            sum += target->phase == TargetPhase::Ready && !target->isSilent() && !isEvacuated && !isUnresponsive ? target->record.slots : 0;
        }
        return sum;
    }
    /** Outstanding requests of all targets in the order of their names. */
    std::vector<std::pair<RoutingToken, uint32_t>> requests() const
    {
        std::vector<std::pair<RoutingToken, uint32_t>> found;
        for (const TargetPtr &target : this->forwarder.targetDirectory().targetsOf("booking")) {
            if (target->outstandingRequests > 0) {
                found.emplace_back(target->token, target->outstandingRequests);
            }
        }
        return found;
    }

    std::minstd_rand random;
    std::vector<TargetRecord> records;
    std::array<RoutingToken, ports + 1> tokens{};
    uint32_t sequence = 1000;
};

}

// Guards against sums that miss a change of a target, its health or a zone, or a request.
TEST_CASE("load of a service: slots and requests are those of its targets at each tick")
{
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        ChangingFixture fixture(seed);
        size_t loaded = 0;
        for (int step = 0; step < 2000; ++step) {
            fixture.changeAnything();
            if (step % 4 != 0) {
                continue;
            }
            fixture.run(milliseconds(20));
            REQUIRE(fixture.forwarder.serviceStates().at("booking").slots == fixture.slots());
            std::vector<std::pair<RoutingToken, uint32_t>> reported;
            for (const TargetLoad &target : fixture.forwarder.ownLoad().targets) {
                reported.emplace_back(target.token, target.outstanding);
            }
            REQUIRE(reported == fixture.requests());
            loaded += reported.empty() ? 0 : 1;
        }
        CHECK(loaded > 100);
    }
}

TEST_CASE("load of other members: a target that is no longer reported has none")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2") });
    const std::vector<TargetPtr> targets = fixture.forwarder.targetDirectory().targetsOf("booking");
    ReportedLoad load;
    load.reports = 1;
    load.targets = { { targets[0]->token, 3 }, { targets[0]->token + 1, 9 } };
    fixture.forwarder.onReportedLoad(load);
    CHECK(targets[0]->reportedRequests == 3);
    CHECK(targets[1]->reportedRequests == 0);
    load.targets = { { targets[1]->token, 2 } };
    fixture.forwarder.onReportedLoad(load);
    CHECK(targets[0]->reportedRequests == 0);
    CHECK(targets[1]->reportedRequests == 2);
    fixture.forwarder.onReportedLoad({});
    CHECK(targets[1]->reportedRequests == 0);
}
