#pragma once

// Authentication of datagrams and stream messages between instances: a version byte and a signature are appended to each message.
// It does not encrypt the content and does not detect replayed packets (all messages are idempotent).

#include "peer/keyring.h"

#include <optional>

namespace hornbeam {

constexpr uint8_t packetSignatureVersion = 1;
constexpr size_t packetSignatureBytes = 1 + signatureBytes; // appended to each message

/** Signs and verifies packets with the keys of a KeyRing. All methods are thread safe. */
class PacketSigner
{
public:
    /** The first key signs; all keys verify. Precondition: at least one key and at most maxKeys. */
    explicit PacketSigner(const std::vector<Bytes> &keys);

    /** Replaces all keys immediately. Precondition: as for the constructor. */
    void updateKeys(const std::vector<Bytes> &keys);
    /** Appends the version and the signature. The signature covers the message and the version. */
    Bytes seal(Bytes message) const;
    /** Verifies a packet and returns its message. Returns nullopt if it is too short, of another version, or signed by none of the keys. */
    std::optional<Bytes> open(const uint8_t *data, size_t size) const;

private:
    KeyRing ring;
};

} // namespace hornbeam
