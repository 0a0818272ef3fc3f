// Exchanges with targets: from the wish for a place to the answer, the retry or the refusal.
//
// Sections: places | answers | losses | ends

#include "core/upstreamtoken.h"
#include "requests/requestengine.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

namespace {

/** What can honestly be said of a request that is refused for `reason`. */
Verdict statedVerdict(const Request &request, Reason reason)
{
    // only a POST runs nowhere else: a copy of an idempotent request may have run from another instance
    return request.isIdempotent ? Verdict::MayHaveRun : verdictOf(reason);
}

CallerKey keyOf(const CallerExchange &exchange)
{
    return { exchange.service, exchange.caller, exchange.token };
}

} // namespace

//--- Places

void RequestEngine::beginRequest(Shard &shard, Request request, Actions &out)
{
    const auto budget = shard.budgets.try_emplace(request.exchange.service, this->settings.retryRatio, this->settings.retryBurst).first;
    budget->second.addRequest();
    ++this->requestsInProgress;
    this->beginAttempt(shard, std::move(request), out);
}

void RequestEngine::beginAttempt(Shard &shard, Request request, Actions &out)
{
    const TimePoint now = this->clock.now();
    const uint64_t attempt = this->firstAttempt + (++shard.attemptSerial) * this->shards.size() + shard.index;
    request.isSent = false;
    request.queueDeadline = std::min(request.deadline, now + std::max(this->settings.queuePatience, this->settings.keeperPatience));
    AcquireParams want;
    want.request = attempt;
    want.service = request.exchange.service;
    want.flow = flowKey(request.exchange.service, request.exchange.caller);
    want.queueTimeout = std::min<Duration>(request.deadline - now, this->settings.queuePatience);
    want.firstResponseTimeout = request.queueDeadline - now;
    want.avoid = request.avoid;
    if (request.isIdempotent) {
        shard.idempotentAttempts[keyOf(request.exchange)] = attempt;
    } else {
        shard.records.find(request.echoNumber)->attempt = attempt;
    }
    shard.requests.emplace(attempt, std::move(request));
    this->places.acquireSlot(want, out);
}

void RequestEngine::slotGranted(const GrantedSlot &place, Actions &out)
{
    Shard &shard = this->shardOfAttempt(place.request);
    const std::lock_guard lock(shard.mutex);
    const auto at = shard.requests.find(place.request);
    if (at == shard.requests.end()) {
        this->places.releaseSlot(place.request, SlotOutcome::Cancelled, Duration::zero(), out);
        return;
    }
    if (at->second.isSent) {
        return; // a repeated grant of the place in use
    }
    const Reason fault = this->grantFault(at->second, place);
    if (fault != Reason::None) {
        this->endExchange(at, SlotOutcome::Cancelled, out);
        this->refuse(shard, at, fault, Duration::zero(), out);
        return;
    }
    this->send(at->second, place.request, place, out);
    if (!at->second.isIdempotent) {
        shard.records.find(at->second.echoNumber)->target = place.endpoint;
    }
}

Reason RequestEngine::grantFault(const Request &request, const GrantedSlot &place) const
{
    // the process may have stood still since the last tick, so the clock is asked once more
    if (this->clock.now() >= request.queueDeadline) {
        return Reason::QueueDeadline;
    }
    const auto table = this->tables.find(request.exchange.service);
    const TargetRow *row = table == nullptr ? nullptr : table->find(place.target);
    if (row == nullptr || row->endpoint != place.endpoint || place.service != request.exchange.service) {
        return Reason::WrongService;
    }
    if (request.isIdempotent) {
        return Reason::None;
    }
    // others answer for a dead maker that the request may have run; it stays with that
    const MemberRecord self = this->directory.self();
    const bool isGone = self.incarnation != this->incarnation || self.state == MemberState::Dead || self.state == MemberState::Left;
    return isGone ? Reason::MakerGone : Reason::None;
}

void RequestEngine::send(Request &request, uint64_t attempt, const GrantedSlot &place, Actions &out)
{
    const TimePoint now = this->clock.now();
    request.isSent = true;
    request.sentAt = now;
    request.target = place.target;
    request.endpoint = place.endpoint;
    request.targetMessageId = this->exchanges.add(place.endpoint, attempt);
    request.answerDeadline = std::min(request.deadline, now + this->settings.answerPatience);
    request.attemptDeadline = request.answerDeadline;
    if (request.isIdempotent) {
        request.attemptDeadline = std::min(request.answerDeadline, now + this->settings.attemptPatience);
    }
    const AnswerContent &content = request.content;
    out.sendToTarget(request.exchange.service, place.endpoint,
                     withHeader(CoapType::Confirmable, content.front(), request.targetMessageId, makeToken(TokenKind::Request, attempt), content.data() + 1,
                                content.size() - 1));
}

void RequestEngine::slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out)
{
    Shard &shard = this->shardOfAttempt(request);
    const std::lock_guard lock(shard.mutex);
    const auto at = shard.requests.find(request);
    if (at == shard.requests.end() || at->second.isSent) {
        return;
    }
    this->refuse(shard, at, reason, retryAfter, out);
}

//--- Answers

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
    const auto at = shard.requests.find(attempt);
    const bool isInProgress = at != shard.requests.end() && at->second.isSent;
    if (isInProgress && at->second.endpoint != target) {
        this->counters.add(Counter::AnswersUnmatched);
        return;
    }
    if (message.type == CoapType::Confirmable) {
        // a separate response is repeated until it is acknowledged, also when nobody waits for it any more
        const ServiceId service = isInProgress ? at->second.exchange.service : 0;
        out.sendToTarget(service, target, withHeader(CoapType::Acknowledgement, 0, message.messageId, {}, nullptr, 0));
    }
    if (isInProgress) {
        this->onAnswer(shard, at, message, data, size, out);
    } else {
        this->onLateAnswer(shard, attempt, target, message, data, size);
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
    const auto at = shard.requests.find(*attempt);
    if (at == shard.requests.end()) {
        return;
    }
    if (message.type == CoapType::Reset) {
        this->onLost(shard, at, SlotOutcome::Reset, Reason::TargetReset, out);
    } else if (message.type == CoapType::Acknowledgement) {
        // the target is at work on it and will send a separate response (RFC 7252, 5.2.2)
        at->second.attemptDeadline = at->second.answerDeadline;
    }
}

void RequestEngine::onAnswer(Shard &shard, Requests::iterator at, const CoapMessage &message, const uint8_t *data, size_t size, Actions &out)
{
    if (message.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable)) {
        this->onShed(shard, at, out);
        return;
    }
    this->endExchange(at, SlotOutcome::Answered, out);
    this->counters.add(Counter::RequestsServed);
    this->counters.addLatency(at->second.sentAt - at->second.arrivedAt);
    this->finish(shard, at, Verdict::Ran, Reason::None, contentOf(message, data, size), out);
}

void RequestEngine::onShed(Shard &shard, Requests::iterator at, Actions &out)
{
    this->endExchange(at, SlotOutcome::Shed, out);
    const Reason fault = this->retryFault(shard, at->second, Reason::TargetShed);
    if (fault != Reason::None) {
        this->refuse(shard, at, fault, Duration::zero(), out);
        return;
    }
    this->retry(shard, at, RetryReason::TargetShed, out);
}

void RequestEngine::onLateAnswer(Shard &shard, uint64_t attempt, const Endpoint &target, const CoapMessage &message, const uint8_t *data, size_t size)
{
    const auto late = shard.lateAttempts.find(attempt);
    if (late == shard.lateAttempts.end() || shard.records.find(late->second)->target != target) {
        this->counters.add(Counter::AnswersUnmatched);
        return;
    }
    // kept for the caller's next repeat, in place of the refusal that left it open
    const bool isShed = message.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable);
    if (isShed) {
        AnswerContent refusal = refusalContent(Verdict::NotRun, Reason::TargetShed, this->settings.retryAfter);
        shard.records.finish(late->second, Verdict::NotRun, Reason::TargetShed, std::move(refusal), this->clock.now());
    } else {
        shard.records.finish(late->second, Verdict::Ran, Reason::None, contentOf(message, data, size), this->clock.now());
    }
    shard.lateAttempts.erase(late);
}

//--- Losses

void RequestEngine::onTargetUnreachable(const Endpoint &target, Actions &out)
{
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        std::vector<uint64_t> lost;
        for (const auto &[attempt, request] : shard->requests) {
            if (request.isSent && request.endpoint == target) {
                lost.push_back(attempt);
            }
        }
        for (const uint64_t attempt : lost) {
            this->onLost(*shard, shard->requests.find(attempt), SlotOutcome::Reset, Reason::TargetReset, out);
        }
    }
}

void RequestEngine::onLost(Shard &shard, Requests::iterator at, SlotOutcome outcome, Reason reason, Actions &out)
{
    this->endExchange(at, outcome, out);
    if (!at->second.isIdempotent) {
        shard.lateAttempts[at->first] = at->second.echoNumber;
        this->refuse(shard, at, reason, Duration::zero(), out);
        return;
    }
    at->second.mayHaveRun = true;
    if (this->retryFault(shard, at->second, reason) != Reason::None) {
        this->refuse(shard, at, reason, Duration::zero(), out);
        return;
    }
    this->retry(shard, at, RetryReason::IdempotentLost, out);
}

Reason RequestEngine::retryFault(Shard &shard, const Request &request, Reason cause)
{
    if (request.retries >= this->settings.maxRetries || this->clock.now() >= request.deadline) {
        return cause;
    }
    return shard.budgets.at(request.exchange.service).takeRetry() ? Reason::None : Reason::RetryBudget;
}

void RequestEngine::retry(Shard &shard, Requests::iterator at, RetryReason reason, Actions &out)
{
    this->counters.retry(reason);
    Request request = std::move(at->second);
    shard.requests.erase(at);
    ++request.retries;
    request.avoid = request.target;
    this->beginAttempt(shard, std::move(request), out);
}

//--- Ends

void RequestEngine::refuse(Shard &shard, Requests::iterator at, Reason reason, Duration retryAfter, Actions &out)
{
    const Request &request = at->second;
    if (request.mayHaveRun && verdictOf(reason) == Verdict::NotRun) {
        reason = Reason::TargetTimeout; // the last attempt did not run, but an earlier one may have
    }
    this->counters.refuse(reason);
    const Verdict verdict = statedVerdict(request, reason);
    const Duration pause = retryAfter > Duration::zero() ? retryAfter : this->settings.retryAfter;
    this->finish(shard, at, verdict, reason, refusalContent(verdict, reason, pause), out);
}

void RequestEngine::finish(Shard &shard, Requests::iterator at, Verdict verdict, Reason reason, AnswerContent content, Actions &out)
{
    const Request &request = at->second;
    this->answer(request.exchange, content, out);
    if (request.isIdempotent) {
        shard.idempotentAttempts.erase(keyOf(request.exchange));
    } else {
        shard.records.finish(request.echoNumber, verdict, reason, std::move(content), this->clock.now());
    }
    shard.requests.erase(at);
    --this->requestsInProgress;
}

void RequestEngine::endExchange(Requests::iterator at, SlotOutcome outcome, Actions &out)
{
    Duration latency = Duration::zero();
    if (at->second.isSent) {
        this->exchanges.remove(at->second.endpoint, at->second.targetMessageId);
        latency = this->clock.now() - at->second.sentAt;
    }
    this->places.releaseSlot(at->first, outcome, latency, out);
}

} // namespace hornbeam
