// Tests of the queries to other members about targets that refuse connections. Each test names the fault that it guards against.

#include "fakedirectory.h"
#include "flowfakes.h"

#include "balancing/answerqueries.h"
#include "peer/codec.h"

#include <catch2/catch.hpp>
#include <deque>
#include <memory>

using namespace hornbeam;

namespace {

constexpr uint32_t suspect = 7;
constexpr Duration within = milliseconds(300);

/** Answers that the test sets. */
struct FakeAnswers final : AnswerSource
{
    std::map<uint32_t, TimePoint> answers;

    TimePoint lastAnswerOf(uint32_t token) const override
    {
        const auto found = this->answers.find(token);
        return found == this->answers.end() ? TimePoint{} : found->second;
    }
};

/** Members of three zones. Messages arrive with the next step of 20 ms. */
struct QueryNetwork
{
    explicit QueryNetwork(size_t members)
    {
        this->clock.advance(seconds(60));
        for (MemberId id = 1; id <= members; ++id) {
            MemberRecord record;
            record.id = id;
            record.zone = static_cast<ZoneId>(0xA0000000U + id % 3);
            this->records.push_back(record);
        }
        for (const MemberRecord &record : this->records) {
            auto &directory = this->directories.emplace_back(std::make_unique<FakeDirectory>());
            directory->selfRecord = record;
            directory->members = this->records;
            this->answers.push_back(std::make_unique<FakeAnswers>());
            this->queries.push_back(std::make_unique<AnswerQueries>(AnswerQuerySettings{}, *directory, this->clock));
            this->queries.back()->setSource(this->answers.back().get());
        }
    }
    void step()
    {
        this->clock.advance(milliseconds(20));
        Actions responses;
        for (size_t i = 0; i < this->queries.size(); ++i) {
            Actions out;
            this->queries[i]->tick(out);
            for (const OutgoingMessage &message : out.toPeers) {
                ++this->datagrams;
                const Bytes wire = encodeMessage(message.message);
                this->bytes += wire.size();
                if (!this->isLost) {
                    this->queries[message.peer - 1]->onMessage(std::get<AnswerQuery>(decodeMessage(wire).value()), responses);
                }
            }
        }
        for (const OutgoingMessage &message : responses.toPeers) {
            this->responses.push_back(std::get<AnswerResponse>(decodeMessage(encodeMessage(message.message)).value()));
            this->queries[message.peer - 1]->onMessage(this->responses.back());
        }
    }
    void run(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(20)) {
            this->step();
        }
    }
    /** Time until the first member's query about the suspect has ended. */
    Duration runQuery()
    {
        this->queries[0]->begin(suspect, within);
        const TimePoint start = this->clock.now();
        while (this->evidence() == AnswerEvidence::Pending && this->clock.now() - start < seconds(2)) {
            this->step();
        }
        return this->clock.now() - start;
    }
    AnswerEvidence evidence() const
    {
        return this->queries[0]->evidenceOf(suspect);
    }

    ManualClock clock;
    std::vector<MemberRecord> records;
    std::vector<std::unique_ptr<FakeDirectory>> directories;
    std::vector<std::unique_ptr<FakeAnswers>> answers;
    std::vector<std::unique_ptr<AnswerQueries>> queries;
    std::deque<AnswerResponse> responses;
    size_t datagrams = 0;
    size_t bytes = 0; // of messages, without headers and signature
    bool isLost = false;
};

/** One of many instances, whose target refuses connections and has answered it nothing for a second. */
struct SuspectFixture : ForwarderFixture
{
    explicit SuspectFixture(size_t members = 3) : network(members)
    {
        this->forwarder.setAnswerQueries(this->network.queries[0].get());
        this->network.queries[0]->setSource(&this->forwarder);
        this->forwarder.setInstanceCounts(members, members);
        this->load({ makeTarget("b1"), makeTarget("b2") });
        this->run(seconds(2));
        this->opened = this->establish(1);
        this->target = this->opened.target;
        this->run(milliseconds(1200));
        this->send(1, this->opened.token, 1001, 5000, 100);
        this->run(milliseconds(100));
        REQUIRE(this->actions.checks.size() == 1);
    }
    /** Runs for `time`; the target refuses all checks. Returns the time until its flows are reset, or `time`. */
    Duration refuseFor(Duration time, bool isAnsweringOthers)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(20)) {
            this->endChecks(CheckOutcome::Refused, this->target->record.name == "b1" ? "b2" : "b1");
            if (!this->actions.resets.empty()) {
                return passed;
            }
            if (isAnsweringOthers) {
                this->network.answers[1]->answers[this->target->token] = this->network.clock.now();
            }
            this->network.step();
            this->run(milliseconds(20));
        }
        return time;
    }

    QueryNetwork network;
    PacketDecision opened;
    TargetPtr target;
};

}

TEST_CASE("answer queries: members tell whether a suspected target has answered them")
{
    QueryNetwork network(6);
    REQUIRE(network.evidence() == AnswerEvidence::Unqueried);
    SECTION("a member of another zone has had an answer")
    {
        network.answers[4]->answers[suspect] = network.clock.now();
        CHECK(network.runQuery() <= network.queries[0]->duration());
        CHECK(network.evidence() == AnswerEvidence::Answered);
        SECTION("after it was discarded, the next query starts afresh")
        {
            network.queries[0]->discard(suspect);
            CHECK(network.evidence() == AnswerEvidence::Unqueried);
            network.run(within);
            network.runQuery();
            CHECK(network.evidence() == AnswerEvidence::Unanswered);
        }
        SECTION("it is not used for longer than its lifetime")
        {
            network.run(milliseconds(300));
            CHECK(network.evidence() == AnswerEvidence::Unqueried);
        }
    }
    SECTION("a member has its answer between the two datagrams")
    {
        network.queries[0]->begin(suspect, within);
        network.run(milliseconds(80));
        network.answers[1]->answers[suspect] = network.clock.now();
        network.run(milliseconds(100));
        CHECK(network.evidence() == AnswerEvidence::Answered);
    }
    SECTION("the first datagram is lost")
    {
        network.answers[1]->answers[suspect] = network.clock.now();
        network.isLost = true;
        network.queries[0]->begin(suspect, within);
        network.run(milliseconds(80));
        network.isLost = false;
        network.run(milliseconds(100));
        CHECK(network.evidence() == AnswerEvidence::Answered);
    }
    SECTION("nobody has had an answer: the result is there after the stated time")
    {
        CHECK(network.runQuery() <= network.queries[0]->duration());
        CHECK(network.evidence() == AnswerEvidence::Unanswered);
        CHECK(network.responses.empty());
    }
    SECTION("an answer from before the target's end does not count")
    {
        network.answers[1]->answers[suspect] = network.clock.now() - milliseconds(200);
        network.runQuery();
        CHECK_FALSE(network.responses.empty());
        CHECK(network.evidence() == AnswerEvidence::Unanswered);
    }
}

// Guards against a late copy of a response, which would keep an ended target for as long as copies arrive.
TEST_CASE("answer queries: responses to earlier queries, and those that belong to no query, are ignored")
{
    QueryNetwork network(3);
    network.answers[1]->answers[suspect] = network.clock.now();
    network.runQuery();
    REQUIRE_FALSE(network.responses.empty());
    const AnswerResponse copy = network.responses.back();
    network.queries[0]->discard(suspect);
    network.queries[0]->onMessage(copy);
    CHECK(network.evidence() == AnswerEvidence::Unqueried);
    network.run(within);
    network.queries[0]->begin(suspect, within);
    network.queries[0]->onMessage(copy);
    network.step();
    network.queries[0]->onMessage(copy);
    network.queries[0]->onMessage(AnswerResponse{ ~uint64_t{ 0 }, { { suspect, 0 } } });
    network.run(milliseconds(200));
    CHECK(network.evidence() == AnswerEvidence::Unanswered);
}

TEST_CASE("answer queries: without other members there is nobody to wait for")
{
    QueryNetwork network(1);
    CHECK(network.evidence() == AnswerEvidence::Unanswered);
    CHECK(network.datagrams == 0);
}

// Guards against a flood where many targets refuse at once, as when a zone loses power or everything is overloaded.
TEST_CASE("answer queries: many suspected targets share datagrams, and their number is limited")
{
    QueryNetwork network(30);
    SECTION("a hundred targets at once: two datagrams to each member")
    {
        for (uint32_t token = 1; token <= 100; ++token) {
            network.queries[0]->begin(0xF0000000U + token, within);
        }
        network.run(seconds(1));
        CHECK(network.datagrams == 2 * 29);
        CHECK(network.bytes / network.datagrams <= 40 + 100 * 9);
    }
    SECTION("new targets in each tick for ten seconds")
    {
        uint32_t token = 0;
        for (int ticks = 0; ticks < 500; ++ticks) {
            network.queries[0]->begin(++token, within);
            network.step();
        }
        CHECK(network.datagrams <= (10 + 1) * 20 * 29);
        network.run(seconds(3));
        CHECK(network.queries[0]->evidenceOf(token) != AnswerEvidence::Pending);
    }
}

// Guards against resets of the flows of a living target that callers of other instances have filled: review/8, 34 to 73 open flows in a burst.
TEST_CASE("full target: one that answers another instance is not ended because it refuses a connection")
{
    SuspectFixture fixture;
    SECTION("while a request waits for as long as a full queue takes")
    {
        CHECK(fixture.refuseFor(milliseconds(800), true) == milliseconds(800));
        CHECK_FALSE(fixture.target->isSilent());
        CHECK(fixture.forwarder.flowCounters().value(FlowCounter::AnsweringOthers) > 0);
        SECTION("and when it ends after that, its flows are reset within a second")
        {
            CHECK(fixture.refuseFor(seconds(5), false) <= seconds(1));
            CHECK(fixture.resets(ResetReason::TargetSilent) == 1);
        }
    }
    SECTION("however long the others fill it")
    {
        for (uint32_t number = 0; number < 40; ++number) {
            CHECK(fixture.refuseFor(milliseconds(700), true) == milliseconds(700));
            fixture.send(1, fixture.opened.token, 1101 + number * 100, 5100 + number * 100, 0);
            fixture.send(1, fixture.opened.token, 1101 + number * 100, 5100 + number * 100, 100);
        }
        CHECK_FALSE(fixture.target->isSilent());
    }
    SECTION("also when it has answered this instance during a query, whose result is of no use for the next refusal")
    {
        CHECK(fixture.refuseFor(milliseconds(100), true) == milliseconds(100));
        fixture.send(1, fixture.opened.token, 1101, 5100, 0);
        for (int repeats = 0; repeats < 9; ++repeats) {
            fixture.send(1, fixture.opened.token, 1101, 5100, 100);
            CHECK(fixture.refuseFor(milliseconds(100), true) == milliseconds(100));
        }
        CHECK_FALSE(fixture.target->isSilent());
    }
    SECTION("new flows avoid it meanwhile")
    {
        fixture.refuseFor(milliseconds(400), true);
        for (uint16_t port = 10; port < 40; ++port) {
            CHECK(fixture.open(port).target != fixture.target);
        }
    }
}

// Guards against callers that wait for longer than the query takes.
TEST_CASE("ended process: its flows are reset when no other instance has had an answer")
{
    SECTION("within a quarter of a second of the first refusal")
    {
        SuspectFixture fixture;
        CHECK(fixture.refuseFor(seconds(5), false) <= milliseconds(250));
        CHECK(fixture.resets(ResetReason::TargetSilent) == 1);
    }
    SECTION("also if it has answered another one just before")
    {
        SuspectFixture fixture;
        fixture.network.answers[1]->answers[fixture.target->token] = fixture.network.clock.now();
        CHECK(fixture.refuseFor(seconds(5), false) <= milliseconds(600));
    }
    SECTION("also if it answers others, when a request has waited in vain for longer than a queue takes")
    {
        SuspectFixture fixture;
        for (int repeats = 0; repeats < 15 && fixture.actions.resets.empty(); ++repeats) {
            fixture.send(1, fixture.opened.token, 1001, 5000, 100);
            fixture.refuseFor(milliseconds(100), true);
        }
        CHECK(fixture.resets(ResetReason::TargetSilent) == 1);
    }
    SECTION("at once if there is no other instance")
    {
        SuspectFixture fixture(1);
        CHECK(fixture.refuseFor(seconds(5), false) == Duration{ 0 });
    }
    SECTION("also if all members are cut off")
    {
        SuspectFixture fixture;
        fixture.network.isLost = true;
        CHECK(fixture.refuseFor(seconds(5), true) <= milliseconds(250));
    }
}

TEST_CASE("ended process: when its entry has expired, no member is queried")
{
    SuspectFixture fixture;
    fixture.list({ makeTarget("zz") });
    fixture.clock.advance(milliseconds(2300));
    fixture.list({ makeTarget("zz") });
    fixture.endChecks(CheckOutcome::Refused);
    CHECK(fixture.resets(ResetReason::TargetDeparted) == 1);
    CHECK(fixture.forwarder.flowCounters().value(FlowCounter::MembersQueried) == 0);
}
