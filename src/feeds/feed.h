#pragma once

// Data of an open feed and of its registration at a target. Kept small, because an instance holds 300,000 of them.

#include "core/clock.h"
#include "core/coap.h"
#include "peer/messages.h"

#include <algorithm>
#include <array>
#include <memory>

namespace hornbeam {

constexpr uint32_t noIndex = UINT32_MAX;
constexpr TimePoint never = TimePoint::max();
constexpr uint64_t feedSlotBit = 1ULL << 63; // marks slot requests that belong to feeds

/** Identifies a feed by the caller's endpoint, the service and the caller's token. */
struct FeedKey
{
    Endpoint caller;
    ServiceId service = 0;
    uint8_t tokenBytes = 0;
    std::array<uint8_t, maxTokenBytes> tokenValue{};

    bool operator==(const FeedKey &) const = default;
    Bytes token() const
    {
        return { this->tokenValue.begin(), this->tokenValue.begin() + this->tokenBytes };
    }
    uint64_t flow() const;
};

/** Precondition: at most maxTokenBytes of token; excess bytes are truncated. Thread safe. */
FeedKey makeFeedKey(ServiceId service, const Endpoint &caller, const Bytes &token);

/** Exponential backoff: `initial` doubled for each attempt, at most five times. Thread safe. */
inline Duration backoff(Duration initial, unsigned attempts)
{
    constexpr unsigned maxShift = 5;
    return initial * (1U << std::min(attempts, maxShift));
}

enum class RegistrationState : uint8_t {
    Free,          // unused entry
    AwaitingRetry, // the slot request was refused; retried at dueAt
    AcquiringSlot, // slot requested
    Registering,   // GET sent, no response yet
    Active,        // the target has responded
    Refreshing,    // GET sent again to an established registration
};

/** A registration at a target. Its number is the token used with the target and the request ID of its slot. */
struct Registration
{
    uint64_t number = 0;
    TargetId target = 0;
    TargetId avoid = 0;
    Endpoint endpoint;
    TimePoint dueAt = never;  // next retransmission, refresh or slot request
    TimePoint lastReceivedAt; // last packet from the target
    uint32_t feed = noIndex;  // index of the next free entry in state Free
    uint32_t sequence = 0;    // last Observe value received from the target
    uint16_t messageId = 0;   // of the last GET sent
    uint8_t attempts = 0;     // GETs or slot requests sent without a response
    RegistrationState state = RegistrationState::Free;
    bool hasSequence = false;
    bool notifiedSinceGet = false;     // a notification was accepted after the last GET was sent
    bool replacesUnresponsive = false; // replaces a registration whose target stopped responding
};

/** A confirmable notification that the caller has not acknowledged. */
struct UnacknowledgedNotification
{
    Bytes packet;
    uint16_t messageId = 0;
    uint8_t attempts = 0;
    TimePoint dueAt;
};

struct Feed
{
    FeedKey key;
    uint32_t nextInFlow = noIndex;            // next feed of the same flow; index of the next free entry when unused
    uint32_t current = noIndex;               // registration that serves the feed
    uint32_t replacement = noIndex;           // registration that will replace the current one
    uint32_t sequence = 0;                    // last Observe value sent to the caller
    uint64_t sequenceSentAtMs = 0;            // wall clock when it was sent; 0 if none was sent
    std::shared_ptr<const Bytes> requestTail; // options and payload of the caller's GET
    std::unique_ptr<UnacknowledgedNotification> unacknowledged;
    TimePoint timerAt = never;    // time of the active timer entry
    TimePoint lastCallerActivity; // last GET or ACK from the caller
    TimePoint copiedAt;           // when the copy was last sent
    MemberId copyHolder = 0;
    std::array<uint16_t, 4> recentMessageIds{}; // message IDs of the latest notifications, to match ACK and RST
    uint16_t pendingRequestId = 0;              // message ID of the GET that awaits its response
    CoapType pendingRequestType = CoapType::Confirmable;
    uint8_t recentMessageIdCount = 0;
    uint8_t unansweredTargetCount = 0; // targets that did not respond before the feed was established
    bool used = false;
    bool isResponsePending = false;
    bool established = false; // a representation was sent to the caller
    bool cancelling = false;  // the caller's GET with Observe 1 is pending at the target
    bool closing = false;     // ended; only the last notification awaits its ACK
};

} // namespace hornbeam
