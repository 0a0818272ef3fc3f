#pragma once

// Unsigned integers in network byte order.

#include <cstddef>
#include <cstdint>

namespace hornbeam {

/** Reads the integer in the `bytes` (at most 8) at `data`. Thread safe. */
constexpr uint64_t readBigEndian(const uint8_t *data, size_t bytes)
{
    uint64_t number = 0;
    for (size_t i = 0; i < bytes; ++i) {
        number = number << 8U | data[i];
    }
    return number;
}

/** Writes the low `bytes` (at most 8) of an integer to `data`. Thread safe. */
constexpr void writeBigEndian(uint8_t *data, size_t bytes, uint64_t number)
{
    for (size_t i = 0; i < bytes; ++i) {
        data[i] = static_cast<uint8_t>(number >> (8 * (bytes - 1 - i)));
    }
}

} // namespace hornbeam
