#include "transport/udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace hornbeam;

TEST_CASE("a datagram reaches the socket it was sent to")
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

TEST_CASE("a socket that can't be bound says which address and why")
{
    boost::asio::io_context context;
    const UdpSocket socket(context, Endpoint{ 0x08080808, 53 }, false);
    CHECK(socket.error().find("8.8.8.8:53") != std::string::npos);
}
