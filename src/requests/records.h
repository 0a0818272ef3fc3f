#pragma once

// Outcomes of non-idempotent requests, kept for as long as a caller may repeat one.
//
// Sections: own records | records taken over

#include "core/clock.h"
#include "peer/messages.h"
#include "requests/responses.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace hornbeam {

//--- Own records

/** Bytes held by the records of all shards. All methods are thread safe. */
class RecordBudget
{
public:
    explicit RecordBudget(size_t limit);
    /** Takes `bytes`, or takes nothing and returns false when that would pass the limit. */
    bool tryReserve(size_t bytes);
    /** Takes `bytes` even above the limit: for an answer that came out larger than its reserve. */
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
    uint64_t requestHash = 0; // tells a repeat from another request under the same number
    uint64_t attempt = 0;     // its exchange with a target; 0 before one was begun
    Endpoint target;          // where it was sent; port 0 before
    bool isDone = false;
    Verdict verdict = Verdict::NotRun;
    Reason reason = Reason::None;
    MessageContent answer; // empty until it is done
    size_t bytes = 0;      // charged to the budget
};

/** The records of one shard by the number in their Echo value. Not thread safe: guarded by its shard. */
class RecordStore
{
public:
    /** Precondition: `budget` outlives this object. `responseReserve`: bytes set aside for an answer to come. */
    RecordStore(RecordBudget &budget, size_t responseReserve, Duration lifetime);
    Record *find(uint64_t number);
    /** Adds a record in progress; null when the budget has no room. Precondition: the number is unknown. */
    Record *add(uint64_t number, const Endpoint &caller, uint64_t requestHash);
    /** Ends a record, or replaces its outcome by a later, better one. Precondition: the number is known. */
    void finish(uint64_t number, Verdict verdict, Reason reason, MessageContent answer, TimePoint now);
    /** Removes records whose lifetime has passed and returns the attempts that they named. Never removes one in progress. */
    std::vector<uint64_t> removeExpired(TimePoint now);
    /** All records that are done, for a handover. */
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
    std::deque<Expiry> expiries; // sorted: all records live equally long
};

/** Bytes that a record costs besides its answer: its node in the map, its expiry and the allocator's share. */
constexpr size_t recordOverheadBytes = sizeof(Record) + 96;

//--- Records taken over

/** The maker and number that name a request of another instance. */
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

/** Records of instances that left. All methods are thread safe; its mutex is taken last. */
class TakenOverRecords
{
public:
    TakenOverRecords(size_t limit, Duration lifetime);
    /** Keeps the records of a message, as many as there is room for. Returns how many were new. */
    size_t add(const RecordHandover &message, TimePoint now);
    /** The record of a request, or nothing. */
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
