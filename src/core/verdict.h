#pragma once

// Execution status of requests, and the reasons for refusals and retries.

#include <cstdint>
#include <string_view>

namespace hornbeam {

/** Whether a request was executed by a target. */
enum class Verdict : uint8_t {
    NotRun,     // it was not executed and will not be
    MayHaveRun, // unknown; it may have been executed or may still be
    Ran,        // a target answered it
};

/** Why a request was refused or ended without a target's answer. Each has its own counter. */
enum class Reason : uint8_t {
    None,              // no refusal
    NoTable,           // no table of this service has been received yet
    NoTarget,          // the table has no target that accepts new work
    NoSlot,            // all slots are in use and the queue is full
    QueueDeadline,     // the deadline expired while the request was queued
    DeadlinePassed,    // the deadline had already expired on arrival
    KeeperUnreachable, // no slot allocator answered in time
    RecordsFull,       // no capacity to record the outcome of another non-idempotent request
    RetryBudget,       // shed by a target, and the retry budget is exhausted
    TargetShed,        // shed by every target tried
    Draining,          // this instance is draining and could not relay the request
    WrongService,      // the target chosen is not a row of this service
    MalformedPacket,   // not a CoAP message of version 1
    MessageTooLarge,   // larger than the maximum size that can be relayed
    TargetTimeout,     // sent to a target, which did not answer in time
    TargetReset,       // the target rejected the message or its host refused it
    MakerGone,         // the instance responsible for its execution died or restarted
    MakerUnreachable,  // the instance responsible for its execution is unreachable
    RecordExpired,     // the record of its outcome has expired
    Cancelled,         // the caller cancelled it
    ForeignEcho,       // an Echo value that this system did not issue
    Count,
};

/** Why a request or relay was retried. Each has its own counter. */
enum class RetryReason : uint8_t {
    TargetShed,     // the target refused it without executing it
    KeeperChanged,  // the allocator of the slots changed before it answered
    KeeperSilent,   // the slot allocator did not answer
    IdempotentLost, // an idempotent request was lost or timed out
    FeedSilent,     // nothing was received on an open feed
    TargetDraining, // the target of an open feed is draining
    OwnerChanged,   // the owner of an open feed changed
    Count,
};

/** The verdict implied by a reason. Thread safe. */
Verdict verdictOf(Reason reason);
/** The name used in counters, logs and diagnostic payloads. Thread safe. */
std::string_view nameOf(Verdict verdict);
std::string_view nameOf(Reason reason);
std::string_view nameOf(RetryReason reason);

} // namespace hornbeam
