#pragma once

// The data of an open feed and of its registration at a target. Kept small: an instance holds 300,000.

#include "core/clock.h"
#include "core/coap.h"
#include "peer/messages.h"

#include <algorithm>
#include <array>
#include <memory>

namespace hornbeam {

constexpr uint32_t noIndex = UINT32_MAX;
constexpr TimePoint never = TimePoint::max();
constexpr uint64_t feedSlotBit = 1ULL << 63; // marks the place requests of feeds

/** The caller's side of a feed. */
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

/** Precondition: at most maxTokenBytes of token; more are cut off. Thread safe. */
FeedKey makeFeedKey(ServiceId service, const Endpoint &caller, const Bytes &token);

/** `first` doubled with each attempt, at most five times. Thread safe. */
inline Duration backoff(Duration initial, unsigned attempts)
{
    constexpr unsigned maxShift = 5;
    return initial * (1U << std::min(attempts, maxShift));
}

enum class RegistrationState : uint8_t {
    Free,          // not in use
    AwaitingRetry, // a place was refused; asks again when due
    AcquiringSlot, // a place was asked for
    Registering,   // sent to the target, no answer yet
    Active,        // answered
    Refreshing,    // answered before, and sent again
};

/** One registration at a target. Its number is its token at the target and the request number of its place. */
struct Registration
{
    uint64_t number = 0;
    TargetId target = 0;
    TargetId avoid = 0;
    Endpoint endpoint;
    TimePoint dueAt = never;  // next repeat, refresh or wish
    TimePoint lastReceivedAt; // last packet from the target
    uint32_t feed = noIndex;  // the next free index while Free
    uint32_t sequence = 0;    // the target's own last Observe value
    uint16_t messageId = 0;   // of the last GET sent
    uint8_t attempts = 0;     // GETs sent, or places asked for, without an answer
    RegistrationState state = RegistrationState::Free;
    bool hasSequence = false;
    bool notifiedSinceGet = false;     // a notification was taken after the last GET was sent
    bool replacesUnresponsive = false; // stands in for one that went silent
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
    uint32_t nextInFlow = noIndex;            // the next feed of the same flow; the next free index while free
    uint32_t current = noIndex;               // the registration that serves the feed
    uint32_t replacement = noIndex;           // the one that will replace it
    uint32_t sequence = 0;                    // last number sent to the caller
    uint64_t sequenceSentAtMs = 0;            // wall clock then; 0 when none was sent
    std::shared_ptr<const Bytes> requestTail; // options and payload of the caller's GET
    std::unique_ptr<UnacknowledgedNotification> unacknowledged;
    TimePoint timerAt = never;    // the timer entry in force
    TimePoint lastCallerActivity; // last sign of life of the caller
    TimePoint copiedAt;           // when the copy was sent
    MemberId copyHolder = 0;
    std::array<uint16_t, 4> recentMessageIds{}; // message IDs of the last notifications, for RST
    uint16_t pendingRequestId = 0;              // message ID of the GET that waits for its answer
    CoapType pendingRequestType = CoapType::Confirmable;
    uint8_t recentMessageIdCount = 0;
    uint8_t unansweredTargetCount = 0; // targets that did not answer before it was established
    bool used = false;
    bool isResponsePending = false;
    bool established = false; // the caller has seen a state of it
    bool cancelling = false;  // the caller's Observe=1 is at the target
    bool closing = false;     // ended by the target; only the last notification is left to confirm
};

} // namespace hornbeam
