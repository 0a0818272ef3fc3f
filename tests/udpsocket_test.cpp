#include "transport/udpsocket.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace hornbeam;

TEST_CASE("a datagram is delivered to the socket that it was sent to")
{
    boost::asio::io_context context;
    const Endpoint loopback{ 0x7F000001, 0 };
    UdpSocket sender(context, loopback, false);
    UdpSocket receiver(context, loopback, false);
    REQUIRE(sender.error().empty());
    REQUIRE(receiver.error().empty());

    Bytes received;
    Endpoint source;
    receiver.beginReceive([&](const Endpoint &from, const uint8_t *data, size_t size) {
        source = from;
        received.assign(data, data + size);
        context.stop();
    });
    REQUIRE(sender.send(receiver.local(), Bytes{ 1, 2, 3 }));
    context.run_for(std::chrono::seconds(5));
    CHECK(received == Bytes{ 1, 2, 3 });
    CHECK(source == sender.local());
}

TEST_CASE("a socket can be closed while another worker thread receives from it")
{
    boost::asio::io_context context;
    auto work = boost::asio::make_work_guard(context);
    std::vector<std::thread> workers;
    for (int i = 0; i < 2; ++i) {
        workers.emplace_back([&context] { context.run(); });
    }
    UdpSocket sender(context, Endpoint{ 0x7F000001, 0 }, false);
    std::atomic<size_t> received = 0;
    constexpr size_t sockets = 20;
    constexpr size_t packets = 50;
    for (size_t i = 0; i < sockets; ++i) {
        UdpSocket receiver(context, Endpoint{ 0x7F000001, 0 }, false);
        receiver.beginReceive([&received](const Endpoint &, const uint8_t *, size_t) { ++received; });
        const size_t before = received;
        for (size_t sent = 0; sent < packets; ++sent) {
            sender.send(receiver.local(), Bytes{ 1 });
        }
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (received == before && std::chrono::steady_clock::now() < end) {
            std::this_thread::yield();
        }
    }
    sender.endReceive();
    work.reset();
    for (std::thread &worker : workers) {
        worker.join(); // returns only after every receive loop has ended
    }
    CHECK(received >= sockets);
    CHECK(received <= sockets * packets);
}

TEST_CASE("a bind failure is reported with the address")
{
    boost::asio::io_context context;
    const UdpSocket socket(context, Endpoint{ 0x08080808, 53 }, false);
    CHECK(socket.error().find("8.8.8.8:53") != std::string::npos);
}
