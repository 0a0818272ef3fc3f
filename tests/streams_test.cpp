#include "peer/codec.h"
#include "transport/http2session.h"
#include "transport/streams.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <rapidcheck.h>
#include <thread>

using namespace hornbeam;

namespace {

constexpr Endpoint loopback{ 0x7F000001, 0 };
constexpr std::chrono::seconds testTimeout{ 10 };

/** Runs the context until `condition` is true or the test timeout has passed. Returns whether the condition is true. */
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
}

TableText makeTableText(size_t bytes)
{
    return TableText{ "booking", bytes, std::string(bytes, 'x') };
}

/** Records the events of an Http2Session. */
struct RecordingListener final : Http2Listener
{
    void bodyReceived(int32_t stream, const Bytes &body) override
    {
        this->bodies.push_back(body);
        this->server->respond(stream, StreamStatus::Accepted);
    }
    void requestEnded(int32_t, StreamStatus status) override
    {
        this->statuses.push_back(status);
    }
    Http2Session *server = nullptr;
    std::vector<Bytes> bodies;
    std::vector<StreamStatus> statuses;
};

} // namespace

TEST_CASE("peer messages are delivered over streams")
{
    boost::asio::io_context context;
    Counters counters;
    const PacketSigner signer({ Bytes(32, 1) });
    std::vector<TableText> received;
    const StreamHandler handler = [&received](const PeerMessage &message) { received.push_back(std::get<TableText>(message)); };
    auto server = std::make_unique<StreamServer>(context, loopback, StreamServerSettings(), signer, counters, handler);
    REQUIRE(server->error().empty());
    const Endpoint peer = server->local();
    server->beginAccept();
    StreamClientSettings settings;
    settings.idleTimeout = std::chrono::seconds(1);
    StreamClient client(context, settings, signer, counters);

    SECTION("more messages than the concurrent stream limit, one of them 1 MiB, arrive complete")
    {
        for (size_t i = 0; i < 20; ++i) {
            REQUIRE(client.send(peer, makeTableText(100 + i)));
        }
        REQUIRE(client.send(peer, makeTableText(1024 * 1024)));
        REQUIRE(runUntil(context, [&] { return received.size() == 21; }));
        for (const TableText &text : received) {
            CHECK(text.text.size() == text.version);
        }
        CHECK(client.peerCount() == 1);

        SECTION("an unused connection is closed, and reopened for the next message")
        {
            CHECK(runUntil(context, [&] { return client.peerCount() == 0; }));
            REQUIRE(client.send(peer, makeTableText(7)));
            CHECK(runUntil(context, [&] { return received.size() == 22; }));
        }
        CHECK(counters.value(Counter::StreamSendsDropped) == 0);
    }
    SECTION("a message that is too large or doesn't fit into the queue is rejected at once")
    {
        CHECK_FALSE(client.send(peer, makeTableText(maxStreamBodyBytes)));
        size_t queued = 0;
        while (queued < 10 && client.send(peer, makeTableText(1024 * 1024))) {
            ++queued;
        }
        CHECK(queued == 3); // the queue holds 4 MiB, and each message has some overhead besides its text
        CHECK(counters.value(Counter::StreamSendsDropped) == 2);
    }
    SECTION("a message signed with another key is rejected and counted, and other clients are unaffected")
    {
        const PacketSigner otherSigner({ Bytes(32, 2) });
        StreamClient clientWithOtherKey(context, settings, otherSigner, counters);
        REQUIRE(clientWithOtherKey.send(peer, makeTableText(5)));
        REQUIRE(runUntil(context, [&] { return counters.value(Counter::StreamSendsDropped) == 1; }));
        CHECK(counters.value(Counter::StreamRejected) == 1);
        REQUIRE(client.send(peer, makeTableText(6)));
        CHECK(runUntil(context, [&] { return received.size() == 1; }));
        CHECK(received.front().version == 6);
    }
    SECTION("queued messages are delivered after the peer restarts")
    {
        REQUIRE(client.send(peer, makeTableText(1)));
        REQUIRE(runUntil(context, [&] { return received.size() == 1; }));
        server.reset();
        context.restart();
        context.poll();
        REQUIRE(client.send(peer, makeTableText(2)));
        context.restart();
        context.run_for(std::chrono::milliseconds(60));
        server = std::make_unique<StreamServer>(context, peer, StreamServerSettings(), signer, counters, handler);
        REQUIRE(server->error().empty());
        server->beginAccept();
        CHECK(runUntil(context, [&] { return received.size() == 2; }));
    }
    SECTION("a message to an unreachable peer is dropped and counted, and the peer's state is removed")
    {
        server.reset();
        context.restart();
        context.poll();
        REQUIRE(client.send(peer, makeTableText(2)));
        CHECK(runUntil(context, [&] { return client.peerCount() == 0; }));
        CHECK(counters.value(Counter::StreamSendsDropped) == 1);
    }
    SECTION("input that isn't HTTP/2 is counted and closes the connection")
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::address_v4(peer.address), peer.port });
        boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: peer\r\n\r\n")));
        Bytes response(4096);
        bool isClosed = false;
        boost::asio::async_read(socket, boost::asio::buffer(response), [&isClosed](const boost::system::error_code &failure, size_t) { isClosed = !!failure; });
        CHECK(runUntil(context, [&] { return isClosed; }));
        CHECK(counters.value(Counter::StreamRejected) == 1);
    }
}

TEST_CASE("a connection to a peer that accepts but never responds is closed")
{
    boost::asio::io_context context;
    Counters counters;
    const PacketSigner signer({ Bytes(32, 1) });
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::address_v4(loopback.address), 0 });
    StreamClientSettings settings;
    settings.stallTimeout = std::chrono::seconds(1);
    settings.maxAttempts = 2;
    StreamClient client(context, settings, signer, counters);
    REQUIRE(client.send(Endpoint{ loopback.address, acceptor.local_endpoint().port() }, makeTableText(1)));
    CHECK(runUntil(context, [&] { return client.peerCount() == 0; }));
    CHECK(counters.value(Counter::StreamSendsDropped) == 1);
}

TEST_CASE("several worker threads serve and send concurrently")
{
    boost::asio::io_context context;
    Counters counters;
    const PacketSigner signer({ Bytes(32, 1) });
    std::atomic<size_t> received = 0;
    StreamServer server(context, loopback, StreamServerSettings(), signer, counters, [&received](const PeerMessage &) { ++received; });
    REQUIRE(server.error().empty());
    server.beginAccept();
    std::vector<std::unique_ptr<StreamClient>> clients;
    for (int i = 0; i < 3; ++i) {
        clients.push_back(std::make_unique<StreamClient>(context, StreamClientSettings(), signer, counters));
    }
    std::vector<std::thread> workers;
    for (int i = 0; i < 3; ++i) {
        workers.emplace_back([&context] { context.run_for(testTimeout); });
    }
    for (size_t i = 0; i < 300; ++i) {
        CHECK(clients[i % clients.size()]->send(server.local(), makeTableText(2000)));
    }
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (received < 300 && std::chrono::steady_clock::now() < end) {
        std::this_thread::yield();
    }
    context.stop();
    for (std::thread &worker : workers) {
        worker.join();
    }
    CHECK(received == 300);
    CHECK(counters.value(Counter::StreamSendsDropped) == 0);
}

TEST_CASE("an HTTP/2 session handles corrupted input")
{
    const bool passed = rc::check("receive returns, and no body is longer than the input", [](uint16_t at, uint8_t flip, const Bytes &input) {
        RecordingListener serverListener;
        Http2Session server(Http2Session::Role::Server, serverListener);
        serverListener.server = &server;
        RecordingListener clientListener;
        Http2Session client(Http2Session::Role::Client, clientListener);
        RC_ASSERT(client.startRequest(Bytes(300, 7)) > 0);
        Bytes wire = client.takeOutput();
        wire[at % wire.size()] ^= flip;
        wire.insert(wire.end(), input.begin(), input.end());
        (void)server.receive(wire.data(), wire.size()); // both results are valid
        const bool isBounded = serverListener.bodies.empty() || serverListener.bodies.front().size() <= wire.size();
        RC_ASSERT(isBounded);
        if (flip == 0 && input.empty()) {
            RC_ASSERT(serverListener.bodies.size() == 1U);
        }
    });
    CHECK(passed);
}
