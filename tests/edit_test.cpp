#include "apps/editsession.h"
#include "apps/tablecells.h"
#include "apps/tablediff.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace hornbeam;

namespace {
/** Objects in memory; a script of failures is taken from the front, one for each call to put. */
class FakePlatform final : public BlockingPlatformApi
{
public:
    enum class Failure {
        None,
        LoseAnswer,  // the write takes effect, its answer is lost
        LoseRequest, // neither
        Unavailable,
    };
    std::map<std::string, PlatformObject> objects;
    std::deque<Failure> failures;
    std::function<void()> beforePut; // what another operator does between the read and the write
    bool isOut = false;
    uint64_t revision = 0;
    size_t pauses = 0;

    PlatformReply get(const std::string &key) override
    {
        const auto found = this->objects.find(key);
        PlatformReply reply;
        reply.outcome = this->isOut ? PlatformOutcome::Unavailable : found == this->objects.end() ? PlatformOutcome::NotFound : PlatformOutcome::Ok;
        if (reply.isOk()) {
            reply.version = found->second.version;
            reply.objects.push_back(found->second);
        }
        return reply;
    }
    PlatformReply put(const std::string &key, const std::string &value, const PutCondition &condition) override
    {
        if (this->beforePut) {
            const std::function<void()> other = std::move(this->beforePut);
            this->beforePut = nullptr;
            other();
        }
        const Failure failure = this->failures.empty() ? Failure::None : this->failures.front();
        if (!this->failures.empty()) {
            this->failures.pop_front();
        }
        PlatformReply reply;
        reply.outcome = this->isOut || failure == Failure::Unavailable ? PlatformOutcome::Unavailable : PlatformOutcome::Unknown;
        if (reply.outcome == PlatformOutcome::Unavailable || failure == Failure::LoseRequest) {
            return reply;
        }
        const auto found = this->objects.find(key);
        const uint64_t version = found == this->objects.end() ? 0 : found->second.version;
        const bool holds = condition.kind == PutCondition::Kind::Always || condition.version == version;
        reply.outcome = holds ? PlatformOutcome::Ok : PlatformOutcome::Conflict;
        if (holds) {
            this->objects[key] = { key, ++this->revision, value, false };
            reply.version = this->revision;
        }
        if (failure == Failure::LoseAnswer) {
            reply.outcome = PlatformOutcome::Unknown;
        }
        return reply;
    }
    PlatformReply list(const std::string &) override
    {
        PlatformReply reply;
        reply.outcome = this->isOut ? PlatformOutcome::Unavailable : PlatformOutcome::Ok;
        reply.revision = this->revision;
        for (const auto &[key, object] : this->objects) {
            reply.objects.push_back(object);
        }
        return reply;
    }
    PlatformReply watch(const std::string &, uint64_t, Duration) override
    {
        return {};
    }
    void sleep(Duration) override
    {
        ++this->pauses;
    }
};

TableChange cell(const std::string &target, const std::string &column, const std::string &value)
{
    return { ChangeKind::SetCell, target, column, value, std::nullopt, {} };
}
}

TEST_CASE("an edit changes its own cells only and is done once")
{
    using Failure = FakePlatform::Failure;
    FakePlatform platform;
    const ManualClock clock;
    const auto run = [&](const std::string &edit, std::vector<TableChange> changes, const std::string &service = "booking") {
        return EditSession(platform, clock, "ana", edit).run(service, std::move(changes));
    };
    const auto table = [&]() { return *parseTable(platform.objects.at("tables/booking").value, 1).document; };
    const auto addRow = [](const std::string &target, uint16_t port) {
        TargetRow row;
        row.name = target;
        row.endpoint = { 0x7F000001, port };
        return TableChange{ ChangeKind::AddRow, target, "", "", std::nullopt, row };
    };
    REQUIRE(run("e1", { { ChangeKind::CreateService, "", "", "5683", std::nullopt, {} } }).outcome == EditOutcome::Done);
    REQUIRE(run("e2", { addRow("b1", 7001), addRow("b2", 7002) }).outcome == EditOutcome::Done);

    SECTION("a cell is set and the history tells it")
    {
        const EditResult result = run("e3", { cell("b1", "weight", "50") });
        CHECK(result.outcome == EditOutcome::Done);
        CHECK(result.version == platform.revision);
        CHECK(table().table.rows[0].weight == 50);
        CHECK(table().table.rows[1].weight == 100);
        CHECK(table().history.back() == EditRecord{ "e3", "ana", table().history.back().when, "b1 weight 100 -> 50" });
        CHECK(run("e4", { cell("b1", "weight", "50") }).outcome == EditOutcome::Unchanged);
    }
    SECTION("a lost answer is recognised as done, and the write is not repeated")
    {
        platform.failures = { Failure::LoseAnswer };
        const EditResult result = run("e3", { cell("b1", "weight", "50") });
        CHECK(result.outcome == EditOutcome::Done);
        CHECK(result.version == platform.revision);
        CHECK(platform.revision == 3);
        CHECK(table().history.size() == 3);
    }
    SECTION("a lost answer is recognised behind another operator's later edit of the same cell")
    {
        platform.failures = { Failure::LoseAnswer };
        const EditResult result = run("e3", { cell("b1", "weight", "50") });
        REQUIRE(result.outcome == EditOutcome::Done);
        CHECK(run("e4", { cell("b1", "weight", "60") }).outcome == EditOutcome::Done);
        CHECK(run("e3", { cell("b1", "weight", "50") }).outcome == EditOutcome::Done); // the first operator's retry
        CHECK(table().table.rows[0].weight == 60);
    }
    SECTION("a lost request and a short outage are tried again")
    {
        platform.failures = { Failure::LoseRequest, Failure::Unavailable };
        CHECK(run("e3", { cell("b1", "weight", "50") }).outcome == EditOutcome::Done);
        CHECK(platform.pauses == 2);
        CHECK(table().history.size() == 3);
    }
    SECTION("two operators on different rows both win")
    {
        platform.beforePut = [&]() { run("other", { cell("b2", "weight", "7") }); };
        CHECK(run("e3", { cell("b1", "weight", "50") }).outcome == EditOutcome::Done);
        CHECK(table().table.rows[0].weight == 50);
        CHECK(table().table.rows[1].weight == 7);
    }
    SECTION("on the same cell the second is told and shown both values")
    {
        platform.beforePut = [&]() { run("other", { cell("b1", "weight", "7") }); };
        const EditResult result = run("e3", { cell("b1", "weight", "50") });
        CHECK(result.outcome == EditOutcome::Conflict);
        CHECK(result.problem.find("\"7\"") != std::string::npos);
        CHECK(result.problem.find("\"50\"") != std::string::npos);
        CHECK(table().table.rows[0].weight == 7);
    }
    SECTION("an expected value that does not hold is a conflict")
    {
        TableChange change = cell("b1", "weight", "50");
        change.expected = "90";
        CHECK(run("e3", { change }).outcome == EditOutcome::Conflict);
        change.expected = "100";
        CHECK(run("e4", { change }).outcome == EditOutcome::Done);
    }
    SECTION("a row that changed meanwhile is not removed")
    {
        platform.beforePut = [&]() { run("other", { cell("b1", "state", "draining") }); };
        CHECK(run("e3", { { ChangeKind::RemoveRow, "b1", "", "", std::nullopt, {} } }).outcome == EditOutcome::Conflict);
        CHECK(table().table.rows.size() == 2);
        CHECK(run("e4", { { ChangeKind::RemoveRow, "b1", "", "", std::nullopt, {} } }).outcome == EditOutcome::Done);
        CHECK(table().table.rows.size() == 1);
    }
    SECTION("in an outage it says whether the edit may have taken effect")
    {
        platform.isOut = true;
        const EditResult none = run("e3", { cell("b1", "weight", "50") });
        CHECK(none.outcome == EditOutcome::Unreachable);
        CHECK_FALSE(none.isUncertain);
        platform.isOut = false;
        platform.failures = { Failure::LoseAnswer };
        platform.beforePut = nullptr;
        EditSettings once;
        once.maxTries = 1;
        const EditResult lost = EditSession(platform, clock, "ana", "e4", once).run("booking", { cell("b1", "weight", "50") });
        CHECK(lost.outcome == EditOutcome::Unreachable);
        CHECK(lost.isUncertain);
    }
    SECTION("what would be faulty is not written")
    {
        const uint64_t before = platform.revision;
        CHECK(run("e3", { cell("b1", "weight", "heavy") }).outcome == EditOutcome::Invalid);
        CHECK(run("e3", { cell("b1", "weight", "10001") }).outcome == EditOutcome::Invalid);
        CHECK(run("e3", { cell("b1", "colour", "red") }).outcome == EditOutcome::Invalid);
        CHECK(run("e3", { cell("b1", "address", "127.0.0.1:7002") }).outcome == EditOutcome::Invalid);
        CHECK(run("e3", { cell("b9", "weight", "1") }).outcome == EditOutcome::NotFound);
        CHECK(run("e3", { cell("b1", "weight", "1") }, "nothing").outcome == EditOutcome::NotFound);
        CHECK(run("e3", { { ChangeKind::CreateService, "", "", "5683", std::nullopt, {} } }, "catalogue").outcome == EditOutcome::Invalid); // port taken
        CHECK(run("e3", { { ChangeKind::CreateService, "", "", "5684", std::nullopt, {} } }).outcome == EditOutcome::Conflict);
        CHECK(platform.revision == before);
    }
    SECTION("a deleted service leaves a tombstone and can be made anew")
    {
        CHECK(run("e3", { { ChangeKind::DeleteService, "", "", "", std::nullopt, {} } }).outcome == EditOutcome::Done);
        CHECK(table().isDeleted);
        CHECK(run("e4", { cell("b1", "weight", "1") }).outcome == EditOutcome::NotFound);
        CHECK(run("e5", { { ChangeKind::CreateService, "", "", "5683", std::nullopt, {} } }).outcome == EditOutcome::Done);
        CHECK_FALSE(table().isDeleted);
        CHECK(table().table.rows.empty());
    }
    SECTION("the history keeps the last edits")
    {
        for (int i = 0; i < 40; ++i) {
            run("w" + std::to_string(i), { cell("b1", "weight", std::to_string(i)) });
        }
        CHECK(table().history.size() == maxHistoryEdits);
        CHECK(table().history.back().id == "w39");
    }
}

TEST_CASE("a CSV file is compared with the table")
{
    ServiceTable table;
    table.name = "booking";
    for (const uint16_t port : { 7001, 7002 }) {
        TargetRow row;
        row.name = "b" + std::to_string(port - 7000);
        row.endpoint = { 0x7F000001, port };
        table.rows.push_back(row);
    }
    std::vector<Fault> faults;

    SECTION("what was written changes nothing")
    {
        CHECK(diffTable(table, writeCsv(table), faults).empty());
        CHECK(faults.empty());
    }
    SECTION("cells, new rows and removed ones are found; columns left out stay")
    {
        const auto changes = diffTable(table, "target,weight,address\nb2, 7 ,127.0.0.1:7002\r\nb3,1,127.0.0.1:7003\n\n", faults);
        REQUIRE(faults.empty());
        REQUIRE(changes.size() == 3);
        CHECK(describe(changes[0]) == "removed b1");
        CHECK(describe(changes[1]) == "b2 weight 100 -> 7");
        CHECK(describe(changes[2]) == "added b3 address=127.0.0.1:7003 zone= weight=1 slots=1 connections=1000 state=active");
    }
    SECTION("all faults are told")
    {
        diffTable(table, "target,weight,colour\nb1,x,1\nb1,1\n,1,1\n", faults);
        CHECK(faults.size() == 4);
        faults.clear();
        diffTable(table, "", faults);
        CHECK_FALSE(faults.empty());
    }
}
