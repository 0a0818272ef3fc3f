#pragma once

// CoAP tokens of exchanges with targets. The first byte identifies the component that handles the response.

#include "core/bigendian.h"
#include "core/types.h"

namespace hornbeam {

enum class TokenKind : uint8_t {
    Request = 'R', // src/requests
    Feed = 'F',    // src/feeds
    Probe = 'P',   // src/slots
};

constexpr size_t upstreamTokenBytes = 8;
constexpr uint64_t maxTokenNumber = (1ULL << 56) - 1;

/** Creates the 8-byte token of a component's exchange `number`. Precondition: number at most maxTokenNumber. Thread safe. */
inline Bytes makeToken(TokenKind kind, uint64_t number)
{
    Bytes token(upstreamTokenBytes);
    token[0] = static_cast<uint8_t>(kind);
    writeBigEndian(token.data() + 1, upstreamTokenBytes - 1, number);
    return token;
}

/** Decodes a token created by makeToken. Returns false if it is of another kind or length. Thread safe. */
inline bool readToken(const Bytes &token, TokenKind kind, uint64_t &number)
{
    if (token.size() != upstreamTokenBytes || token[0] != static_cast<uint8_t>(kind)) {
        return false;
    }
    number = readBigEndian(token.data() + 1, upstreamTokenBytes - 1);
    return true;
}

} // namespace hornbeam
