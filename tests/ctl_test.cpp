#include "childprocess.h"
#include "platform/blockingplatform.h"
#include "store/statusreporter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <thread>

using namespace hornbeam;

namespace {
/** What a run of hornbeamctl printed and how it ended. */
struct CtlRun
{
    std::string text;
    int code = -1;
};

CtlRun runCtl(const std::string &platform, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), { "--platform", platform, "--who", "ana" });
    ChildProcess child("hornbeamctl", arguments);
    CtlRun run;
    run.text = child.readAll();
    run.code = child.wait();
    return run;
}

// a raw exchange: the stand-in's faults, or one answer of an instance's counters
void sendFaults(const Endpoint &endpoint, const std::string &body)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ boost::asio::ip::address_v4(endpoint.address), endpoint.port });
    const std::string request = "POST /faults HTTP/1.1\r\nHost: p\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string answer;
    boost::system::error_code closed;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), closed);
    REQUIRE(answer.find("200 OK") != std::string::npos);
}

bool has(const CtlRun &run, const std::string &text)
{
    return run.text.find(text) != std::string::npos;
}

std::string statusText(uint64_t version, uint32_t agreeing, const Clock &clock)
{
    ZoneStatus status;
    status.zone = "kl-1";
    status.members = 3;
    status.agreeing = agreeing;
    status.laggards = agreeing == 3 ? std::vector<std::string>{} : std::vector<std::string>{ "127.0.0.3:7946" };
    status.services = { { "booking", version } };
    status.writtenMs = clock.wallMillis();
    return serializeStatus(status);
}
}

TEST_CASE("each verb of hornbeamctl works against the platform", "[endtoend]")
{
    PlatformProcess process;
    Endpoint endpoint;
    REQUIRE(parseEndpoint(process.address, endpoint));
    const auto ctl = [&](const std::vector<std::string> &arguments) { return runCtl(process.address, arguments); };
    REQUIRE(ctl({ "create", "booking", "--port", "5683" }).code == 0);
    REQUIRE(ctl({ "add", "booking", "b1", "address=127.0.0.1:7001", "zone=kl-1", "slots=2" }).code == 0);
    REQUIRE(ctl({ "add", "booking", "b2", "address=127.0.0.1:7002" }).code == 0);
    BlockingPlatform platform(endpoint, seconds(5));
    const SystemClock clock;

    SECTION("show prints the table in three forms")
    {
        CHECK(has(ctl({ "show", "booking" }), "b1      127.0.0.1:7001  kl-1  100     2      1000         active"));
        CHECK(ctl({ "show", "booking", "--csv" }).text
              == "target,address,zone,weight,slots,connections,state\nb1,127.0.0.1:7001,kl-1,100,2,1000,active\nb2,127.0.0.1:7002,,100,1,1000,active\n");
        CHECK(has(ctl({ "show", "booking", "--json" }), "\"service\":\"booking\""));
        CHECK(ctl({ "show", "nothing" }).code == 1);
    }
    SECTION("set, drain, remove and delete change the table; the history tells who did")
    {
        CHECK(ctl({ "set", "booking", "b1", "weight", "50", "--expect", "100" }).code == 0);
        CHECK(ctl({ "set", "booking", "-", "queue_limit", "9" }).code == 0);
        CHECK(ctl({ "drain", "booking", "b2" }).code == 0);
        CHECK(has(ctl({ "show", "booking" }), "queue_limit 9"));
        CHECK(has(ctl({ "show", "booking", "--csv" }), "b2,127.0.0.1:7002,,100,1,1000,draining"));
        const CtlRun history = ctl({ "history", "booking" });
        CHECK(has(history, "b1 weight 100 -> 50"));
        CHECK(has(history, "ana"));
        CHECK(has(ctl({ "history", "booking", "--json" }), "\"what\":\"b2 state active -> draining\""));
        CHECK(ctl({ "remove", "booking", "b2" }).code == 0);
        CHECK_FALSE(has(ctl({ "show", "booking", "--csv" }), "b2"));
        CHECK(ctl({ "delete", "booking" }).code == 0);
        CHECK(has(ctl({ "show", "booking" }), "(deleted)"));
    }
    SECTION("a conflict has its own exit code and shows both values")
    {
        const CtlRun run = ctl({ "set", "booking", "b1", "weight", "50", "--expect", "90" });
        CHECK(run.code == 3);
        CHECK(has(run, "\"100\""));
        CHECK(has(run, "\"50\""));
    }
    SECTION("diff and apply take a CSV file")
    {
        const std::string path = "/tmp/hornbeam_ctl_" + std::to_string(::getpid()) + ".csv";
        std::ofstream(path) << "target,address,weight\nb1,127.0.0.1:7001,10\nb3,127.0.0.1:7003,5\n";
        const CtlRun diff = ctl({ "diff", "booking", path });
        CHECK(diff.code == 0);
        CHECK(has(diff, "removed b2\nb1 weight 100 -> 10\nadded b3"));
        CHECK(ctl({ "apply", "booking", path }).code == 0);
        CHECK(ctl({ "diff", "booking", path }).text.empty());
        std::remove(path.c_str());
        CHECK(ctl({ "apply", "booking", path }).code == 2);
    }
    SECTION("a lost answer is done once")
    {
        sendFaults(endpoint, R"({"lose_answer_after_write":1})");
        CHECK(ctl({ "set", "booking", "b1", "weight", "50" }).code == 0);
        const std::string history = ctl({ "history", "booking" }).text;
        CHECK(history.find("b1 weight") == history.rfind("b1 weight"));
        CHECK(history.find("b1 weight") != std::string::npos);
    }
    SECTION("wait ends when every zone has the version in force")
    {
        const uint64_t version = platform.get("tables/booking").version;
        const CtlRun none = ctl({ "wait", "booking", "--timeout", "0" });
        CHECK(none.code == 5);
        CHECK(has(none, "no zone has reported"));
        REQUIRE(platform.put("status/kl-1", statusText(version - 1, 3, clock), PutCondition{}).isOk());
        CHECK(ctl({ "wait", "booking", "--timeout", "0" }).code == 5);
        CHECK(ctl({ "wait", "booking", "--timeout", "0", "--version", std::to_string(version - 1) }).code == 0);
        std::thread zone([&]() { // the zone catches up while hornbeamctl waits
            BlockingPlatform own(endpoint, seconds(5));
            own.put("status/kl-1", statusText(version, 3, clock), PutCondition{});
        });
        CHECK(ctl({ "wait", "booking", "--timeout", "10" }).code == 0);
        zone.join();
    }
    SECTION("status shows the zones, what is behind and who lags")
    {
        REQUIRE(platform.put("status/kl-1", statusText(1, 2, clock), PutCondition{}).isOk());
        const CtlRun status = ctl({ "status" });
        CHECK(status.code == 0);
        CHECK(has(status, "booking:1<3"));
        CHECK(has(status, "127.0.0.3:7946"));
        CHECK(has(ctl({ "status", "--json" }), "\"members\":3"));
    }
    SECTION("counters come from an instance")
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
        const std::string from = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        std::thread instance([&]() {
            boost::asio::ip::tcp::socket socket(context);
            acceptor.accept(socket);
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nhornbeam_feeds_opened_total 7\n";
            boost::asio::write(socket, boost::asio::buffer(request.starts_with("GET /metrics ") ? answer : "HTTP/1.1 404 Not Found\r\n\r\n"));
        });
        const CtlRun counters = ctl({ "counters", "--from", from });
        instance.join();
        CHECK(counters.code == 0);
        CHECK(counters.text == "hornbeam_feeds_opened_total 7\n");
        acceptor.close();
        CHECK(ctl({ "counters", "--from", from }).code == 1);
    }
    SECTION("an outage and wrong usage have their exit codes")
    {
        sendFaults(endpoint, R"({"outage":true})");
        CHECK(ctl({ "show", "booking" }).code == 4);
        CHECK(ctl({ "status" }).code == 4);
        CHECK(ctl({ "create", "booking" }).code == 2);
        CHECK(ctl({ "polish", "booking" }).code == 2);
        CHECK(ctl({ "add", "booking", "b3", "colour=red" }).code == 2);
        CHECK(has(ctl({ "--help" }), "Exit codes:"));
        CHECK(has(ctl({ "--version" }), "hornbeamctl "));
    }
}
