// Tests of PlatformClient against an in-process server that stops responding, responds slowly or with errors.

#include "platform/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace hornbeam;
using tcp = boost::asio::ip::tcp;

namespace {

/** Answers one call with the given chunks and a pause before each. Keeps the connection open after the last one until destroyed. */
class SlowStore
{
public:
    SlowStore(std::vector<std::string> pieces, milliseconds pause)
        : acceptor(this->context, { boost::asio::ip::address_v4::loopback(), 0 }), server([this, pieces = std::move(pieces), pause] {
            this->acceptor.accept(this->socket);
            TimePoint last = this->clock.now();
            for (const std::string &piece : pieces) {
                std::this_thread::sleep_for(pause);
                boost::system::error_code ignored; // the client may have closed the connection
                boost::asio::write(this->socket, boost::asio::buffer(piece), ignored);
                const TimePoint now = this->clock.now();
                this->longest = std::max(this->longest, now - last);
                last = now;
            }
        })
    {
    }
    ~SlowStore()
    {
        this->end();
    }
    /** Waits until all chunks were written. Returns the longest time between two of them, which is longer than the pause if the machine is busy. */
    Duration end()
    {
        if (this->server.joinable()) {
            this->server.join();
        }
        return this->longest;
    }
    Endpoint endpoint() const
    {
        return { boost::asio::ip::address_v4::loopback().to_uint(), this->acceptor.local_endpoint().port() };
    }

private:
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket socket{ this->context };
    SystemClock clock;
    Duration longest{ 0 }; // written by the server's thread
    std::thread server;
};

struct WatchResult
{
    PlatformReply reply;
    Duration elapsed{ 0 };
};

WatchResult watch(const SlowStore &store, Duration wait, Duration silence)
{
    boost::asio::io_context context;
    Counters counters;
    PlatformClient client(context, counters, PlatformClientSettings{ store.endpoint(), silence });
    const SystemClock clock;
    const TimePoint begun = clock.now();
    WatchResult result;
    client.watch("config/", 1, wait, [&](PlatformReply reply) {
        result.reply = std::move(reply);
        result.elapsed = clock.now() - begun;
    });
    context.run();
    return result;
}

/** Writes an object to the store at an endpoint; returns how the call ended and the number of counted errors. */
std::pair<PlatformOutcome, uint64_t> write(const Endpoint &endpoint, const PutCondition &condition)
{
    boost::asio::io_context context;
    Counters counters;
    PlatformClient client(context, counters, PlatformClientSettings{ endpoint, milliseconds(100) });
    PlatformOutcome outcome = PlatformOutcome::Ok;
    client.put("tables/booking", "{}", condition, [&](const PlatformReply &reply) { outcome = reply.outcome; });
    context.run();
    return { outcome, counters.value(Counter::PlatformErrors) };
}

}

TEST_CASE("a silent store connection is detected soon after the response was due; a slow response is not treated as silent")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 28\r\n\r\n";

    SECTION("without a response, the call fails after its wait time plus the silence timeout")
    {
        const SlowStore store({}, milliseconds(0));
        const WatchResult result = watch(store, milliseconds(200), milliseconds(100));
        CHECK(result.reply.outcome == PlatformOutcome::Unavailable);
        CHECK(result.elapsed >= milliseconds(290));
        CHECK(result.elapsed < milliseconds(1000));
    }
    SECTION("a response that stops midway fails the call after the silence timeout, without another wait time")
    {
        const SlowStore store({ head, "{\"events\":" }, milliseconds(10));
        const WatchResult result = watch(store, seconds(5), milliseconds(100));
        CHECK(result.reply.outcome == PlatformOutcome::Unavailable);
        CHECK(result.elapsed < seconds(2));
    }
    SECTION("a chunked response over a slow link is not cut off")
    {
        SlowStore store({ head, "{\"events\"", ":[],", "\"current", "Rev\"", ":7}" }, milliseconds(60));
        const WatchResult result = watch(store, milliseconds(0), milliseconds(150));
        // This check has failed twice beside builds, for a reason that is not known.
        INFO("longest time between two chunks " << std::chrono::duration_cast<milliseconds>(store.end()).count() << " ms, call "
                                                << std::chrono::duration_cast<milliseconds>(result.elapsed).count()
                                                << " ms, problem: " << result.reply.problem);
        CHECK(result.reply.isOk());
        CHECK(result.reply.revision == 7);
        CHECK(result.elapsed > milliseconds(200));
    }
}

TEST_CASE("a write that was sent may have been applied unless the store's response says otherwise")
{
    using Result = std::pair<PlatformOutcome, uint64_t>;
    const PutCondition condition = PutCondition::ifVersion(3);
    const std::string end = "Content-Length: 2\r\n\r\n{}";
    SECTION("never sent: nothing listens at the address")
    {
        boost::asio::io_context context;
        tcp::acceptor unused(context, { boost::asio::ip::address_v4::loopback(), 0 });
        const Endpoint endpoint{ boost::asio::ip::address_v4::loopback().to_uint(), unused.local_endpoint().port() };
        unused.close();
        CHECK(write(endpoint, condition) == Result(PlatformOutcome::Unavailable, 1));
    }
    SECTION("no response")
    {
        const SlowStore store({}, milliseconds(0));
        CHECK(write(store.endpoint(), condition) == Result(PlatformOutcome::Unknown, 1));
    }
    SECTION("a response that can't be parsed")
    {
        const SlowStore store({ "HTTP/1.1 200 OK\r\n" + end }, milliseconds(0));
        CHECK(write(store.endpoint(), condition) == Result(PlatformOutcome::Unknown, 1));
    }
    SECTION("an internal error")
    {
        const SlowStore store({ "HTTP/1.1 500 Internal Server Error\r\n" + end }, milliseconds(0));
        CHECK(write(store.endpoint(), condition) == Result(PlatformOutcome::Unknown, 1));
    }
    SECTION("refused: the expected version no longer exists")
    {
        const SlowStore store({ "HTTP/1.1 404 Not Found\r\n" + end }, milliseconds(0));
        CHECK(write(store.endpoint(), condition) == Result(PlatformOutcome::Conflict, 0));
    }
}
