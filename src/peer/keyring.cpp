#include "peer/keyring.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <utility>

namespace hornbeam {

namespace {

uint64_t signWith(const Bytes &key, const uint8_t *data, size_t size)
{
    uint8_t digest[EVP_MAX_MD_SIZE] = {};
    unsigned digestBytes = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, size, digest, &digestBytes);
    uint64_t signature = 0;
    for (size_t i = 0; i < sizeof(signature); ++i) {
        signature = (signature << 8U) | digest[i];
    }
    return signature;
}

} // namespace

KeyRing::KeyRing(std::vector<Bytes> keys) : keys(std::move(keys))
{
}

uint64_t KeyRing::sign(const uint8_t *data, size_t size) const
{
    return signWith(this->keys.front(), data, size);
}

bool KeyRing::verify(const uint8_t *data, size_t size, uint64_t signature) const
{
    bool matches = false;
    for (const Bytes &key : this->keys) {
        // every key is tried, so the time taken does not tell which one matched
        matches = (signWith(key, data, size) == signature) || matches;
    }
    return matches;
}

} // namespace hornbeam
