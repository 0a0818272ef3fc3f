// End-to-end test of the evacuation of a zone with real processes and the store's stand-in.

#include "flowprocess.h"

using namespace hornbeam;
using nlohmann::json;

namespace {

constexpr seconds evacuationBound(5);

/** Two targets in two zones, and an instance in the zone of the first. */
struct EvacuationWorld
{
    EvacuationWorld() : platform(std::make_unique<ChildProcess>("standins-platform", std::vector<std::string>{ "--listen", "127.0.0.1:0" }))
    {
        REQUIRE(parseEndpoint(this->platform->readLine().substr(std::string("listening ").size()), this->store));
        createTarget(this->store, this->near.port());
        createTarget(this->store, this->far.port(), "i-2f", "there");
        createConfiguration(this->store);
        this->first = this->start("first", "127.0.0.2");
        REQUIRE(this->first->waitReady());
        REQUIRE(this->first->waitTarget("i-2f"));
    }
    std::unique_ptr<FlowProcess> start(const std::string &name, const std::string &host)
    {
        const json bound{ { "evacuation_bound_ms", milliseconds(evacuationBound).count() } };
        return std::make_unique<FlowProcess>(name, this->store, host, this->peerPort, std::vector<std::string>{ "127.0.0.2", "127.0.0.3" }, bound);
    }
    void evacuate(const std::string &zone)
    {
        createObject(this->store, "evacuations", zone, json::object());
    }
    void end(const std::string &zone)
    {
        REQUIRE(callStore(this->store, boost::beast::http::verb::delete_, "evacuations/" + zone) == boost::beast::http::status::ok);
    }
    static bool waitMetric(const FlowProcess &process, const std::string &line)
    {
        const auto begun = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - begun < evacuationBound) {
            const auto page = httpGet(process.metrics, "/metrics", seconds(1));
            if (page.has_value() && page->find(line + "\n") != std::string::npos) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }
    /** Sends an opening packet, and returns it as `target` received it. */
    std::optional<FlowPacket> open(uint16_t port, const UdpTestSocket &target) const
    {
        this->router.send(this->first->packets, makePacket(flow(port), true, 0, 100, ""));
        const Bytes opened = target.receive();
        return opened.size() < deliveryIdBytes ? std::nullopt : parsePacket(opened.data() + deliveryIdBytes, opened.size() - deliveryIdBytes);
    }
    static FlowKey flow(uint16_t port)
    {
        return { { 0x7F000001, port }, { 0xC6120001, 443 } };
    }

    std::unique_ptr<ChildProcess> platform;
    Endpoint store;
    UdpTestSocket near{ freePort() };
    UdpTestSocket far{ freePort() };
    UdpTestSocket router;
    boost::asio::io_context context;
    // make connection checks succeed
    boost::asio::ip::tcp::acceptor nearHealth{ this->context, { boost::asio::ip::address_v4::loopback(), this->near.port() } };
    boost::asio::ip::tcp::acceptor farHealth{ this->context, { boost::asio::ip::address_v4::loopback(), this->far.port() } };
    uint16_t peerPort = freePort();
    std::unique_ptr<FlowProcess> first;
};

}

TEST_CASE("flow daemon: an evacuated zone gets no new flows, keeps its open ones, and is taken back", "[endtoend]")
{
    EvacuationWorld world;
    const auto opened = world.open(40001, world.near);
    REQUIRE(opened.has_value());
    world.evacuate("here");
    REQUIRE(EvacuationWorld::waitMetric(*world.first, "hornbeam_flow_zones_evacuated 1.0"));
    CHECK(EvacuationWorld::waitMetric(*world.first, "hornbeam_flow_targets_evacuated 1.0"));

    SECTION("until its object is deleted")
    {
        CHECK(world.open(40002, world.far).has_value());
        world.router.send(world.first->packets, makePacket(EvacuationWorld::flow(40001), false, opened->token, 101, "hello"));
        CHECK(world.near.receive().size() == deliveryIdBytes + packetHeaderBytes + 5);
        world.evacuate("there");
        REQUIRE(EvacuationWorld::waitMetric(*world.first, "hornbeam_flow_zones_evacuated 2.0"));
        world.router.send(world.first->packets, makePacket(EvacuationWorld::flow(40003), true, 0, 100, ""));
        CHECK(EvacuationWorld::waitMetric(*world.first, "hornbeam_flow_resets_total{reason=\"evacuated\"} 1"));
        world.end("here");
        REQUIRE(EvacuationWorld::waitMetric(*world.first, "hornbeam_flow_zones_evacuated 1.0"));
        CHECK(world.open(40004, world.near).has_value());
        world.first->child->sendSignal(SIGTERM);
        const std::string log = world.first->child->readAll();
        for (const char *event : { "evacuations_loaded", "evacuation_begun", "flow_restricted", "evacuation_ended" }) {
            CHECK(log.find(event) != std::string::npos);
        }
    }
    SECTION("also by an instance that starts while the store is away")
    {
        world.platform.reset();
        const auto second = world.start("second", "127.0.0.3");
        REQUIRE(second->waitReady());
        CHECK(EvacuationWorld::waitMetric(*second, "hornbeam_flow_zones_evacuated 1.0"));
        const auto page = httpGet(second->metrics, "/members", seconds(1));
        REQUIRE(page.has_value());
        CHECK(json::parse(*page)["evacuations"]["zones"] == json::array({ "here" }));
    }
}
