#pragma once

// The seal on each datagram and stream message between instances: a version byte and a signature behind the message. It
// keeps strangers out; it neither hides the content nor tells a repeated packet from the first one (the messages are safe to repeat).

#include "peer/keyring.h"

#include <optional>

namespace hornbeam {

constexpr uint8_t packetSignatureVersion = 1;
constexpr size_t packetSignatureBytes = 1 + signatureBytes; // added to each message

/** Seals and opens packets with the keys of a KeyRing. All methods are thread safe. */
class PacketSigner
{
public:
    /** The first key signs, all open. Precondition: one key at least, maxKeys at most. */
    explicit PacketSigner(const std::vector<Bytes> &keys);

    /** Puts other keys in force at once. Precondition: as for the constructor. */
    void updateKeys(const std::vector<Bytes> &keys);
    /** The message with version and signature behind it; the signature covers both. */
    Bytes seal(Bytes message) const;
    /** The message without its seal; nothing when it is too short, of another version, or signed by none of the keys. */
    std::optional<Bytes> open(const uint8_t *data, size_t size) const;

private:
    KeyRing ring;
};

} // namespace hornbeam
