// Tests of the limit of opening packets to cold targets: its division among the members of a zone, and placement within it.

#include "balancing/memberbudgetshares.h"
#include "balancing/warmupbudget.h"
#include "flowfakes.h"
#include "sharing/entryview.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>

using namespace hornbeam;

namespace {

constexpr uint64_t key = 4711;
constexpr uint32_t limit = 20; // 10 a second with an excess of 1.5, and a slack of 5
constexpr Duration step = milliseconds(10);
constexpr int longestDetectionMs = 2000; // from a change until a member knows it

/** Members of a zone that send as many opening packets to a cold target as they may. */
struct ZoneFixture
{
    struct Node
    {
        MemberRecord self;
        std::unique_ptr<MemberBudgetShares> shares;
        std::unique_ptr<WarmupBudget> budget;
        std::vector<MemberRecord> view;
        SeedContact contact{ 3, 3 };
        bool isRunning = true;
        TimePoint pausedUntil;
        TimePoint nextUpdate;
        TimePoint learnsAt; // what has changed since
        int group = 0;      // of the members that can reach each other
    };

    explicit ZoneFixture(size_t size, uint64_t seed = 1) : random(static_cast<std::minstd_rand::result_type>(seed))
    {
        this->nodes.resize(size);
        for (size_t i = 0; i < size; ++i) {
            this->nodes[i].self.id = i + 1;
            this->nodes[i].self.zone = localZone;
            this->start(this->nodes[i]);
        }
        this->converge();
    }
    void start(Node &node)
    {
        ++node.self.incarnation;
        node.shares = std::make_unique<MemberBudgetShares>(BudgetShareSettings{}, node.self, this->now);
        node.budget = std::make_unique<WarmupBudget>(milliseconds(1100));
        node.budget->setShares(*node.shares);
        node.view = { node.self };
        node.isRunning = true;
    }
    /** Members of other groups and ended ones are dead to a member. */
    void learn(Node &node) const
    {
        node.view.clear();
        for (const Node &other : this->nodes) {
            node.view.push_back(other.self);
            node.view.back().state = other.isRunning && other.group == node.group ? MemberState::Alive : MemberState::Dead;
        }
    }
    void converge()
    {
        for (Node &node : this->nodes) {
            this->learn(node);
        }
    }
    /** Members learn of a change one after the other. */
    void convergeLater()
    {
        for (Node &node : this->nodes) {
            node.learnsAt = this->now + milliseconds(this->random() % longestDetectionMs);
        }
    }
    /** Runs for `time`. Returns the number of opening packets sent. */
    size_t run(Duration time)
    {
        const size_t before = this->total;
        for (Duration passed{ 0 }; passed < time; passed += step) {
            this->now += step;
            for (Node &node : this->nodes) {
                this->runNode(node);
            }
            while (!this->sent.empty() && this->now - this->sent.front() >= seconds(1)) {
                this->sent.pop_front();
            }
            this->most = std::max(this->most, this->sent.size());
        }
        return this->total - before;
    }
    void runNode(Node &node)
    {
        if (!node.isRunning || this->now < node.pausedUntil) {
            return;
        }
        this->send(node); // a process that resumes may handle packets before its timers
        if (node.learnsAt != TimePoint{} && this->now >= node.learnsAt) {
            node.learnsAt = {};
            this->learn(node);
        }
        if (this->now >= node.nextUpdate) {
            node.nextUpdate = this->now + milliseconds(50);
            node.shares->setMembers(node.view, node.contact, this->now);
        }
        this->send(node);
    }
    void send(Node &node)
    {
        while (node.budget->hasRoom(key, limit, this->now)) {
            node.budget->record(key, this->now);
            this->sent.push_back(this->now);
            ++this->total;
        }
    }

    std::minstd_rand random;
    TimePoint now{ seconds(1000) };
    std::vector<Node> nodes;
    std::deque<TimePoint> sent; // within the last second
    size_t most = 0;            // in any second so far
    size_t total = 0;
};

}

TEST_CASE("the limit of a cold target: members that agree use half of it, and no more")
{
    for (const size_t size : { 1U, 2U, 3U, 29U }) {
        ZoneFixture zone(size);
        CHECK(zone.run(seconds(3)) == 0); // an earlier process of this member may have used shares
        CHECK(zone.run(seconds(10)) >= 3 * limit);
        CHECK(zone.most <= limit);
    }
}

// Guards against a limit that is exceeded because members compute different holders of its shares.
TEST_CASE("the limit of a cold target: it holds while members learn of changes at different times")
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        ZoneFixture zone(4 + seed % 20, seed);
        zone.run(seconds(6));
        for (int change = 0; change < 30; ++change) {
            ZoneFixture::Node &node = zone.nodes[zone.random() % zone.nodes.size()];
            if (!node.isRunning || zone.random() % 3 == 0) {
                zone.start(node); // a restart; within a second, if the members have not noticed its end
            } else if (zone.random() % 2 == 0) {
                node.isRunning = false;
            } else {
                node.pausedUntil = zone.now + milliseconds(zone.random() % 5000);
            }
            zone.convergeLater();
            zone.run(milliseconds(zone.random() % 8000));
        }
        INFO("seed " << seed);
        CHECK(zone.most <= limit);
        CHECK(zone.total > limit);
    }
}

TEST_CASE("the limit of a cold target: it holds in a zone that is cut in two")
{
    ZoneFixture zone(29);
    zone.run(seconds(5));
    const size_t smaller = GENERATE(4, 9, 14);
    for (size_t i = 0; i < smaller; ++i) {
        zone.nodes[i].group = 1;
    }
    zone.convergeLater();
    zone.run(seconds(7));
    const size_t sent = zone.run(seconds(10));
    CHECK_FALSE(zone.nodes[0].shares->isSettled(zone.now));
    CHECK(zone.nodes[28].shares->isSettled(zone.now) == (smaller < 10)); // two thirds of the known members must be alive
    CHECK((sent >= 3 * limit) == (smaller < 10));
    for (ZoneFixture::Node &node : zone.nodes) {
        node.group = 0;
    }
    zone.convergeLater();
    CHECK(zone.run(seconds(12)) >= 2 * limit);
    CHECK(zone.most <= limit);
}

TEST_CASE("the limit of a cold target: a pause or a restart gives no extra shares")
{
    ZoneFixture zone(8);
    zone.run(seconds(5));
    ZoneFixture::Node &node = zone.nodes[3];
    SECTION("a member resumes with an old view after others have taken over its shares")
    {
        node.isRunning = false;
        zone.converge();
        zone.run(seconds(8));
        node.isRunning = true;
        node.view = zone.nodes[0].view;
        node.view[3].state = MemberState::Alive;
        zone.run(seconds(2));
        zone.converge();
        zone.run(seconds(10));
    }
    SECTION("a member restarts in the middle of a second, unnoticed by the others")
    {
        for (int restart = 0; restart < 10; ++restart) {
            zone.run(milliseconds(500));
            zone.start(node);
            zone.learn(node);
        }
        zone.run(seconds(5));
    }
    SECTION("all members restart at once")
    {
        for (ZoneFixture::Node &each : zone.nodes) {
            zone.start(each);
        }
        zone.converge();
        zone.run(seconds(5));
    }
    CHECK(zone.most <= limit);
}

// Guards against instances that take themselves for the whole zone.
TEST_CASE("the limit of a cold target: an instance that has not met its seeds has no share")
{
    ZoneFixture zone(2);
    for (ZoneFixture::Node &node : zone.nodes) {
        node.view = { node.self };
        node.contact = { 3, 1 };
    }
    CHECK(zone.run(seconds(10)) == 0);
    zone.nodes[0].contact = { 3, 2 };
    CHECK(zone.run(seconds(10)) > 2 * limit);
}

TEST_CASE("the limit of a cold target: rate x excess + slack")
{
    CHECK(warmupLimitOf(10'000, 1.5, 5) == 20);
    CHECK(warmupLimitOf(2'500, 1.5, 0) == 3);    // rounded down
    CHECK(warmupLimitOf(2'500, 1.5, 2.25) == 6); // 3.75 and 2.25: only the sum is rounded
    CHECK(warmupLimitOf(10'000, std::nullopt, 5) == std::nullopt);
    CHECK(warmupLimitOf(std::nullopt, 1.5, 5, ZeroRateMeaning::NoLimit) == std::nullopt);
    CHECK(warmupLimitOf(0, 1.5, 5, ZeroRateMeaning::NoLimit) == std::nullopt);
    CHECK(warmupLimitOf(0, 1.5, 5, ZeroRateMeaning::SlackOnly) == 5);
}

namespace {

class FixedShare final : public BudgetShares
{
public:
    uint32_t shareOf(uint64_t /*key*/, uint32_t /*total*/, TimePoint /*now*/) const override
    {
        return this->share;
    }
    uint32_t share = 5;
};

FlowSettings warmupSettings(bool hasBounds)
{
    FlowSettings settings;
    if (hasBounds) {
        settings.warmupExcess = 1.5;
        settings.warmupSlack = 5;
    }
    return settings;
}

TargetRecord makeColdTarget(const std::string &name, ZoneId zone = localZone, uint32_t remainingMs = 30'000)
{
    TargetRecord record = makeTarget(name, zone);
    record.remainingWarmupMs = remainingMs;
    return record;
}

struct WarmupFixture : ForwarderFixture
{
    explicit WarmupFixture(const std::vector<TargetRecord> &targets, bool hasBounds = true, std::optional<uint32_t> ratePerMille = 10'000)
        : ForwarderFixture(warmupSettings(hasBounds))
    {
        RouteConfiguration configuration = makeConfiguration(1);
        configuration.warmups["booking"] = { ratePerMille, seconds(30) };
        this->forwarder.setBudgetShares(this->shares);
        this->forwarder.onConfiguration(configuration, this->actions);
        this->forwarder.onConfigurationConfirmed(this->clock.now());
        this->list(targets);
    }
    /** Opens `count` flows. Returns how many each target got; "" are those that were reset. */
    std::map<std::string, int> openFlows(int count)
    {
        std::map<std::string, int> placed;
        for (int i = 0; i < count; ++i) {
            const PacketDecision decision = this->open(++this->port);
            ++placed[decision.kind == PacketDecision::Kind::Forward ? decision.target->record.name : ""];
        }
        return placed;
    }
    FixedShare shares;
    uint16_t port = 0;
};

}

TEST_CASE("a cold target gets its share of the limit, and the warm ones get the rest")
{
    WarmupFixture fixture({ makeColdTarget("b1"), makeTarget("b2"), makeTarget("b3", remoteZone) });
    CHECK(fixture.openFlows(40)["b1"] == 5);
    fixture.run(milliseconds(1100));
    CHECK(fixture.openFlows(40)["b1"] == 5);
    CHECK(fixture.resets(ResetReason::Restricted) == 0);
    CHECK(fixture.forwarder.coldTargets().limitedInOwnZone == 1);
    CHECK(fixture.forwarder.flowCounters().value(FlowCounter::ColdOpenings) == 10);
    SECTION("it has no limit once it is warm")
    {
        fixture.clock.advance(seconds(29));
        CHECK(fixture.openFlows(200)["b1"] > 20);
    }
    SECTION("it has a limit again when its entry says so, although its process is the same")
    {
        fixture.clock.advance(seconds(29));
        fixture.forwarder.onTargetChanges({ makeColdTarget("b1") }, {}, fixture.clock.now(), fixture.actions);
        CHECK(fixture.openFlows(200)["b1"] == 5);
    }
    SECTION("without a share it gets nothing")
    {
        fixture.shares.share = 0;
        fixture.run(milliseconds(1100));
        CHECK(fixture.openFlows(40)["b1"] == 0);
    }
    SECTION("its open flows go on")
    {
        const PacketDecision opened = fixture.open(1);
        fixture.shares.share = 0;
        CHECK(fixture.send(1, opened.token, 1001, 5000, 100).kind == PacketDecision::Kind::Forward);
    }
}

TEST_CASE("a service whose zone is cold is served by other zones, and refused at once if all are cold")
{
    SECTION("other zones are warm")
    {
        WarmupFixture fixture({ makeColdTarget("b1"), makeColdTarget("b2"), makeTarget("b3", remoteZone) });
        CHECK(fixture.openFlows(60)["b3"] == 50);
    }
    SECTION("all are cold: targets of other zones are left to the instances there")
    {
        WarmupFixture fixture({ makeColdTarget("b1"), makeColdTarget("b3", remoteZone) });
        CHECK(fixture.openFlows(20) == std::map<std::string, int>{ { "b1", 5 }, { "", 15 } });
        CHECK(fixture.resets(ResetReason::Restricted) == 15);
        CHECK(fixture.forwarder.flowCounters().value(FlowCounter::WarmupLimited) == 15);
    }
    SECTION("repeated opening packets count")
    {
        WarmupFixture fixture({ makeColdTarget("b1") });
        for (int i = 0; i < 5; ++i) {
            CHECK(fixture.open(1).kind == PacketDecision::Kind::Forward);
        }
        CHECK(fixture.open(1).kind == PacketDecision::Kind::Reset);
        CHECK(fixture.open(2).kind == PacketDecision::Kind::Reset);
    }
}

TEST_CASE("a target that starts while its service has traffic is cold, whatever its entry says")
{
    WarmupFixture fixture({ makeTarget("b1"), makeTarget("b2") });
    fixture.openFlows(4);
    const bool isInTraffic = GENERATE(true, false); // the first targets of a deployment register one after another
    fixture.run(isInTraffic ? seconds(11) : seconds(3));
    fixture.list({ makeTarget("b1"), makeTarget("b2", localZone, "booking", 2) });
    const int placed = fixture.openFlows(60)["b2"];
    CHECK(placed == (isInTraffic ? 5 : 30));
    SECTION("but not when its entry has only been missing")
    {
        fixture.clock.advance(seconds(31));
        fixture.list({ makeTarget("b1") });
        fixture.list({ makeTarget("b1"), makeTarget("b2", localZone, "booking", 2) });
        CHECK(fixture.openFlows(60)["b2"] >= 30);
    }
}

TEST_CASE("without warm-up bounds or a rate, cold targets are served like others")
{
    SECTION("no bounds")
    {
        WarmupFixture fixture({ makeColdTarget("b1"), makeTarget("b2") }, false);
        CHECK(fixture.openFlows(40)["b1"] == 20);
    }
    SECTION("no rate")
    {
        WarmupFixture fixture({ makeColdTarget("b1"), makeTarget("b2") }, true, std::nullopt);
        CHECK(fixture.openFlows(40)["b1"] == 20);
    }
}

// Guards against messages to all members at each heartbeat of a cold target.
TEST_CASE("a target's entry counts as changed when its warm-up ends early or starts again, not when the remaining time counts down")
{
    const TimePoint start{ seconds(1000) };
    TargetView view(seconds(60), seconds(15));
    const auto update = [&](uint32_t remainingMs, uint64_t revision, Duration after, bool isSnapshot = false) {
        TargetUpdate news;
        news.isSnapshot = isSnapshot;
        news.from = { 0, revision - 1 };
        news.position = { 0, revision };
        news.requestedAt = start + after;
        news.updated.push_back({ makeColdTarget("b1", localZone, remainingMs), news.position, {} });
        const std::optional<TargetUpdate> applied = view.update(news, start + after);
        REQUIRE(applied.has_value());
        return applied->updated.size();
    };
    update(30'000, 5, seconds(0), true);
    CHECK(update(28'800, 6, milliseconds(1200)) == 0);
    CHECK(update(27'600, 7, milliseconds(3900)) == 0); // read 1.5 s late
    CHECK_FALSE(view.hasChangedSince({ 0, 5 }));
    const StoreTargetChanges changes = view.changesSince({}, start + seconds(10));
    REQUIRE(changes.updated.size() == 1);
    CHECK(changes.updated[0].remainingWarmupMs == 20'000);
    CHECK(fromMessage(changes.updated[0]).record.remainingWarmupMs == 20'000);
    SECTION("it starts again")
    {
        CHECK(update(30'000, 8, seconds(10)) == 1);
        CHECK(view.hasChangedSince({ 0, 7 }));
    }
    SECTION("it ends early")
    {
        CHECK(update(0, 8, seconds(10)) == 1);
    }
    SECTION("it ends in time")
    {
        CHECK(update(0, 8, seconds(29)) == 0);
        CHECK(update(0, 9, seconds(60)) == 0);
        CHECK(update(30'000, 10, seconds(61)) == 1);
    }
}
