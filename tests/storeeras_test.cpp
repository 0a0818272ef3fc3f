// A store that is restored from a backup: revisions fall and are given out again, and what was written since is missing until it is written again.

#include "flowprocess.h"

#include <set>

using namespace hornbeam;
using boost::beast::http::status;
using boost::beast::http::verb;
using nlohmann::json;

namespace {

constexpr milliseconds bound(3000);        // of changes, targets and evacuations
constexpr milliseconds returnPeriod(2000); // after a restore, for entries that the backup lacks
constexpr uint16_t firstRoute = 443;       // in the backup

/** The store's stand-in, with the writes of an operator and of targets. */
class StoreFixture
{
public:
    StoreFixture()
    {
        REQUIRE(parseEndpoint(this->platform.address, this->store));
        this->raiseRevision(1); // revisions of the platform start above 0, those of the stand-in at 0
    }
    void raiseRevision(int writes)
    {
        for (int i = 0; i < writes; ++i) {
            createObject(this->store, "notes", "note" + std::to_string(this->notes++), json::object());
        }
    }
    void takeBackup() const
    {
        REQUIRE(requestStore(this->store, verb::post, "/faults", R"({"take_backup":true})").result() == status::ok);
    }
    void restoreBackup() const
    {
        REQUIRE(requestStore(this->store, verb::post, "/faults", R"({"restore_backup":true})").result() == status::ok);
    }
    uint64_t revision() const
    {
        return json::parse(requestStore(this->store, verb::get, "/api/objects/notes").body())["currentRev"];
    }
    /** Writes a configuration with one route to the service "booking" for each port. */
    void writeConfiguration(uint64_t version, const std::set<uint16_t> &ports) const
    {
        json spec = json::parse(requestStore(this->store, verb::get, "/api/objects/config/main").body())["spec"];
        json route = spec["routes"][0];
        spec["version"] = version;
        spec["routes"] = json::array();
        for (const uint16_t port : ports) {
            route["name"] = "r" + std::to_string(port);
            route["pathPrefix"] = "/" + std::to_string(port) + "/";
            spec["routes"].push_back(route);
        }
        this->replace("config/main", spec);
    }
    void remove(const std::string &key) const
    {
        REQUIRE(callStore(this->store, verb::delete_, key) == status::ok);
    }
    void drainTarget(const std::string &name) const
    {
        json spec = json::parse(requestStore(this->store, verb::get, "/api/objects/servers/" + name).body())["spec"];
        spec["state"] = "draining";
        this->replace("servers/" + name, spec);
    }

    PlatformProcess platform;
    Endpoint store;

private:
    void replace(const std::string &key, const json &spec) const
    {
        const std::string name = key.substr(key.find('/') + 1);
        REQUIRE(callStore(this->store, verb::put, key, json{ { "meta", { { "name", name } } }, { "spec", spec } }.dump()) == status::ok);
    }

    int notes = 0;
};

/** A target on loopback; its TCP port accepts connections, for connection checks. */
struct FakeTarget
{
    UdpTestSocket socket{ freePort() };
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor{ context, { boost::asio::ip::address_v4::loopback(), socket.port() } };
};

/** Two instances of a zone, and two targets of which the first is registered before the backup is taken. */
struct RestoreFixture : StoreFixture
{
    RestoreFixture()
    {
        createTarget(this->store, this->first.socket.port(), "i-1f");
        createConfiguration(this->store);
        for (const std::unique_ptr<FlowProcess> &instance : this->instances) {
            if (!instance->waitReady() || !instance->waitTarget("i-1f")) {
                const std::string targets = httpGet(instance->metrics, "/targets", seconds(1)).value_or("no answer");
                instance->child->sendSignal(SIGTERM);
                FAIL("not ready or without its target; targets: " << targets << "; log: " << instance->child->readAll());
            }
        }
        this->takeBackup();
        this->backupRevision = this->revision();
    }
    static json settings()
    {
        return {
            { "drain_bound_ms", bound.count() }, { "change_bound_ms", bound.count() }, { "evacuation_bound_ms", bound.count() }, { "stability_ms", 4000 }
        };
    }
    /** Opens a new flow through an instance. Returns its token, or 0 if none of the targets received its opening packet. */
    RoutingToken open(size_t instance, uint16_t port, const FakeTarget &target)
    {
        this->router.send(this->instances[instance]->packets, makePacket(this->nextFlow(port), true, 0, 100, ""));
        const Bytes packet = target.socket.receive();
        if (packet.size() != deliveryIdBytes + packetHeaderBytes) {
            return 0;
        }
        return parsePacket(packet.data() + deliveryIdBytes, packet.size() - deliveryIdBytes)->token;
    }
    /** Whether new flows of a route go to a target through each instance. */
    bool isServed(uint16_t port, const FakeTarget &target)
    {
        return this->open(0, port, target) != 0 && this->open(1, port, target) != 0;
    }
    FlowKey nextFlow(uint16_t port)
    {
        return { { 0x7F000001, ++this->callerPort }, { 0xC6120001, port } };
    }
    FlowKey latestFlow(uint16_t port) const
    {
        return { { 0x7F000001, this->callerPort }, { 0xC6120001, port } };
    }

    FakeTarget first;
    FakeTarget second;
    std::unique_ptr<FlowProcess> instances[2] = {
        std::make_unique<FlowProcess>("era-a", store, "127.0.0.1", freePort(), std::vector<std::string>{}, settings()),
        std::make_unique<FlowProcess>("era-b", store, "127.0.0.1", freePort(), std::vector<std::string>{}, settings()),
    };
    UdpTestSocket router;
    uint64_t backupRevision = 0;
    uint16_t callerPort = 40000;
};

}

TEST_CASE("the platform stand-in is restored from a backup", "[endtoend]")
{
    StoreFixture fixture;
    const Endpoint store = fixture.store;
    const auto eraOf = [](const StoreResponse &response) { return std::string(response["Store-Era"]); };
    const auto get = [store](const std::string &target) { return requestStore(store, verb::get, target); };

    SECTION("every response carries the era, also errors, and it rises by one with each restore")
    {
        fixture.takeBackup();
        for (const char *era : { "1", "2", "3" }) {
            CHECK(eraOf(get("/api/objects/notes")) == era);
            CHECK(eraOf(get("/api/objects/notes/none")) == era);
            CHECK(eraOf(get("/api/objects/notes?watch=0&waitMs=10")) == era);
            CHECK(eraOf(get("/api/objects/notes?watch=1000&waitMs=10")) == era);
            CHECK(eraOf(requestStore(store, verb::post, "/api/objects/notes", "{}")) == era);
            requestStore(store, verb::post, "/faults", R"({"outage":true})");
            CHECK(eraOf(get("/api/objects/notes")) == era);
            requestStore(store, verb::post, "/faults", R"({"outage":false})");
            fixture.restoreBackup();
        }
    }
    SECTION("what was written since the backup is gone, and its revisions are given out again")
    {
        const uint64_t before = fixture.revision();
        fixture.takeBackup();
        createObject(store, "notes", "lost", json::object());
        REQUIRE(fixture.revision() == before + 1);
        fixture.restoreBackup();
        CHECK(fixture.revision() == before);
        CHECK(get("/api/objects/notes/lost").result() == status::not_found);
        createObject(store, "notes", "other", json::object());
        CHECK(json::parse(get("/api/objects/notes/other").body())["meta"]["rev"] == before + 1);
    }
    SECTION("a watch from a revision that the store doesn't have gets 410, and so does one that waits during the restore")
    {
        fixture.takeBackup();
        fixture.raiseRevision(3);
        const std::string watch = "/api/objects/notes?waitMs=5000&watch=" + std::to_string(fixture.revision());
        std::thread restore([&fixture] {
            std::this_thread::sleep_for(milliseconds(200));
            fixture.restoreBackup();
        });
        CHECK(get(watch).result() == status::gone);
        restore.join();
        CHECK(get(watch).result() == status::gone);
    }
    SECTION("without a backup there is nothing to restore")
    {
        CHECK(requestStore(store, verb::post, "/faults", R"({"restore_backup":true})").result() == status::bad_request);
    }
}

TEST_CASE("flow daemon: a restored store takes back no configuration that was in force, and resets no open flow", "[endtoend]")
{
    RestoreFixture fixture;
    fixture.raiseRevision(20);
    fixture.writeConfiguration(2, { firstRoute, 444 });
    std::this_thread::sleep_for(bound);
    const RoutingToken token = fixture.open(0, 444, fixture.first);
    REQUIRE(token != 0);
    const FlowKey flow = fixture.latestFlow(444);
    fixture.restoreBackup();
    std::this_thread::sleep_for(bound);

    for (const std::unique_ptr<FlowProcess> &instance : fixture.instances) {
        fixture.router.send(instance->packets, makePacket(flow, false, token, 101, "hello"));
        CHECK(fixture.first.socket.receive().size() == deliveryIdBytes + packetHeaderBytes + 5);
    }
    CHECK(fixture.isServed(444, fixture.first));
    CHECK(fixture.isServed(firstRoute, fixture.first));
}

TEST_CASE("flow daemon: a restored store brings nothing back that has ended", "[endtoend]")
{
    RestoreFixture fixture;
    createTarget(fixture.store, fixture.second.socket.port(), "i-2f");
    REQUIRE(fixture.instances[0]->waitTarget("i-2f"));
    REQUIRE(fixture.instances[1]->waitTarget("i-2f"));
    SECTION("a target that drains stands in the backup as ready")
    {
        fixture.takeBackup();
        fixture.drainTarget("i-1f");
        std::this_thread::sleep_for(bound);
        fixture.restoreBackup();
        std::this_thread::sleep_for(bound);
        for (int flows = 0; flows < 10; ++flows) {
            CHECK(fixture.isServed(firstRoute, fixture.second));
        }
    }
    SECTION("a target that left stands in the backup")
    {
        fixture.takeBackup();
        fixture.remove("servers/i-1f");
        std::this_thread::sleep_for(bound);
        fixture.restoreBackup();
        std::this_thread::sleep_for(bound);
        for (int flows = 0; flows < 10; ++flows) {
            CHECK(fixture.isServed(firstRoute, fixture.second));
        }
    }
    SECTION("an evacuation that was taken back stands in the backup")
    {
        fixture.remove("servers/i-2f");
        createObject(fixture.store, "evacuations", "here", json::object());
        std::this_thread::sleep_for(bound);
        fixture.takeBackup();
        fixture.remove("evacuations/here");
        std::this_thread::sleep_for(bound);
        REQUIRE(fixture.isServed(firstRoute, fixture.first));
        fixture.restoreBackup();
        std::this_thread::sleep_for(bound);
        CHECK(fixture.isServed(firstRoute, fixture.first));
    }
}

// Guard against changes that are ignored because their revisions were seen before the restore.

TEST_CASE("flow daemon: an edit that is written to a restored store is in force within its bound", "[endtoend]")
{
    RestoreFixture fixture;
    SECTION("an edit that was lost is written again, and another one follows")
    {
        fixture.raiseRevision(20);
        fixture.writeConfiguration(2, { firstRoute, 444 });
        std::this_thread::sleep_for(bound);
        fixture.restoreBackup();
        fixture.writeConfiguration(2, { firstRoute, 444 });
        fixture.writeConfiguration(3, { firstRoute, 444, 445 });
        std::this_thread::sleep_for(bound);
        CHECK(fixture.isServed(445, fixture.first));
        fixture.raiseRevision(40); // beyond all that the instances have seen
        std::this_thread::sleep_for(bound);
        CHECK(fixture.isServed(445, fixture.first));
    }
    SECTION("an edit gets the revision of one that was lost")
    {
        fixture.writeConfiguration(2, { firstRoute, 444 });
        std::this_thread::sleep_for(bound);
        fixture.restoreBackup();
        fixture.writeConfiguration(3, { firstRoute, 444, 445 });
        REQUIRE(fixture.revision() == fixture.backupRevision + 1);
        std::this_thread::sleep_for(bound);
        CHECK(fixture.isServed(445, fixture.first));
    }
}

TEST_CASE("flow daemon: what targets write to a restored store is in force within its bound", "[endtoend]")
{
    RestoreFixture fixture;
    SECTION("a target registers and another one drains")
    {
        fixture.raiseRevision(20);
        createTarget(fixture.store, freePort(), "i-3f"); // makes the instances see a revision that the backup doesn't have
        fixture.remove("servers/i-3f");
        std::this_thread::sleep_for(bound);
        fixture.restoreBackup();
        createTarget(fixture.store, fixture.second.socket.port(), "i-2f");
        fixture.drainTarget("i-1f");
        std::this_thread::sleep_for(returnPeriod + bound);
        CHECK(fixture.isServed(firstRoute, fixture.second));
        fixture.raiseRevision(40); // beyond all that the instances have seen
        std::this_thread::sleep_for(bound);
        CHECK(fixture.isServed(firstRoute, fixture.second));
    }
    SECTION("a target that isn't registered again gets no new flows")
    {
        createTarget(fixture.store, fixture.second.socket.port(), "i-2f");
        REQUIRE(fixture.instances[0]->waitTarget("i-2f"));
        REQUIRE(fixture.instances[1]->waitTarget("i-2f"));
        fixture.restoreBackup();
        std::this_thread::sleep_for(returnPeriod + bound);
        for (int flows = 0; flows < 10; ++flows) {
            CHECK(fixture.isServed(firstRoute, fixture.first));
        }
    }
}

TEST_CASE("flow daemon: an evacuation that is written to a restored store is in force within its bound", "[endtoend]")
{
    RestoreFixture fixture;
    fixture.raiseRevision(20);
    createObject(fixture.store, "evacuations", "elsewhere", json::object()); // makes the instances see a revision that the backup doesn't have
    std::this_thread::sleep_for(bound);
    fixture.restoreBackup();
    createObject(fixture.store, "evacuations", "here", json::object());
    std::this_thread::sleep_for(bound);
    for (const std::unique_ptr<FlowProcess> &instance : fixture.instances) {
        const auto page = httpGet(instance->metrics, "/members", seconds(1));
        REQUIRE(page.has_value());
        CHECK(page->find("\"here\"") != std::string::npos);
        fixture.router.send(instance->packets, makePacket(fixture.nextFlow(firstRoute), true, 0, 100, ""));
    }
    CHECK(fixture.first.socket.receive().empty());
}
