#pragma once

// Metrics of an instance: a counter per refusal reason, per retry reason and per event of interest to operators.

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
    RelaysSent,           // caller packets relayed to another instance
    RequestsServed,       // requests answered by a target
    EchoValuesMade,       // Echo challenges sent for non-idempotent requests
    RepeatsAnswered,      // repeated requests answered from a record
    RecordsHandedOver,    // records sent to a successor
    RecordsTakenOver,     // records received from a leaving instance
    SlotsGranted,         // slots granted as an allocator
    SlotsReclaimed,       // slots reclaimed because the process of their holder ended
    KeeperRebuilds,       // times this instance became allocator and rebuilt its state
    FeedsOpened,          // feeds registered for a caller
    FeedsClosed,          // feeds ended by the caller or the target
    FeedsMovedIn,         // feeds taken over from another instance
    FeedsMovedOut,        // feeds handed over to another instance
    FeedCopiesStored,     // backup copies of feeds stored for other instances
    NotificationsSent,    // feed updates sent to callers
    TargetsProbed,        // health probes sent
    MembersSuspected,     // members suspected after an unanswered probe
    MembersFailed,        // members declared dead
    TableVersionsApplied, // table versions put in force
    TableVersionsStale,   // table versions ignored because the same or a later one is in force
    TableRowsRejected,    // table objects rejected because of an invalid row
    TablePulls,           // table texts requested from other members
    TableTextsSent,       // table texts sent to other members
    PlatformCalls,        // calls made to the platform's object API
    PlatformErrors,       // failed calls to that API
    StreamSendsDropped,   // stream messages dropped: queue full, peer unreachable or rejected by the peer
    RepeatsAwaited,       // repeated requests left unanswered because their maker or this instance has just started
    StoreAsksSent,        // queries to members of the zone for their view of the store
    StoreAsksUnanswered,  // such queries without an answer in time
    StoreNewsSent,        // answers sent to such queries
    StoreNewsOutdated,    // received answers too old to be used
    StoreNewsTaken,       // received answers that contained a change
    AnswersUnmatched,     // packets from targets that match no exchange or come from the wrong target
    OverloadsDetected,    // times this instance found itself overloaded
    OverloadDepartures,   // times it left the rotation because of that
    OverloadRecalls,      // times it returned early because fewer instances may be out
    Count,
};

std::string_view nameOf(Counter counter);

/** Monotonically increasing counters. All methods are thread safe. */
class Counters
{
public:
    void add(Counter counter, uint64_t amount = 1)
    {
        this->events[static_cast<size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
    }
    void addRefusal(Reason reason)
    {
        this->refusals[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    void addRetry(RetryReason reason)
    {
        this->retries[static_cast<size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    /** Records the time from a request's arrival until it was sent to the target that answered it. */
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
    /** All counters in the Prometheus text exposition format. */
    std::string text() const;

private:
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Counter::Count)> events{};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(Reason::Count)> refusals{};
    std::array<std::atomic<uint64_t>, static_cast<size_t>(RetryReason::Count)> retries{};
    Histogram latency;
};

} // namespace hornbeam
