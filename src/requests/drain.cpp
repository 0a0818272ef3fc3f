// Planned stop: issues no new Echo values, then sends the records to the successor.

#include "requests/requestengine.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

void RequestEngine::beginDrain(Actions & /*out*/)
{
    this->isDraining.store(true);
}

void RequestEngine::handOverRecords(Actions &out)
{
    this->isDraining.store(true);
    this->isHandedOver.store(true);
    std::vector<OutcomeRecord> outcomes;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        this->refuseQueued(*shard, out);
        std::vector<OutcomeRecord> shardOutcomes = shard->records.finished();
        std::move(shardOutcomes.begin(), shardOutcomes.end(), std::back_inserter(outcomes));
    }
    const ZoneId zone = this->directory.self().zone;
    const MemberId successor = this->directory.ownerIn(zone, mixHash(this->selfId, this->incarnation), 0);
    if (successor == 0 || successor == this->selfId) {
        return;
    }
    std::sort(outcomes.begin(), outcomes.end(), [](const OutcomeRecord &a, const OutcomeRecord &b) { return a.number > b.number; });
    RecordHandover message{ this->selfId, this->incarnation, {}, false };
    size_t messageBytes = 0;
    size_t totalBytes = 0;
    for (OutcomeRecord &outcome : outcomes) {
        const size_t bytes = sizeof(OutcomeRecord) + outcome.answer.size();
        if (totalBytes + bytes > this->settings.maxHandoverBytes) {
            break;
        }
        if (messageBytes + bytes > this->settings.maxHandoverMessageBytes && !message.records.empty()) {
            out.sendToStream(successor, message);
            message.records.clear();
            messageBytes = 0;
        }
        totalBytes += bytes;
        messageBytes += bytes;
        message.records.push_back(std::move(outcome));
        this->counters.add(Counter::RecordsHandedOver);
    }
    message.last = true;
    out.sendToStream(successor, std::move(message));
}

void RequestEngine::refuseQueued(Shard &shard, Actions &out)
{
    std::vector<uint64_t> queued;
    for (const auto &[attempt, request] : shard.requests) {
        if (!request.isSent) {
            queued.push_back(attempt);
        }
    }
    for (const uint64_t attempt : queued) {
        const auto it = shard.requests.find(attempt);
        this->endExchange(it, SlotOutcome::Cancelled, out);
        this->refuse(shard, it, Reason::Draining, Duration::zero(), out);
    }
}

void RequestEngine::onRecordHandover(const RecordHandover &message, Actions & /*out*/)
{
    const size_t added = this->takenOver.add(message, this->clock.now());
    this->counters.add(Counter::RecordsTakenOver, added);
}

bool RequestEngine::isIdle() const
{
    // an issued Echo value that is not used yet counts as a request in progress, because no other instance may run it
    const Duration sinceEcho = this->clock.now().time_since_epoch() - Duration(this->lastEchoAt.load());
    const bool mayBeUsed = this->isDraining.load() && sinceEcho < this->settings.drainEchoGrace;
    return this->inProgress() == 0 && !mayBeUsed;
}

size_t RequestEngine::inProgress() const
{
    return this->requestsInProgress.load();
}

size_t RequestEngine::recordBytes() const
{
    return this->recordBudget.used() + this->takenOver.usedBytes();
}

} // namespace hornbeam
