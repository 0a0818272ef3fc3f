#include "table/tableparser.h"
#include "table/tablestore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {
std::string tableText(const std::string &service, uint16_t port, const std::string &address)
{
    return R"({"service":")" + service + R"(","port":)" + std::to_string(port) + R"(,"targets":[{"target":"t1","address":")" + address + R"("}]})";
}

const std::string booking = R"({"service":"booking","port":5683,"preference":"persistence","queue_limit":7,"edit":"e2",
 "history":[{"id":"e2","who":"ana","when":"2026-12-04T05:00:00Z","what":"created"}],
 "targets":[{"target":"b1","address":"127.0.0.1:7001","zone":"kl-1","weight":50,"slots":2,"connections":2000,"state":"draining"},
            {"target":"b2","address":"127.0.0.1:7002"}]})";
}

TEST_CASE("a service table is parsed, validated and serialized")
{
    GIVEN("a valid table")
    {
        const ParsedTable parsed = parseTable(booking, 9);
        REQUIRE(parsed.faults.empty());
        const ServiceTable &table = parsed.document->table;
        CHECK(table.version == 9);
        CHECK(table.preference == Preference::Persistence);
        CHECK(table.queueLimit == 7);
        REQUIRE(table.rows.size() == 2);
        CHECK(table.rows[0].state == RowState::Draining);
        CHECK(table.rows[0].zone == zoneIdOf("kl-1"));
        CHECK(table.rows[1].zone == 0);
        CHECK(table.rows[1].id == targetIdOf("booking", "b2"));

        SECTION("a serialized table is parsed to an equal document")
        {
            const std::string text = writeTable(*parsed.document);
            const ParsedTable again = parseTable(text, 9);
            REQUIRE(again.document.has_value());
            CHECK(writeTable(*again.document) == text);
            CHECK(again.document->history == parsed.document->history);
            CHECK(again.document->table.rows[0].weight == 50);
        }
    }
    GIVEN("a table with many errors")
    {
        const ParsedTable parsed = parseTable(R"({"service":"a b","port":0,"prefrence":"balance","preference":"both","targets":[
            {"target":"x","address":"127.0.0.1:0","weight":-1},{"target":"x","address":"127.0.0.1:5","state":"off","slots":0},
            {"address":"127.0.0.1:5","colour":1}, 7]})",
                                              1);
        CHECK_FALSE(parsed.document.has_value());
        std::vector<std::string> paths;
        for (const TableError &fault : parsed.faults) {
            paths.push_back(fault.path);
            CHECK_FALSE(fault.value.empty());
            CHECK_FALSE(fault.allowed.empty());
        }
        std::sort(paths.begin(), paths.end());
        CHECK(paths
              == std::vector<std::string>{ "port", "preference", "prefrence", "service", "targets[0].address", "targets[0].weight", "targets[1].slots",
                                           "targets[1].state", "targets[1].target", "targets[2].address", "targets[2].colour", "targets[2].target",
                                           "targets[3]" });
    }
    GIVEN("text that is not a table")
    {
        for (const char *text :
             { "", "[]", "7", "{", "{\"service\":\"a\"}", "{\"service\":\"a\",\"port\":70000}", "{\"service\":\"a\",\"port\":1,\"targets\":{}}" }) {
            CAPTURE(text);
            CHECK_FALSE(parseTable(text, 1).faults.empty());
        }
    }
}

// Guards against a stack overflow: an error message quotes the value found, and writing a parsed value recurses to its depth.
TEST_CASE("a deeply nested table is rejected with an error")
{
    constexpr size_t nesting = 400'000;
    const std::string deep = std::string(nesting, '[') + std::string(nesting, ']');
    for (const std::string &text : { deep, R"({"service":)" + deep + "}", R"({"service":"booking","port":5683,"extra":)" + deep + "}",
                                     R"({"service":"booking","port":5683,"targets":[)" + deep + "]}" }) {
        const ParsedTable parsed = parseTable(text, 7);
        CHECK_FALSE(parsed.document.has_value());
        CHECK_FALSE(parsed.faults.empty());
    }
}

TEST_CASE("the table parser handles arbitrary and mutated text")
{
    const bool passed =
        rc::check("parsing yields either a document or errors, never both or neither", [](const std::string &input, uint16_t where, uint8_t byte) {
            std::string mutated = booking;
            mutated[where % mutated.size()] = static_cast<char>(byte);
            for (const std::string &text : { input, mutated, booking.substr(0, where % booking.size()) }) {
                const ParsedTable parsed = parseTable(text, 1);
                RC_ASSERT(parsed.document.has_value() == parsed.faults.empty());
                if (parsed.document.has_value()) {
                    const bool isStable = parseTable(writeTable(*parsed.document), 1).document.has_value();
                    RC_ASSERT(isStable);
                }
            }
        });
    CHECK(passed);
}

TEST_CASE("the table store keeps the tables in force")
{
    ManualClock clock;
    Counters counters;
    TableStore store(clock, counters);
    REQUIRE(store.apply("booking", 5, tableText("booking", 5683, "127.0.0.1:7001")) == ApplyResult::Applied);

    SECTION("versions never decrease")
    {
        CHECK(store.apply("booking", 5, tableText("booking", 5683, "127.0.0.1:7009")) == ApplyResult::Stale);
        CHECK(store.apply("booking", 4, tableText("booking", 5683, "127.0.0.1:7009")) == ApplyResult::Stale);
        CHECK(store.find(serviceIdOf("booking"))->rows[0].endpoint.port == 7001);
        CHECK(counters.value(Counter::TableVersionsStale) == 2);
    }
    SECTION("an invalid version is rejected as a whole and the old one stays in force")
    {
        CHECK(store.apply("booking", 6, "{}") == ApplyResult::Invalid);
        CHECK(store.find(serviceIdOf("booking"))->version == 5);
        CHECK(store.states()[0].refusedVersion == 6);
        CHECK(counters.value(Counter::TableRowsRejected) == 1);
        AND_WHEN("a corrected version arrives")
        {
            CHECK(store.apply("booking", 7, tableText("booking", 5683, "127.0.0.1:7001")) == ApplyResult::Applied);
            CHECK_FALSE(store.hasRejectedVersions());
        }
    }
    SECTION("an object under another service's key is rejected")
    {
        CHECK(store.apply("catalogue", 1, tableText("booking", 5683, "127.0.0.1:7001")) == ApplyResult::Invalid);
        CHECK(store.find(serviceIdOf("catalogue")) == nullptr);
    }
    SECTION("two services cannot use the same address")
    {
        CHECK(store.apply("catalogue", 6, tableText("catalogue", 5684, "127.0.0.1:7001")) == ApplyResult::Invalid);
        const TableState refused = store.states()[1];
        REQUIRE(refused.faults.size() == 1);
        CHECK(refused.faults[0].allowed.find("booking") != std::string::npos);
        CHECK(refused.faults[0].allowed.find("catalogue") != std::string::npos);
        AND_WHEN("the other service releases the address")
        {
            CHECK(store.apply("booking", 7, tableText("booking", 5683, "127.0.0.1:7002")) == ApplyResult::Applied);
            THEN("the rejected table comes into force automatically")
            {
                REQUIRE(store.find(serviceIdOf("catalogue")) != nullptr);
                CHECK(store.find(serviceIdOf("catalogue"))->version == 6);
            }
        }
    }
    SECTION("two services cannot use the same port")
    {
        CHECK(store.apply("catalogue", 6, tableText("catalogue", 5683, "127.0.0.1:7004")) == ApplyResult::Invalid);
    }
    SECTION("a tombstone removes a service and keeps its version")
    {
        CHECK(store.apply("booking", 6, R"({"service":"booking","deleted":true})") == ApplyResult::Applied);
        CHECK(store.find(serviceIdOf("booking")) == nullptr);
        CHECK(store.all().empty());
        CHECK(store.versions() == std::vector<ServiceVersion>{ { serviceIdOf("booking"), 6 } });
        CHECK(store.apply("booking", 5, tableText("booking", 5683, "127.0.0.1:7001")) == ApplyResult::Stale);
    }
    SECTION("the digest is independent of the order of arrival")
    {
        TableStore other(clock, counters);
        other.apply("catalogue", 3, tableText("catalogue", 5684, "127.0.0.1:7003"));
        CHECK(other.digest() != store.digest());
        other.apply("booking", 5, tableText("booking", 5683, "127.0.0.1:7001"));
        store.apply("catalogue", 3, tableText("catalogue", 5684, "127.0.0.1:7003"));
        CHECK(other.digest() == store.digest());
    }
}
