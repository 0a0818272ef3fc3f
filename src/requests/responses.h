#pragma once

// What callers are answered: a target's answer, a refusal or a challenge, in the form in which records keep them.

#include "core/clock.h"
#include "core/coap.h"
#include "peer/actions.h"

namespace hornbeam {

/** The newest packet of a request, to which its answer is sent. */
struct CallerExchange
{
    ServiceId service = 0;
    Endpoint caller;
    CoapType type = CoapType::Confirmable;
    uint16_t messageId = 0;
    Bytes token;
};

/** An answer's code, options and payload: one byte of code, then the message after its token. */
using MessageContent = Bytes;

/** A message's code and all that follows its token. Precondition: `message` was parsed from these bytes. Thread safe. */
MessageContent extractContent(const CoapMessage &message, const uint8_t *data, size_t size);
/**
 * 5.03 with Max-Age for a reason that stops a request before it is sent, 5.04 for one that comes after; the payload names `verdict` and the reason.
 * The verdict is weaker than the reason's own when an earlier copy of the request may have run. `retryAfter` is rounded up to seconds. Thread safe.
 */
MessageContent refusalContent(Verdict verdict, Reason reason, Duration retryAfter);
/** 4.13 (RFC 7252, 5.9.2.9) with "not_run: message_too_large". Thread safe. */
MessageContent tooLargeContent();
/** 4.01 with an Echo value (RFC 9175, 2.3). Thread safe. */
MessageContent challengeContent(const Bytes &echo);

/**
 * Sends an answer: piggybacked on the ACK of a confirmable request (RFC 7252, 5.2.1), or as a non-confirmable message with `messageId`.
 * Precondition: `content` is not empty. Thread safe.
 */
void sendResponse(const CallerExchange &exchange, const MessageContent &content, uint16_t messageId, Actions &out);

} // namespace hornbeam
