#pragma once

// CBOR encoding (RFC 8949) of the peer messages: an array of the message number followed by the fields.

#include "peer/messages.h"

#include <optional>

namespace hornbeam {

/** Encodes a message. Thread safe. */
Bytes encodeMessage(const PeerMessage &message);

/**
 * Decodes a message. Returns nullopt if `data` is not valid CBOR, the message number is unknown, or a field has the wrong type or is out
 * of range. Thread safe.
 */
std::optional<PeerMessage> decodeMessage(const uint8_t *data, size_t size);

inline std::optional<PeerMessage> decodeMessage(const Bytes &data)
{
    return decodeMessage(data.data(), data.size());
}

} // namespace hornbeam
