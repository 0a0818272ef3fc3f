#pragma once

// The tables of one shard of the request engine; a shard holds the requests of the flows that hash to it.

#include "peer/directory.h"
#include "requests/records.h"
#include "requests/retrybudget.h"
#include "requests/settings.h"

#include <mutex>

namespace hornbeam {

/** A request from its arrival to its answer. It is queued until it is sent. */
struct Request
{
    CallerExchange exchange;
    MessageContent content; // the caller's code, options and payload
    bool isIdempotent = false;
    uint64_t echoNumber = 0; // of a non-idempotent request: names its record
    bool isSent = false;
    bool mayHaveRun = false; // an earlier attempt was sent and stayed without an answer
    unsigned retries = 0;
    TimePoint arrivedAt;
    TimePoint deadline;         // after that nobody waits for an answer
    TimePoint queueDeadline;    // of a queued one
    TimePoint responseDeadline; // of a sent one
    TimePoint attemptDeadline;  // of a sent one: when no sign of life came
    TimePoint sentAt;
    TargetId target = 0;
    Endpoint endpoint;
    uint16_t targetMessageId = 0;
    TargetId avoid = 0;
};

/** What names a request in progress besides its Echo value. */
struct CallerKey
{
    ServiceId service = 0;
    Endpoint caller;
    Bytes token;

    bool operator==(const CallerKey &) const = default;
};

struct CallerKeyHash
{
    size_t operator()(const CallerKey &key) const noexcept
    {
        const std::string_view token(reinterpret_cast<const char *>(key.token.data()), key.token.size());
        return mixHash(flowKey(key.service, key.caller), hashName(token));
    }
};

/** What a repeated first request has in common with the first one. */
struct ChallengeKey
{
    CallerKey caller;
    uint16_t messageId = 0;
    uint64_t contentHash = 0;

    bool operator==(const ChallengeKey &) const = default;
};

struct ChallengeKeyHash
{
    size_t operator()(const ChallengeKey &key) const noexcept
    {
        return mixHash(CallerKeyHash()(key.caller), mixHash(key.messageId, key.contentHash));
    }
};

/** Echo values given out lately, the oldest dropped first. Not thread safe: guarded by its shard. */
class ChallengeCache
{
public:
    explicit ChallengeCache(size_t capacity) : capacity(capacity)
    {
    }
    /** The value given for the same packet before; null when there is none. */
    const Bytes *find(const ChallengeKey &key) const
    {
        const auto found = this->values.find(key);
        return found == this->values.end() ? nullptr : &found->second;
    }
    void update(const ChallengeKey &key, const Bytes &echo)
    {
        const auto [entry, isNew] = this->values.insert_or_assign(key, echo);
        if (!isNew) {
            return;
        }
        this->insertionOrder.push_back(key);
        if (this->insertionOrder.size() > this->capacity) {
            this->values.erase(this->insertionOrder.front());
            this->insertionOrder.pop_front();
        }
    }

private:
    const size_t capacity;
    std::unordered_map<ChallengeKey, Bytes, ChallengeKeyHash> values;
    std::deque<ChallengeKey> insertionOrder;
};

struct Shard
{
    Shard(size_t index, RecordBudget &budget, const RequestSettings &settings)
        : index(index)
        , records(budget, settings.responseReserveBytes, settings.recordLifetime)
        , challenges(settings.challengeCacheEntries / settings.shardCount)
    {
    }

    const size_t index;
    std::mutex mutex;                                                          // guards all below
    uint64_t attemptCount = 0;                                                 // exchanges begun so far
    std::unordered_map<uint64_t, Request> requests;                            // in progress, by attempt
    std::unordered_map<CallerKey, uint64_t, CallerKeyHash> idempotentAttempts; // the attempt of an idempotent request in progress
    RecordStore records;
    std::unordered_map<uint64_t, uint64_t> unresolvedAttempts; // attempts timed out whose answer may still come -> number of the record
    uint64_t highestRefusedNumber = 0;                         // unknown numbers up to this one were or will be refused: records were full
    std::unordered_map<ServiceId, RetryBudget> budgets;
    ChallengeCache challenges;
};

} // namespace hornbeam
