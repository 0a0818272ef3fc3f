// End-to-end tests of hornbeamd with flows and the store's stand-in. The test process acts as router, callers and targets.

#include "flowprocess.h"

using namespace hornbeam;
using nlohmann::json;

TEST_CASE("flow daemon: two instances forward one flow, and a graceful shutdown loses no packets", "[endtoend]")
{
    ChildProcess platform("standins-platform", { "--listen", "127.0.0.1:0" });
    Endpoint store;
    REQUIRE(parseEndpoint(platform.readLine().substr(std::string("listening ").size()), store));
    createObject(store, "notes", "first", json::object()); // revisions of the platform start above 0, those of the stand-in at 0
    FlowProcess first("first", store);
    FlowProcess second("second", store);
    UdpTestSocket target(freePort()); // the TCP port is free as well, for connection checks
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor health(context, { boost::asio::ip::address_v4::loopback(), target.port() }); // makes connection checks succeed
    const Endpoint service{ 0xC6120001, 443 };
    const FlowKey flow{ { 0x7F000001, 40001 }, service };

    REQUIRE_FALSE(first.isReady()); // no targets and no configuration yet
    createTarget(store, target.port());
    createConfiguration(store);
    REQUIRE(first.waitReady());
    REQUIRE(second.waitReady());
    REQUIRE(first.waitTarget("i-1f"));
    REQUIRE(second.waitTarget("i-1f"));

    UdpTestSocket router;
    router.send(first.packets, makePacket(flow, true, 0, 100, ""));
    const Bytes opened = target.receive();
    REQUIRE(opened.size() == deliveryIdBytes + packetHeaderBytes);
    CHECK(opened[7] == 0x1f);
    const auto opening = parsePacket(opened.data() + deliveryIdBytes, opened.size() - deliveryIdBytes);
    REQUIRE(opening.has_value());
    CHECK(opening->token != 0);

    SECTION("another instance routes the flow by its token alone")
    {
        router.send(second.packets, makePacket(flow, false, opening->token, 101, "hello"));
        CHECK(target.receive().size() == deliveryIdBytes + packetHeaderBytes + 5);
    }
    SECTION("during shutdown an instance is not ready, still forwards packets, and exits with 0")
    {
        first.child->sendSignal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(300));
        CHECK_FALSE(first.isReady());
        router.send(first.packets, makePacket(flow, false, opening->token, 101, "hello"));
        CHECK(target.receive().size() == deliveryIdBytes + packetHeaderBytes + 5);
        CHECK(first.child->wait() == 0);
    }
    SECTION("SIGHUP reloads the settings, and invalid settings are ignored")
    {
        std::ofstream(first.file) << "{ broken";
        first.child->sendSignal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(300));
        router.send(first.packets, makePacket(flow, false, opening->token, 101, "hello"));
        CHECK(target.receive().size() == deliveryIdBytes + packetHeaderBytes + 5);
        first.child->sendSignal(SIGTERM);
        CHECK(first.child->readAll().find("settings_kept") != std::string::npos);
        CHECK(first.child->wait() == 0);
    }
    SECTION("packets to an address without a route are answered with a reset")
    {
        // resets are sent to the caller's address, at the port of the instance's own packet address
        router.send(first.packets, makePacket({ { 0x7F000002, 40001 }, { 0xC6120009, 443 } }, true, 0, 100, ""));
        std::this_thread::sleep_for(milliseconds(200));
        const auto page = httpGet(first.metrics, "/metrics", seconds(1));
        REQUIRE(page.has_value());
        CHECK(page->find("hornbeam_flow_resets_total{reason=\"route_unknown\"} 1") != std::string::npos);
    }
    SECTION("the placement of a flow that does not exist yet is explained without sending anything to the target")
    {
        const auto page = httpRead(first.metrics, "/explain?caller=127.0.0.1%3A40002&route=198.18.0.1%3A443", seconds(1));
        REQUIRE(page.has_value());
        CHECK(page->status == 200);
        CHECK(json::parse(page->body)["verdict"]["target"] == "i-1f");
        CHECK(httpRead(first.metrics, "/explain?caller=127.0.0.1&route=198.18.0.1%3A443", seconds(1))->status == 400);
    }
    SECTION("the configuration stays fresh while the store reports no changes")
    {
        std::this_thread::sleep_for(seconds(7)); // until the second long poll is in progress
        router.send(first.packets, makePacket({ { 0x7F000002, 40001 }, { 0xC6120009, 443 } }, true, 0, 100, ""));
        std::this_thread::sleep_for(milliseconds(200));
        CHECK(httpGet(first.metrics, "/metrics", seconds(1))->find("hornbeam_flow_resets_total{reason=\"route_unknown\"} 1") != std::string::npos);
    }
    SECTION("malformed packets are counted and have no other effect")
    {
        for (size_t size = 0; size < 200; ++size) {
            router.send(first.packets, Bytes(size, static_cast<uint8_t>(size * 31)));
        }
        router.send(first.packets, makePacket(flow, false, opening->token, 101, "hello"));
        CHECK(target.receive().size() == deliveryIdBytes + packetHeaderBytes + 5);
        CHECK(httpGet(first.metrics, "/metrics", seconds(1))->find("dropped_total{reason=\"malformed\"} 0") == std::string::npos);
    }
}

TEST_CASE("flow daemon: an instance takes over bounds that became fractions, and starts again with them", "[endtoend]") // it exited with 2 at each start
{
    PlatformProcess platform({ "--listen", "127.0.0.1:0" });
    Endpoint store;
    REQUIRE(parseEndpoint(platform.address, store));
    createObject(store, "notes", "first", json::object()); // revisions of the platform start above 0, those of the stand-in at 0
    UdpTestSocket target;
    createTarget(store, target.port());
    createConfiguration(store);
    json bounds{ { "drain_bound_ms", 3000 },      { "change_bound_ms", 3000 }, { "stability_ms", 4000 }, { "target_heartbeat_ms", 1200 },
                 { "evacuation_bound_ms", 3000 }, { "warmup_excess", 1.5 },    { "warmup_slack", 5 } };
    FlowProcess instance("bounds", store, "127.0.0.1", freePort(), {}, bounds);
    REQUIRE(instance.waitReady());

    json settings = json::parse(std::ifstream(instance.file));
    for (const auto &[setting, number] : bounds.items()) {
        settings["flows"][setting] = number.get<double>() + 0.5;
    }
    std::ofstream(instance.file) << settings;
    instance.child->sendSignal(SIGHUP);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(instance.isReady());
    instance.child->sendSignal(SIGTERM);
    const std::string log = instance.child->readAll();
    CHECK(log.find("settings_reloaded") != std::string::npos);
    CHECK(log.find("settings_kept") == std::string::npos);
    CHECK(instance.child->wait() == 0);

    instance.child = std::make_unique<ChildProcess>("hornbeamd", std::vector<std::string>{ "--settings", instance.file.string() });
    CHECK(instance.waitReady());
}

TEST_CASE("flow daemon: instances of a zone share store reads, and one that starts during a store outage gets its data from the others", "[endtoend]")
{
    auto platform = std::make_unique<ChildProcess>("standins-platform", std::vector<std::string>{ "--listen", "127.0.0.1:0" });
    Endpoint store;
    REQUIRE(parseEndpoint(platform->readLine().substr(std::string("listening ").size()), store));
    UdpTestSocket target(freePort()); // the TCP port is free as well, for connection checks
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor health(context, { boost::asio::ip::address_v4::loopback(), target.port() });
    createTarget(store, target.port());
    createConfiguration(store);
    const uint16_t peerPort = freePort();
    const std::vector<std::string> seeds{ "127.0.0.2:1", "127.0.0.3" };
    FlowProcess first("first", store, "127.0.0.2", peerPort, seeds);
    FlowProcess second("second", store, "127.0.0.3", peerPort, seeds);
    REQUIRE(first.waitReady());
    REQUIRE(second.waitReady());
    REQUIRE(first.waitTarget("i-1f"));
    REQUIRE(second.waitTarget("i-1f"));
    const auto members = [](const FlowProcess &process) {
        const auto page = httpGet(process.metrics, "/members", seconds(1));
        return page.has_value() ? json::parse(*page) : json();
    };
    const auto waitFor = [](const std::function<bool()> &condition) {
        for (int i = 0; i < 100 && !condition(); ++i) {
            std::this_thread::sleep_for(milliseconds(50));
        }
        return condition();
    };
    // the instance that receives requests reads the store; the other one does not
    REQUIRE(waitFor([&] { return members(first)["reads_targets"] != members(second)["reads_targets"]; }));

    SECTION("an instance of a zone without targets decides by the reports of the other zone that all flows leave")
    {
        const FlowProcess third("third", store, "127.0.0.5", peerPort, seeds, json::object(), "there");
        const auto shows = [](const FlowProcess &process, const std::string &line) {
            const auto page = httpGet(process.metrics, "/metrics", seconds(1));
            return page.has_value() && page->find(line) != std::string::npos;
        };
        CHECK(waitFor([&] { return shows(third, "hornbeam_flow_zone_leaving_share{service=\"booking\"} 1.0"); }));
        CHECK(shows(first, "hornbeam_flow_zone_leaving_share{service=\"booking\"} 0.0"));
        CHECK(shows(third, "peer_packets_rejected_total 0"));
    }
    SECTION("the state page shows when each instance calls the store next")
    {
        const bool isFirstReader = members(first)["reads_targets"] == true;
        const json readerCalls = members(isFirstReader ? first : second)["store_calls"];
        const json otherCalls = members(isFirstReader ? second : first)["store_calls"];
        REQUIRE(readerCalls.size() == 2);
        REQUIRE(otherCalls.size() == 2);
        CHECK(readerCalls[0]["reading"] == "targets");
        CHECK(readerCalls[0]["failures"] == 0);
        CHECK(readerCalls[0]["next_call_ms"] <= 1000);
        CHECK(otherCalls[0]["call_waiting"] == false);
        CHECK(otherCalls[0]["next_call_ms"] > 60000); // not the reader
        const auto metrics = httpGet(isFirstReader ? first.metrics : second.metrics, "/metrics", seconds(1));
        REQUIRE(metrics.has_value());
        CHECK(metrics->find("hornbeam_store_call_failures{reading=\"configuration\"} 0\n") != std::string::npos);
        CHECK(metrics->find("hornbeam_store_next_call_milliseconds{reading=\"targets\"} ") != std::string::npos);
    }
    SECTION("a change reaches both instances")
    {
        createObject(store, "servers", "i-2f",
                     { { "service", "booking" },
                       { "address", "127.0.0.1:1" },
                       { "zone", "here" },
                       { "slots", 2 },
                       { "state", "draining" },
                       { "warmupLeftMs", 0 },
                       { "version", "v1" },
                       { "seqNo", 1 },
                       { "born", 6 } });
        for (const FlowProcess *process : { &first, &second }) {
            CHECK(waitFor([&] { return httpGet(process->metrics, "/targets", seconds(1))->find("i-2f") != std::string::npos; }));
        }
    }
    SECTION("a third instance starts while the store is unavailable")
    {
        platform.reset();
        FlowProcess third("third", store, "127.0.0.4", peerPort, seeds);
        REQUIRE(third.waitReady());
        const FlowKey flow{ { 0x7F000001, 40001 }, { 0xC6120001, 443 } };
        const UdpTestSocket router;
        router.send(third.packets, makePacket(flow, true, 0, 100, ""));
        CHECK(target.receive().size() == deliveryIdBytes + packetHeaderBytes);
        CHECK(members(third)["configuration"]["age_ms"] > 0);
    }
    SECTION("after a graceful shutdown of the reader, the other instance takes over reading")
    {
        FlowProcess &reader = members(first)["reads_targets"] == true ? first : second;
        FlowProcess &other = &reader == &first ? second : first;
        reader.child->sendSignal(SIGTERM);
        CHECK(waitFor([&] { return members(other)["reads_targets"] == true; }));
        CHECK(reader.child->wait() == 0);
    }
}

TEST_CASE("flow daemon: an instance that runs in short slices is not ready until it runs normally", "[endtoend]")
{
    ChildProcess platform("standins-platform", { "--listen", "127.0.0.1:0" });
    Endpoint store;
    REQUIRE(parseEndpoint(platform.readLine().substr(std::string("listening ").size()), store));
    createTarget(store, freePort());
    createConfiguration(store);
    const uint16_t peerPort = freePort();
    const json quick{ { "overload_min_in_ms", 1000 }, { "overload_min_out_ms", 500 } };
    std::vector<std::unique_ptr<FlowProcess>> processes;
    for (int i = 2; i <= 6; ++i) {
        const std::string host = "127.0.0." + std::to_string(i);
        processes.push_back(std::make_unique<FlowProcess>("slow" + std::to_string(i), store, host, peerPort, std::vector<std::string>{ "127.0.0.2:1" }, quick));
    }
    for (const auto &process : processes) {
        REQUIRE(process->waitReady());
    }
    const FlowProcess &slow = *processes.back();
    const auto members = [&] { return json::parse(httpGet(slow.metrics, "/members", seconds(1)).value_or("{}")); };
    for (int i = 0; i < 100 && members()["members"].size() < processes.size(); ++i) {
        std::this_thread::sleep_for(milliseconds(50));
    }
    REQUIRE(members()["members"].size() == processes.size());
    CHECK(members()["overload"]["phase"] == "ready");
    bool wasOut = false;
    for (int i = 0; i < 60 && !wasOut; ++i) {
        slow.child->sendSignal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(120));
        slow.child->sendSignal(SIGCONT);
        std::this_thread::sleep_for(milliseconds(40));
        wasOut = !slow.isReady();
    }
    CHECK(wasOut);
    CHECK(httpGet(slow.metrics, "/metrics", seconds(1)).value_or("").find("hornbeam_overload_out 1\n") != std::string::npos);
    CHECK(slow.waitReady());
}
