#pragma once

// Shared keys with which instances sign their messages. Two keys are valid at the same time during a key rotation.

#include "core/types.h"

#include <cstddef>
#include <memory>
#include <mutex>

namespace hornbeam {

constexpr size_t signatureBytes = 8;    // HMAC-SHA256 truncated to 8 bytes (RFC 2104, section 5)
constexpr size_t maxKeys = 2;           // the active key, and the previous or next one during a rotation
constexpr size_t shortestKeyBytes = 16; // shorter keys are rejected by the settings

/** Signs and verifies with HMAC-SHA256. All methods are thread safe. */
class KeyRing
{
public:
    /** The first key signs; all keys verify. Keys beyond the first maxKeys are ignored. Precondition: at least one key. */
    explicit KeyRing(const std::vector<Bytes> &keys);
    ~KeyRing();
    KeyRing(const KeyRing &) = delete;
    KeyRing &operator=(const KeyRing &) = delete;
    /** Replaces all keys immediately. Precondition: as for the constructor. */
    void update(const std::vector<Bytes> &keys);

    /** Signs `data` with the first key. Returns the first 8 bytes of the HMAC in big-endian order. */
    uint64_t sign(const uint8_t *data, size_t size) const;
    /** Whether `signature` is the signature of `data` by any of the keys. */
    bool verify(const uint8_t *data, size_t size, uint64_t signature) const;

private:
    class Key;
    using Keys = std::vector<std::unique_ptr<Key>>;

    std::shared_ptr<const Keys> currentKeys() const;

    mutable std::mutex mutex; // guards `keys`; the keys themselves are thread safe
    std::shared_ptr<const Keys> keys;
};

} // namespace hornbeam
