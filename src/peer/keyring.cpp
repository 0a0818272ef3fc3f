#include "peer/keyring.h"

#include "core/bigendian.h"

#include <array>
#include <glog/logging.h>
#include <mutex>
#include <openssl/core_names.h>
#include <openssl/evp.h>

namespace hornbeam {

namespace {

struct MacDeleter
{
    void operator()(EVP_MAC *mac) const
    {
        EVP_MAC_free(mac);
    }
    void operator()(EVP_MAC_CTX *context) const
    {
        EVP_MAC_CTX_free(context);
    }
};

using Mac = std::unique_ptr<EVP_MAC, MacDeleter>;
using MacContext = std::unique_ptr<EVP_MAC_CTX, MacDeleter>;

} // namespace

/** A key with a pool of initialized HMAC contexts. Setting the key costs four times as much as a signature. Thread safe. */
class KeyRing::Key
{
public:
    explicit Key(const Bytes &key) : mac(EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr)), keyedContext(EVP_MAC_CTX_new(this->mac.get()))
    {
        std::array<char, 7> digest{ "SHA256" };
        const std::array<OSSL_PARAM, 2> parameters{ OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0), OSSL_PARAM_construct_end() };
        CHECK(EVP_MAC_init(this->keyedContext.get(), key.data(), key.size(), parameters.data()) == 1) << "HMAC-SHA256 is not available";
    }

    uint64_t signature(const uint8_t *data, size_t size)
    {
        MacContext context = this->acquireContext();
        std::array<uint8_t, EVP_MAX_MD_SIZE> digest{};
        size_t digestBytes = 0;
        const bool good = EVP_MAC_init(context.get(), nullptr, 0, nullptr) == 1 && EVP_MAC_update(context.get(), data, size) == 1
            && EVP_MAC_final(context.get(), digest.data(), &digestBytes, digest.size()) == 1;
        CHECK(good) << "HMAC-SHA256 failed"; // never return an invalid signature
        this->releaseContext(std::move(context));
        return readBigEndian(digest.data(), signatureBytes);
    }

private:
    MacContext acquireContext()
    {
        const std::lock_guard lock(this->mutex);
        if (this->idleContexts.empty()) {
            return MacContext(EVP_MAC_CTX_dup(this->keyedContext.get()));
        }
        MacContext context = std::move(this->idleContexts.back());
        this->idleContexts.pop_back();
        return context;
    }
    void releaseContext(MacContext context)
    {
        const std::lock_guard lock(this->mutex);
        this->idleContexts.push_back(std::move(context));
    }

    const Mac mac;
    const MacContext keyedContext;
    std::mutex mutex;
    std::vector<MacContext> idleContexts; // at most the peak number of concurrent signers
};

KeyRing::KeyRing(const std::vector<Bytes> &keys)
{
    this->update(keys);
}

KeyRing::~KeyRing() = default;

void KeyRing::update(const std::vector<Bytes> &keys)
{
    auto replacement = std::make_shared<Keys>();
    for (const Bytes &key : keys) {
        if (replacement->size() < maxKeys) {
            replacement->push_back(std::make_unique<Key>(key));
        }
    }
    const std::lock_guard lock(this->mutex);
    this->keys = std::move(replacement);
}

std::shared_ptr<const KeyRing::Keys> KeyRing::currentKeys() const
{
    const std::lock_guard lock(this->mutex);
    return this->keys;
}

uint64_t KeyRing::sign(const uint8_t *data, size_t size) const
{
    return this->currentKeys()->front()->signature(data, size);
}

bool KeyRing::verify(const uint8_t *data, size_t size, uint64_t signature) const
{
    const auto currentKeys = this->currentKeys();
    for (const auto &key : *currentKeys) {
        const uint64_t difference = key->signature(data, size) ^ signature; // single-word comparison, so that timing reveals nothing
        if (difference == 0) {
            return true;
        }
    }
    return false;
}

} // namespace hornbeam
