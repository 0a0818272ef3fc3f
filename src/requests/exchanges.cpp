// Exchanges with targets: from acquiring a slot to the response, the retry or the refusal.
//
// Sections: slots | responses | failures | completion

#include "core/upstreamtoken.h"
#include "requests/requestengine.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

namespace {

/** The verdict to report for a request that is refused for `reason`. */
Verdict reportedVerdict(const Request &request, Reason reason)
{
    // only a POST is bound to one instance: a copy of an idempotent request may have run through another one
    return request.isIdempotent ? Verdict::MayHaveRun : verdictOf(reason);
}

CallerKey keyOf(const CallerExchange &exchange)
{
    return { exchange.service, exchange.caller, exchange.token };
}

} // namespace

//--- Slots

void RequestEngine::startRequest(Shard &shard, Request request, Actions &out)
{
    const auto budget = shard.budgets.try_emplace(request.exchange.service, this->settings.retryRatio, this->settings.retryBurst).first;
    budget->second.addRequest();
    ++this->requestsInProgress;
    this->startAttempt(shard, std::move(request), out);
}

void RequestEngine::startAttempt(Shard &shard, Request request, Actions &out)
{
    const TimePoint now = this->clock.now();
    const uint64_t attempt = this->firstAttempt + (++shard.attemptCount) * this->shards.size() + shard.index;
    request.isSent = false;
    request.queueDeadline = std::min(request.deadline, now + std::max(this->settings.queueTimeout, this->settings.allocatorResponseTimeout));
    AcquireParams params;
    params.request = attempt;
    params.service = request.exchange.service;
    params.flow = flowKey(request.exchange.service, request.exchange.caller);
    params.queueTimeout = std::min<Duration>(request.deadline - now, this->settings.queueTimeout);
    params.firstResponseTimeout = request.queueDeadline - now;
    params.avoid = request.avoid;
    if (request.isIdempotent) {
        shard.idempotentAttempts[keyOf(request.exchange)] = attempt;
    } else {
        shard.records.find(request.echoNumber)->attempt = attempt;
    }
    shard.requests.emplace(attempt, std::move(request));
    this->slotProvider.acquireSlot(params, out);
}

void RequestEngine::slotGranted(const GrantedSlot &slot, Actions &out)
{
    Shard &shard = this->shardOfAttempt(slot.request);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(slot.request);
    if (it == shard.requests.end()) {
        this->slotProvider.releaseSlot(slot.request, SlotOutcome::Cancelled, Duration::zero(), out);
        return;
    }
    if (it->second.isSent) {
        return; // a duplicate grant of the slot in use
    }
    const Reason refusalReason = this->checkGrant(it->second, slot);
    if (refusalReason != Reason::None) {
        this->endExchange(it, SlotOutcome::Cancelled, out);
        this->refuse(shard, it, refusalReason, Duration::zero(), out);
        return;
    }
    this->send(it->second, slot.request, slot, out);
    if (!it->second.isIdempotent) {
        shard.records.find(it->second.echoNumber)->target = slot.endpoint;
    }
}

Reason RequestEngine::checkGrant(const Request &request, const GrantedSlot &slot) const
{
    // the process may have been paused since the last tick, so the deadline is checked again
    if (this->clock.now() >= request.queueDeadline) {
        return Reason::QueueDeadline;
    }
    const auto table = this->tables.find(request.exchange.service);
    const TargetRow *row = table == nullptr ? nullptr : table->find(slot.target);
    if (row == nullptr || row->endpoint != slot.endpoint || slot.service != request.exchange.service) {
        return Reason::WrongService;
    }
    if (request.isIdempotent) {
        return Reason::None;
    }
    // other members report "may have run" for the requests of a dead maker; this instance reports the same and does not send the request
    const MemberRecord self = this->directory.self();
    const bool isReplacedOrRemoved = self.incarnation != this->incarnation || self.state == MemberState::Dead || self.state == MemberState::Left;
    return isReplacedOrRemoved ? Reason::MakerGone : Reason::None;
}

void RequestEngine::send(Request &request, uint64_t attempt, const GrantedSlot &slot, Actions &out)
{
    const TimePoint now = this->clock.now();
    request.isSent = true;
    request.sentAt = now;
    request.target = slot.target;
    request.endpoint = slot.endpoint;
    request.targetMessageId = this->exchanges.add(slot.endpoint, attempt);
    request.responseDeadline = std::min(request.deadline, now + this->settings.responseTimeout);
    request.attemptDeadline = request.responseDeadline;
    if (request.isIdempotent) {
        request.attemptDeadline = std::min(request.responseDeadline, now + this->settings.attemptTimeout);
    }
    const MessageContent &content = request.content;
    out.sendToTarget(request.exchange.service, slot.endpoint,
                     withHeader(CoapType::Confirmable, content.front(), request.targetMessageId, makeToken(TokenKind::Request, attempt), content.data() + 1,
                                content.size() - 1));
}

void RequestEngine::slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out)
{
    Shard &shard = this->shardOfAttempt(request);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(request);
    if (it == shard.requests.end() || it->second.isSent) {
        return;
    }
    this->refuse(shard, it, reason, retryAfter, out);
}

//--- Responses

void RequestEngine::onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    if (message.code == static_cast<uint8_t>(CoapCode::Empty)) {
        this->onEmptyPacket(target, message, out);
        return;
    }
    uint64_t attempt = 0;
    if (!message.isResponse() || !readToken(message.token, TokenKind::Request, attempt)) {
        this->counters.add(Counter::AnswersUnmatched);
        return;
    }
    Shard &shard = this->shardOfAttempt(attempt);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(attempt);
    const bool isInProgress = it != shard.requests.end() && it->second.isSent;
    if (isInProgress && it->second.endpoint != target) {
        this->counters.add(Counter::AnswersUnmatched);
        return;
    }
    if (message.type == CoapType::Confirmable) {
        // a separate response is retransmitted until it is acknowledged, so it is also acknowledged when nobody waits for it any more
        const ServiceId service = isInProgress ? it->second.exchange.service : 0;
        out.sendToTarget(service, target, withHeader(CoapType::Acknowledgement, 0, message.messageId, {}, nullptr, 0));
    }
    if (isInProgress) {
        this->onResponse(shard, it, message, data, size, out);
    } else {
        this->onLateResponse(shard, attempt, target, message, data, size);
    }
}

void RequestEngine::onEmptyPacket(const Endpoint &target, const CoapMessage &message, Actions &out)
{
    const auto attempt = this->exchanges.find(target, message.messageId);
    if (!attempt.has_value()) {
        this->counters.add(Counter::AnswersUnmatched);
        return;
    }
    Shard &shard = this->shardOfAttempt(*attempt);
    const std::lock_guard lock(shard.mutex);
    const auto it = shard.requests.find(*attempt);
    if (it == shard.requests.end()) {
        return;
    }
    if (message.type == CoapType::Reset) {
        this->onAttemptFailed(shard, it, SlotOutcome::Reset, Reason::TargetReset, out);
    } else if (message.type == CoapType::Acknowledgement) {
        // the target is processing the request and will send a separate response (RFC 7252, 5.2.2)
        it->second.attemptDeadline = it->second.responseDeadline;
    }
}

void RequestEngine::onResponse(Shard &shard, Requests::iterator it, const CoapMessage &message, const uint8_t *data, size_t size, Actions &out)
{
    if (message.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable)) {
        this->onShed(shard, it, out);
        return;
    }
    this->endExchange(it, SlotOutcome::Answered, out);
    this->counters.add(Counter::RequestsServed);
    this->counters.addLatency(it->second.sentAt - it->second.arrivedAt);
    this->finish(shard, it, Verdict::Ran, Reason::None, extractContent(message, data, size), out);
}

void RequestEngine::onShed(Shard &shard, Requests::iterator it, Actions &out)
{
    this->endExchange(it, SlotOutcome::Shed, out);
    const Reason refusalReason = this->checkRetry(shard, it->second, Reason::TargetShed);
    if (refusalReason != Reason::None) {
        this->refuse(shard, it, refusalReason, Duration::zero(), out);
        return;
    }
    this->retry(shard, it, RetryReason::TargetShed, out);
}

void RequestEngine::onLateResponse(Shard &shard, uint64_t attempt, const Endpoint &target, const CoapMessage &message, const uint8_t *data, size_t size)
{
    const auto unresolvedAttempt = shard.unresolvedAttempts.find(attempt);
    if (unresolvedAttempt == shard.unresolvedAttempts.end() || shard.records.find(unresolvedAttempt->second)->target != target) {
        this->counters.add(Counter::AnswersUnmatched);
        return;
    }
    // stored for the caller's next retransmission; replaces the refusal "may have run"
    const bool isShed = message.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable);
    if (isShed) {
        MessageContent refusal = refusalContent(Verdict::NotRun, Reason::TargetShed, this->settings.retryAfter);
        shard.records.finish(unresolvedAttempt->second, Verdict::NotRun, Reason::TargetShed, std::move(refusal), this->clock.now());
    } else {
        shard.records.finish(unresolvedAttempt->second, Verdict::Ran, Reason::None, extractContent(message, data, size), this->clock.now());
    }
    shard.unresolvedAttempts.erase(unresolvedAttempt);
}

//--- Failures

void RequestEngine::onTargetUnreachable(const Endpoint &target, Actions &out)
{
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        std::vector<uint64_t> failedAttempts;
        for (const auto &[attempt, request] : shard->requests) {
            if (request.isSent && request.endpoint == target) {
                failedAttempts.push_back(attempt);
            }
        }
        for (const uint64_t attempt : failedAttempts) {
            this->onAttemptFailed(*shard, shard->requests.find(attempt), SlotOutcome::Reset, Reason::TargetReset, out);
        }
    }
}

void RequestEngine::onAttemptFailed(Shard &shard, Requests::iterator it, SlotOutcome outcome, Reason reason, Actions &out)
{
    this->endExchange(it, outcome, out);
    if (!it->second.isIdempotent) {
        shard.unresolvedAttempts[it->first] = it->second.echoNumber;
        this->refuse(shard, it, reason, Duration::zero(), out);
        return;
    }
    it->second.mayHaveRun = true;
    if (this->checkRetry(shard, it->second, reason) != Reason::None) {
        this->refuse(shard, it, reason, Duration::zero(), out);
        return;
    }
    this->retry(shard, it, RetryReason::IdempotentLost, out);
}

Reason RequestEngine::checkRetry(Shard &shard, const Request &request, Reason cause)
{
    if (request.retries >= this->settings.maxRetries || this->clock.now() >= request.deadline) {
        return cause;
    }
    return shard.budgets.at(request.exchange.service).tryConsumeRetry() ? Reason::None : Reason::RetryBudget;
}

void RequestEngine::retry(Shard &shard, Requests::iterator it, RetryReason reason, Actions &out)
{
    this->counters.addRetry(reason);
    Request request = std::move(it->second);
    shard.requests.erase(it);
    ++request.retries;
    request.avoid = request.target;
    this->startAttempt(shard, std::move(request), out);
}

//--- Completion

void RequestEngine::refuse(Shard &shard, Requests::iterator it, Reason reason, Duration retryAfter, Actions &out)
{
    const Request &request = it->second;
    if (request.mayHaveRun && verdictOf(reason) == Verdict::NotRun) {
        reason = Reason::TargetTimeout; // the latest attempt did not run, but an earlier one may have
    }
    this->counters.addRefusal(reason);
    const Verdict verdict = reportedVerdict(request, reason);
    const Duration retryAfterHint = retryAfter > Duration::zero() ? retryAfter : this->settings.retryAfter;
    this->finish(shard, it, verdict, reason, refusalContent(verdict, reason, retryAfterHint), out);
}

void RequestEngine::finish(Shard &shard, Requests::iterator it, Verdict verdict, Reason reason, MessageContent content, Actions &out)
{
    const Request &request = it->second;
    this->respond(request.exchange, content, out);
    if (request.isIdempotent) {
        shard.idempotentAttempts.erase(keyOf(request.exchange));
    } else {
        shard.records.finish(request.echoNumber, verdict, reason, std::move(content), this->clock.now());
    }
    shard.requests.erase(it);
    --this->requestsInProgress;
}

void RequestEngine::endExchange(Requests::iterator it, SlotOutcome outcome, Actions &out)
{
    Duration latency = Duration::zero();
    if (it->second.isSent) {
        this->exchanges.remove(it->second.endpoint, it->second.targetMessageId);
        latency = this->clock.now() - it->second.sentAt;
    }
    this->slotProvider.releaseSlot(it->first, outcome, latency, out);
}

} // namespace hornbeam
