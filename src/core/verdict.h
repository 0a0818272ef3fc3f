#pragma once

// What is known of a request's execution, and the reasons for which one is refused or tried again.

#include <cstdint>
#include <string_view>

namespace hornbeam {

/** Whether a request may have run at a target. */
enum class Verdict : uint8_t {
    NotRun,     // it provably did not run and will not run
    MayHaveRun, // it ran, or did not, or will: nobody can tell
    Ran,        // a target answered it
};

/** Why a request was refused or ended without a target's answer. Each has a counter of its own. */
enum class Reason : uint8_t {
    None,              // no refusal
    NoTable,           // no table of this service has arrived yet
    NoTarget,          // the table has no target that takes new work
    NoSlot,            // every slot is taken and the queue is full
    QueueDeadline,     // the deadline passed while the request was queued
    DeadlinePassed,    // the deadline had passed on arrival
    KeeperUnreachable, // no keeper answered in time
    RecordsFull,       // no room to remember the outcome of another non-idempotent request
    RetryBudget,       // shed by a target, and the retry budget is spent
    TargetShed,        // shed by each target that was tried
    Draining,          // this instance is leaving and could not relay
    WrongService,      // the target chosen is not a row of this service
    MalformedPacket,   // not a CoAP message of version 1
    MessageTooLarge,   // larger than the largest datagram that is relayed
    TargetTimeout,     // sent to a target, which did not answer in time
    TargetReset,       // the target rejected the message or its host refused it
    MakerGone,         // the instance that may run it died or restarted
    MakerUnreachable,  // the instance that may run it is cut off
    RecordExpired,     // older than the record of its outcome
    Cancelled,         // the caller cancelled it
    ForeignEcho,       // an Echo value that this system did not make
    Count,
};

/** Why a request or a relay is tried once more. Each has a counter of its own. */
enum class RetryReason : uint8_t {
    TargetShed,     // the target refused it, so it did not run
    KeeperChanged,  // the keeper of the slots changed before it answered
    KeeperSilent,   // the keeper did not answer
    IdempotentLost, // an idempotent request was lost or timed out
    FeedSilent,     // nothing was heard on an open feed
    TargetDraining, // the target of an open feed leaves
    OwnerChanged,   // the owner of an open feed changed
    Count,
};

/** The verdict that goes with a reason. Thread safe. */
Verdict verdictOf(Reason reason);
/** The name used in counters, logs and diagnostic payloads. Thread safe. */
std::string_view nameOf(Verdict verdict);
std::string_view nameOf(Reason reason);
std::string_view nameOf(RetryReason reason);

} // namespace hornbeam
