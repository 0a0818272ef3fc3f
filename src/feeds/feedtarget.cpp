// Communication of a shard's feeds with targets.
//
// Sections: registrations sent | packets from targets | unresponsive and lost targets

#include "core/upstreamtoken.h"
#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned jitterDivisor = 4;          // a refresh is delayed by up to a quarter of the interval, to spread the load
constexpr milliseconds resetRetryDelay{ 100 }; // delay before a GET is sent again to a target that reset it

Bytes emptyMessage(CoapType type, uint16_t messageId)
{
    return withHeader(type, static_cast<uint8_t>(CoapCode::Empty), messageId, {}, nullptr, 0);
}

uint64_t toMillis(TimePoint time)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

} // namespace

//--- Registrations sent

// Each retransmission has a new message ID: a target that remembers the ID from an earlier exchange would respond with that exchange's
// token. Registering again with the same token is harmless (RFC 7641, 3.3.1).
void FeedShard::sendGet(uint32_t registration, Actions &out)
{
    Registration &sent = this->store.registration(registration);
    const Feed &feed = this->store.feed(sent.feed);
    const bool wasActive = sent.state == RegistrationState::Active || sent.state == RegistrationState::Refreshing;
    sent.state = wasActive ? RegistrationState::Refreshing : RegistrationState::Registering;
    sent.notifiedSinceGet = false;
    this->store.updateMessageId(registration, this->context.messageIds.next(sent.endpoint));
    const Bytes token = makeToken(TokenKind::Feed, sent.number);
    const Bytes &tail = *feed.requestTail;
    out.sendToTarget(feed.key.service, sent.endpoint,
                     withHeader(CoapType::Confirmable, static_cast<uint8_t>(CoapCode::Get), sent.messageId, token, tail.data(), tail.size()));
    sent.dueAt = this->context.clock.now() + backoff(this->context.settings.answerTimeout, sent.attempts);
    ++sent.attempts;
    this->schedule(sent.feed);
}

// Sent only once: a target that misses it receives an RST for its next notification.
void FeedShard::sendDeregister(const Registration &registration, Actions &out)
{
    const Feed &feed = this->store.feed(registration.feed);
    const Bytes token = makeToken(TokenKind::Feed, registration.number);
    const uint16_t messageId = this->context.messageIds.next(registration.endpoint);
    const auto code = static_cast<uint8_t>(CoapCode::Get);
    const Bytes get = withHeader(CoapType::Confirmable, code, messageId, token, feed.requestTail->data(), feed.requestTail->size());
    const auto message = parseCoap(get);
    if (!message || message->observeOffset == 0) {
        return;
    }
    const Bytes tail = replaceObserve(*message, get.data(), get.size(), 1);
    out.sendToTarget(feed.key.service, registration.endpoint, withHeader(CoapType::Confirmable, code, messageId, token, tail.data(), tail.size()));
}

//--- Packets from targets

void FeedShard::onTargetPacket(uint64_t number, const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    const uint32_t index = this->store.findRegistration(number);
    const bool needsReply = message.type == CoapType::Confirmable || message.type == CoapType::NonConfirmable;
    if (index == noIndex || this->store.registration(index).endpoint != target) {
        if (needsReply) {
            out.sendToTarget(0, target, emptyMessage(CoapType::Reset, message.messageId));
        }
        return;
    }
    if (message.type == CoapType::Confirmable) {
        out.sendToTarget(0, target, emptyMessage(CoapType::Acknowledgement, message.messageId));
    }
    Registration &source = this->store.registration(index);
    const TimePoint previousReceivedAt = source.lastReceivedAt;
    source.lastReceivedAt = this->context.clock.now();
    if (!message.isResponse()) {
        return;
    }
    const bool isAnswer = message.type == CoapType::Acknowledgement && message.messageId == source.messageId;
    const bool cancelling = this->store.feed(source.feed).cancelling;
    if (message.observe && cancelling && !isAnswer) {
        return; // a notification sent before the cancellation arrived
    }
    if (message.observe && !cancelling) {
        this->onNotification(index, previousReceivedAt, data, size, message, out);
    } else {
        this->onFinalResponse(index, data, size, message, out);
    }
}

// The response to the latest GET is newer than all before, even if the target restarted its sequence, unless a notification overtook it.
bool FeedShard::isNewer(const Registration &registration, TimePoint previousReceivedAt, const CoapMessage &message, bool isAnswer) const
{
    if (!registration.hasSequence || (isAnswer && !registration.notifiedSinceGet)) {
        return true;
    }
    const uint32_t sequence = *message.observe & sequenceMask;
    if (isAnswer && sequence == registration.sequence) {
        return true; // same representation again
    }
    return isNewerSequence(sequence, toMillis(registration.lastReceivedAt), registration.sequence, toMillis(previousReceivedAt));
}

void FeedShard::onNotification(uint32_t registration, TimePoint previousReceivedAt, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    Registration &source = this->store.registration(registration);
    const uint32_t index = source.feed;
    const bool isAnswer = message.type == CoapType::Acknowledgement && message.messageId == source.messageId;
    if (!this->isNewer(source, previousReceivedAt, message, isAnswer)) {
        if (isAnswer) {
            this->onRegistered(registration, message, out);
        }
        if (isAnswer && this->store.feed(index).isResponsePending) {
            this->sendGet(registration, out); // the caller still awaits a representation
        }
        return;
    }
    source.sequence = *message.observe & sequenceMask;
    source.hasSequence = true;
    source.notifiedSinceGet = !isAnswer;
    this->onRegistered(registration, message, out);
    this->notify(index, message, data, size, out);
}

void FeedShard::onRegistered(uint32_t registration, const CoapMessage &message, Actions &out)
{
    const FeedSettings &settings = this->context.settings;
    Registration &registered = this->store.registration(registration);
    const uint32_t index = registered.feed;
    Feed &feed = this->store.feed(index);
    registered.state = RegistrationState::Active;
    registered.attempts = 0;
    this->store.removeMessageId(registration);
    const Duration maxAge = std::min<Duration>(seconds(message.maxAge.value_or(0)), settings.maxRefreshInterval);
    const Duration refreshInterval = std::max(settings.refreshInterval, maxAge);
    const auto jitter =
        Duration(static_cast<int64_t>(mixHash(registered.number, registered.messageId) % static_cast<uint64_t>(refreshInterval.count() / jitterDivisor + 1)));
    registered.dueAt = registered.lastReceivedAt + refreshInterval + jitter;
    if (feed.replacement == registration) {
        const SlotOutcome outcome = registered.replacesUnresponsive ? SlotOutcome::TimedOut : SlotOutcome::Answered;
        this->endRegistration(feed.current, outcome, true, out);
        feed.current = registration;
        feed.replacement = noIndex;
    } else if (feed.replacement != noIndex && this->store.registration(feed.replacement).replacesUnresponsive) {
        this->endRegistration(feed.replacement, SlotOutcome::Cancelled, true, out); // the unresponsive target has recovered
        feed.replacement = noIndex;
    }
    this->queueTaken(index);
    this->schedule(index);
}

// Handles a response without Observe: the target ended the observation or did not accept it.
void FeedShard::onFinalResponse(uint32_t registration, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    const uint32_t index = this->store.registration(registration).feed;
    const Feed &feed = this->store.feed(index);
    const bool isServerError = message.code / 32 == 5;
    if (feed.replacement == registration || (isServerError && feed.established && !feed.cancelling)) {
        this->context.counters.addRetry(RetryReason::TargetShed);
        this->failRegistration(registration, SlotOutcome::Shed, out);
        return;
    }
    this->sendUpdate(index, message.code, Bytes(data + message.tailOffset, data + size), true, out);
}

//--- Unresponsive and lost targets

void FeedShard::onTargetReset(const Endpoint &target, uint16_t messageId)
{
    const uint32_t index = this->store.findMessageId(target, messageId);
    if (index == noIndex) {
        return;
    }
    Registration &reset = this->store.registration(index);
    if (reset.state != RegistrationState::Registering && reset.state != RegistrationState::Refreshing) {
        return;
    }
    reset.dueAt = this->context.clock.now() + resetRetryDelay;
    this->schedule(reset.feed);
}

void FeedShard::onTargetUnreachable(const Endpoint &target)
{
    this->unreachableTargets[target] = this->context.clock.now();
    this->startSweep();
}

void FeedShard::onNotice(const TargetNotice &notice)
{
    if (notice.draining || notice.failed) {
        this->unusableTargets[notice.target] = this->context.clock.now();
        this->startSweep();
    } else {
        this->unusableTargets.erase(notice.target);
    }
}

void FeedShard::processDueRegistration(uint32_t registration, Actions &out)
{
    Registration &due = this->store.registration(registration);
    if (due.state == RegistrationState::AwaitingRetry) {
        this->requestSlot(registration, out);
        return;
    }
    if (due.state == RegistrationState::Active) {
        Feed &feed = this->store.feed(due.feed);
        if (this->context.clock.now() - feed.copiedAt > this->context.settings.copyRefreshInterval) {
            feed.copiedAt = this->context.clock.now();
            this->copyQueue.push_back(feed.key);
        }
        this->sendGet(registration, out);
        return;
    }
    if (due.attempts < this->context.settings.answerAttempts) {
        this->sendGet(registration, out);
        return;
    }
    this->onAnswerTimeout(registration, out);
}

void FeedShard::onAnswerTimeout(uint32_t registration, Actions &out)
{
    Registration &timedOut = this->store.registration(registration);
    const uint32_t index = timedOut.feed;
    Feed &feed = this->store.feed(index);
    if (feed.cancelling) {
        this->closeFeed(index, false, out);
        return;
    }
    this->context.counters.addRetry(RetryReason::FeedSilent);
    if (timedOut.state == RegistrationState::Refreshing && feed.current == registration) {
        timedOut.state = RegistrationState::Active; // keeps refreshing while another target is tried
        timedOut.attempts = 0;
        timedOut.dueAt = this->context.clock.now() + this->context.settings.refreshInterval;
        this->replaceTarget(index, RetryReason::FeedSilent, true, out);
        return;
    }
    ++feed.unansweredTargetCount;
    if (!feed.established && feed.unansweredTargetCount >= this->context.settings.answerAttempts) {
        this->failRegistration(registration, SlotOutcome::TimedOut, out);
        this->refuseFeed(index, CoapCode::GatewayTimeout, Reason::TargetTimeout, {}, out);
        return;
    }
    this->failRegistration(registration, SlotOutcome::TimedOut, out);
}

// Releases the slot and schedules a request for another one.
void FeedShard::failRegistration(uint32_t registration, SlotOutcome outcome, Actions &out)
{
    Registration &failed = this->store.registration(registration);
    const uint32_t index = failed.feed;
    const bool established = this->store.feed(index).established;
    this->context.slotProvider.releaseSlot(failed.number | feedSlotBit, outcome, {}, out);
    this->store.renumber(registration);
    failed.avoid = failed.target;
    failed.endpoint = Endpoint{};
    failed.hasSequence = false;
    failed.attempts = 0;
    failed.state = RegistrationState::AwaitingRetry;
    failed.dueAt = this->context.clock.now() + (established && outcome == SlotOutcome::Shed ? this->context.settings.slotRetryDelay : Duration{});
    this->schedule(index);
}

void FeedShard::endRegistration(uint32_t registration, SlotOutcome outcome, bool deregister, Actions &out)
{
    const Registration &ended = this->store.registration(registration);
    const bool isSent = ended.state != RegistrationState::AcquiringSlot && ended.state != RegistrationState::AwaitingRetry;
    if (isSent && deregister) {
        this->sendDeregister(ended, out);
    }
    if (ended.state != RegistrationState::AwaitingRetry) {
        this->context.slotProvider.releaseSlot(ended.number | feedSlotBit, isSent ? outcome : SlotOutcome::Cancelled, {}, out);
    }
    this->store.removeRegistration(registration);
}

void FeedShard::replaceTarget(uint32_t index, RetryReason reason, bool replacesUnresponsive, Actions &out)
{
    Feed &feed = this->store.feed(index);
    if (feed.replacement != noIndex) {
        return;
    }
    const uint32_t next = this->store.addRegistration(index);
    if (next == noIndex) {
        return;
    }
    feed.replacement = next;
    Registration &added = this->store.registration(next);
    added.avoid = this->store.registration(feed.current).target;
    added.replacesUnresponsive = replacesUnresponsive;
    if (!replacesUnresponsive) {
        this->context.counters.addRetry(reason);
    }
    this->requestSlot(next, out);
}

} // namespace hornbeam
