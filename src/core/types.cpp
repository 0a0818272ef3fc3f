#include "core/types.h"

#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace hornbeam {

//--- Identifiers

uint64_t hashName(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

MemberId memberIdOf(std::string_view instance)
{
    return hashName(instance);
}

ServiceId serviceIdOf(std::string_view service)
{
    return static_cast<ServiceId>(hashName(service));
}

TargetId targetIdOf(std::string_view service, std::string_view target)
{
    return hashName(std::string(service) + "/" + std::string(target));
}

ZoneId zoneIdOf(std::string_view zone)
{
    return static_cast<ZoneId>(hashName(zone));
}

uint64_t mixHash(uint64_t a, uint64_t b)
{
    const uint64_t words[2] = { a, b };
    return XXH64(words, sizeof(words), 0);
}

//--- Addresses

std::string toString(const Endpoint &endpoint)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%u.%u.%u.%u:%u", endpoint.address >> 24, (endpoint.address >> 16) & 255U, (endpoint.address >> 8) & 255U,
                  endpoint.address & 255U, static_cast<unsigned>(endpoint.port));
    return text;
}

bool parseEndpoint(std::string_view text, Endpoint &endpoint)
{
    Endpoint parsed;
    const char *at = text.data();
    const char *end = at + text.size();
    for (int part = 0; part < 5; ++part) {
        uint32_t number = 0;
        const auto result = std::from_chars(at, end, number);
        const bool isPort = part == 4;
        if (result.ec != std::errc() || number > (isPort ? 65535U : 255U)) {
            return false;
        }
        at = result.ptr;
        if (isPort) {
            parsed.port = static_cast<uint16_t>(number);
            break;
        }
        parsed.address = (parsed.address << 8) | number;
        const char separator = part == 3 ? ':' : '.';
        if (at == end || *at != separator) {
            return false;
        }
        ++at;
    }
    if (at != end) {
        return false;
    }
    endpoint = parsed;
    return true;
}

} // namespace hornbeam
