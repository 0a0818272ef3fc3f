#include "peer/keyring.h"

#include <array>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace hornbeam {

namespace {

uint64_t signatureBy(const Bytes &key, const uint8_t *data, size_t size)
{
    std::array<uint8_t, EVP_MAX_MD_SIZE> digest{};
    unsigned digestBytes = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, size, digest.data(), &digestBytes);
    uint64_t signature = 0;
    for (size_t i = 0; i < signatureBytes; ++i) {
        signature = (signature << 8U) | digest.at(i);
    }
    return signature;
}

} // namespace

KeyRing::KeyRing(std::vector<Bytes> keys) : keys(std::move(keys))
{
    if (this->keys.size() > maxKeys) {
        this->keys.resize(maxKeys);
    }
}

uint64_t KeyRing::sign(const uint8_t *data, size_t size) const
{
    return signatureBy(this->keys.front(), data, size);
}

bool KeyRing::verify(const uint8_t *data, size_t size, uint64_t signature) const
{
    for (const Bytes &key : this->keys) {
        const uint64_t difference = signatureBy(key, data, size) ^ signature; // compared as one word, so the time tells nothing
        if (difference == 0) {
            return true;
        }
    }
    return false;
}

} // namespace hornbeam
