// Sections: files | fields | whole | commands

#include "apps/settings.h"

#include "apps/tunables.h"
#include "core/jsontext.h"

#include <algorithm>
#include <boost/leaf.hpp>
#include <cctype>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace hornbeam {

namespace {
namespace leaf = boost::leaf;
using nlohmann::json;

constexpr uint64_t maxPort = 65535;
constexpr uint64_t maxWorkers = 256;
constexpr uint64_t maxDrainSeconds = 3600;
constexpr size_t maxKeyFiles = 2;
constexpr const char *endpointAllowed = "an address and a port as a.b.c.d:port, port 1 to 65535";

//--- Files

leaf::result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return leaf::new_error(Fault{ "", '"' + path + '"', "a file that can be read" });
    }
    std::ostringstream content;
    content << file.rdbuf();
    if (file.bad() || content.fail()) {
        return leaf::new_error(Fault{ "", '"' + path + '"', "a file with content that can be read" });
    }
    return content.str();
}

// the content of a file; a fault at `path` of the settings when it can't be read
std::optional<std::string> readFileOrFault(const std::string &file, const std::string &path, std::vector<Fault> &faults)
{
    const auto read = [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(text, readFile(file));
        return std::optional<std::string>(text);
    };
    const auto report = [&](Fault fault) -> std::optional<std::string> {
        fault.path = path;
        faults.push_back(fault);
        return std::nullopt;
    };
    return leaf::try_handle_all(read, report, []() -> std::optional<std::string> { return std::nullopt; });
}

bool isHexDigit(char byte)
{
    return std::isxdigit(static_cast<unsigned char>(byte)) != 0;
}

uint8_t hexValue(char digit)
{
    return static_cast<uint8_t>(digit <= '9' ? digit - '0' : (digit | 0x20) - 'a' + 10);
}

Bytes readKey(const std::string &content)
{
    std::string digits = content;
    while (!digits.empty() && std::isspace(static_cast<unsigned char>(digits.back())) != 0) {
        digits.pop_back();
    }
    const bool isHex = digits.size() % 2 == 0 && std::all_of(digits.begin(), digits.end(), isHexDigit);
    if (!isHex) {
        return { content.begin(), content.end() };
    }
    Bytes key;
    for (size_t i = 0; i < digits.size(); i += 2) {
        key.push_back(static_cast<uint8_t>(hexValue(digits[i]) << 4U | hexValue(digits[i + 1])));
    }
    return key;
}

//--- Fields

void readPort(JsonFields &fields, const std::string &key, uint16_t &port)
{
    uint64_t number = port;
    fields.number(key, 1, maxPort, number);
    port = static_cast<uint16_t>(number);
}

void readCount(JsonFields &fields, const std::string &key, uint64_t high, uint32_t &value)
{
    uint64_t number = value;
    fields.number(key, 1, high, number);
    value = static_cast<uint32_t>(number);
}

void readEndpoint(JsonFields &fields, const std::string &key, Endpoint &endpoint)
{
    std::string text;
    fields.require(key, endpointAllowed);
    const size_t before = fields.faultCount();
    fields.text(key, text);
    const bool isText = fields.has(key) && fields.faultCount() == before;
    if (isText && (!parseEndpoint(text, endpoint) || endpoint.port == 0)) {
        fields.fault(key, endpointAllowed);
    }
}

void readAddress(JsonFields &fields, uint32_t &address)
{
    std::string text = "127.0.0.1";
    fields.text("address", text);
    Endpoint endpoint;
    if (!parseEndpoint(text + ":1", endpoint) || endpoint.address == 0) {
        fields.fault("address", "the IPv4 address of this instance as a.b.c.d, not 0.0.0.0");
        return;
    }
    address = endpoint.address;
}

void readKeyFiles(JsonFields &fields, DaemonSettings &settings)
{
    constexpr const char *allowed = "a list of 1 or 2 file names";
    fields.require("key_files", allowed);
    const json *files = fields.array("key_files");
    if (files == nullptr) {
        return;
    }
    const bool areNames = std::all_of(files->begin(), files->end(), [](const json &file) { return file.is_string() && !file.get<std::string>().empty(); });
    if (!areNames || files->empty() || files->size() > maxKeyFiles) {
        fields.fault("key_files", allowed);
        return;
    }
    settings.keyFiles = files->get<std::vector<std::string>>();
}

// a false suspicion costs little where flows are forwarded: another member reads the store
constexpr Duration flowProbeInterval = milliseconds(200);
constexpr Duration flowProbeTimeout = milliseconds(120); // 10 round trips between zones
constexpr int heartbeatsToLapse = 3;                     // missed, until the store removes an entry
constexpr Duration lapseLag = milliseconds(500);         // of the store's removal and of a heartbeat on its way

// addresses as a.b.c.d; a port behind one is left out, since it belongs to another interface
void readSeedHosts(JsonFields &fields, std::vector<uint32_t> &hosts)
{
    const json *list = fields.array("seed_hosts");
    for (size_t i = 0; list != nullptr && i < list->size(); ++i) {
        const json &entry = (*list)[i];
        const std::string text = entry.is_string() ? entry.get<std::string>() : "";
        Endpoint endpoint;
        if (!parseEndpoint(text, endpoint) && !parseEndpoint(text + ":1", endpoint)) {
            fields.fault("seed_hosts", "a list of IPv4 addresses as a.b.c.d");
            return;
        }
        hosts.push_back(endpoint.address);
    }
}

void readFlows(JsonFields &fields, DaemonSettings &settings, std::vector<Fault> &faults)
{
    const json *object = fields.object("flows");
    if (object == nullptr) {
        return;
    }
    settings.flows.emplace();
    settings.parts.membership.probeInterval = flowProbeInterval;
    settings.parts.membership.probeTimeout = flowProbeTimeout;
    JsonFields part(*object, "flows", faults);
    readEndpoint(part, "packet_address", settings.flows->packets);
    readEndpoint(part, "readiness_address", settings.flows->readiness);
    constexpr milliseconds shortestBound(100);
    constexpr milliseconds longestBound(600'000);
    part.duration("target_heartbeat_ms", shortestBound, longestBound, settings.flows->targetHeartbeat);
    part.duration("drain_bound_ms", shortestBound, longestBound, settings.flows->drainBound);
    part.duration("change_bound_ms", shortestBound, longestBound, settings.flows->changeBound);
    if (part.has("evacuation_bound_ms")) {
        part.duration("evacuation_bound_ms", shortestBound, longestBound, settings.flows->evacuationBound.emplace(settings.flows->changeBound));
    }
    part.duration("stability_ms", shortestBound, longestBound, settings.flows->stability);
    part.duration("initial_read_ms", milliseconds(0), longestBound, settings.flows->initialReadTimeout);
    part.duration("stop_delay_ms", milliseconds(0), longestBound, settings.flows->shutdownDelay);
    part.flag("shared_reading", settings.flows->isReadingShared);
    part.flag("leave_rotation", settings.flows->canLeaveRotation);
    part.flag("leave_when_overloaded", settings.flows->canLeaveWhenOverloaded);
    readSeedHosts(part, settings.flows->seedHosts);
    part.flag("first_start", settings.flows->isFirstStart);
    part.name("peer_group", settings.flows->peerGroup);
    settings.flows->parts.entryExpiryDelay = heartbeatsToLapse * settings.flows->targetHeartbeat + lapseLag;
    readFlowTunables(part, settings.flows->parts);
    readOverloadTunables(part, settings.flows->overload);
    part.finish();
}

void readSeeds(JsonFields &fields, DaemonSettings &settings, std::vector<Fault> &faults)
{
    const json *seeds = fields.array("seeds");
    if (seeds == nullptr) {
        return;
    }
    for (size_t i = 0; i < seeds->size(); ++i) {
        const std::string path = "seeds[" + std::to_string(i) + "]";
        PeerSeed seed;
        if (!seeds->at(i).is_object()) {
            faults.push_back({ path, abbreviatedText(seeds->at(i)), "an object with name, zone and peer" });
            continue;
        }
        JsonFields entry(seeds->at(i), path, faults);
        entry.require("name", "a name");
        entry.name("name", seed.name);
        entry.require("zone", "a name");
        entry.name("zone", seed.zone);
        readEndpoint(entry, "peer", seed.peer);
        entry.finish();
        settings.seeds.push_back(seed);
    }
}

std::string addressText(uint32_t address)
{
    const std::string text = toString(Endpoint{ address, 1 });
    return text.substr(0, text.find(':'));
}
}

//--- Whole

CheckedSettings parseSettings(std::string_view text)
{
    CheckedSettings checked;
    const json object = parseJson(text);
    if (!object.is_object()) {
        checked.faults.push_back({ "", object.is_discarded() ? std::string(unparsableJson) : abbreviatedText(object), "a JSON object" });
        return checked;
    }
    DaemonSettings settings;
    JsonFields fields(object, "", checked.faults);
    fields.require("name", "a name");
    fields.name("name", settings.name);
    fields.require("zone", "a name");
    fields.name("zone", settings.zone);
    readAddress(fields, settings.address);
    readPort(fields, "peer_port", settings.peerPort);
    readPort(fields, "metrics_port", settings.metricsPort);
    if (settings.peerPort == settings.metricsPort) {
        fields.fault("metrics_port", "another port than peer_port");
    }
    readEndpoint(fields, "platform", settings.platform);
    readFlows(fields, settings, checked.faults);
    if (!settings.flows.has_value() || fields.has("key_files")) {
        readKeyFiles(fields, settings);
    }
    readCount(fields, "workers", maxWorkers, settings.workers);
    readCount(fields, "drain_seconds", maxDrainSeconds, settings.drainSeconds);
    readSeeds(fields, settings, checked.faults);
    readTunables(fields, settings.parts, checked.faults);
    settings.parts.drainTimeout = seconds(settings.drainSeconds);
    fields.finish();
    if (checked.faults.empty()) {
        checked.settings = std::move(settings);
    }
    return checked;
}

CheckedSettings loadSettings(const std::string &path)
{
    CheckedSettings checked;
    const std::optional<std::string> text = readFileOrFault(path, "", checked.faults);
    return text.has_value() ? parseSettings(*text) : checked;
}

LoadedKeys loadKeys(const std::vector<std::string> &files)
{
    LoadedKeys loaded;
    for (size_t i = 0; i < files.size(); ++i) {
        const std::string path = "key_files[" + std::to_string(i) + "]";
        const std::optional<std::string> content = readFileOrFault(files[i], path, loaded.faults);
        if (!content.has_value()) {
            continue;
        }
        Bytes key = readKey(*content);
        if (key.size() < minKeyBytes) {
            loaded.faults.push_back({ path, '"' + files[i] + '"', "a file with a key of at least " + std::to_string(minKeyBytes) + " bytes" });
        }
        loaded.keys.push_back(std::move(key));
    }
    return loaded;
}

std::vector<Bytes> groupKeys(const FlowServiceSettings &flows)
{
    const std::string text = "hornbeamrouter peer group " + flows.peerGroup;
    return { Bytes(text.begin(), text.end()) };
}

std::string writeSettings(const DaemonSettings &settings)
{
    json seeds = json::array();
    for (const PeerSeed &seed : settings.seeds) {
        seeds.push_back({ { "name", seed.name }, { "zone", seed.zone }, { "peer", toString(seed.peer) } });
    }
    json object{ { "name", settings.name },
                 { "zone", settings.zone },
                 { "address", addressText(settings.address) },
                 { "peer_port", settings.peerPort },
                 { "metrics_port", settings.metricsPort },
                 { "platform", toString(settings.platform) },
                 { "key_files", settings.keyFiles },
                 { "workers", settings.workers },
                 { "drain_seconds", settings.drainSeconds },
                 { "seeds", seeds } };
    if (settings.flows.has_value()) {
        if (settings.keyFiles.empty()) {
            object.erase("key_files");
        }
        object["flows"] = { { "packet_address", toString(settings.flows->packets) }, { "readiness_address", toString(settings.flows->readiness) } };
        object["flows"]["target_heartbeat_ms"] = durationToJson(settings.flows->targetHeartbeat);
        object["flows"]["drain_bound_ms"] = durationToJson(settings.flows->drainBound);
        object["flows"]["change_bound_ms"] = durationToJson(settings.flows->changeBound);
        if (settings.flows->evacuationBound.has_value()) {
            object["flows"]["evacuation_bound_ms"] = durationToJson(*settings.flows->evacuationBound);
        }
        object["flows"]["stability_ms"] = durationToJson(settings.flows->stability);
        object["flows"]["initial_read_ms"] = durationToJson(settings.flows->initialReadTimeout);
        object["flows"]["stop_delay_ms"] = durationToJson(settings.flows->shutdownDelay);
        object["flows"]["shared_reading"] = settings.flows->isReadingShared;
        object["flows"]["leave_rotation"] = settings.flows->canLeaveRotation;
        object["flows"]["leave_when_overloaded"] = settings.flows->canLeaveWhenOverloaded;
        object["flows"]["seed_hosts"] = json::array();
        for (const uint32_t host : settings.flows->seedHosts) {
            object["flows"]["seed_hosts"].push_back(addressText(host));
        }
        object["flows"]["first_start"] = settings.flows->isFirstStart;
        object["flows"]["peer_group"] = settings.flows->peerGroup;
        writeFlowTunables(settings.flows->parts, object["flows"]);
        writeOverloadTunables(settings.flows->overload, object["flows"]);
    }
    writeTunables(settings.parts, object);
    return object.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

DaemonSettings exampleSettings()
{
    DaemonSettings settings;
    settings.name = "entry-1";
    settings.zone = "zone-1";
    settings.platform = { 0x7F000001, 8080 };
    settings.keyFiles = { "/etc/hornbeam/key" };
    return settings;
}

//--- Commands

int checkSettings(const std::string &path, std::ostream &out)
{
    constexpr int usageFault = 2;
    const CheckedSettings checked = loadSettings(path);
    std::vector<Fault> faults = checked.faults;
    if (checked.settings.has_value()) {
        faults = loadKeys(checked.settings->keyFiles).faults;
    }
    for (const Fault &fault : faults) {
        out << toString(fault) << "\n";
    }
    if (!faults.empty()) {
        return usageFault;
    }
    out << path << ": in order\n";
    return 0;
}

int printDefaults(std::ostream &out)
{
    out << writeSettings(exampleSettings());
    return 0;
}

} // namespace hornbeam
