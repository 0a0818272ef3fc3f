#include "requests/records.h"

#include <utility>

namespace hornbeam {

//--- Local records

RecordBudget::RecordBudget(size_t limit) : limit(limit)
{
}

bool RecordBudget::tryReserve(size_t bytes)
{
    if (this->bytes.fetch_add(bytes) + bytes > this->limit) {
        this->bytes.fetch_sub(bytes);
        return false;
    }
    return true;
}

void RecordBudget::reserveOverLimit(size_t bytes)
{
    this->bytes.fetch_add(bytes);
}

void RecordBudget::release(size_t bytes)
{
    this->bytes.fetch_sub(bytes);
}

size_t RecordBudget::used() const
{
    return this->bytes.load();
}

bool RecordBudget::hasRoom(size_t bytes) const
{
    return this->bytes.load() + bytes <= this->limit;
}

RecordStore::RecordStore(RecordBudget &budget, size_t responseReserve, Duration lifetime) : budget(budget), responseReserve(responseReserve), lifetime(lifetime)
{
}

Record *RecordStore::find(uint64_t number)
{
    const auto found = this->records.find(number);
    return found == this->records.end() ? nullptr : &found->second;
}

Record *RecordStore::add(uint64_t number, const Endpoint &caller, uint64_t requestHash)
{
    const size_t bytes = recordOverheadBytes + this->responseReserve;
    if (!this->budget.tryReserve(bytes)) {
        return nullptr;
    }
    Record &record = this->records[number];
    record.caller = caller;
    record.requestHash = requestHash;
    record.bytes = bytes;
    return &record;
}

void RecordStore::finish(uint64_t number, Verdict verdict, Reason reason, MessageContent answer, TimePoint now)
{
    Record &record = this->records.at(number);
    answer.shrink_to_fit();
    record.answer = std::move(answer);
    record.verdict = verdict;
    record.reason = reason;
    this->budget.release(record.bytes);
    record.bytes = recordOverheadBytes + record.answer.size();
    this->budget.reserveOverLimit(record.bytes);
    if (!record.isDone) {
        record.isDone = true;
        this->expiries.push_back({ now + this->lifetime, number });
    }
}

std::vector<uint64_t> RecordStore::removeExpired(TimePoint now)
{
    std::vector<uint64_t> attempts;
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        const auto found = this->records.find(this->expiries.front().number);
        attempts.push_back(found->second.attempt);
        this->budget.release(found->second.bytes);
        this->records.erase(found);
        this->expiries.pop_front();
    }
    return attempts;
}

std::vector<OutcomeRecord> RecordStore::finished() const
{
    std::vector<OutcomeRecord> outcomes;
    for (const auto &[number, record] : this->records) {
        if (record.isDone) {
            outcomes.push_back({ number, record.caller, record.verdict, record.reason, record.answer, record.requestHash });
        }
    }
    return outcomes;
}

//--- Records taken over

TakenOverRecords::TakenOverRecords(size_t limit, Duration lifetime) : limit(limit), lifetime(lifetime)
{
}

size_t TakenOverRecords::add(const RecordHandover &message, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    size_t added = 0;
    for (const OutcomeRecord &record : message.records) {
        const size_t cost = recordOverheadBytes + record.answer.size();
        if (record.answer.empty() || this->bytes + cost > this->limit) {
            continue;
        }
        const ForeignRequestKey number{ message.maker, message.incarnation, record.number };
        if (this->records.emplace(number, record).second) {
            this->bytes += cost;
            this->expiries.push_back({ now + this->lifetime, number });
            ++added;
        }
    }
    return added;
}

std::optional<OutcomeRecord> TakenOverRecords::find(const ForeignRequestKey &number) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find(number);
    if (found == this->records.end()) {
        return std::nullopt;
    }
    return found->second;
}

void TakenOverRecords::removeExpired(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        const auto found = this->records.find(this->expiries.front().number);
        this->bytes -= recordOverheadBytes + found->second.answer.size();
        this->records.erase(found);
        this->expiries.pop_front();
    }
}

size_t TakenOverRecords::usedBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->bytes;
}

} // namespace hornbeam
