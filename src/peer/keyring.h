#pragma once

// The keys that members share, to sign what must not be forged.

#include "core/types.h"

#include <cstddef>

namespace hornbeam {

/** Immutable after construction, so thread safe. Precondition: at least one key. */
class KeyRing
{
public:
    /** The first key signs; each of them verifies, so that a key can be replaced while both are in use. */
    explicit KeyRing(std::vector<Bytes> keys);
    /** HMAC-SHA256 (RFC 2104) with the first key, truncated to its first 64 bits. Thread safe. */
    uint64_t sign(const uint8_t *data, size_t size) const;
    /** Whether one of the keys made this signature. Thread safe. */
    bool verify(const uint8_t *data, size_t size, uint64_t signature) const;

private:
    std::vector<Bytes> keys;
};

} // namespace hornbeam
