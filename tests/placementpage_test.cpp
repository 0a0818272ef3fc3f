// Tests of the page /explain. Each section names the fault that it guards against.

#include "apps/placementpage.h"
#include "flowfakes.h"
#include "store/httpget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace hornbeam;
using Catch::Matchers::Contains;

namespace {

uint16_t freePort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    return acceptor.local_endpoint().port();
}

}

TEST_CASE("placement page: where a flow that does not exist yet would go")
{
    ForwarderFixture fixture;
    fixture.load({ makeTarget("b1"), makeTarget("b2"), makeTarget("b3", remoteZone) }, 7);
    const std::string caller = toString(ForwarderFixture::flow(9).caller);
    const auto explain = [&](const std::string &route) { return placementPage(fixture.forwarder, { { "caller", caller }, { "route", route } }); };

    SECTION("a dry run changes nothing, and the flow then goes where it said")
    {
        for (uint16_t port = 1; port <= 5; ++port) {
            fixture.establish(port);
        }
        const std::string counters = fixture.forwarder.flowCounters().text();
        const PageResponse first = explain("feed");
        CHECK(first.status == 200);
        CHECK(explain(toString(feedAddress)).text == first.text);
        CHECK(fixture.forwarder.flowCounters().text() == counters);
        CHECK(fixture.forwarder.flowCount() == 5);
        const nlohmann::json page = nlohmann::json::parse(first.text);
        CHECK(page["verdict"]["outcome"] == "placed");
        CHECK(page["service"] == "booking");
        CHECK(page["zones"]["decided"] == false);
        CHECK(page["candidates"].size() == 3);
        CHECK(page["verdict"]["target"] == fixture.open(9).target->record.name);
    }
    SECTION("no target: candidates say why")
    {
        fixture.list({});
        fixture.clock.advance(seconds(3));
        fixture.forwarder.onTargetChanges({}, {}, fixture.clock.now(), fixture.actions);
        CHECK(nlohmann::json::parse(explain("feed").text)["verdict"]["outcome"] == "no_target");
        TargetRecord draining = makeTarget("b1");
        draining.isDraining = true;
        fixture.list({ draining });
        const nlohmann::json page = nlohmann::json::parse(explain("feed").text);
        CHECK(page["candidates"][0]["phase"] == "draining");
        CHECK(page["candidates"][0]["usable"] == false);
    }
    SECTION("bad input gets a clear error")
    {
        CHECK(placementPage(fixture.forwarder, {}).status == 400);
        CHECK_THAT(placementPage(fixture.forwarder, { { "caller", "10.0.0.1" }, { "route", "feed" } }).text, Contains("is not a.b.c.d:port"));
        CHECK_THAT(placementPage(fixture.forwarder, { { "caller", caller } }).text, Contains("route is missing"));
        CHECK(explain("nothing").status == 404);
        CHECK_THAT(explain("nothing").text, Contains("no route \"nothing\" in version 7"));
        const ForwarderFixture empty;
        CHECK_THAT(placementPage(empty.forwarder, { { "caller", caller }, { "route", "feed" } }).text, Contains("configuration has not been loaded"));
    }
    SECTION("text for operators")
    {
        const std::string text = placementText(explain("feed").text);
        CHECK_THAT(text, Contains("outcome placed"));
        CHECK_THAT(text, Contains("target b1 zone"));
        CHECK(placementText("[]").empty());
        CHECK(placementText("no such page\n").empty());
    }
}

TEST_CASE("metrics server: pages with parameters")
{
    boost::asio::io_context context;
    const Endpoint local{ 0x7F000001, freePort() };
    MetricsServer server(context, local);
    REQUIRE(server.error().empty());
    server.addPage("/plain", [] { return std::string("plain"); });
    server.addQueryPage("/echo", [](const PageParameters &parameters) {
        std::string text;
        for (const auto &[name, value] : parameters) {
            text += name + "=" + value + ";";
        }
        return PageResponse{ 200, text };
    });
    server.beginAccept();
    std::thread thread([&context] { context.run(); });
    const auto read = [&local](const std::string &path) { return httpRead(local, path, seconds(2)).value_or(HttpPage{}); };
    CHECK(read("/echo?b=10.0.0.1%3A5&a=%22x%3Ey").body == "a=\"x>y;b=10.0.0.1:5;");
    CHECK(read("/echo").body.empty());
    for (const char *path : { "/echo?a=%", "/echo?a=%4", "/echo?a=%zz", "/echo?a", "/echo?&" }) {
        CHECK(read(path).status == 400);
    }
    CHECK(read("/plain").body == "plain");
    CHECK(read("/plain?a=1").status == 404);
    CHECK(read("/none?a=1").status == 404);
    server.endAccept();
    context.stop();
    thread.join();
}
