// Tests of connection checks against sockets in this process.

#include "transport/connectioncheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace hornbeam;
using tcp = boost::asio::ip::tcp;

TEST_CASE("connection check: reports a connection that was established in time")
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint address{ boost::asio::ip::address_v4::loopback().to_uint(), acceptor.local_endpoint().port() };
    std::optional<ConnectionResult> result;
    const auto onResult = [&result](ConnectionResult given) {
        CHECK_FALSE(result.has_value()); // the result is reported once
        result = given;
    };

    SECTION("listening target: connected")
    {
        checkConnection(context, address, seconds(1), onResult);
        context.run();
        CHECK(result == ConnectionResult::Connected);
    }
    SECTION("port without a listener: refused")
    {
        acceptor.close();
        checkConnection(context, address, seconds(1), onResult);
        context.run();
        CHECK(result == ConnectionResult::Refused);
    }
    SECTION("connection established while the process was not scheduled: not reported as timed out")
    {
        // Repeated, because the event loop may deliver either event first.
        for (int round = 0; round < 20; ++round) {
            result.reset();
            context.restart();
            checkConnection(context, address, milliseconds(5), onResult);
            boost::asio::post(context, [] { std::this_thread::sleep_for(milliseconds(10)); });
            context.run();
            CHECK(result == ConnectionResult::Connected);
        }
    }
    SECTION("unresponsive host: timed out")
    {
        // When the accept queue is full, the next connection attempt is dropped.
        acceptor.close();
        tcp::acceptor full(context);
        full.open(tcp::v4());
        full.bind({ boost::asio::ip::address_v4::loopback(), 0 });
        full.listen(0);
        const Endpoint busy{ address.address, full.local_endpoint().port() };
        tcp::socket first(context);
        first.connect(full.local_endpoint());
        checkConnection(context, busy, milliseconds(100), onResult);
        context.run();
        CHECK(result == ConnectionResult::TimedOut);
    }
}
