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

KeyRing::KeyRing(std::vector<Bytes> keys)
{
    this->update(std::move(keys));
}

void KeyRing::update(std::vector<Bytes> keys)
{
    if (keys.size() > maxKeys) {
        keys.resize(maxKeys);
    }
    this->keys.store(std::make_shared<const std::vector<Bytes>>(std::move(keys)));
}

uint64_t KeyRing::sign(const uint8_t *data, size_t size) const
{
    return signatureBy(this->keys.load()->front(), data, size);
}

bool KeyRing::verify(const uint8_t *data, size_t size, uint64_t signature) const
{
    const auto present = this->keys.load();
    for (const Bytes &key : *present) {
        const uint64_t difference = signatureBy(key, data, size) ^ signature; // compared as one word, so the time tells nothing
        if (difference == 0) {
            return true;
        }
    }
    return false;
}

} // namespace hornbeam
