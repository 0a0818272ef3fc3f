#include "childprocess.h"
#include "platform/blockingplatform.h"
#include "platform/platformclient.h"
#include "platform/platformcodec.h"
#include "store/objectwatcher.h"
#include "store/statusreporter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

namespace {
/** Holds each call until the test answers it. */
class FakeApi final : public PlatformApi
{
public:
    struct Pending
    {
        std::string kind;
        std::string key;
        std::string value;
        uint64_t after = 0;
        PlatformCallback done;
    };
    std::vector<Pending> calls;
    uint64_t era = 0; // of the answers

    void get(const std::string &key, PlatformCallback done) override
    {
        this->calls.push_back({ "get", key, "", 0, std::move(done) });
    }
    void put(const std::string &key, const std::string &value, const PutCondition &, PlatformCallback done) override
    {
        this->calls.push_back({ "put", key, value, 0, std::move(done) });
    }
    void list(const std::string &prefix, PlatformCallback done) override
    {
        this->calls.push_back({ "list", prefix, "", 0, std::move(done) });
    }
    void watch(const std::string &prefix, uint64_t after, Duration, PlatformCallback done) override
    {
        this->calls.push_back({ "watch", prefix, "", after, std::move(done) });
    }
    void instances(PlatformCallback done) override
    {
        this->calls.push_back({ "instances", "", "", 0, std::move(done) });
    }
    void answer(PlatformOutcome outcome, uint64_t revision = 0, std::vector<PlatformObject> objects = {})
    {
        const PlatformCallback done = std::move(this->calls.back().done);
        PlatformReply reply;
        reply.outcome = outcome;
        reply.revision = revision;
        reply.era = this->era;
        reply.objects = std::move(objects);
        done(reply);
    }
};

// Sends one raw HTTP request to the platform stand-in, for operations that the client does not offer.
std::string post(const Endpoint &endpoint, boost::beast::http::verb verb, const std::string &target, const std::string &body)
{
    namespace http = boost::beast::http;
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4(endpoint.address), endpoint.port));
    http::request<http::string_body> request(verb, target, 11);
    request.body() = body;
    request.prepare_payload();
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    return response.body();
}
}

TEST_CASE("ObjectWatcher lists, then watches, and backs off after failures")
{
    FakeApi api;
    ManualClock clock;
    std::vector<std::string> seen;
    ObjectWatcher watcher(api, clock, 1, std::string(tablePrefix), [&](const ObjectReadResult &read) {
        for (const PlatformObject &object : read.objects) {
            seen.push_back(object.key);
        }
    });

    GIVEN("a member that watches")
    {
        watcher.tick(true);
        REQUIRE(api.calls.size() == 1);
        CHECK(api.calls[0].kind == "list");
        watcher.tick(true);
        CHECK(api.calls.size() == 1); // one call at a time
        api.answer(PlatformOutcome::Ok, 7, { { "tables/booking", 7, "{}", false } });
        CHECK(seen == std::vector<std::string>{ "tables/booking" });
        watcher.tick(true);
        REQUIRE(api.calls.size() == 2);
        CHECK(api.calls[1].kind == "watch");
        CHECK(api.calls[1].after == 7);

        WHEN("the store is restored from a backup during a watch that succeeds all the same")
        {
            api.era = 1;
            api.answer(PlatformOutcome::Ok, 9, { { "tables/later", 9, "{}", false } });
            THEN("its objects are left out, since others may be missing, and all are listed at once")
            {
                CHECK(seen.size() == 1);
                watcher.tick(true);
                REQUIRE(api.calls.size() == 3);
                CHECK(api.calls[2].kind == "list");
                AND_WHEN("the list is a response of the earlier era")
                {
                    api.answer(PlatformOutcome::Ok, 6, { { "tables/restored", 6, "{}", false } });
                    watcher.tick(true);
                    REQUIRE(api.calls.size() == 4);
                    api.answer(PlatformOutcome::Ok, 7);
                    watcher.tick(true);
                    api.era = 0;
                    api.answer(PlatformOutcome::Ok, 12, { { "tables/late", 12, "{}", false } });
                    THEN("it counts as a failed call")
                    {
                        CHECK(seen == std::vector<std::string>{ "tables/booking", "tables/restored" });
                        CHECK_FALSE(watcher.isReachable());
                    }
                }
            }
        }
        WHEN("a call fails")
        {
            api.answer(PlatformOutcome::Unavailable);
            CHECK_FALSE(watcher.isReachable());
            watcher.tick(true);
            CHECK(api.calls.size() == 2);
            clock.advance(milliseconds(250));
            watcher.tick(true);
            THEN("it lists again after the backoff")
            {
                REQUIRE(api.calls.size() == 3);
                CHECK(api.calls[2].kind == "list");
            }
            AND_WHEN("calls keep failing")
            {
                for (int i = 0; i < 10; ++i) {
                    api.answer(PlatformOutcome::Unavailable);
                    clock.advance(seconds(10));
                    watcher.tick(true);
                }
                api.answer(PlatformOutcome::Unavailable);
                const size_t before = api.calls.size();
                clock.advance(seconds(4));
                watcher.tick(true);
                CHECK(api.calls.size() == before); // the backoff is at least half of its maximum
            }
            // Guards against a member that never reads the store again after its calls failed and another member provided data for a moment.
            AND_WHEN("it stops watching during the backoff and has to watch again")
            {
                REQUIRE(api.calls.size() == 3);
                api.answer(PlatformOutcome::Unavailable);
                watcher.tick(false);
                watcher.tick(true);
                CHECK(api.calls.size() == 3); // still backing off
                clock.advance(milliseconds(500));
                watcher.tick(true);
                THEN("it lists when the backoff is over")
                {
                    REQUIRE(api.calls.size() == 4);
                    CHECK(api.calls[3].kind == "list");
                }
            }
            AND_WHEN("it stops watching and has to watch again long after the backoff")
            {
                REQUIRE(api.calls.size() == 3);
                api.answer(PlatformOutcome::Unavailable);
                watcher.tick(false);
                clock.advance(seconds(30));
                watcher.tick(false);
                CHECK(api.calls.size() == 3);
                watcher.tick(true);
                THEN("it lists immediately")
                {
                    CHECK(api.calls.size() == 4);
                }
            }
        }
    }
    GIVEN("a member that does not watch")
    {
        watcher.tick(false);
        CHECK(api.calls.empty());
        clock.advance(seconds(300));
        watcher.tick(false);
        REQUIRE(api.calls.size() == 1);
        api.answer(PlatformOutcome::Ok, 7);
        watcher.tick(false);
        CHECK(api.calls.size() == 1);
        // Guards against a change that stays unread for 300 s: members can't send it, and the read for it was requested at an unfavourable moment.
        WHEN("a read is requested in the same tick in which it stops watching")
        {
            watcher.tick(true);
            api.answer(PlatformOutcome::Ok, 8);
            watcher.pollNow();
            watcher.tick(false);
            CHECK(api.calls.size() == 3);
        }
        WHEN("a read is requested while an earlier one is pending")
        {
            watcher.pollNow();
            watcher.tick(false);
            REQUIRE(api.calls.size() == 2);
            watcher.pollNow();
            api.answer(PlatformOutcome::Ok, 8);
            watcher.tick(false);
            THEN("it reads again, since the pending response may be older than the request")
            {
                REQUIRE(api.calls.size() == 3);
                api.answer(PlatformOutcome::Ok, 9);
                watcher.tick(false);
                CHECK(api.calls.size() == 3);
            }
        }
        WHEN("it becomes a watcher")
        {
            watcher.tick(true);
            REQUIRE(api.calls.size() == 2);
            CHECK(api.calls[1].kind == "list"); // the list includes changes since the last resync
        }
    }
}

TEST_CASE("StatusReporter writes changes at most once a second and an unchanged status once a minute")
{
    FakeApi api;
    ManualClock clock;
    StatusReporter reporter(api, clock);
    ZoneStatus status;
    status.zone = "kl-1";
    status.members = 3;
    status.agreeing = 3;
    status.services = { { "booking", 5 } };

    reporter.tick(false, status);
    CHECK(api.calls.empty());
    reporter.tick(true, status);
    REQUIRE(api.calls.size() == 1);
    CHECK(api.calls[0].key == "status/kl-1");
    const auto written = parseStatus(api.calls[0].value);
    REQUIRE(written.has_value());
    CHECK(written->isInForce("booking", 5));
    CHECK_FALSE(written->isInForce("booking", 6));
    CHECK_FALSE(written->isInForce("catalogue", 1));
    api.answer(PlatformOutcome::Ok);

    SECTION("an unchanged status is not written before a minute has passed")
    {
        clock.advance(seconds(59));
        reporter.tick(true, status);
        CHECK(api.calls.size() == 1);
        clock.advance(seconds(1));
        reporter.tick(true, status);
        CHECK(api.calls.size() == 2);
    }
    SECTION("a change is written no earlier than a second after the last write")
    {
        status.agreeing = 2;
        reporter.tick(true, status);
        CHECK(api.calls.size() == 1);
        clock.advance(seconds(1));
        reporter.tick(true, status);
        REQUIRE(api.calls.size() == 2);
        CHECK_FALSE(parseStatus(api.calls[1].value)->isInForce("booking", 5)); // one member lags behind
        AND_WHEN("that write fails")
        {
            api.answer(PlatformOutcome::Unknown);
            clock.advance(seconds(1));
            reporter.tick(true, status);
            CHECK(api.calls.size() == 3);
        }
    }
}

TEST_CASE("arbitrary platform responses are parsed or rejected")
{
    const bool passed = rc::check("parsers return for any input", [](const std::string &noise, uint16_t where, uint8_t byte) {
        const std::string good = R"({"currentRev":3,"items":[{"meta":{"name":"a","rev":3},"spec":"x"}],"hasMore":false,"events":[]})";
        std::string mutated = good;
        mutated[where % mutated.size()] = static_cast<char>(byte);
        PlatformReply reply;
        ObjectPage page;
        const bool isRead = parsePage(good, "tables/", reply, page) && parseWatchResponse(good, "tables/", reply);
        RC_ASSERT(isRead);
        RC_ASSERT(reply.objects.size() == 1U);
        for (const std::string &text : { noise, mutated }) {
            PlatformReply other;
            parsePage(text, "tables/", other, page);
            parseWatchResponse(text, "tables/", other);
            readInstances(other);
            parseStatus(text);
            RC_ASSERT(other.objects.size() <= 1U);
        }
    });
    CHECK(passed);
}

TEST_CASE("PlatformClient works with the platform stand-in", "[endtoend]")
{
    PlatformProcess process({ "--seed", "7" });
    Endpoint endpoint;
    REQUIRE(parseEndpoint(process.address, endpoint));
    BlockingPlatform platform(endpoint, seconds(2));
    using boost::beast::http::verb;

    SECTION("conditional writes")
    {
        CHECK(platform.get("tables/a").outcome == PlatformOutcome::NotFound);
        const PlatformReply first = platform.put("tables/a", "one", PutCondition::ifAbsent());
        REQUIRE(first.isOk());
        CHECK(platform.put("tables/a", "two", PutCondition::ifAbsent()).outcome == PlatformOutcome::Conflict);
        const PlatformReply second = platform.put("tables/a", "two", PutCondition::ifVersion(first.version));
        REQUIRE(second.isOk());
        CHECK(second.version > first.version);
        CHECK(platform.put("tables/a", "three", PutCondition::ifVersion(first.version)).outcome == PlatformOutcome::Conflict);
        const PlatformReply read = platform.get("tables/a");
        REQUIRE(read.isOk());
        CHECK(read.objects[0].value == "two");
        CHECK(read.version == second.version);
        CHECK(platform.list("tables/").objects.size() == 1);
        CHECK(platform.list("status/").objects.empty());
    }
    SECTION("a watch returns changes, or no objects when it times out")
    {
        const uint64_t version = platform.put("tables/a", "one", PutCondition{}).version;
        const PlatformReply changed = platform.watch("tables/", version - 1, seconds(5));
        REQUIRE(changed.isOk());
        CHECK(changed.objects.size() == 1);
        const PlatformReply quiet = platform.watch("tables/", changed.revision, milliseconds(30));
        CHECK(quiet.isOk());
        CHECK(quiet.objects.empty());
    }
    SECTION("a lost response gives Unknown although the write took effect")
    {
        post(endpoint, verb::post, "/faults", R"({"lose_answer_after_write":1})");
        CHECK(platform.put("tables/a", "one", PutCondition::ifAbsent()).outcome == PlatformOutcome::Unknown);
        CHECK(platform.get("tables/a").isOk());
    }
    SECTION("nothing is written during an outage")
    {
        post(endpoint, verb::post, "/faults", R"({"outage":true})");
        CHECK(platform.put("tables/a", "one", PutCondition{}).outcome == PlatformOutcome::Unavailable);
        CHECK(platform.watch("tables/", 0, seconds(5)).outcome == PlatformOutcome::Unavailable);
        post(endpoint, verb::post, "/faults", R"({"outage":false})");
        CHECK(platform.get("tables/a").outcome == PlatformOutcome::NotFound);
    }
    SECTION("a value larger than 1 MiB is rejected")
    {
        CHECK(platform.put("tables/a", std::string((1U << 20) + 1, 'x'), PutCondition{}).outcome == PlatformOutcome::Malformed);
        CHECK(platform.put("tables/a", std::string(1U << 20, 'x'), PutCondition{}).isOk());
    }
    SECTION("calls are counted, a long poll as one call")
    {
        platform.watch("tables/", 0, milliseconds(50));
        platform.list("tables/");
        CHECK(post(endpoint, verb::get, "/calls", "") == R"({"list":1,"watch":1})");
    }
    SECTION("replies state the store's era; one that isn't a number leaves the last known one in place")
    {
        post(endpoint, verb::post, "/faults", R"({"take_backup":true})");
        CHECK(platform.list("tables/").era == 1);
        post(endpoint, verb::post, "/faults", R"({"restore_backup":true})");
        CHECK(platform.watch("tables/", 1000, milliseconds(10)).era == 2);
        for (const char *odd : { "two", "3x", "-1", "3.0", "99999999999999999999" }) {
            CAPTURE(odd);
            post(endpoint, verb::post, "/faults", std::string(R"({"stated_era":")") + odd + "\"}");
            const PlatformReply reply = platform.list("tables/");
            CHECK(reply.isOk());
            CHECK(reply.era == 2);
            CHECK(reply.unreadableEra == odd);
        }
    }
    SECTION("registered instances are listed")
    {
        post(endpoint, verb::put, "/instances/e1", R"({"zone":"kl-1","address":"127.0.0.1:7946"})");
        boost::asio::io_context context;
        Counters counters;
        PlatformClient client(context, counters, PlatformClientSettings{ endpoint, seconds(2) });
        PlatformReply listed;
        client.instances([&](const PlatformReply &reply) { listed = reply; });
        context.run();
        REQUIRE(listed.instances.size() == 1);
        CHECK(listed.instances[0].zone == "kl-1");
        CHECK(listed.instances[0].state == "live");
        CHECK(counters.value(Counter::PlatformCalls) == 1);
    }
    SECTION("calls to a terminated platform give Unavailable")
    {
        process.child.sendSignal(SIGTERM);
        process.child.wait();
        CHECK(platform.get("tables/a").outcome == PlatformOutcome::Unavailable);
        CHECK(platform.put("tables/a", "one", PutCondition{}).outcome == PlatformOutcome::Unavailable);
    }
}
