// Stories of connection checks against sockets of this process.

#include "transport/connectioncheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace hornbeam;
using tcp = boost::asio::ip::tcp;

TEST_CASE("connection check: a connection that came about in time counts")
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint address{ boost::asio::ip::address_v4::loopback().to_uint(), acceptor.local_endpoint().port() };
    std::optional<ConnectionResult> result;
    const auto onResult = [&result](ConnectionResult given) {
        CHECK_FALSE(result.has_value()); // told once
        result = given;
    };

    SECTION("a listening target is connected to")
    {
        checkConnection(context, address, seconds(1), onResult);
        context.run();
        CHECK(result == ConnectionResult::Connected);
    }
    SECTION("a port without a listener refuses")
    {
        acceptor.close();
        checkConnection(context, address, seconds(1), onResult);
        context.run();
        CHECK(result == ConnectionResult::Refused);
    }
    SECTION("a process that got no processor time while the connection came about does not count it as timed out")
    {
        // many times, since either event may come first out of the loop
        for (int round = 0; round < 20; ++round) {
            result.reset();
            context.restart();
            checkConnection(context, address, milliseconds(5), onResult);
            boost::asio::post(context, [] { std::this_thread::sleep_for(milliseconds(10)); });
            context.run();
            CHECK(result == ConnectionResult::Connected);
        }
    }
    SECTION("a host that answers nothing times out")
    {
        // a full queue of new connections drops the next one
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
