// Tests of the structured log: rate and memory limits, and that writing never blocks.

#include "apps/eventlog.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace hornbeam;

namespace {

/** A pipe that is read only when read() is called. */
struct SlowReader
{
    SlowReader()
    {
        REQUIRE(::pipe2(this->ends.data(), O_CLOEXEC) == 0);
    }
    ~SlowReader()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }
    std::string read()
    {
        std::string text(1U << 17U, '\0');
        const ssize_t count = ::read(this->ends[0], text.data(), text.size());
        text.resize(count < 0 ? 0 : static_cast<size_t>(count));
        return text;
    }
    std::array<int, 2> ends{ -1, -1 };
};

}

TEST_CASE("event log: lines are JSON objects, limited in rate and memory")
{
    ManualClock clock;
    SlowReader reader;

    SECTION("a line contains the event, the time and the fields")
    {
        EventLog log(reader.ends[1], clock);
        REQUIRE(log.admits("flow_placed"));
        log.add("flow_placed", { { "flow", "a>b" }, { "target", "b1" } });
        log.flush();
        const auto line = nlohmann::json::parse(reader.read());
        CHECK(line["event"] == "flow_placed");
        CHECK(line["time_ms"] == clock.wallMillis());
        CHECK(line["target"] == "b1");
    }
    SECTION("excess lines of an event type are dropped and counted in its next line; other event types are unaffected")
    {
        EventLog log(reader.ends[1], clock, { 10, 20, 1U << 20U });
        int written = 0;
        for (int i = 0; i < 100; ++i) {
            written += log.admits("flow_reset") ? 1 : 0;
        }
        CHECK(written == 20);
        CHECK(log.droppedLines() == 80);
        CHECK(log.admits("configuration_applied"));
        clock.advance(seconds(1));
        REQUIRE(log.admits("flow_reset"));
        log.add("flow_reset", nlohmann::ordered_json::object());
        log.flush();
        CHECK(nlohmann::json::parse(reader.read())["left_out"] == 80);
    }
    SECTION("a stalled reader blocks nothing, and the queue stays bounded")
    {
        EventLog log(reader.ends[1], clock, { 1e9, 1e9, 64 * 1024 });
        const std::string text(1000, 'x');
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < 2000; ++i) {
            clock.advance(milliseconds(1));
            if (log.admits("flow_placed")) {
                log.add("flow_placed", { { "text", text } });
            }
            log.flush();
        }
        CHECK(std::chrono::steady_clock::now() - start < seconds(5));
        CHECK(log.droppedLines() > 1500);
        CHECK_FALSE(reader.read().empty());
    }
}
