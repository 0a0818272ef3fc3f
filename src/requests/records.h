#pragma once

// Outcomes of non-idempotent requests, kept for as long as a caller may retransmit one.
//
// Sections: local records | records taken over

#include "core/clock.h"
#include "peer/messages.h"
#include "requests/responses.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace hornbeam {

//--- Local records

/** Limits the memory of the records of all shards. All methods are thread safe. */
class RecordBudget
{
public:
    explicit RecordBudget(size_t limit);
    /** Reserves `bytes`; returns false and reserves nothing when that would exceed the limit. */
    bool tryReserve(size_t bytes);
    /** Reserves `bytes` even beyond the limit, for a response larger than its reserve. */
    void reserveOverLimit(size_t bytes);
    void release(size_t bytes);
    size_t used() const;
    bool hasRoom(size_t bytes) const;

private:
    const size_t limit;
    std::atomic<size_t> bytes{ 0 };
};

struct Record
{
    Endpoint caller;
    uint64_t requestHash = 0; // distinguishes a retransmission from another request with the same number
    uint64_t attempt = 0;     // number of the latest attempt; 0 before the first one
    Endpoint target;          // where the request was sent; port 0 before that
    bool isDone = false;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    MessageContent answer; // empty until isDone
    size_t bytes = 0;      // charged to the budget
};

/** The records of one shard, by the number of their Echo value. Not thread safe: guarded by its shard. */
class RecordStore
{
public:
    /** Precondition: `budget` outlives this object. `responseReserve`: bytes reserved for the response of a request in progress. */
    RecordStore(RecordBudget &budget, size_t responseReserve, Duration lifetime);
    Record *find(uint64_t number);
    /** Adds a record of a request in progress; null when the budget is exhausted. Precondition: the number has no record. */
    Record *add(uint64_t number, const Endpoint &caller, uint64_t requestHash);
    /** Completes a record, or replaces its outcome by a later, definite one. Precondition: the number has a record. */
    void finish(uint64_t number, Verdict verdict, Reason reason, MessageContent answer, TimePoint now);
    /** Removes expired records and returns their attempt numbers. Never removes the record of a request in progress. */
    std::vector<uint64_t> removeExpired(TimePoint now);
    /** All completed records, for a handover. */
    std::vector<OutcomeRecord> finished() const;

private:
    struct Expiry
    {
        TimePoint at;
        uint64_t number = 0;
    };

    RecordBudget &budget;
    const size_t responseReserve;
    const Duration lifetime;
    std::unordered_map<uint64_t, Record> records;
    std::deque<Expiry> expiries; // sorted by time, because all records have the same lifetime
};

/** Bytes charged for a record besides its response: the map node, the expiry entry and allocator overhead. */
constexpr size_t recordOverheadBytes = sizeof(Record) + 96;

//--- Records taken over

/** Identifies a request whose Echo value another instance issued. */
struct ForeignRequestKey
{
    MemberId maker = 0;
    Incarnation incarnation = 0;
    uint64_t number = 0;

    bool operator==(const ForeignRequestKey &) const = default;
};

struct ForeignRequestKeyHash
{
    size_t operator()(const ForeignRequestKey &key) const noexcept
    {
        return mixHash(mixHash(key.maker, key.incarnation), key.number);
    }
};

/** Records of instances that left. All methods are thread safe; its mutex is a leaf in the lock order. */
class TakenOverRecords
{
public:
    TakenOverRecords(size_t limit, Duration lifetime);
    /** Stores the records of a message as far as they fit the limit. Returns how many were new. */
    size_t add(const RecordHandover &message, TimePoint now);
    /** The record of a request, or nullopt. */
    std::optional<OutcomeRecord> find(const ForeignRequestKey &number) const;
    void removeExpired(TimePoint now);
    size_t usedBytes() const;

private:
    struct Expiry
    {
        TimePoint at;
        ForeignRequestKey number;
    };

    const size_t limit;
    const Duration lifetime;
    mutable std::mutex mutex;
    std::unordered_map<ForeignRequestKey, OutcomeRecord, ForeignRequestKeyHash> records;
    std::deque<Expiry> expiries;
    size_t bytes = 0;
};

} // namespace hornbeam
