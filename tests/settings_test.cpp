#include "apps/settings.h"
#include "apps/storereadersettings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace hornbeam;

namespace {
/** A file that is removed with the object. */
struct TemporaryFile
{
    explicit TemporaryFile(const std::string &content) : path("/tmp/hornbeam_settings_" + std::to_string(::getpid()) + "_" + std::to_string(++count))
    {
        std::ofstream(this->path, std::ios::binary) << content;
    }
    ~TemporaryFile()
    {
        std::remove(this->path.c_str());
    }
    static inline int count = 0;
    std::string path;
};
}

TEST_CASE("settings are checked whole")
{
    const std::string good = writeSettings(exampleSettings());

    SECTION("the defaults that are printed are in order")
    {
        std::ostringstream out;
        CHECK(printDefaults(out) == 0);
        const CheckedSettings checked = parseSettings(out.str());
        REQUIRE(checked.faults.empty());
        CHECK(writeSettings(*checked.settings) == good);
    }
    SECTION("each fault is told with its path, value and what is allowed")
    {
        struct Row
        {
            const char *patch; // merged into settings in order
            const char *path;
            const char *value;
            const char *allowed; // a part of the text
        };
        const Row rows[] = {
            { R"({"name":""})", "name", "\"\"", "letters" },
            { R"({"name":null})", "name", "missing", "a name" },
            { R"({"name":"a b"})", "name", "\"a b\"", "letters" },
            { R"({"zone":null})", "zone", "missing", "a name" },
            { R"({"zone":7})", "zone", "7", "letters" },
            { R"({"address":"localhost"})", "address", "\"localhost\"", "IPv4" },
            { R"({"address":"0.0.0.0"})", "address", "\"0.0.0.0\"", "IPv4" },
            { R"({"peer_port":0})", "peer_port", "0", "1 to 65535" },
            { R"({"peer_port":70000})", "peer_port", "70000", "1 to 65535" },
            { R"({"peer_port":"7946"})", "peer_port", "\"7946\"", "1 to 65535" },
            { R"({"metrics_port":7946})", "metrics_port", "7946", "another port" },
            { R"({"metrics_port":-1})", "metrics_port", "-1", "1 to 65535" },
            { R"({"platform":null})", "platform", "missing", "a.b.c.d:port" },
            { R"({"platform":"127.0.0.1:0"})", "platform", "\"127.0.0.1:0\"", "a.b.c.d:port" },
            { R"({"platform":""})", "platform", "\"\"", "a.b.c.d:port" },
            { R"({"platform":5})", "platform", "5", "a string" },
            { R"({"key_files":null})", "key_files", "missing", "1 or 2" },
            { R"({"key_files":[]})", "key_files", "[]", "1 or 2" },
            { R"({"key_files":["a","b","c"]})", "key_files", R"(["a","b","c"])", "1 or 2" },
            { R"({"key_files":"a"})", "key_files", "\"a\"", "a list" },
            { R"({"workers":0})", "workers", "0", "1 to 256" },
            { R"({"workers":1.5})", "workers", "1.5", "1 to 256" },
            { R"({"drain_seconds":3601})", "drain_seconds", "3601", "1 to 3600" },
            { R"({"seeds":{}})", "seeds", "{}", "a list" },
            { R"({"seeds":[3]})", "seeds[0]", "3", "name, zone and peer" },
            { R"({"seeds":[{"name":"a","zone":"z","peer":"x"}]})", "seeds[0].peer", "\"x\"", "a.b.c.d:port" },
            { R"({"seeds":[{"name":"a","peer":"127.0.0.1:1"}]})", "seeds[0].zone", "missing", "a name" },
            { R"({"seeds":[{"name":"a","zone":"z","peer":"127.0.0.1:1","port":1}]})", "seeds[0].port", "1", "name, zone, peer" },
            { R"({"requests":7})", "requests", "7", "object" },
            { R"({"requests":{"queue_patience_ms":0}})", "requests.queue_patience_ms", "0", "1 to 60000" },
            { R"({"requests":{"answer_patience_ms":1000}})", "requests.attempt_patience_ms", "2000", "at most answer_patience_ms" },
            { R"({"feeds":{"silence_ms":10}})", "feeds.silence_ms", "10", "1000 to 3600000" },
            { R"({"slots":{"most_ejected_percent":101}})", "slots.most_ejected_percent", "101", "0 to 100" },
            { R"({"slots":{"speed":1}})", "slots.speed", "1", "most_ejected_percent" },
            { R"({"membership":{"probe_timeout_ms":500}})", "membership.probe_timeout_ms", "500", "less than probe_interval_ms" },
            { R"({"membership":{"zone_silence_ms":2000}})", "membership.zone_silence_ms", "2000", "3 times" },
            { R"({"worker":3})", "worker", "3", "workers" },
        };
        for (const Row &row : rows) {
            CAPTURE(row.patch);
            nlohmann::json object = nlohmann::json::parse(good);
            object.merge_patch(nlohmann::json::parse(row.patch));
            const CheckedSettings checked = parseSettings(object.dump());
            CHECK_FALSE(checked.settings.has_value());
            REQUIRE(checked.faults.size() == 1);
            CHECK(checked.faults[0].path == row.path);
            CHECK(checked.faults[0].value == row.value);
            CHECK(checked.faults[0].allowed.find(row.allowed) != std::string::npos);
        }
    }
    SECTION("all faults come at once")
    {
        CHECK(parseSettings("{}").faults.size() == 4); // name, zone, platform, key_files
        CHECK(parseSettings(R"({"workers":0,"x":1})").faults.size() == 6);
    }
    SECTION("text that is no object")
    {
        for (const char *text : { "", "[]", "{", "3" }) {
            CHECK(parseSettings(text).faults.size() == 1);
        }
        CHECK(loadSettings("/nowhere/settings.json").faults.size() == 1);
    }
}

TEST_CASE("settings of flows are checked whole")
{
    nlohmann::json object{ { "name", "i1" }, { "zone", "z1" }, { "address", "127.0.0.1" }, { "platform", "127.0.0.1:8080" } };
    object["flows"] = { { "packet_address", "127.0.0.1:7000" }, { "readiness_address", "127.0.0.1:8081" } };

    SECTION("bounds have defaults, and what follows from them is printed")
    {
        const CheckedSettings checked = parseSettings(object.dump());
        REQUIRE(checked.faults.empty());
        CHECK(checked.settings->flows->drainBound == seconds(3));
        CHECK(checked.settings->flows->parts.entryExpiryDelay == milliseconds(4100));
        const CheckedSettings again = parseSettings(writeSettings(*checked.settings));
        REQUIRE(again.faults.empty());
        CHECK(again.settings->flows->stability == seconds(4));
    }
    SECTION("evacuations are read only with a bound for them, which counts for sharing like the other bounds")
    {
        CHECK_FALSE(makeStoreReaderSettings(*parseSettings(object.dump()).settings->flows).sharing.readsEvacuations);
        CHECK_FALSE(makeFlowSettings(*parseSettings(object.dump()).settings->flows).needsEvacuations);
        object["flows"]["evacuation_bound_ms"] = 5000;
        const CheckedSettings checked = parseSettings(writeSettings(*parseSettings(object.dump()).settings));
        REQUIRE(checked.faults.empty());
        CHECK(checked.settings->flows->evacuationBound == seconds(5));
        const StoreReaderSettings reading = makeStoreReaderSettings(*checked.settings->flows);
        CHECK(reading.sharing.readsEvacuations);
        CHECK(reading.sharing.isShared);
        CHECK(reading.sharing.maxEvacuationsAge < seconds(5));
        CHECK(makeFlowSettings(*checked.settings->flows).needsEvacuations);
        object["flows"]["evacuation_bound_ms"] = 1500;
        CHECK_FALSE(makeStoreReaderSettings(*parseSettings(object.dump()).settings->flows).sharing.isShared);
    }
    SECTION("warm-up bounds are optional, and the excess may have decimals")
    {
        CHECK_FALSE(parseSettings(object.dump()).settings->flows->parts.warmupExcess.has_value());
        object["flows"]["warmup_excess"] = 1.5;
        object["flows"]["warmup_slack"] = 5;
        const CheckedSettings checked = parseSettings(object.dump());
        REQUIRE(checked.faults.empty());
        CHECK(checked.settings->flows->parts.warmupExcess == 1.5);
        CHECK(parseSettings(writeSettings(*checked.settings)).settings->flows->parts.warmupExcess == 1.5);
        object["flows"]["warmup_excess"] = "much";
        CHECK(parseSettings(object.dump()).faults.size() == 1);
    }
    SECTION("the figures of a deployment may be fractions, which are kept exactly") // an instance exited at its start because a bound had decimals
    {
        struct Row
        {
            const char *setting;
            double number;
        };
        for (const Row &row :
             { Row{ "target_heartbeat_ms", 1200.25 }, Row{ "drain_bound_ms", 2500.5 }, Row{ "change_bound_ms", 3000.75 },
               Row{ "evacuation_bound_ms", 5000.125 }, Row{ "stability_ms", 4000.5 }, Row{ "warmup_excess", 1.25 }, Row{ "warmup_slack", 2.5 } }) {
            CAPTURE(row.setting);
            object["flows"][row.setting] = row.number;
            const CheckedSettings checked = parseSettings(object.dump());
            REQUIRE(checked.faults.empty());
            CHECK(nlohmann::json::parse(writeSettings(*checked.settings))["flows"][row.setting] == row.number);
        }
        const FlowServiceSettings flows = *parseSettings(object.dump()).settings->flows;
        CHECK(flows.drainBound == std::chrono::microseconds(2'500'500));
        CHECK(flows.changeBound == std::chrono::microseconds(3'000'750));
        CHECK(flows.evacuationBound == std::chrono::microseconds(5'000'125));
        CHECK(flows.stability == std::chrono::microseconds(4'000'500));
        CHECK(flows.targetHeartbeat == std::chrono::microseconds(1'200'250));
        CHECK(flows.parts.entryExpiryDelay == std::chrono::microseconds(4'100'750));
        CHECK(flows.parts.warmupSlack == 2.5);
    }
    SECTION("a whole figure may be written with decimals or an exponent")
    {
        object["flows"]["warmup_slack"] = 5.0;
        object["flows"]["stability_ms"] = 4000.0;
        std::string text = object.dump();
        text.replace(text.find("4000.0"), 6, "4e3");
        const CheckedSettings checked = parseSettings(text);
        REQUIRE(checked.faults.empty());
        CHECK(checked.settings->flows->stability == seconds(4));
        CHECK(checked.settings->flows->parts.warmupSlack == 5);
        CHECK(writeSettings(*checked.settings).find("\"warmup_slack\": 5,") != std::string::npos);
        CHECK(writeSettings(*checked.settings).find("\"stability_ms\": 4000,") != std::string::npos);
    }
    SECTION("fractions out of range, booleans and text are still faults")
    {
        object["flows"]["stability_ms"] = 99.99;
        object["flows"]["drain_bound_ms"] = 600000.5;
        object["flows"]["change_bound_ms"] = true;
        object["flows"]["evacuation_bound_ms"] = "2500.5";
        object["flows"]["warmup_slack"] = -0.5;
        CHECK(parseSettings(object.dump()).faults.size() == 5);
    }
    SECTION("the time until an entry lapses follows the heartbeat")
    {
        object["flows"]["target_heartbeat_ms"] = 770;
        CHECK(parseSettings(object.dump()).settings->flows->parts.entryExpiryDelay == milliseconds(2810));
        object["flows"]["entry_lapse_ms"] = 5000;
        CHECK(parseSettings(object.dump()).settings->flows->parts.entryExpiryDelay == seconds(5));
    }
    SECTION("bounds shorter than 0.1 s and text are faults, all told at once, with the key, the value and the range")
    {
        object["flows"]["stability_ms"] = 0;
        object["flows"]["drain_bound_ms"] = 99;
        object["flows"]["change_bound_ms"] = "soon";
        const CheckedSettings checked = parseSettings(object.dump());
        REQUIRE(checked.faults.size() == 3);
        CHECK_FALSE(checked.settings.has_value());
        CHECK(toString(checked.faults.at(0)) == "flows.drain_bound_ms: 99 is not allowed; allowed: a number from 100 to 600000");
    }
    SECTION("a deployment with short bounds is served; each instance reads the store itself, and the bound that can be guaranteed is known")
    {
        object["flows"]["drain_bound_ms"] = 1500;
        object["flows"]["stability_ms"] = 1000;
        const CheckedSettings checked = parseSettings(object.dump());
        REQUIRE(checked.faults.empty());
        const StoreReaderSettings reading = makeStoreReaderSettings(*checked.settings->flows);
        CHECK_FALSE(reading.sharing.isShared);
        CHECK(reading.targets.watchTimeout == milliseconds(500));
        CHECK(reading.shortestGuaranteedBound > milliseconds(1500));
        CHECK(reading.shortestGuaranteedBound < seconds(3));
        CHECK(makeStoreReaderSettings(FlowServiceSettings{}).sharing.isShared);
    }
    SECTION("mechanisms can be switched off")
    {
        object["flows"]["shared_reading"] = false;
        object["flows"]["leave_rotation"] = false;
        object["flows"]["leave_when_overloaded"] = false;
        object["flows"]["overload_out_percent"] = 0;
        object["flows"]["initial_read_ms"] = 0;
        object["flows"]["opening_moves"] = 0;
        const CheckedSettings checked = parseSettings(object.dump());
        REQUIRE(checked.faults.empty());
        CHECK_FALSE(makeStoreReaderSettings(*checked.settings->flows).sharing.isShared);
        const CheckedSettings again = parseSettings(writeSettings(*checked.settings));
        REQUIRE(again.faults.empty());
        CHECK_FALSE(again.settings->flows->canLeaveRotation);
        CHECK_FALSE(again.settings->flows->canLeaveWhenOverloaded);
        CHECK(again.settings->flows->overload.maxOutPercent == 0);
        CHECK(again.settings->flows->initialReadTimeout == seconds(0));
        CHECK(again.settings->flows->parts.maxOpeningMoves == 0);
    }
}

TEST_CASE("the store is read so that the bounds of a deployment are kept")
{
    FlowServiceSettings flows;
    SECTION("a small deployment")
    {
    }
    SECTION("a grown one with longer bounds")
    {
        flows.drainBound = seconds(5);
        flows.changeBound = seconds(5);
        flows.stability = seconds(5);
    }
    SECTION("one with the longest bounds") // a watch longer than the store allows was requested
    {
        flows.drainBound = seconds(600);
        flows.changeBound = seconds(600);
        flows.evacuationBound = seconds(600);
        flows.stability = seconds(600);
    }
    const StoreReaderSettings reading = makeStoreReaderSettings(flows);
    for (const WatcherSettings &watcher : { reading.targets, reading.configurations, reading.evacuations }) {
        CHECK(watcher.watchTimeout <= seconds(30)); // the store's limit, PROTOCOL, Platform
    }
    const Duration failure = reading.callTimeout + reading.targets.initialBackoff; // a call that is given up, and the wait before the next
    CHECK(reading.targets.coalescingDelay + failure < flows.drainBound);
    CHECK(reading.configurations.coalescingDelay + failure < flows.changeBound);
    CHECK(reading.configurations.watchTimeout + reading.callTimeout < flows.stability);
    // while all calls succeed, a caller without a route is refused at once and not left without an answer
    CHECK(makeFlowSettings(flows).freshnessLifetime >= reading.configurations.coalescingDelay + reading.configurations.watchTimeout);
}

TEST_CASE("keys are read from files and never shown")
{
    const TemporaryFile hex("000102030405060708090a0b0c0d0e0F\n");
    const TemporaryFile raw("sixteen bytes or more of anything");
    const TemporaryFile shortHex("secret-less"
                                 "abc");
    const LoadedKeys loaded = loadKeys({ hex.path, raw.path });
    REQUIRE(loaded.faults.empty());
    REQUIRE(loaded.keys.size() == 2);
    CHECK(loaded.keys[0].size() == 16);
    CHECK(loaded.keys[0][15] == 0x0F);
    CHECK(loaded.keys[1].size() == 33);

    SECTION("a short key and a missing file are faults")
    {
        const LoadedKeys faulty = loadKeys({ shortHex.path, "/nowhere/key" });
        REQUIRE(faulty.faults.size() == 2);
        CHECK(faulty.faults[0].path == "key_files[0]");
        CHECK(faulty.faults[1].path == "key_files[1]");
        for (const Fault &fault : faulty.faults) {
            CHECK(toString(fault).find("secret") == std::string::npos);
        }
    }
    SECTION("the check of a settings file covers its keys")
    {
        DaemonSettings settings = exampleSettings();
        settings.keyFiles = { raw.path };
        const TemporaryFile inOrder(writeSettings(settings));
        settings.keyFiles = { shortHex.path };
        const TemporaryFile faulty(writeSettings(settings));
        std::ostringstream out;
        CHECK(checkSettings(inOrder.path, out) == 0);
        CHECK(checkSettings(faulty.path, out) == 2);
        CHECK(out.str().find("key_files[0]") != std::string::npos);
        CHECK(out.str().find("secret") == std::string::npos);
    }
}
