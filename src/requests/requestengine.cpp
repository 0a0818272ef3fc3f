// Sections: arrival | deadlines

#include "requests/requestengine.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

namespace {

constexpr uint64_t startMask = (1ULL << 40U) - 1; // bits of the process start time (ms) that are part of attempt numbers
constexpr unsigned attemptBits = 16;              // log2 of the attempts per ms of run time

/** The first attempt number. It is beyond those of an earlier process at the same address, so that late responses to that process match nothing. */
uint64_t firstAttemptOf(Incarnation incarnation, size_t shardCount)
{
    const uint64_t first = (incarnation & startMask) << attemptBits;
    return first - first % shardCount;
}

} // namespace

//--- Arrival

RequestEngine::RequestEngine(const RequestSettings &settings, const MemberDirectory &directory, const TableSource &tables, SlotProvider &slotProvider,
                             const Clock &clock, Counters &counters, const KeyRing &keys)
    : settings(settings)
    , directory(directory)
    , tables(tables)
    , slotProvider(slotProvider)
    , clock(clock)
    , counters(counters)
    , selfId(directory.self().id)
    , incarnation(directory.self().incarnation)
    , firstAttempt(firstAttemptOf(this->incarnation, settings.shardCount))
    , echoMaker(this->selfId, this->incarnation, clock, keys)
    , recordBudget(settings.maxRecordBytes)
    , takenOver(settings.maxTakenOverBytes, settings.recordLifetime)
    , exchanges(this->incarnation)
    , lastTick(clock.now())
{
    for (size_t i = 0; i < settings.shardCount; ++i) {
        this->shards.push_back(std::make_unique<Shard>(i, this->recordBudget, settings));
    }
}

Shard &RequestEngine::shardOfFlow(ServiceId service, const Endpoint &caller)
{
    return *this->shards[flowKey(service, caller) % this->shards.size()];
}

Shard &RequestEngine::shardOfAttempt(uint64_t attempt)
{
    return *this->shards[attempt % this->shards.size()];
}

CallerExchange RequestEngine::exchangeOf(const Relay &origin, const CoapMessage &message) const
{
    return { origin.service, origin.caller, message.type, message.messageId, message.token };
}

void RequestEngine::onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out)
{
    if (!message.isRequest()) {
        return;
    }
    if (message.isIdempotent()) {
        this->onIdempotent(origin, message, out);
    } else {
        this->onPost(origin, message, out);
    }
}

void RequestEngine::onIdempotent(const Relay &origin, const CoapMessage &message, Actions &out)
{
    const CallerExchange exchange = this->exchangeOf(origin, message);
    MessageContent content = extractContent(message, origin.packet.data(), origin.packet.size());
    const CallerKey key{ origin.service, origin.caller, message.token };
    Shard &shard = this->shardOfFlow(origin.service, origin.caller);
    const std::lock_guard lock(shard.mutex);
    if (this->joinInProgress(shard, key, exchange, content, out)) {
        return;
    }
    const Reason refusalReason = this->checkAdmission(origin.service, message);
    if (refusalReason != Reason::None) {
        this->refuseNewRequest(exchange, Verdict::MayHaveRun, refusalReason, out); // a copy of the packet may have run through another instance
        return;
    }
    this->startRequest(shard, this->makeRequest(exchange, std::move(content), message), out);
}

bool RequestEngine::joinInProgress(Shard &shard, const CallerKey &key, const CallerExchange &exchange, const MessageContent &content, Actions &out)
{
    const auto idempotentAttempt = shard.idempotentAttempts.find(key);
    if (idempotentAttempt == shard.idempotentAttempts.end()) {
        return false;
    }
    const auto it = shard.requests.find(idempotentAttempt->second);
    if (it->second.content == content) {
        it->second.exchange = exchange;
        return true;
    }
    // the caller reuses the token for another request, so it no longer waits for this one
    this->counters.addRefusal(Reason::Cancelled);
    this->endExchange(it, SlotOutcome::Cancelled, out);
    shard.idempotentAttempts.erase(idempotentAttempt);
    shard.requests.erase(it);
    --this->requestsInProgress;
    return false;
}

Reason RequestEngine::checkAdmission(ServiceId service, const CoapMessage &message) const
{
    if (this->tables.find(service) == nullptr) {
        return Reason::NoTable;
    }
    if (message.deadlineMs == 0U) {
        return Reason::DeadlinePassed;
    }
    if (this->requestsInProgress.load() >= this->settings.maxInProgress) {
        return Reason::NoSlot;
    }
    return Reason::None;
}

Request RequestEngine::makeRequest(const CallerExchange &exchange, MessageContent content, const CoapMessage &message) const
{
    Request request;
    request.exchange = exchange;
    request.content = std::move(content);
    request.isIdempotent = message.isIdempotent();
    Duration timeout = this->settings.queueTimeout + this->settings.responseTimeout;
    if (message.deadlineMs.has_value()) {
        timeout = std::min<Duration>(timeout, milliseconds(*message.deadlineMs));
    }
    request.arrivedAt = this->clock.now();
    request.deadline = request.arrivedAt + timeout;
    return request;
}

void RequestEngine::refuseNewRequest(const CallerExchange &exchange, Verdict verdict, Reason reason, Actions &out)
{
    this->counters.addRefusal(reason);
    this->respond(exchange, refusalContent(verdict, reason, this->settings.retryAfter), out);
}

void RequestEngine::refuseTooLarge(const Relay &origin, const CoapMessage &message, Actions &out)
{
    this->counters.addRefusal(Reason::MessageTooLarge);
    if (message.isRequest()) {
        this->respond(this->exchangeOf(origin, message), tooLargeContent(), out);
    }
}

void RequestEngine::respond(const CallerExchange &exchange, const MessageContent &content, Actions &out)
{
    sendResponse(exchange, content, ++this->callerMessageId, out);
}

//--- Deadlines

void RequestEngine::tick(Actions &out)
{
    const TimePoint now = this->clock.now();
    const bool wasPaused = now - this->lastTick > this->settings.pauseThreshold;
    this->lastTick = now;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        this->expireRequests(*shard, wasPaused, out);
        for (const uint64_t attempt : shard->records.removeExpired(now)) {
            shard->unresolvedAttempts.erase(attempt);
        }
    }
    this->takenOver.removeExpired(now);
}

void RequestEngine::expireRequests(Shard &shard, bool wasPaused, Actions &out)
{
    const TimePoint now = this->clock.now();
    std::vector<uint64_t> overdue;
    for (const auto &[attempt, request] : shard.requests) {
        // after a pause of the process, responses may still be in the socket buffer; they are read before the next tick
        const bool isOverdue = request.isSent ? now >= request.attemptDeadline && !wasPaused : now >= request.queueDeadline;
        if (isOverdue) {
            overdue.push_back(attempt);
        }
    }
    for (const uint64_t attempt : overdue) {
        const auto it = shard.requests.find(attempt);
        if (it->second.isSent) {
            this->onAttemptFailed(shard, it, SlotOutcome::TimedOut, Reason::TargetTimeout, out);
        } else {
            this->endExchange(it, SlotOutcome::Cancelled, out);
            this->refuse(shard, it, Reason::QueueDeadline, Duration::zero(), out);
        }
    }
}

} // namespace hornbeam
