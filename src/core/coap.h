#pragma once

// The parts of a CoAP message (RFC 7252) that a balancer reads and rewrites: the 4-byte header, the token and a few options. All other
// options and the payload are forwarded unchanged.
//
// Sections: values | reading | writing

#include "core/types.h"

#include <optional>
#include <string_view>

namespace hornbeam {

//--- Values

enum class CoapType : uint8_t {
    Confirmable = 0,
    NonConfirmable = 1,
    Acknowledgement = 2,
    Reset = 3,
};

/** Codes that balancers use (RFC 7252, 12.1), as class * 32 + detail. */
enum class CoapCode : uint8_t {
    Empty = 0,
    Get = 1,
    Post = 2,
    Put = 3,
    Delete = 4,
    Changed = 2 * 32 + 4,
    Content = 2 * 32 + 5,
    BadRequest = 4 * 32,
    Unauthorized = 4 * 32 + 1,
    TooLarge = 4 * 32 + 13,
    ServiceUnavailable = 5 * 32 + 3,
    GatewayTimeout = 5 * 32 + 4,
};

constexpr uint16_t optionObserve = 6;      // RFC 7641
constexpr uint16_t optionUriPath = 11;     // RFC 7252
constexpr uint16_t optionMaxAge = 14;      // RFC 7252
constexpr uint16_t optionEcho = 252;       // RFC 9175
constexpr uint16_t optionDeadline = 65008; // elective, experimental range: remaining time in milliseconds until the caller gives up
constexpr size_t maxTokenBytes = 8;
// callers keep messages within 1152 bytes (RFC 7252, 4.6); a relayed and signed packet of this size still fits a datagram of 1400 bytes
constexpr size_t maxCallerPacketBytes = 1280;

//--- Reading

struct CoapMessage
{
    CoapType type = CoapType::Confirmable;
    uint8_t code = 0;
    uint16_t messageId = 0;
    Bytes token;
    std::optional<uint32_t> observe;
    std::optional<uint32_t> maxAge; // seconds
    std::optional<uint32_t> deadlineMs;
    Bytes echo;               // empty when absent
    size_t tailOffset = 0;    // offset of the first option in the datagram
    size_t observeOffset = 0; // offset of the Observe option's header byte in the datagram; 0 when absent
    size_t observeBytes = 0;  // length of the Observe option including its header byte

    bool isRequest() const
    {
        return this->code >= 1 && this->code < 32;
    }
    bool isResponse() const
    {
        return this->code >= 64;
    }
    /** Whether the method is idempotent (RFC 7252, 5.1). POST and unknown methods are not. */
    bool isIdempotent() const
    {
        return this->code == static_cast<uint8_t>(CoapCode::Get) || this->code == static_cast<uint8_t>(CoapCode::Put)
            || this->code == static_cast<uint8_t>(CoapCode::Delete);
    }
};

/** Parses a datagram. Returns nullopt if it is not a well-formed CoAP message of version 1. Thread safe. */
std::optional<CoapMessage> parseCoap(const uint8_t *data, size_t size);

inline std::optional<CoapMessage> parseCoap(const Bytes &packet)
{
    return parseCoap(packet.data(), packet.size());
}

/**
 * Hash of a message's code, options and payload. Excludes the options that may differ between retransmissions of a request (Echo, deadline).
 * Precondition: parseCoap accepted the bytes. Thread safe.
 */
uint64_t requestHash(const uint8_t *data, size_t size);

//--- Writing

/** Builds a packet from a new header and token and the unchanged `tail` (options and payload). Precondition: token at most maxTokenBytes. Thread safe. */
Bytes withHeader(CoapType type, uint8_t code, uint16_t messageId, const Bytes &token, const uint8_t *tail, size_t tailBytes);

/** Returns the options and payload of `message` with the Observe value replaced. Precondition: the message has an Observe option. Thread safe. */
Bytes replaceObserve(const CoapMessage &message, const uint8_t *data, size_t size, uint32_t sequence);

/** An option of a message that the balancer creates. */
struct CoapOption
{
    uint16_t number = 0;
    Bytes value;
};

/** The shortest encoding of an unsigned option value (RFC 7252, 3.2). */
Bytes optionValue(uint32_t number);
Bytes optionValue(std::string_view text);

/** Builds a complete message. Precondition: options sorted by number; token at most maxTokenBytes. Thread safe. */
Bytes buildCoap(CoapType type, CoapCode code, uint16_t messageId, const Bytes &token, const std::vector<CoapOption> &options, std::string_view payload);

} // namespace hornbeam
