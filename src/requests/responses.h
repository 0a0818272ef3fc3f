#pragma once

// Responses to callers: a target's response, a refusal or an Echo challenge, in the form that outcome records store.

#include "core/clock.h"
#include "core/coap.h"
#include "peer/actions.h"

namespace hornbeam {

/** The most recent packet of a request; the response is addressed to it. */
struct CallerExchange
{
    ServiceId service = 0;
    Endpoint caller;
    CoapType type = CoapType::Confirmable;
    uint16_t messageId = 0;
    Bytes token;
};

/** Code, options and payload of a message: one byte for the code, then everything that follows the token. */
using MessageContent = Bytes;

/** Extracts the code and everything after the token. Precondition: `message` was parsed from these bytes. Thread safe. */
MessageContent extractContent(const CoapMessage &message, const uint8_t *data, size_t size);
/**
 * Builds 5.03 with Max-Age for a reason that stops a request before it is sent, and 5.04 otherwise. The payload names `verdict` and the reason.
 * `verdict` is weaker than the reason's own verdict when an earlier copy of the request may have run. `retryAfter` is rounded up to seconds. Thread safe.
 */
MessageContent refusalContent(Verdict verdict, Reason reason, Duration retryAfter);
/** Builds 4.13 (RFC 7252, 5.9.2.9) with the payload "not_run: message_too_large". Thread safe. */
MessageContent tooLargeContent();
/** Builds 4.01 with an Echo value (RFC 9175, 2.3). Thread safe. */
MessageContent challengeContent(const Bytes &echo);

/**
 * Sends a response: piggybacked on the ACK of a confirmable request (RFC 7252, 5.2.1), or as a non-confirmable message with `messageId`.
 * Precondition: `content` is not empty. Thread safe.
 */
void sendResponse(const CallerExchange &exchange, const MessageContent &content, uint16_t messageId, Actions &out);

} // namespace hornbeam
