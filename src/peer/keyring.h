#pragma once

// The shared keys that instances sign with. Two keys are valid at a time while one is replaced.

#include "core/types.h"

#include <cstddef>
#include <memory>
#include <mutex>

namespace hornbeam {

constexpr size_t signatureBytes = 8;    // HMAC-SHA256 cut to its first 8 bytes (RFC 2104, section 5)
constexpr size_t maxKeys = 2;           // the key in force and the one that comes or goes
constexpr size_t shortestKeyBytes = 16; // settings refuse shorter keys

/** Signs and verifies with HMAC-SHA256. All methods are thread safe. */
class KeyRing
{
public:
    /** The first key signs, all verify. Precondition: one key at least; further ones than maxKeys are left out. */
    explicit KeyRing(const std::vector<Bytes> &keys);
    ~KeyRing();
    KeyRing(const KeyRing &) = delete;
    KeyRing &operator=(const KeyRing &) = delete;
    /** Puts other keys in force at once. Precondition: as for the constructor. */
    void update(const std::vector<Bytes> &keys);

    /** The signature of `data` by the first key: the first 8 bytes of its HMAC, the first one highest. */
    uint64_t sign(const uint8_t *data, size_t size) const;
    /** Whether one of the keys made `signature` over `data`. */
    bool verify(const uint8_t *data, size_t size, uint64_t signature) const;

private:
    class Key;
    using Keys = std::vector<std::unique_ptr<Key>>;

    std::shared_ptr<const Keys> currentKeys() const;

    mutable std::mutex mutex; // guards `keys`; the keys themselves are thread safe
    std::shared_ptr<const Keys> keys;
};

} // namespace hornbeam
