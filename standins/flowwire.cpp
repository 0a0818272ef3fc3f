#include "flowwire.h"

#include "platform/packetheader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace hornbeam::standins {

namespace {
using nlohmann::json;

constexpr size_t paddingAt = 3;
constexpr size_t checksumAt = 4;
constexpr uint8_t openingFlag = 4;
constexpr uint8_t acknowledgingFlag = 1;
constexpr uint8_t closingFlag = 64;

void append(Bytes &out, size_t bytes, uint64_t number)
{
    for (size_t i = bytes; i > 0; --i) {
        out.push_back(static_cast<uint8_t>(number >> (8 * (i - 1))));
    }
}

uint32_t checksumOf(Bytes packet)
{
    packet[paddingAt] = 0;
    std::fill_n(packet.begin() + checksumAt, sizeof(uint32_t) + sizeof(RoutingToken), uint8_t{ 0 }); // the checksum itself and the token
    return XXH32(packet.data(), packet.size(), 0);
}

json millis(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}
}

Bytes writeCallerPacket(const FlowPacket &packet, const Bytes &content)
{
    Bytes out;
    append(out, 2, content.size());
    out.push_back((packet.isOpening ? openingFlag : acknowledgingFlag) | (packet.isClosing ? closingFlag : 0));
    out.push_back(0);
    append(out, 4, 0);
    append(out, 4, packet.token);
    append(out, 4, packet.sequence);
    append(out, 4, packet.acknowledged);
    append(out, 2, packet.flow.caller.port);
    append(out, 2, packet.flow.service.port);
    append(out, 4, packet.flow.service.address);
    append(out, 4, packet.flow.caller.address);
    out.insert(out.end(), content.begin(), content.end());
    Bytes checksum;
    append(checksum, 4, checksumOf(out));
    std::copy(checksum.begin(), checksum.end(), out.begin() + checksumAt);
    return out;
}

bool isUnchanged(const uint8_t *packet, size_t size)
{
    Bytes checksum;
    append(checksum, 4, checksumOf(Bytes(packet, packet + size)));
    return std::equal(checksum.begin(), checksum.end(), packet + checksumAt);
}

std::string writeTarget(const TargetRecord &record)
{
    const json spec{ { "service", record.service },
                     { "address", toString(record.address) },
                     { "zone", "zone-" + std::to_string(record.zone) },
                     { "version", "v1" },
                     { "slots", record.slots },
                     { "state", record.isDraining ? "draining" : "ready" },
                     { "warmupLeftMs", record.remainingWarmupMs },
                     { "seqNo", 1 },
                     { "born", record.incarnation } };
    return spec.dump();
}

std::string writeConfiguration(const RouteConfiguration &configuration)
{
    json routes = json::array();
    for (const Route &route : configuration.routes) {
        const std::string address = toString({ route.address.address, 1 });
        routes.push_back({ { "name", route.name },
                           { "host", address.substr(0, address.find(':')) },
                           { "pathPrefix", "/" + std::to_string(route.address.port) + "/" },
                           { "kind", route.kind == RequestKind::Idempotent ? "safe" : "unsafe" },
                           { "timeoutMs", millis(route.timeout) },
                           { "targetLatencyMs", millis(route.latencyTarget) },
                           { "priority", 1 },
                           { "service", route.shares.front().service },
                           { "maxAttempts", 1 } });
    }
    json services = json::array();
    for (const auto &[service, warmup] : configuration.warmups) {
        constexpr double perMille = 1000;
        services.push_back({ { "name", service }, { "warmupS", std::chrono::duration<double>(warmup.time).count() } });
        if (warmup.ratePerMille.has_value()) {
            services.back()["warmupRateS"] = *warmup.ratePerMille / perMille;
        }
    }
    const json spec{ { "version", configuration.version },
                     { "routes", std::move(routes) },
                     { "services", std::move(services) },
                     { "limits", { { "idleTimeoutMs", millis(configuration.idleTimeout) } } } };
    return spec.dump();
}

} // namespace hornbeam::standins
