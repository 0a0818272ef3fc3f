#pragma once

// CBOR form of the peer messages: an array of the message's number and its fields (RFC 8949).

#include "peer/messages.h"

#include <optional>

namespace hornbeam {

/** Encodes a message. Thread safe. */
Bytes encodeMessage(const PeerMessage &message);

/**
 * Decodes a message. Returns nothing when `data` is not CBOR, names an unknown message, or a field has another type or range
 * than its message states. Thread safe.
 */
std::optional<PeerMessage> decodeMessage(const uint8_t *data, size_t size);

inline std::optional<PeerMessage> decodeMessage(const Bytes &data)
{
    return decodeMessage(data.data(), data.size());
}

} // namespace hornbeam
