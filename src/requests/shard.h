#pragma once

// State of one shard of the request engine. A shard holds the requests of the flows that hash to it.

#include "peer/directory.h"
#include "requests/records.h"
#include "requests/retrybudget.h"
#include "requests/settings.h"

#include <mutex>

namespace hornbeam {

/** A request in progress, from its arrival to the response. It is queued until it is sent to a target. */
struct Request
{
    CallerExchange exchange;
    MessageContent content; // code, options and payload of the caller's request
    bool isIdempotent = false;
    uint64_t echoNumber = 0; // key of the record; non-idempotent requests only
    bool isSent = false;
    bool mayHaveRun = false; // an earlier attempt was sent and got no response
    unsigned retries = 0;
    TimePoint arrivedAt;
    TimePoint deadline;         // the caller does not wait longer than this
    TimePoint queueDeadline;    // while queued
    TimePoint responseDeadline; // once sent
    TimePoint attemptDeadline;  // once sent: reached without an ACK or a response, the attempt has failed
    TimePoint sentAt;
    TargetId target = 0;
    Endpoint endpoint;
    uint16_t targetMessageId = 0;
    TargetId avoid = 0;
};

/** Identifies an idempotent request in progress, and is a part of ChallengeKey. */
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

/** Identifies a retransmission of a request without an Echo value. */
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

/** Recently issued Echo values, with FIFO eviction. Not thread safe: guarded by its shard. */
class ChallengeCache
{
public:
    explicit ChallengeCache(size_t capacity) : capacity(capacity)
    {
    }
    /** The value issued earlier for the same packet, or null. */
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
    std::mutex mutex;                                                          // guards the members below
    uint64_t attemptCount = 0;                                                 // attempts started so far
    std::unordered_map<uint64_t, Request> requests;                            // in progress, by attempt number
    std::unordered_map<CallerKey, uint64_t, CallerKeyHash> idempotentAttempts; // attempt numbers of idempotent requests in progress
    RecordStore records;
    std::unordered_map<uint64_t, uint64_t> unresolvedAttempts; // failed attempts that may still get a response -> number of their record
    uint64_t highestRefusedNumber = 0;                         // numbers up to this one without a record are refused, because the record budget was full
    std::unordered_map<ServiceId, RetryBudget> budgets;
    ChallengeCache challenges;
};

} // namespace hornbeam
