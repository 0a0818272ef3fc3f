// Tests of the limit of opening packets to cold targets: its division among the members of a zone, and placement within it.

#include "balancing/viewagreement.h"
#include "balancing/warmupbudget.h"
#include "flowfakes.h"
#include "peer/codec.h"
#include "sharing/targetview.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <set>

using namespace hornbeam;

namespace {

constexpr uint64_t key = 4711;
constexpr uint32_t limit = 20; // 10 a second with an excess of 1.5, and a slack of 5
constexpr Duration step = milliseconds(10);

/** Members of a zone that send as many opening packets to a cold target as they may. Their views, messages and pauses are up to the test. */
struct ZoneFixture
{
    struct Node
    {
        MemberRecord self;
        std::unique_ptr<ViewAgreement> agreement;
        std::unique_ptr<WarmupBudget> budget;
        std::vector<MemberRecord> view;
        SeedContact contact;
        bool isRunning = true;
        TimePoint pausedUntil;
        TimePoint nextUpdate;
        int group = 0; // of the members that can reach each other
    };
    struct Message
    {
        size_t to = 0;
        TimePoint at;
        ViewConfirmation content;
    };

    explicit ZoneFixture(size_t size, uint64_t seed = 1) : random(static_cast<std::minstd_rand::result_type>(seed))
    {
        for (size_t i = 0; i < size; ++i) {
            Node node;
            node.self.id = i + 1;
            node.self.zone = localZone;
            node.self.incarnation = 1;
            this->nodes.push_back(std::move(node));
            this->start(i);
        }
        this->converge();
    }
    void start(size_t index)
    {
        Node &node = this->nodes[index];
        ++node.self.incarnation;
        node.agreement = std::make_unique<ViewAgreement>(AgreementSettings{}, node.self, this->now);
        node.agreement->setNeeded(true);
        node.budget = std::make_unique<WarmupBudget>(milliseconds(1100));
        node.budget->setShares(*node.agreement);
        node.view = { node.self };
        node.contact = { 3, 0 };
        node.isRunning = true;
    }
    /** What a member sees that knows everything: of other groups and ended members that they are dead. */
    std::vector<MemberRecord> trueView(const Node &of) const
    {
        std::vector<MemberRecord> view;
        for (const Node &node : this->nodes) {
            view.push_back(node.self);
            view.back().state = node.isRunning && node.group == of.group ? MemberState::Alive : MemberState::Dead;
        }
        return view;
    }
    void converge()
    {
        for (Node &node : this->nodes) {
            this->learn(node);
        }
    }
    void learn(Node &node)
    {
        node.view = this->trueView(node);
        node.contact = { 3, 3 };
    }
    /** Runs for `time`, checking the limit. Returns the number of opening packets sent. */
    size_t run(Duration time)
    {
        const size_t before = this->total;
        for (Duration passed{ 0 }; passed < time; passed += step) {
            this->now += step;
            this->deliver();
            for (size_t i = 0; i < this->nodes.size(); ++i) {
                this->runNode(i);
            }
            this->checkLimit();
        }
        return this->total - before;
    }
    void runNode(size_t index)
    {
        Node &node = this->nodes[index];
        if (!node.isRunning || this->now < node.pausedUntil) {
            return;
        }
        this->send(node); // a process that resumes may handle packets before its timers
        if (this->now >= node.nextUpdate) {
            node.nextUpdate = this->now + milliseconds(50);
            node.agreement->setMembers(node.view, node.contact, this->now);
        }
        Actions out;
        node.agreement->tick(this->now, out);
        for (const OutgoingMessage &message : out.toPeers) {
            this->messages.push_back({ static_cast<size_t>(message.peer) - 1, this->now + this->delay(), std::get<ViewConfirmation>(message.message) });
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
    Duration delay()
    {
        return milliseconds(this->random() % 100 < 3 ? 200 + this->random() % 3000 : this->random() % 10);
    }
    void deliver()
    {
        std::vector<Message> due;
        const auto isDue = [this](const Message &message) { return message.at <= this->now && this->now >= this->nodes[message.to].pausedUntil; };
        std::copy_if(this->messages.begin(), this->messages.end(), std::back_inserter(due), isDue);
        std::erase_if(this->messages, isDue);
        for (const Message &message : due) {
            Node &node = this->nodes[message.to];
            const Node &sender = this->nodes[message.content.sender - 1];
            if (node.isRunning && node.group == sender.group) {
                node.agreement->onMessage(message.content, this->now);
            }
        }
    }
    void checkLimit()
    {
        while (!this->sent.empty() && this->now - this->sent.front() >= seconds(1)) {
            this->sent.pop_front();
        }
        this->most = std::max(this->most, this->sent.size());
    }

    std::minstd_rand random;
    TimePoint now{ seconds(1000) };
    std::vector<Node> nodes;
    std::vector<Message> messages;
    std::deque<TimePoint> sent; // within the last second
    size_t most = 0;            // in any second so far
    size_t total = 0;
};

}

TEST_CASE("the limit of a cold target: members that agree use it, and no more")
{
    for (const size_t size : { 1U, 2U, 3U, 29U }) {
        ZoneFixture zone(size);
        CHECK(zone.run(seconds(2)) == 0); // an earlier process of this member may have used shares
        CHECK(zone.run(seconds(10)) >= 6 * limit);
        CHECK(zone.most == limit);
    }
}

// Guards against a limit that is exceeded because members compute different holders of its shares.
TEST_CASE("the limit of a cold target: it holds while members have different views of the zone")
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        ZoneFixture zone(3 + seed % 10, seed);
        zone.run(seconds(4));
        for (int change = 0; change < 40; ++change) {
            ZoneFixture::Node &node = zone.nodes[zone.random() % zone.nodes.size()];
            if (zone.random() % 8 == 0) {
                for (ZoneFixture::Node &other : zone.nodes) {
                    other.group = zone.random() % 3 == 0 ? 1 - other.group : other.group;
                }
            } else if (zone.random() % 4 == 0 && node.isRunning) {
                node.isRunning = false;
            } else if (!node.isRunning) {
                zone.start(node.self.id - 1); // a restart; within a second, if the members have not noticed its end
            } else {
                node.pausedUntil = zone.now + milliseconds(zone.random() % 5000);
            }
            for (size_t learned = 0; learned < zone.nodes.size(); ++learned) { // members learn it one after the other
                ZoneFixture::Node &other = zone.nodes[zone.random() % zone.nodes.size()];
                zone.learn(other);
                zone.run(milliseconds(zone.random() % 200));
            }
            zone.run(milliseconds(zone.random() % 4000));
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
    zone.run(milliseconds(700)); // nobody has noticed
    zone.converge();
    zone.run(seconds(2)); // confirmations of the new view are held back
    const size_t sent = zone.run(seconds(10));
    CHECK(zone.most <= limit);
    const auto isConfirmed = [&](size_t index) { return zone.nodes[index].agreement->isConfirmed(zone.now); };
    CHECK_FALSE(isConfirmed(0));
    CHECK(isConfirmed(28) == (smaller < 10)); // two thirds of the members must agree
    CHECK((sent > 5 * limit) == (smaller < 10));
    for (ZoneFixture::Node &node : zone.nodes) {
        node.group = 0;
    }
    zone.converge();
    CHECK(zone.run(seconds(10)) > 5 * limit);
    CHECK(zone.most <= limit);
}

TEST_CASE("the limit of a cold target: a pause or a restart gives no extra shares")
{
    ZoneFixture zone(8);
    zone.run(seconds(5));
    ZoneFixture::Node &node = zone.nodes[3];
    SECTION("a member resumes after others have taken over its shares")
    {
        node.pausedUntil = zone.now + seconds(8);
        zone.run(seconds(2));
        const std::vector<MemberRecord> before = node.view;
        node.isRunning = false;
        zone.converge();
        node.isRunning = true;
        node.view = before;
        zone.run(seconds(10));
    }
    SECTION("a member restarts in the middle of a second, unnoticed by the others")
    {
        for (int restart = 0; restart < 10; ++restart) {
            zone.run(milliseconds(500));
            zone.start(3);
            zone.learn(node);
        }
        zone.run(seconds(5));
        CHECK_FALSE(node.agreement->isConfirmed(zone.now)); // the others know only its earlier process
    }
    SECTION("all members restart at once")
    {
        for (size_t i = 0; i < zone.nodes.size(); ++i) {
            zone.start(i);
        }
        zone.converge();
        zone.run(seconds(5));
    }
    CHECK(zone.most <= limit);
}

// Guards against confirmations that have waited in a socket, for example during a pause, and are older than they seem.
TEST_CASE("the limit of a cold target: a confirmation counts from when the member that receives it had asked for it")
{
    ZoneFixture zone(2);
    zone.run(seconds(5));
    ViewAgreement &agreement = *zone.nodes[0].agreement;
    REQUIRE(agreement.isConfirmed(zone.now));
    zone.nodes[1].isRunning = false;
    ViewConfirmation late; // of the other member, sent before it ended
    late.sender = 2;
    late.incarnation = zone.nodes[1].self.incarnation;
    late.sequence = 1000;
    late.isHeld = true;
    late.echoIncarnation = zone.nodes[0].self.incarnation;
    Actions out;
    agreement.tick(zone.now + seconds(1), out);
    REQUIRE_FALSE(out.toPeers.empty());
    const auto &asked = std::get<ViewConfirmation>(out.toPeers[0].message);
    late.viewHash = asked.viewHash;
    late.echoSequence = asked.sequence;
    const TimePoint askedAt = zone.now + seconds(1);
    const bool isLate = GENERATE(false, true);
    const TimePoint arrival = askedAt + (isLate ? milliseconds(1600) : milliseconds(1400));
    agreement.onMessage(late, arrival);
    CHECK(agreement.isConfirmed(arrival) == !isLate);
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
    CHECK(zone.run(seconds(10)) > 5 * limit);
}

TEST_CASE("the limit of a cold target: the agreement's traffic is bounded, and there is none without need")
{
    const size_t size = GENERATE(29, 100, 300);
    std::vector<MemberRecord> view(size);
    for (size_t i = 0; i < size; ++i) {
        view[i].id = mixHash(i, 1);
        view[i].zone = localZone;
        view[i].incarnation = ManualClock().wallMillis();
    }
    ManualClock clock;
    ViewAgreement agreement({}, view[0], clock.now());
    agreement.setMembers(view, {}, clock.now());
    constexpr int duration = 30; // seconds
    size_t bytes = 0;
    for (int i = 0; i < 2 * duration; ++i) {
        agreement.setNeeded(i < duration);
        for (int ticks = 0; ticks < 50; ++ticks) {
            clock.advance(milliseconds(20));
            Actions out;
            agreement.tick(clock.now(), out);
            for (const OutgoingMessage &message : out.toPeers) {
                constexpr size_t headers = 28 + 9; // of IP and UDP, and the seal
                ViewConfirmation confirmation = std::get<ViewConfirmation>(message.message);
                confirmation.echoIncarnation = confirmation.incarnation; // as after the first answer
                confirmation.echoSequence = confirmation.sequence;
                bytes += encodeMessage(confirmation).size() + headers;
            }
            CHECK((i < duration || out.toPeers.empty()));
        }
    }
    CHECK(bytes / duration <= 6000);
    CHECK(bytes / duration >= 3000);
}

TEST_CASE("the limit of a cold target: rate x excess + slack")
{
    CHECK(warmupLimitOf(10'000, 1.5, 5) == 20);
    CHECK(warmupLimitOf(2'500, 1.5, 0) == 3); // rounded down
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
    TargetView view(seconds(60));
    const auto update = [&](uint32_t remainingMs, uint64_t revision, Duration after, bool isSnapshot = false) {
        TargetUpdate news;
        news.isSnapshot = isSnapshot;
        news.from = revision - 1;
        news.revision = revision;
        news.requestedAt = start + after;
        news.updated.push_back({ makeColdTarget("b1", localZone, remainingMs), revision, {} });
        const std::optional<TargetUpdate> applied = view.update(news, start + after);
        REQUIRE(applied.has_value());
        return applied->updated.size();
    };
    update(30'000, 5, seconds(0), true);
    CHECK(update(28'800, 6, milliseconds(1200)) == 0);
    CHECK(update(27'600, 7, milliseconds(3900)) == 0); // read 1.5 s late
    CHECK_FALSE(view.hasChangedSince(5));
    const StoreTargetChanges changes = view.changesSince(0, start + seconds(10));
    REQUIRE(changes.updated.size() == 1);
    CHECK(changes.updated[0].remainingWarmupMs == 20'000);
    CHECK(fromMessage(changes.updated[0]).record.remainingWarmupMs == 20'000);
    SECTION("it starts again")
    {
        CHECK(update(30'000, 8, seconds(10)) == 1);
        CHECK(view.hasChangedSince(7));
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
