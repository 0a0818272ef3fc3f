#pragma once

// Identifiers, addresses and byte strings used throughout the code.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

using Bytes = std::vector<uint8_t>;

//--- Identifiers

using MemberId = uint64_t;     // xxh64 of the instance's name
using Incarnation = uint64_t;  // wall clock in ms at process start; increases with each restart
using ServiceId = uint32_t;    // low 32 bits of xxh64 of the service's name
using TargetId = uint64_t;     // xxh64 of "service/target"
using ZoneId = uint32_t;       // low 32 bits of xxh64 of the availability zone's name
using TableVersion = uint64_t; // version of a service's table; never decreases

/** Hashes a name to its 64-bit identifier in messages. Thread safe. */
uint64_t hashName(std::string_view name);
MemberId memberIdOf(std::string_view instance);
ServiceId serviceIdOf(std::string_view service);
TargetId targetIdOf(std::string_view service, std::string_view target);
ZoneId zoneIdOf(std::string_view zone);

/** Combines two 64-bit values into one hash; used for all rendezvous hashing. Thread safe. */
uint64_t mixHash(uint64_t a, uint64_t b);

//--- Addresses

/** An IPv4 address and a UDP or TCP port, both in host byte order. */
struct Endpoint
{
    uint32_t address = 0;
    uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
    std::strong_ordering operator<=>(const Endpoint &other) const
    {
        return this->key() <=> other.key();
    }
    /** The address and port packed into 48 bits; unique per endpoint. */
    uint64_t key() const
    {
        return (static_cast<uint64_t>(this->address) << 16) | this->port;
    }
};

/** Formats an endpoint as "a.b.c.d:port". Thread safe. */
std::string toString(const Endpoint &endpoint);

/** Parses "a.b.c.d:port". Returns false and leaves `endpoint` unchanged if `text` is malformed. Thread safe. */
bool parseEndpoint(std::string_view text, Endpoint &endpoint);

} // namespace hornbeam

template<>
struct std::hash<hornbeam::Endpoint>
{
    size_t operator()(const hornbeam::Endpoint &endpoint) const noexcept
    {
        return static_cast<size_t>(endpoint.key() * 0x9E3779B97F4A7C15ULL);
    }
};
