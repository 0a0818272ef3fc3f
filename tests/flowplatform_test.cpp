// Tests of the users' platform formats: packet headers and store objects, including malformed ones.

#include "apps/storereadersettings.h"
#include "platform/flowobjects.h"
#include "platform/packetheader.h"
#include "platform/platformcodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace hornbeam;
using nlohmann::json;

namespace {

// example packets from the platform's documentation
const Bytes openingPacket{ 0x00, 0x00, 0x04, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44,
                           0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07 };
const Bytes resetPacket{ 0x00, 0x00, 0x20, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                         0x00, 0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01 };

PlatformObject targetObject(const json &changes = json::object())
{
    json spec{ { "service", "booking" }, { "address", "10.1.0.9:8080" }, { "zone", "here" }, { "version", "v1" },      { "slots", 2 },
               { "state", "ready" },     { "warmupLeftMs", 250 },        { "seqNo", 4 },     { "born", 1772920000000 } };
    spec.merge_patch(changes);
    return { "servers/i-7f3a91c2", 7, spec.dump(), false };
}

json configurationSpec()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"198.18.0.1","pathPrefix":"/8443/","kind":"safe","timeoutMs":800,"targetLatencyMs":120,"priority":2,
         "split":[{"service":"booking","weight":90},{"service":"catalogue","weight":10}],"maxAttempts":2},
        {"name":"r2","host":"198.18.0.1","pathPrefix":"/8080/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":1,"service":"booking"},
        {"name":"r3","host":"198.18.0.2","pathPrefix":"/443/","kind":"download","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"catalogue"}],
        "services":[{"name":"booking","healthPath":"/health","maxConnections":2000}],"limits":{"idleTimeoutMs":15000}})");
}

}

TEST_CASE("packet headers are parsed and written as in the platform's documentation")
{
    SECTION("an opening packet")
    {
        const auto packet = parsePacket(openingPacket.data(), openingPacket.size());
        REQUIRE(packet.has_value());
        CHECK(packet->isOpening);
        CHECK(toString(packet->flow.caller) == "100.64.0.7:40001");
        CHECK(toString(packet->flow.service) == "198.18.0.1:443");
        CHECK(packet->sequence == 0x11223344);
        CHECK(packet->token == 0);
    }
    SECTION("a generated reset packet")
    {
        Bytes out;
        writeReset({ { { 0x64400007, 40001 }, { 0xC6120001, 443 } }, 0 }, out);
        CHECK(out == resetPacket);
    }
    SECTION("a delivery to a target changes only the token")
    {
        Bytes out;
        writeDelivery(openingPacket.data(), openingPacket.size(), deliveryIdOf("i-7f3a91c2"), 0x01020304, out);
        CHECK(Bytes(out.begin(), out.begin() + 8) == Bytes{ 0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2 });
        Bytes expected = openingPacket;
        std::copy_n(std::vector<uint8_t>{ 1, 2, 3, 4 }.begin(), 4, expected.begin() + 8);
        CHECK(Bytes(out.begin() + 8, out.end()) == expected);
    }
    SECTION("truncated and oversized packets and length mismatches are rejected")
    {
        CHECK_FALSE(parsePacket(openingPacket.data(), 31).has_value());
        Bytes longer = openingPacket;
        longer.push_back(0);
        CHECK_FALSE(parsePacket(longer.data(), longer.size()).has_value());
        longer.resize(maxPacketBytes + 1);
        CHECK_FALSE(parsePacket(longer.data(), longer.size()).has_value());
    }
    SECTION("arbitrary bytes are parsed or rejected, and parsed packets are written back unchanged")
    {
        CHECK(rc::check("packets", [](const std::vector<uint8_t> &input, uint8_t at, uint8_t byte) {
            Bytes mutated = openingPacket;
            mutated[at % mutated.size()] = byte;
            for (const Bytes &data : { input, mutated }) {
                const auto packet = parsePacket(data.data(), data.size());
                if (packet.has_value()) {
                    Bytes out;
                    writeDelivery(data.data(), data.size(), 1, packet->token, out);
                    RC_ASSERT(Bytes(out.begin() + 8, out.end()) == data);
                }
            }
        }));
    }
}

TEST_CASE("a target object with an invalid field is rejected")
{
    const ParsedTarget valid = parseTarget(targetObject());
    REQUIRE(valid.record.has_value());
    CHECK(valid.record->name == "i-7f3a91c2");
    CHECK(valid.record->deliveryId == 0x7f3a91c2);
    CHECK(valid.record->incarnation == 1772920000000);
    CHECK_FALSE(valid.record->isDraining);
    CHECK(parseTarget(targetObject({ { "state", "draining" } })).record->isDraining);
    CHECK(parseTarget(targetObject({ { "unknown", 1 } })).record.has_value());

    const std::vector<json> broken{ { { "service", nullptr } },      { { "service", 5 } },     { { "address", "10.1.0.9" } }, { { "address", 1 } },
                                    { { "state", "asleep" } },       { { "state", true } },    { { "slots", "2" } },          { { "slots", -1 } },
                                    { { "born", nullptr } },         { { "born", 1.5 } },      { { "zone", json::array() } }, { { "warmupLeftMs", "soon" } },
                                    { { "version", nullptr } },      { { "version", 5 } },     { { "seqNo", nullptr } },      { { "seqNo", "4" } },
                                    { { "warmupLeftMs", nullptr } }, { { "slots", nullptr } }, { { "state", nullptr } },      { { "zone", nullptr } },
                                    { { "address", nullptr } },      { { "address", "" } },    { { "address", "a.b.c.d:1" } } };
    for (const json &change : broken) {
        CAPTURE(change.dump());
        const ParsedTarget parsed = parseTarget(targetObject(change));
        CHECK_FALSE(parsed.record.has_value());
        CHECK(parsed.problem.find(change.begin().key()) != std::string::npos);
    }
    CHECK_FALSE(parseTarget({ "servers/x", 1, "not JSON", false }).record.has_value());
    CHECK_FALSE(parseTarget({ "servers/x", 1, "[1,2]", false }).record.has_value());
    CHECK_FALSE(parseTarget({ "servers/x", 1, "", false }).record.has_value());
}

TEST_CASE("a configuration with an invalid field is rejected as a whole")
{
    const auto parse = [](const json &spec) { return parseConfiguration({ "config/main", 3, spec.dump(), false }); };
    const ParsedConfiguration valid = parse(configurationSpec());
    REQUIRE(valid.configuration.has_value());
    CHECK(valid.configuration->version == 7);
    CHECK(valid.configuration->idleTimeout == seconds(15));
    REQUIRE(valid.configuration->routes.size() == 3);
    CHECK(toString(valid.configuration->routes[0].address) == "198.18.0.1:8443");
    CHECK(valid.configuration->routes[0].shares.size() == 2);
    CHECK(valid.configuration->routes[0].kind == RequestKind::Idempotent);
    CHECK(valid.configuration->routes[1].kind == RequestKind::NonIdempotent);
    CHECK(valid.configuration->routes[2].kind == RequestKind::Idempotent);
    CHECK(valid.configuration->routes[0].priority == 2);
    CHECK(valid.configuration->routes[1].priority == 1);
    CHECK(valid.configuration->connectionLimits == std::map<std::string, uint32_t>{ { "booking", 2000 } });
    json withoutPriority = configurationSpec();
    withoutPriority["routes"][0].erase("priority");
    REQUIRE(parse(withoutPriority).configuration.has_value());
    CHECK(parse(withoutPriority).configuration->routes[0].priority == 0);

    const std::vector<std::pair<std::string, json>> broken{
        { "/version", "7" },           { "/routes", 5 },
        { "/routes/0", "r1" },         { "/routes/0/host", "elsewhere" },
        { "/routes/0/pathPrefix", 1 }, { "/routes/0/pathPrefix", "8443" },
        { "/routes/0/kind", 5 },       { "/routes/0/split", json::array() },
        { "/routes/1/service", 5 },    { "/routes/0/split/0/weight", -1 },
    };
    for (const auto &[path, value] : broken) {
        CAPTURE(path, value.dump());
        json spec = configurationSpec();
        spec[json::json_pointer(path)] = value;
        const ParsedConfiguration rejected = parse(spec);
        CHECK_FALSE(rejected.configuration.has_value());
        CHECK_FALSE(rejected.problem.empty());
    }
    // Guards against a configuration that is refused as a whole because one route has a kind that was added later.
    SECTION("requests of uploads and of unknown kinds are executed at most once, and the other routes are served")
    {
        json spec = configurationSpec();
        spec["routes"][0]["kind"] = "upload";
        spec["routes"][2]["kind"] = "odd";
        const ParsedConfiguration parsed = parse(spec);
        REQUIRE(parsed.configuration.has_value());
        REQUIRE(parsed.configuration->routes.size() == 3);
        for (const Route &route : parsed.configuration->routes) {
            CHECK(route.kind == RequestKind::NonIdempotent);
        }
        CHECK(parsed.unknownKinds == std::set<std::string>{ "odd" });
        spec["routes"][2]["kind"] = "safe";
        CHECK(parse(spec).configuration->routes[2].kind == RequestKind::Idempotent);
        CHECK(parse(spec).unknownKinds.empty());
    }
    SECTION("arbitrary text yields either a parsed object or a problem")
    {
        CHECK(rc::check("configurations", [&](const std::string &input, uint16_t at, uint8_t byte) {
            std::string mutated = configurationSpec().dump();
            mutated[at % mutated.size()] = static_cast<char>(byte);
            for (const std::string &text : { input, mutated }) {
                const ParsedConfiguration any = parseConfiguration({ "config/main", 1, text, false });
                RC_ASSERT(any.configuration.has_value() == any.problem.empty());
                const ParsedTarget target = parseTarget({ "servers/x", 1, text, false });
                RC_ASSERT(target.record.has_value() == target.problem.empty());
            }
        }));
    }
}

// Guards against limits and timeouts that become small or negative when they don't fit. A configuration that the store accepted is valid, so it isn't rejected.
TEST_CASE("numbers of a configuration that don't fit count as the largest that does")
{
    const auto parse = [](const std::string &number) {
        const std::string text = R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","pathPrefix":"/443/","kind":"safe","priority":)" + number
            + R"(,"timeoutMs":)" + number + R"(,"targetLatencyMs":)" + number + R"(,"split":[{"service":"booking","weight":)" + number
            + R"(}]}],"services":[{"name":"booking","maxConnections":)" + number + R"(}],"limits":{"idleTimeoutMs":)" + number + "}}";
        return parseConfiguration({ "config/main", 3, text, false });
    };
    constexpr uint32_t largest = std::numeric_limits<uint32_t>::max();
    for (const std::string number : { "4294967295", "4294967296", "9223372036854775808", "18446744073709551615" }) {
        CAPTURE(number);
        const ParsedConfiguration parsed = parse(number);
        REQUIRE(parsed.configuration.has_value());
        const Route &route = parsed.configuration->routes.at(0);
        CHECK(route.priority == largest);
        CHECK(route.timeout == milliseconds(largest));
        CHECK(route.latencyTarget == milliseconds(largest));
        CHECK(route.shares.at(0).weight == largest);
        CHECK(parsed.configuration->connectionLimits.at("booking") == largest);
        CHECK(parsed.configuration->idleTimeout == milliseconds(largest));
    }
}

// Guards against cold targets without a limit, and against a configuration that is rejected because of a service's fields.
TEST_CASE("the warm-up rate and time of a service and the remaining time of a target are read")
{
    const auto warmupsOf = [](const json &service) {
        json spec = configurationSpec();
        spec["services"].push_back(service);
        const ParsedConfiguration parsed = parseConfiguration({ "config/main", 3, spec.dump(), false });
        REQUIRE(parsed.configuration.has_value());
        return parsed.configuration->warmups;
    };
    CHECK(warmupsOf({ { "name", "trim" }, { "warmupRateS", 2.5 }, { "warmupS", 20 } })
          == std::map<std::string, ServiceWarmup>{ { "trim", { 2500, seconds(20) } } });
    CHECK(warmupsOf({ { "name", "trim" }, { "warmupRateS", 0 } }) == std::map<std::string, ServiceWarmup>{ { "trim", { 0, {} } } });
    CHECK(warmupsOf({ { "name", "trim" }, { "warmupS", 20 } }) == std::map<std::string, ServiceWarmup>{ { "trim", { std::nullopt, seconds(20) } } });
    CHECK(warmupsOf({ { "name", "trim" } }).empty());
    CHECK(warmupsOf({ { "name", "trim" }, { "warmupRateS", "fast" } }).empty());
    CHECK(parseTarget(targetObject()).record->remainingWarmupMs == 250);
}

// Guards against a configuration that never comes into force, with all its other edits, because one of its numbers isn't an integer.
TEST_CASE("numbers of a configuration that aren't whole are used")
{
    const auto parse = [](const std::string &time, const std::string &firstWeight, const std::string &secondWeight) {
        const std::string text = R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","pathPrefix":"/443/","kind":"safe","timeoutMs":)" + time
            + R"(,"targetLatencyMs":)" + time + R"(,"split":[{"service":"booking","weight":)" + firstWeight + R"(},{"service":"catalogue","weight":)"
            + secondWeight + R"(}]}],"services":[{"name":"booking","maxConnections":)" + time + R"(}],"limits":{"idleTimeoutMs":)" + time + "}}";
        return parseConfiguration({ "config/main", 3, text, false });
    };
    SECTION("times and limits are rounded")
    {
        const ParsedConfiguration parsed = parse("1500.5", "90", "10");
        REQUIRE(parsed.configuration.has_value());
        const Route &route = parsed.configuration->routes.at(0);
        CHECK(route.timeout == milliseconds(1501));
        CHECK(route.latencyTarget == milliseconds(1501));
        CHECK(parsed.configuration->connectionLimits.at("booking") == 1501);
        CHECK(parsed.configuration->idleTimeout == milliseconds(1501));
        CHECK(route.shares == std::vector<RouteShare>{ { "booking", 90 }, { "catalogue", 10 } });
    }
    SECTION("large ones count as the largest that fits")
    {
        REQUIRE(parse("1e30", "1", "1").configuration.has_value());
        CHECK(parse("1e30", "1", "1").configuration->routes.at(0).timeout == milliseconds(std::numeric_limits<uint32_t>::max()));
    }
    SECTION("weights keep their proportion")
    {
        const ParsedConfiguration parsed = parse("1000", "0.9", "0.1");
        REQUIRE(parsed.configuration.has_value());
        const std::vector<RouteShare> &shares = parsed.configuration->routes.at(0).shares;
        CHECK(shares.at(0).weight == 9 * shares.at(1).weight);
        CHECK(shares.at(1).weight > 0);
        CHECK(parse("1000", "99.5", "0").configuration->routes.at(0).shares.at(1).weight == 0);
        const std::vector<RouteShare> tiny = parse("1000", "1e-9", "0.5").configuration->routes.at(0).shares;
        CHECK(tiny.at(0).weight == 1); // not 0: the route has the service
    }
    SECTION("negative ones are rejected")
    {
        CHECK_FALSE(parse("-0.5", "1", "1").configuration.has_value());
        CHECK_FALSE(parse("1000", "-0.5", "1").configuration.has_value());
    }
}

TEST_CASE("list and watch responses of the store are parsed")
{
    SECTION("pages are combined, and the revision for the watch is that of the first page")
    {
        PlatformReply reply;
        ObjectPage page;
        REQUIRE(parsePage(R"({"items":[{"meta":{"name":"a","rev":3},"spec":{"x":1}}],"hasMore":true,"currentRev":9})", "servers/", reply, page));
        CHECK(page.hasMore);
        CHECK(page.lastName == "a");
        REQUIRE(parsePage(R"({"items":[{"meta":{"name":"b","rev":4},"spec":{"x":2}}],"hasMore":false,"currentRev":12})", "servers/", reply, page));
        CHECK_FALSE(page.hasMore);
        CHECK(reply.objects.size() == 2);
        CHECK(reply.revision == 9);
        CHECK(listPath("servers/", "a") == "/api/objects/servers?after=a");
        CHECK(watchPath("servers/", 9, seconds(3)) == "/api/objects/servers?watch=9&waitMs=3000");
    }
    // Guards against a list that stops at a page, or never ends, because of the name of an entry of another writer.
    SECTION("the next page starts after any name, and only if there is one")
    {
        CHECK(listPath("servers/", "i-7f.A_~") == "/api/objects/servers?after=i-7f.A_~");
        CHECK(listPath("servers/", "a b&c=d/e?f#%") == "/api/objects/servers?after=a%20b%26c%3Dd%2Fe%3Ff%23%25");
        CHECK(listPath("servers/", "\xc3\xa9\n") == "/api/objects/servers?after=%C3%A9%0A");
        PlatformReply reply;
        ObjectPage page;
        REQUIRE(parsePage(R"({"items":[{"meta":{"name":"a","rev":3}},{"meta":{"name":7}}],"hasMore":true,"currentRev":9})", "servers/", reply, page));
        CHECK(page.lastName == "a");
        CHECK_FALSE(parsePage(R"({"items":[{"meta":{"name":7}}],"hasMore":true,"currentRev":9})", "servers/", reply, page));
        CHECK_FALSE(parsePage(R"({"items":[],"hasMore":true,"currentRev":9})", "servers/", reply, page));
        CHECK(parsePage(R"({"items":[],"hasMore":false,"currentRev":9})", "servers/", reply, page));
    }
    SECTION("an object with invalid UTF-8 does not prevent reading the others")
    {
        const std::string body =
            "{\"items\":[{\"meta\":{\"name\":\"a\",\"rev\":3},\"spec\":\"\xff\xfe\x80\"},{\"meta\":{\"name\":\"b\",\"rev\":4},\"spec\":{}}],"
            "\"hasMore\":false,\"currentRev\":9}";
        PlatformReply reply;
        ObjectPage page;
        REQUIRE(parsePage(body, "servers/", reply, page));
        CHECK(reply.objects.size() == 2);
    }
    SECTION("removed objects are reported as deleted")
    {
        PlatformReply reply;
        REQUIRE(parseWatchResponse(R"({"events":[{"removed":true,"object":{"meta":{"name":"a","rev":5}}}],"currentRev":10})", "servers/", reply));
        REQUIRE(reply.objects.size() == 1);
        CHECK(reply.objects[0].isDeleted);
        CHECK(reply.objects[0].key == "servers/a");
    }
    SECTION("malformed responses, such as one without a revision, are rejected")
    {
        PlatformReply reply;
        ObjectPage page;
        CHECK_FALSE(parsePage(R"({"items":[]})", "servers/", reply, page));
        CHECK_FALSE(parseWatchResponse(R"({"events":{},"currentRev":1})", "servers/", reply));
        CHECK_FALSE(parseWatchResponse("", "servers/", reply));
    }
}

TEST_CASE("the last of several changes to the same target in one response wins")
{
    const auto makeTargetObject = [](const std::string &name, uint64_t version, uint64_t born) {
        PlatformObject object;
        object.key = std::string(targetPrefix) + name;
        object.version = version;
        object.content = std::make_shared<const json>(json{ { "service", "booking" },
                                                            { "address", "10.1.64.1:8000" },
                                                            { "zone", "here" },
                                                            { "slots", 2U },
                                                            { "state", "ready" },
                                                            { "warmupLeftMs", 0U },
                                                            { "version", "v1" },
                                                            { "seqNo", 1U },
                                                            { "born", born } });
        return object;
    };
    const auto makeRemovedObject = [&](const std::string &name, uint64_t version) {
        PlatformObject object = makeTargetObject(name, version, 1);
        object.isDeleted = true;
        return object;
    };
    std::vector<IgnoredEntry> ignored;

    SECTION("removed, then registered again under the same name")
    {
        const std::vector<PlatformObject> objects{ makeRemovedObject("i-1f", 11), makeTargetObject("i-1f", 12, 2) };
        const TargetUpdate update = makeTargetUpdate({ objects, false, TimePoint{}, 10, 12 }, ignored);
        CHECK(update.removed.empty());
        REQUIRE(update.updated.size() == 1);
        CHECK(update.updated.front().record.incarnation == 2);
        CHECK(update.updated.front().position.revision == 12);
    }
    SECTION("registered, then removed")
    {
        const std::vector<PlatformObject> objects{ makeTargetObject("i-1f", 11, 2), makeRemovedObject("i-1f", 12) };
        const TargetUpdate update = makeTargetUpdate({ objects, false, TimePoint{}, 10, 12 }, ignored);
        CHECK(update.updated.empty());
        CHECK(update.removed == std::vector<std::string>{ "i-1f" });
    }
    SECTION("overwritten with an invalid target object")
    {
        PlatformObject broken = makeTargetObject("i-1f", 12, 2);
        broken.content = std::make_shared<const json>(json{ { "state", "odd" } });
        const std::vector<PlatformObject> objects{ makeTargetObject("i-1f", 11, 2), broken };
        const TargetUpdate update = makeTargetUpdate({ objects, false, TimePoint{}, 10, 12 }, ignored);
        CHECK(update.removed.size() == 1);
        CHECK(ignored.size() == 1);
    }
}
