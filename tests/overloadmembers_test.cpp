// Tests of overloaded instances together with the membership, whose failure detection is affected by the same late messages.

#include "apps/overloadrotation.h"
#include "membershipnet.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hornbeam;

namespace {

/** A zone of 28 instances with membership, rotation policy and overload detection. */
struct MemberZoneFixture
{
    static constexpr size_t count = 28;

    MemberZoneFixture()
    {
        this->net.settings.probeInterval = milliseconds(200);
        this->net.settings.probeTimeout = milliseconds(120);
        for (size_t i = 0; i < count; ++i) {
            this->net.add(1);
            this->policies.emplace_back(RotationSettings{}, 1);
            this->rotations.push_back(std::make_unique<OverloadRotation>(FlowServiceSettings{}, this->net.at(i).self(), this->net.clock, this->counters,
                                                                         [this](const std::string &event, const auto &) { this->events.insert(event); }));
        }
        this->net.onRotationReport = [this](size_t to, const RotationReport &report) { this->rotations[to]->onMessage(report); };
        this->run(seconds(8));
    }
    void run(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(50)) {
            this->net.run(milliseconds(50));
            for (size_t i = 0; i < count; ++i) {
                if (!this->net.isRunning(i)) {
                    continue;
                }
                const TimePoint now = this->net.clock.now();
                LoadSample sample;
                sample.tickDelay = now - this->lastRuns[i] - milliseconds(50);
                this->lastRuns[i] = now;
                this->rotations[i]->addSample(sample);
                this->policies[i].update(this->net.at(i).members(), this->net.at(i).zoneContacts(), now);
                Actions out;
                this->rotations[i]->update(this->net.at(i), this->policies[i], out);
                this->net.send(i, out);
            }
        }
    }
    std::set<size_t> out() const
    {
        std::set<size_t> indexes;
        for (size_t i = 0; i < count; ++i) {
            if (this->rotations[i]->isOut()) {
                indexes.insert(i);
            }
        }
        return indexes;
    }
    void setDelay(size_t slow, Duration delay)
    {
        for (size_t i = 0; i < slow; ++i) {
            this->net.nodes[i]->delay = delay;
        }
    }

    MembershipNet net;
    Counters counters;
    std::vector<RotationPolicy> policies;
    std::vector<std::unique_ptr<OverloadRotation>> rotations;
    std::array<TimePoint, count> lastRuns{};
    std::set<std::string> events;
};

}

TEST_CASE("an instance with a full link leaves although it and its members suspect each other")
{
    MemberZoneFixture zone;
    REQUIRE(zone.events.empty());
    const Duration delay = GENERATE(milliseconds(30), milliseconds(60), milliseconds(150), milliseconds(250), milliseconds(500));
    CAPTURE(delay.count());
    zone.setDelay(1, delay);
    zone.run(seconds(4));
    CHECK(zone.out() == std::set<size_t>{ 0 });
    zone.setDelay(1, Duration{ 0 });
    zone.run(seconds(4));
    CHECK(zone.out().empty());
    CHECK(zone.events.contains("overload_rotation_rejoined"));
}

TEST_CASE("a fifth of the links are full: only their instances leave")
{
    MemberZoneFixture zone;
    zone.setDelay(5, milliseconds(250));
    zone.run(seconds(5));
    CHECK(zone.out() == std::set<size_t>{ 0, 1, 2, 3, 4 });
}

TEST_CASE("an instance that was paused stays in rotation")
{
    MemberZoneFixture zone;
    zone.net.nodes[0]->isPaused = true;
    zone.run(GENERATE(milliseconds(200), milliseconds(700), milliseconds(3000)));
    zone.net.nodes[0]->isPaused = false;
    zone.run(seconds(5));
    CHECK(zone.events.empty());
}

TEST_CASE("no instance leaves in a zone that is partitioned in two")
{
    MemberZoneFixture zone;
    zone.net.isLost = [](size_t from, size_t to) { return from % 2 != to % 2; };
    zone.setDelay(2, milliseconds(150));
    zone.run(seconds(10));
    CHECK_FALSE(zone.events.contains("overload_rotation_left"));
}
