#pragma once

// The counters of one instance: one for each refusal and retry reason, and one for each event an operator may ask about.

#include "core/histogram.h"
#include "core/verdict.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeam {

enum class Counter : uint8_t {
    PacketsFromCallers,   // datagrams that arrived on a service address
    PacketsFromTargets,   // datagrams that arrived on a target socket
    PacketsFromPeers,     // datagrams that arrived on the peer port
    PeerPacketsRejected,  // datagrams with a wrong signature or content
    StreamMessages,       // messages that arrived on peer streams
    StreamRejected,       // stream messages with a wrong signature or content
    ControlBytesSent,     // bytes of control datagrams and stream messages sent
    RelayBytesSent,       // bytes of relayed caller packets sent
    RelaysSent,           // caller packets passed on to another instance
    RequestsServed,       // requests that got a target's answer
    EchoValuesMade,       // challenges sent for non-idempotent requests
    RepeatsAnswered,      // repeated requests answered from a record
    RecordsHandedOver,    // records sent to a successor
    RecordsTakenOver,     // records received from a leaving instance
    SlotsGranted,         // slots given out as a keeper
    SlotsReclaimed,       // slots taken back because their holder is gone
    KeeperRebuilds,       // times this instance became keeper and rebuilt its state
    FeedsOpened,          // feeds registered for a caller
    FeedsClosed,          // feeds ended by the caller or the target
    FeedsMovedIn,         // feeds taken over from another instance
    FeedsMovedOut,        // feeds passed to another instance
    FeedCopiesStored,     // copies of feeds held for other instances
    NotificationsSent,    // feed updates sent to callers
    TargetsProbed,        // health probes sent
    MembersSuspected,     // members that did not answer probes
    MembersFailed,        // members that were declared dead
    TableVersionsApplied, // table versions put in force
    TableVersionsStale,   // table versions refused because a later one is in force
    TableRowsRejected,    // table objects refused because of a bad row
    TablePulls,           // table texts asked for from other members
    TableTextsSent,       // table texts sent to other members
    PlatformCalls,        // calls made to the platform's object API
    PlatformErrors,       // calls that failed
    StreamSendsDropped,   // messages for streams that were given up: queue full, peer unreachable or refused by it
    RepeatsAwaited,       // repeated requests left without an answer, as their maker or this instance has just started
    StoreAsksSent,        // questions to members of the zone about what the store told them
    StoreAsksUnanswered,  // of those, no answer came in time
    StoreNewsSent,        // answers to such questions
    StoreNewsOutdated,    // answers that were older than what this instance may act on
    StoreNewsTaken,       // answers that told of a change
    AnswersUnmatched,     // packets from targets that belong to no exchange, or come from another target than the one asked
    Count,
};

std::string_view nameOf(Counter counter);

/** Counters that only rise. All methods are thread safe. */
class Counters
{
public:
    void add(Counter counter, uint64_t amount = 1)
    {
        this->events[static_cast<size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
    }
    void refuse(Reason reason)
    {
        this->refusals[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    void retry(RetryReason reason)
    {
        this->retries[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    /** A request was answered by a target: the time from its arrival here until it left for that target. */
    void addLatency(Duration added)
    {
        this->latency.add(added);
    }
    uint64_t value(Counter counter) const
    {
        return this->events[static_cast<size_t>(counter)].load(std::memory_order_relaxed);
    }
    uint64_t value(Reason reason) const
    {
        return this->refusals[static_cast<size_t>(reason)].load(std::memory_order_relaxed);
    }
    uint64_t value(RetryReason reason) const
    {
        return this->retries[static_cast<size_t>(reason)].load(std::memory_order_relaxed);
    }
    /** All counters in the text exposition format that monitoring systems read. */
    std::string text() const;

private:
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Counter::Count)> events{};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Reason::Count)> refusals{};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(RetryReason::Count)> retries{};
    Histogram latency;
};

} // namespace hornbeam
