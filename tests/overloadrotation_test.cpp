// Tests of instances that leave the rotation because they are overloaded: the signals of one instance, and a zone of instances that inform each other.

#include "peer/codec.h"
#include "peer/packetsigner.h"
#include "rotation/instancerotation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace hornbeam;

namespace {

constexpr Duration tickInterval = milliseconds(20);

/** A detector whose event loop runs ticks of 20 ms, delayed by `stall` after every `runTime`. */
struct DetectorFixture
{
    void run(Duration time, Duration runTime = seconds(1000), Duration stall = milliseconds(0))
    {
        const TimePoint end = this->now + time;
        for (TimePoint stalledAt = this->now + runTime; this->now < end;) {
            const Duration delay = this->now >= stalledAt ? stall : Duration{ 0 };
            stalledAt = delay > Duration{ 0 } ? this->now + delay + runTime : stalledAt;
            this->now += tickInterval + delay;
            this->sample.tickDelay = delay;
            this->detector.addSample(this->sample, this->now);
        }
    }
    /** Answers of members to probes every 200 ms; every `quickOne`th of them is prompt. */
    void probe(size_t count, Duration roundTrip, size_t quickOne = 1000)
    {
        for (size_t i = 1; i <= count; ++i) {
            this->run(milliseconds(200));
            this->detector.addRoundTrip(i % 5, i % quickOne == 0 ? milliseconds(1) : roundTrip, this->now);
        }
    }
    OverloadCause cause() const
    {
        return this->detector.verdict(this->now).cause;
    }

    OverloadDetector detector{ OverloadSettings{} };
    LoadSample sample;
    TimePoint now{ seconds(1000) };
};

/** Instances of one zone with a network between them. The delay of an instance is added to all its packets, and ends 1 s after it has left if it `isRelieved`.
 */
class ZoneFixture
{
public:
    struct Node
    {
        explicit Node(const MemberRecord &record, TimePoint now) : rotation(OverloadSettings{}, record, now)
        {
        }
        OverloadDetector detector{ OverloadSettings{} };
        InstanceRotation rotation;
        Duration delay{ 0 };
        bool isRelieved = true;
    };

    explicit ZoneFixture(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            MemberRecord record;
            record.id = i + 1;
            record.zone = 1;
            record.incarnation = 1;
            this->zone.members.push_back(record);
            this->nodes.push_back(std::make_unique<Node>(record, this->now));
        }
        this->zone.counted = static_cast<uint32_t>(count);
        this->run(seconds(6)); // the minimum time in rotation
    }
    void run(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += tickInterval) {
            this->now += tickInterval;
            for (size_t i = 0; i < this->nodes.size(); ++i) {
                this->nodes[i]->detector.addSample(LoadSample{}, this->now);
                if (this->isDue(i, milliseconds(200))) {
                    this->probe(i);
                }
                if (this->isDue(i, milliseconds(60))) {
                    this->update(i);
                }
            }
            this->deliver();
            this->mostOut = std::max(this->mostOut, this->out());
            this->excess += this->out() > this->limit ? tickInterval : Duration{ 0 };
        }
    }
    void restart(size_t index)
    {
        ++this->zone.members[index].incarnation;
        this->nodes[index] = std::make_unique<Node>(this->zone.members[index], this->now);
    }
    size_t out() const
    {
        return static_cast<size_t>(std::count_if(this->nodes.begin(), this->nodes.end(), [](const auto &node) { return node->rotation.isOut(); }));
    }
    void slowDown(size_t count, Duration delay)
    {
        for (size_t i = 0; i < count; ++i) {
            this->nodes[i]->delay = delay + milliseconds(i);
        }
    }

    RotationZone zone;
    std::vector<std::unique_ptr<Node>> nodes;
    TimePoint now{ seconds(1000) };
    double loss = 0;
    size_t limit = 1000;
    size_t mostOut = 0;
    size_t changes = 0;
    size_t messages = 0;
    Duration excess{ 0 }; // time with more than `limit` out

private:
    struct Message
    {
        TimePoint at;
        size_t to = 0;
        RotationReport report;
    };

    bool isDue(size_t index, Duration interval) const
    {
        return (this->now.time_since_epoch() + index * tickInterval) % interval == Duration{ 0 };
    }
    Duration delayOf(size_t index) const
    {
        const Node &node = *this->nodes[index];
        const bool isUnloaded = node.rotation.isOut() && node.isRelieved && this->now - node.rotation.phaseSince() > seconds(1);
        return isUnloaded ? Duration{ 0 } : node.delay;
    }
    void probe(size_t index)
    {
        const size_t other = (index + 1 + this->random() % (this->nodes.size() - 1)) % this->nodes.size();
        const MemberRecord &record = this->zone.members[other];
        if (record.state == MemberState::Alive) {
            this->nodes[index]->detector.addRoundTrip(record.id, milliseconds(1) + this->delayOf(index) + this->delayOf(other), this->now);
            this->nodes[index]->rotation.addAnswer(record.id, this->now);
        }
    }
    void update(size_t index)
    {
        Node &node = *this->nodes[index];
        if (this->zone.members[index].state != MemberState::Alive) {
            return;
        }
        Actions actions;
        const RotationEvent event =
            node.rotation.update(this->zone, node.detector.verdict(this->now), node.detector.hasPromptAnswer(this->now), this->now, actions);
        this->changes += event == RotationEvent::Left || event == RotationEvent::Returned || event == RotationEvent::Recalled ? 1 : 0;
        this->messages += actions.toPeers.size();
        for (const OutgoingMessage &message : actions.toPeers) {
            const auto to = static_cast<size_t>(message.peer - 1);
            if (static_cast<double>(this->random() % 1000) >= this->loss * 1000) {
                this->inTransit.push_back({ this->now + this->delayOf(index) + this->delayOf(to), to, std::get<RotationReport>(message.message) });
            }
        }
    }
    void deliver()
    {
        std::erase_if(this->inTransit, [this](const Message &message) {
            if (message.at <= this->now) {
                this->nodes[message.to]->rotation.onMessage(message.report, this->now);
            }
            return message.at <= this->now;
        });
    }

    std::vector<Message> inTransit;
    std::minstd_rand random{ 7 };
};

}

TEST_CASE("an instance detects that it forwards packets late")
{
    DetectorFixture fixture;
    fixture.run(seconds(2));
    REQUIRE(fixture.cause() == OverloadCause::None);

    SECTION("a processor quota of 12 ms per 100 ms that is used up")
    {
        fixture.run(seconds(1), milliseconds(12), milliseconds(88));
        CHECK(fixture.cause() == OverloadCause::Stalls);
        CHECK(fixture.detector.verdict(fixture.now).delay == milliseconds(88));
        fixture.run(milliseconds(700));
        CHECK(fixture.cause() == OverloadCause::None);
    }
    SECTION("a single pause of any length is none")
    {
        const Duration pause = GENERATE(milliseconds(300), milliseconds(2000), milliseconds(20000));
        fixture.run(milliseconds(40), milliseconds(20), pause);
        CHECK(fixture.cause() == OverloadCause::None);
        fixture.run(milliseconds(100), milliseconds(20), milliseconds(60)); // the work that has piled up
        CHECK(fixture.cause() == OverloadCause::None);
    }
    SECTION("stalls that are too short or too rare to harm callers")
    {
        fixture.run(seconds(3), milliseconds(60), milliseconds(45));
        CHECK(fixture.cause() == OverloadCause::None);
        fixture.run(seconds(3), milliseconds(400), milliseconds(60));
        CHECK(fixture.cause() == OverloadCause::None);
    }
    SECTION("a receive queue that is not emptied for half a second")
    {
        fixture.sample.isBacklogged = true;
        fixture.run(milliseconds(400));
        CHECK(fixture.cause() == OverloadCause::None);
        fixture.run(milliseconds(200));
        CHECK(fixture.cause() == OverloadCause::Backlog);
        fixture.sample.isBacklogged = false;
        fixture.run(tickInterval);
        CHECK(fixture.cause() == OverloadCause::None);
    }
    SECTION("a full send buffer; a short burst of refused packets is none")
    {
        fixture.sample.packetsSent = 10;
        fixture.sample.sendsRefused = 20;
        fixture.run(milliseconds(100));
        CHECK(fixture.cause() == OverloadCause::None);
        fixture.run(milliseconds(600));
        CHECK(fixture.cause() == OverloadCause::RefusedSends);
    }
    SECTION("late answers of all members; one prompt answer shows that others are slow")
    {
        fixture.probe(6, milliseconds(200));
        CHECK(fixture.cause() == OverloadCause::RoundTrips);
        CHECK_FALSE(fixture.detector.hasPromptAnswer(fixture.now));
        fixture.probe(10, milliseconds(200), 5);
        CHECK(fixture.cause() == OverloadCause::None);
    }
    SECTION("a few late answers after a pause, and no answers at all, are no overload")
    {
        for (MemberId member = 1; member < 9; ++member) {
            fixture.detector.addRoundTrip(member, milliseconds(240), fixture.now);
        }
        CHECK(fixture.cause() == OverloadCause::None);
        fixture.run(seconds(3));
        CHECK(fixture.cause() == OverloadCause::None);
    }
}

TEST_CASE("overloaded instances leave the rotation and return")
{
    ZoneFixture fixture(28);
    REQUIRE(fixture.messages == 0); // a zone without overload sends nothing
    fixture.limit = 7;

    SECTION("a slow one leaves within two seconds, and returns when it has recovered")
    {
        fixture.slowDown(1, milliseconds(150));
        fixture.run(seconds(2));
        CHECK(fixture.nodes[0]->rotation.isOut());
        fixture.run(seconds(2));
        fixture.slowDown(1, milliseconds(0));
        fixture.run(seconds(2));
        CHECK(fixture.out() == 0);
        CHECK(fixture.mostOut == 1);
    }
    SECTION("a lasting fault that only shows under load: the time out doubles, so that returns become rare")
    {
        fixture.slowDown(1, milliseconds(150));
        fixture.run(seconds(120));
        CHECK(fixture.nodes[0]->rotation.minTimeOut() >= seconds(24));
        CHECK(fixture.changes <= 11);
    }
    SECTION("a fault that also shows without load: stays out")
    {
        fixture.nodes[0]->isRelieved = false;
        fixture.slowDown(1, milliseconds(150));
        fixture.run(seconds(60));
        CHECK(fixture.nodes[0]->rotation.isOut());
        CHECK(fixture.changes == 1);
    }
    SECTION("ten of 28: the worst seven leave")
    {
        fixture.slowDown(10, milliseconds(150));
        fixture.run(seconds(4));
        CHECK(fixture.excess == Duration{ 0 });
        CHECK(fixture.out() >= 6);
        CHECK_FALSE(fixture.nodes[0]->rotation.isOut());
    }
    SECTION("all at once: no one leaves, because the others could not take over")
    {
        fixture.slowDown(28, milliseconds(150));
        fixture.run(seconds(30));
        CHECK(fixture.changes == 0);
    }
    SECTION("seven first, then all: the seven return, and no one else leaves")
    {
        fixture.slowDown(7, milliseconds(150));
        fixture.run(seconds(3));
        REQUIRE(fixture.out() > 0);
        fixture.slowDown(28, milliseconds(150));
        fixture.run(seconds(40));
        CHECK(fixture.mostOut <= 7);
        CHECK(fixture.out() == 0);
        CHECK(fixture.changes <= 14);
    }
    SECTION("a partition of the zone: half of the members suspected, no one leaves")
    {
        for (size_t i = 14; i < 28; ++i) {
            fixture.zone.members[i].state = MemberState::Suspect;
        }
        fixture.slowDown(3, milliseconds(150));
        fixture.run(seconds(10));
        CHECK(fixture.changes == 0);
    }
    SECTION("the zone loses a third of its instances: those that were out return, so that 60% stay ready")
    {
        fixture.slowDown(6, milliseconds(150));
        fixture.run(seconds(3));
        REQUIRE(fixture.out() == 6);
        for (size_t i = 18; i < 28; ++i) {
            fixture.zone.members[i].state = MemberState::Dead;
        }
        fixture.run(milliseconds(500));
        CHECK(fixture.out() <= 1); // 18 alive, 17 needed
        fixture.zone.isImpaired = true;
        fixture.run(milliseconds(500));
        CHECK(fixture.out() == 0);
    }
    SECTION("an instance that restarts while out is ready, and its report no longer counts")
    {
        fixture.slowDown(1, milliseconds(150));
        fixture.run(seconds(3));
        REQUIRE(fixture.nodes[0]->rotation.isOut());
        fixture.restart(0);
        fixture.run(seconds(4));
        CHECK(fixture.out() == 0);
        CHECK(fixture.nodes[1]->rotation.memberReports(fixture.now).empty());
        fixture.slowDown(8, milliseconds(150)); // the first is in its minimum time in rotation
        fixture.run(seconds(3));
        CHECK(fixture.out() == 7);
    }
    SECTION("a third of the reports lost: more than the limit are out only for moments")
    {
        fixture.loss = 0.33;
        fixture.slowDown(10, milliseconds(150));
        fixture.run(seconds(20));
        CHECK(fixture.excess <= milliseconds(1500));
        CHECK(fixture.mostOut <= 10);
    }
    SECTION("an instance that is stopping does not leave the rotation for overload")
    {
        fixture.zone.members[0].state = MemberState::Leaving;
        fixture.slowDown(1, milliseconds(150));
        fixture.run(seconds(3));
        CHECK(fixture.changes == 0);
    }
}

TEST_CASE("a zone of three instances is too small for one to leave")
{
    ZoneFixture fixture(3);
    fixture.slowDown(1, milliseconds(300));
    fixture.run(seconds(10));
    CHECK(fixture.changes == 0);
}

TEST_CASE("a delayed or repeated report does not replace a newer one")
{
    MemberRecord self;
    self.id = 1;
    self.zone = 1;
    const TimePoint now{ seconds(1000) };
    InstanceRotation rotation(OverloadSettings{}, self, now);
    rotation.onMessage({ 2, 1, 5, RotationPhase::Out, 100, 200 }, now);
    rotation.onMessage({ 2, 1, 4, RotationPhase::Ready, 0, 0 }, now);
    CHECK(rotation.memberReports(now).at(2).phase == RotationPhase::Out);
    rotation.onMessage({ 2, 2, 1, RotationPhase::Ready, 0, 0 }, now); // a new process
    CHECK(rotation.memberReports(now).empty());
    CHECK(rotation.memberReports(now + seconds(10)).empty());
}

TEST_CASE("reports of an overloaded instance stay within a third of the control traffic")
{
    const size_t members = GENERATE(29, 100, 300);
    ZoneFixture fixture(members);
    fixture.nodes[0]->isRelieved = false;
    fixture.slowDown(1, milliseconds(150));
    fixture.run(seconds(4));
    const size_t before = fixture.messages;
    fixture.run(seconds(20));
    PacketSigner signer({ Bytes(16, 1) });
    const Bytes largest = signer.seal(encodeMessage(RotationReport{ ~0ULL, ~0ULL, ~0U, RotationPhase::Out, ~0U, ~0U }));
    CHECK((fixture.messages - before) * largest.size() / 20 <= 6000);
}
