#include "core/coap.h"
#include "platform/blockingplatform.h"
#include "systemfixture.h"
#include "table/tableparser.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

namespace {

/** A caller's GET request for an item, with a payload of `padding` bytes. */
Bytes makeItemRequest(uint16_t messageId, size_t padding = 0)
{
    const std::vector<CoapOption> options{ { optionUriPath, optionValue("booking") }, { optionUriPath, optionValue("item") } };
    const std::string payload(padding, 'x');
    return buildCoap(CoapType::Confirmable, CoapCode::Get, messageId, { 1, 2 }, options, payload);
}

/** Sends a packet and returns the code of the response, or 0 if there is none. */
uint8_t responseCode(const Endpoint &to, const Bytes &packet)
{
    RawSocket socket(SOCK_DGRAM);
    socket.connect(to);
    socket.send(packet);
    const auto answer = parseCoap(socket.receiveAndConnect());
    return answer.has_value() ? answer->code : 0;
}

bool isServed(const std::string &balancer)
{
    return eventually(seconds(8),
                      [&] { return responseCode(SystemFixture::addressOf(balancer, 25683), makeItemRequest(7)) == static_cast<uint8_t>(CoapCode::Content); });
}

void checkCallerReport(const std::string &report)
{
    INFO(report);
    CHECK(sumField(report, "answered") > 0);
    CHECK(sumField(report, "lost") == 0);
    CHECK(sumField(report, "torn") == 0);
    CHECK(sumField(report, "broken_feeds") == 0);
}

void checkTargetReport(const std::string &report)
{
    INFO(report);
    CHECK(sumField(report, "executions") > 0);
    CHECK(sumField(report, "doubled") == 0);
    CHECK(sumField(report, "misdelivered") == 0);
}

}

TEST_CASE("daemon: callers are served while an instance shuts down and a table is edited", "[endtoend]")
{
    SystemFixture system;
    REQUIRE(system.startAll());
    const auto booking = system.startCallers("booking", { "--reads", "3", "--orders", "3", "--feeds", "8", "--seconds", "8" });
    const auto catalogue = system.startCallers("catalogue", { "--reads", "1", "--brochures", "1", "--seconds", "8" });
    REQUIRE(eventually(seconds(5), [&] {
        return system.metricValue("e1", "hornbeam_feeds_open") + system.metricValue("e2", "hornbeam_feeds_open")
            + system.metricValue("e3", "hornbeam_feeds_open")
            >= 8;
    }));

    // an edit is in force on all instances within 5 s
    REQUIRE(system.runCtl({ "set", "booking", "b1", "weight", "50" }) == 0);
    CHECK(system.runCtl({ "wait", "booking", "--timeout", "5" }) == 0);

    // graceful shutdown under load
    system.balancers.at("e1")->sendSignal(SIGTERM);
    CHECK(system.balancers.at("e1")->wait() == 0);
    system.setFabricInstances({ "e2", "e3" });

    // an invalid row is rejected, and the table in force is kept
    const int64_t inForce = system.metricValue("e2", "hornbeam_table_version{service=\"booking\"}");
    BlockingPlatform platform(endpointOf(system.platform.address), seconds(5));
    const PlatformReply present = platform.get(tableKey("booking"));
    REQUIRE(present.isOk());
    std::string bad = present.objects.at(0).value;
    const size_t weight = bad.find("\"weight\":");
    REQUIRE(weight != std::string::npos);
    bad.insert(weight + std::string("\"weight\":").size(), "-");
    REQUIRE(platform.put(tableKey("booking"), bad, PutCondition::ifVersion(present.version)).isOk());
    CHECK(eventually(seconds(5), [&] {
        return system.metricValue("e2", "hornbeam_table_rows_rejected_total") + system.metricValue("e3", "hornbeam_table_rows_rejected_total") > 0;
    }));
    CHECK(system.metricValue("e2", "hornbeam_table_version{service=\"booking\"}") == inForce);

    checkCallerReport(booking->readAll());
    checkCallerReport(catalogue->readAll());
    CHECK(system.metricValue("e2", "hornbeam_added_latency_seconds_count") > 0);
    checkTargetReport(system.stopTargets());
}

TEST_CASE("daemon: feeds continue when one instance is killed and another one is suspended", "[endtoend]")
{
    SystemFixture system;
    REQUIRE(system.startAll());
    const auto booking = system.startCallers("booking", { "--reads", "2", "--orders", "2", "--feeds", "8", "--seconds", "16" });
    REQUIRE(eventually(seconds(5), [&] {
        return system.metricValue("e1", "hornbeam_feeds_open") + system.metricValue("e2", "hornbeam_feeds_open")
            + system.metricValue("e3", "hornbeam_feeds_open")
            >= 8;
    }));
    system.balancers.at("e1")->sendSignal(SIGKILL);
    CHECK(system.balancers.at("e1")->wait() == -1);
    system.setFabricInstances({ "e2", "e3" });
    CHECK(eventually(seconds(10), [&] { return system.metricValue("e2", "hornbeam_members{state=\"dead\"}") == 1; }));

    system.balancers.at("e2")->sendSignal(SIGSTOP);
    system.setFabricInstances({ "e3" });
    CHECK(eventually(seconds(10), [&] { return system.metricValue("e3", "hornbeam_members{state=\"dead\"}") == 2; }));
    system.balancers.at("e2")->sendSignal(SIGCONT);
    CHECK(eventually(seconds(10), [&] { return system.metricValue("e3", "hornbeam_members{state=\"alive\"}") == 2; }));
    system.setFabricInstances({ "e2", "e3" });

    checkCallerReport(booking->readAll());
    checkTargetReport(system.stopTargets());
}

TEST_CASE("daemon: malformed packets on each port are counted and don't interrupt traffic", "[endtoend]")
{
    SystemFixture system;
    system.startBalancer("e1");
    REQUIRE(isServed("e1"));
    const Bytes invalidPacket{ 0xFF, 0x00, 0x13, 0x37 };

    SECTION("service port: truncated and oversized packets")
    {
        CHECK(responseCode(SystemFixture::addressOf("e1", 25683), Bytes{ 0x44, 1 }) == 0);
        CHECK(responseCode(SystemFixture::addressOf("e1", 25683), makeItemRequest(8, 2000)) == static_cast<uint8_t>(CoapCode::TooLarge));
        CHECK(system.metricValue("e1", "hornbeam_refusals_total{reason=\"malformed_packet\"}") == 1);
        CHECK(system.metricValue("e1", "hornbeam_refusals_total{reason=\"message_too_large\"}") == 1);
    }
    SECTION("peer port: unsigned datagrams and streams")
    {
        RawSocket datagram(SOCK_DGRAM);
        datagram.connect(SystemFixture::addressOf("e1", 27946));
        datagram.send(invalidPacket);
        datagram.send(Bytes(60000, 1));
        CHECK(eventually(seconds(5), [&] { return system.metricValue("e1", "hornbeam_peer_packets_rejected_total") == 2; }));
        RawSocket stream(SOCK_STREAM);
        REQUIRE(stream.connect(SystemFixture::addressOf("e1", 27946)));
        stream.send(Bytes(5000, 0x41));
    }
    SECTION("metrics port")
    {
        RawSocket stream(SOCK_STREAM);
        REQUIRE(stream.connect(SystemFixture::addressOf("e1", 29464)));
        stream.send(Bytes(5000, 0x41));
    }
    SECTION("target socket: a target answers probes with malformed packets")
    {
        RawSocket target(SOCK_DGRAM, endpointOf("127.0.6.20:27000"));
        REQUIRE(system.runCtl({ "add", "booking", "b9", "address=127.0.6.20:27000", "zone=kl-1" }) == 0);
        REQUIRE(eventually(seconds(5), [&] { return !target.receiveAndConnect().empty(); })); // the probe
        target.send(invalidPacket);
        CHECK(eventually(seconds(5), [&] { return system.metricValue("e1", "hornbeam_refusals_total{reason=\"malformed_packet\"}") == 1; }));
    }
    CHECK(isServed("e1"));
}

TEST_CASE("daemon: signals and settings", "[endtoend]")
{
    SECTION("invalid settings: the exit code is 2 and the output names the fields")
    {
        const std::string path = "/tmp/hornbeam_bad_" + std::to_string(::getpid()) + ".json";
        std::ofstream(path) << R"({"name":"e1","workers":0,"worker":3})";
        ChildProcess child("hornbeamd", { "--settings", path });
        const std::string text = child.readAll();
        CHECK(child.wait() == 2);
        for (const char *field : { "workers", "worker", "zone", "platform", "key_files" }) {
            CHECK(text.find(field) != std::string::npos);
        }
        std::remove(path.c_str());
    }
    SECTION("SIGHUP reloads the keys, and a second SIGTERM stops the process immediately")
    {
        SystemFixture system;
        system.startBalancer("e1");
        ChildProcess &child = *system.balancers.at("e1");
        const auto awaitLine = [&child](const std::string &text) {
            std::string line = child.readLine();
            while (!line.empty() && line.find(text) == std::string::npos) {
                line = child.readLine();
            }
            return !line.empty();
        };
        std::ofstream(system.keyFile()) << "short";
        child.sendSignal(SIGHUP);
        CHECK(awaitLine("keys=kept"));
        std::ofstream(system.keyFile()) << "101112131415161718191a1b1c1d1e1f";
        child.sendSignal(SIGHUP);
        CHECK(awaitLine("keys=reloaded count=1"));
        child.sendSignal(SIGTERM);
        CHECK(awaitLine("state=draining"));
        child.sendSignal(SIGTERM);
        CHECK(child.wait() == 1);
    }
}

TEST_CASE("daemon: an instance that starts during a platform outage gets the tables from its peers", "[endtoend]")
{
    SystemFixture system;
    system.startBalancer("e1");
    REQUIRE(eventually(seconds(10), [&] { return system.hasTables("e1"); }));
    system.setOutage(true);
    REQUIRE(eventually(seconds(10), [&] { return system.metricValue("e1", "hornbeam_platform_reachable") == 0; }));
    system.startBalancer("e2");
    CHECK(eventually(seconds(15), [&] { return system.hasTables("e2"); }));
    CHECK(isServed("e2"));
}
