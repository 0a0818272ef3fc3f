// Tests of when the instances of a zone apply a configuration, under random faults of the store, of processes and of links.

#include "flowfakes.h"
#include "sharingnetwork.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {

/** When a part was disturbed last. Spans of disturbance may overlap. */
struct Disturbance
{
    TimePoint until; // end of the last span

    void extend(TimePoint end)
    {
        this->until = std::max(this->until, end);
    }
};

/** A zone with random faults, each of which ends, and a configuration that changes all the time. */
class DisturbedZone : public SharingNetwork
{
public:
    DisturbedZone(size_t count, uint32_t seed) : SharingNetwork(count), random(seed), disturbances(count), versions(count)
    {
        for (size_t i = 0; i < targetCount; ++i) {
            this->store.put(makeTarget("target-" + std::to_string(i)), this->clock.now());
        }
        this->changeConfiguration();
        this->run(seconds(4));
        this->extraDelay = [this] { return milliseconds(this->below(20)); };
        this->isLost = [this](size_t from, size_t to) { return this->cutUntil(from) > this->clock.now() || this->cutUntil(to) > this->clock.now(); };
        this->afterStep = [this] { this->tick(); };
    }

    /** Begins a random fault. */
    void disturb()
    {
        const size_t index = this->below(this->nodes.size());
        const Duration lasts = milliseconds(300 + this->below(9000));
        switch (this->below(7)) {
        case 0:
            this->disturbStore({ index }, FakeStoreClient::State::Refusing, lasts);
            break;
        case 1:
            this->disturbStore({ index }, FakeStoreClient::State::Silent, lasts);
            break;
        case 2:
            this->disturbStore(this->allNodes(), this->below(2) == 0 ? FakeStoreClient::State::Refusing : FakeStoreClient::State::Silent, lasts);
            break;
        case 3:
            this->disturbances[index].extend(this->clock.now() + lasts);
            this->nodes[index]->isFrozen = true;
            this->later(lasts, [this, index] { this->nodes[index]->isFrozen = false; });
            break;
        case 4:
            this->restart(index, lasts);
            break;
        case 5:
            this->disturbances[index].extend(this->clock.now() + lasts);
            this->cuts[index] = std::max(this->cuts[index], this->clock.now() + lasts);
            break;
        default:
            this->storeLatency = milliseconds(240);
            for (const size_t node : this->allNodes()) {
                this->disturbances[node].extend(this->clock.now() + lasts);
            }
            this->later(lasts, [this] { this->storeLatency = milliseconds(4); });
        }
    }
    void changeConfiguration()
    {
        RouteConfiguration next = makeConfiguration(++this->version);
        const size_t routeCount = this->below(5) == 0 ? 100 : 1 + this->below(10);
        for (size_t i = 0; i < routeCount; ++i) {
            const Endpoint address{ 0xC6130000U + static_cast<uint32_t>(i), 443 };
            next.routes.push_back(
                { "extra-" + std::to_string(i), address, RequestKind::Idempotent, seconds(1), milliseconds(this->version), { { "booking", 1 } } });
        }
        this->store.configure(next, this->clock.now());
    }
    size_t below(size_t bound)
    {
        return static_cast<size_t>(this->random() % bound);
    }

    std::vector<std::string> findings;

private:
    static constexpr size_t targetCount = 10;

    std::vector<size_t> allNodes() const
    {
        std::vector<size_t> all(this->nodes.size());
        for (size_t i = 0; i < all.size(); ++i) {
            all[i] = i;
        }
        return all;
    }
    TimePoint cutUntil(size_t index) const
    {
        const auto found = this->cuts.find(index);
        return found == this->cuts.end() ? TimePoint{} : found->second;
    }
    void later(Duration delay, std::function<void()> action)
    {
        this->due.emplace(this->clock.now() + delay, std::move(action));
    }
    void disturbStore(const std::vector<size_t> &which, FakeStoreClient::State state, Duration lasts)
    {
        for (const size_t index : which) {
            this->disturbances[index].extend(this->clock.now() + lasts);
            this->nodes[index]->store->setState(state);
            this->later(lasts, [this, index] { this->nodes[index]->store->setState(FakeStoreClient::State::Good); });
        }
    }
    void restart(size_t index, Duration absence)
    {
        if (this->nodes[index]->isStopped) {
            return;
        }
        this->disturbances[index].extend(this->clock.now() + absence);
        this->stop(index);
        this->later(milliseconds(1000), [this] { this->updateMembers(); });
        this->later(absence, [this, index] {
            this->start(index);
            this->versions[index] = 0;
        });
    }
    void tick()
    {
        while (!this->due.empty() && this->due.begin()->first <= this->clock.now()) {
            const std::function<void()> action = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            action();
        }
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            this->checkNode(i);
        }
    }
    void checkNode(size_t index)
    {
        const Node &node = *this->nodes[index];
        if (node.isStopped || node.isFrozen) {
            return;
        }
        const TimePoint now = this->clock.now();
        if (node.configuration.version < this->versions[index]) {
            this->report(index, "returned to an older version");
        }
        this->versions[index] = node.configuration.version;
        if (now - this->disturbances[index].until < this->flows.stability) {
            return;
        }
        for (const SharedStore::Change &change : this->store.changes) {
            const bool isLate = change.prefix == configurationKeyPrefix && now - change.at > this->flows.changeBound
                && change.configuration.version > node.configuration.version;
            if (isLate) {
                this->report(index,
                             "has version " + std::to_string(node.configuration.version) + " although version " + std::to_string(change.configuration.version)
                                 + " was acknowledged " + std::to_string(std::chrono::duration_cast<milliseconds>(now - change.at).count())
                                 + " ms ago; undisturbed for "
                                 + std::to_string(std::chrono::duration_cast<milliseconds>(now - this->disturbances[index].until).count()) + " ms");
                return;
            }
        }
    }
    void report(size_t index, const std::string &problem)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(this->clock.now().time_since_epoch()).count();
        this->findings.push_back(std::to_string(at) + " ms: instance " + std::to_string(index) + " " + problem);
    }

    std::minstd_rand random;
    std::vector<Disturbance> disturbances; // by node
    std::vector<uint64_t> versions;        // in force, by node
    std::map<size_t, TimePoint> cuts;      // ends of the cuts of a node from all members
    std::multimap<TimePoint, std::function<void()>> due;
    uint64_t version = 0;
};

} // namespace

// Guards against instances of a zone that forward by an old configuration because, once refused by the store, they never read it again.
TEST_CASE("an instance that was undisturbed for the stability window has each configuration in force in time and never returns to an older one")
{
    const bool passed = rc::check("random faults and changes", [] {
        const auto seed = *rc::gen::inRange<uint32_t>(1, 1U << 30U);
        const auto count = *rc::gen::elementOf(std::vector<size_t>{ 1, 2, 3, 6 });
        DisturbedZone zone(count, seed);
        for (size_t round = 0; round < 25; ++round) {
            zone.disturb();
            for (size_t changes = zone.below(4); changes > 0; --changes) {
                zone.changeConfiguration();
                zone.run(milliseconds(zone.below(1500)));
            }
            zone.run(milliseconds(zone.below(6000)));
        }
        RC_LOG() << (zone.findings.empty() ? "" : zone.findings.front());
        RC_ASSERT(zone.findings.empty());
    });
    CHECK(passed);
}

// Guards against an instance that is still behind when the stability window after an outage is over, because a call of the last moment had to time out first.
TEST_CASE("a call that began at the end of an outage leaves time to read the configuration within the stability window")
{
    constexpr uint64_t outages = 1000;  // each with another random delay
    constexpr size_t listsInOutage = 4; // after as many failures the delay is the longest
    SharingNetwork zone(1);
    zone.store.put(makeTarget("target-1"), zone.clock.now());
    zone.store.configure(makeConfiguration(1), zone.clock.now());
    zone.run(seconds(4));
    FakeStoreClient &client = *zone.nodes.front()->store;
    for (uint64_t outage = 1; outage <= outages; ++outage) {
        CAPTURE(outage);
        client.setState(FakeStoreClient::State::Silent);
        const size_t listsBefore = client.configurationLists;
        zone.runUntil(seconds(60), [&] { return client.configurationLists == listsBefore + listsInOutage; });
        zone.store.configure(makeConfiguration(outage + 1), zone.clock.now());
        client.setState(FakeStoreClient::State::Good); // the call that has just begun stays without a response
        zone.run(zone.flows.stability);
        CHECK(zone.allHaveVersion(outage + 1));
    }
}
