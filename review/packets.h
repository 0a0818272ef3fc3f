#pragma once

// The packets that callers and targets exchange.

#include "loop.h"

#include <cstdint>
#include <string>
#include <vector>

namespace standin {

using Bytes = std::vector<uint8_t>;

constexpr uint8_t flagAck = 1;
constexpr uint8_t flagSyn = 4;
constexpr uint8_t flagReset = 32;
constexpr uint8_t flagFin = 64;

struct Packet
{
    Address from; // src, sport
    Address to;   // dst, dport
    uint8_t flags = 0;
    uint32_t sum = 0;
    uint32_t echo = 0;
    uint32_t seq = 0;
    uint32_t ack = 0;
    std::string data;
};

inline void put(Bytes &out, size_t offset, size_t size, uint64_t value)
{
    for (size_t i = 0; i < size; ++i) {
        out[offset + i] = static_cast<uint8_t>(value >> (8 * (size - 1 - i)));
    }
}

inline uint64_t get(const uint8_t *data, size_t size)
{
    uint64_t value = 0;
    for (size_t i = 0; i < size; ++i) {
        value = value << 8 | data[i];
    }
    return value;
}

// Covers all fields but `echo` and `pad`. The balancer doesn't know how it is computed.
inline uint32_t keyedSum(const Packet &packet)
{
    uint64_t hash = 0xcbf29ce484222325ULL ^ 0x5bd1e9955bd1e995ULL;
    const auto mix = [&hash](uint64_t value, size_t size) {
        for (size_t i = 0; i < size; ++i) {
            hash = (hash ^ ((value >> (8 * i)) & 255)) * 0x100000001b3ULL;
        }
    };
    mix(packet.from.host, 4);
    mix(packet.from.port, 2);
    mix(packet.to.host, 4);
    mix(packet.to.port, 2);
    mix(packet.flags, 1);
    mix(packet.seq, 4);
    mix(packet.ack, 4);
    for (const char byte : packet.data) {
        mix(static_cast<uint8_t>(byte), 1);
    }
    const auto sum = static_cast<uint32_t>(hash ^ (hash >> 32));
    return sum == 0 ? 1 : sum;
}

inline Bytes encode(const Packet &packet)
{
    Bytes out(32 + packet.data.size());
    put(out, 0, 2, packet.data.size());
    put(out, 2, 1, packet.flags);
    put(out, 4, 4, packet.sum);
    put(out, 8, 4, packet.echo);
    put(out, 12, 4, packet.seq);
    put(out, 16, 4, packet.ack);
    put(out, 20, 2, packet.from.port);
    put(out, 22, 2, packet.to.port);
    put(out, 24, 4, packet.to.host);
    put(out, 28, 4, packet.from.host);
    std::copy(packet.data.begin(), packet.data.end(), out.begin() + 32);
    return out;
}

inline bool decode(const uint8_t *data, size_t size, Packet &packet)
{
    if (size < 32 || get(data, 2) != size - 32) {
        return false;
    }
    packet.flags = data[2];
    packet.sum = static_cast<uint32_t>(get(data + 4, 4));
    packet.echo = static_cast<uint32_t>(get(data + 8, 4));
    packet.seq = static_cast<uint32_t>(get(data + 12, 4));
    packet.ack = static_cast<uint32_t>(get(data + 16, 4));
    packet.from = { static_cast<uint32_t>(get(data + 28, 4)), static_cast<uint16_t>(get(data + 20, 2)) };
    packet.to = { static_cast<uint32_t>(get(data + 24, 4)), static_cast<uint16_t>(get(data + 22, 2)) };
    packet.data.assign(reinterpret_cast<const char *>(data + 32), size - 32);
    return true;
}

} // namespace standin
