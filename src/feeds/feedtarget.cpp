// The targets' side of a shard's feeds.
//
// Sections: registrations sent | packets from targets | silent and lost targets

#include "core/upstreamtoken.h"
#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned jitterShare = 4;       // a refresh is put off by up to a quarter, so that refreshes spread out
constexpr milliseconds resetPause{ 100 }; // wait before a target that reset a GET is asked again

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

// Each repeat has a message ID of its own: a target that still knows an ID from an earlier exchange would answer with that exchange's
// token. Registering again with the same token is harmless (RFC 7641, 3.3.1).
void FeedShard::sendGet(uint32_t registration, Actions &out)
{
    Registration &sent = this->store.registration(registration);
    const Feed &feed = this->store.feed(sent.feed);
    const bool wasLive = sent.state == RegistrationState::Live || sent.state == RegistrationState::Refreshing;
    sent.state = wasLive ? RegistrationState::Refreshing : RegistrationState::Registering;
    sent.heardSinceSent = false;
    this->store.updateMessageId(registration, this->context.messageIds.next(sent.endpoint));
    const Bytes token = makeToken(TokenKind::Feed, sent.number);
    const Bytes &tail = *feed.registration;
    out.sendToTarget(feed.key.service, sent.endpoint,
                     withHeader(CoapType::Confirmable, static_cast<uint8_t>(CoapCode::Get), sent.messageId, token, tail.data(), tail.size()));
    sent.dueAt = this->context.clock.now() + backoff(this->context.settings.answerTimeout, sent.attempts);
    ++sent.attempts;
    this->schedule(sent.feed);
}

// Sent once: a target that misses it gets an RST for its next notification.
void FeedShard::sendDeregister(const Registration &registration, Actions &out)
{
    const Feed &feed = this->store.feed(registration.feed);
    const Bytes token = makeToken(TokenKind::Feed, registration.number);
    const uint16_t messageId = this->context.messageIds.next(registration.endpoint);
    const auto code = static_cast<uint8_t>(CoapCode::Get);
    const Bytes get = withHeader(CoapType::Confirmable, code, messageId, token, feed.registration->data(), feed.registration->size());
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
    Registration &heard = this->store.registration(index);
    const TimePoint heardBefore = heard.heardAt;
    heard.heardAt = this->context.clock.now();
    if (!message.isResponse()) {
        return;
    }
    const bool isAnswer = message.type == CoapType::Acknowledgement && message.messageId == heard.messageId;
    const bool cancelling = this->store.feed(heard.feed).cancelling;
    if (message.observe && cancelling && !isAnswer) {
        return; // a notification that crossed the cancellation
    }
    if (message.observe && !cancelling) {
        this->onUpdate(index, heardBefore, data, size, message, out);
    } else {
        this->onFinal(index, data, size, message, out);
    }
}

// An answer to the newest GET is newer than all before it, even when the target restarted and counts anew, unless a notification overtook it.
bool FeedShard::isNewer(const Registration &registration, TimePoint heardBefore, const CoapMessage &message, bool isAnswer) const
{
    if (!registration.hasSequence || (isAnswer && !registration.heardSinceSent)) {
        return true;
    }
    const uint32_t sequence = *message.observe & sequenceMask;
    if (isAnswer && sequence == registration.sequence) {
        return true; // the same state again
    }
    return isFresher(sequence, toMillis(registration.heardAt), registration.sequence, toMillis(heardBefore));
}

void FeedShard::onUpdate(uint32_t registration, TimePoint heardBefore, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    Registration &heard = this->store.registration(registration);
    const uint32_t index = heard.feed;
    const bool isAnswer = message.type == CoapType::Acknowledgement && message.messageId == heard.messageId;
    if (!this->isNewer(heard, heardBefore, message, isAnswer)) {
        if (isAnswer) {
            this->onRegistered(registration, message, out);
        }
        if (isAnswer && this->store.feed(index).answerDue) {
            this->sendGet(registration, out); // the caller still waits for a state that it doesn't have yet
        }
        return;
    }
    heard.sequence = *message.observe & sequenceMask;
    heard.hasSequence = true;
    heard.heardSinceSent = !isAnswer;
    this->onRegistered(registration, message, out);
    this->notify(index, message, data, size, out);
}

void FeedShard::onRegistered(uint32_t registration, const CoapMessage &message, Actions &out)
{
    const FeedSettings &settings = this->context.settings;
    Registration &live = this->store.registration(registration);
    const uint32_t index = live.feed;
    Feed &feed = this->store.feed(index);
    live.state = RegistrationState::Live;
    live.attempts = 0;
    this->store.removeMessageId(registration);
    const Duration freshFor = std::min<Duration>(seconds(message.maxAge.value_or(0)), settings.silenceMax);
    const Duration silence = std::max(settings.silence, freshFor);
    const auto jitter = Duration(static_cast<int64_t>(mixHash(live.number, live.messageId) % static_cast<uint64_t>(silence.count() / jitterShare + 1)));
    live.dueAt = live.heardAt + silence + jitter;
    if (feed.next == registration) {
        const SlotOutcome outcome = live.afterSilence ? SlotOutcome::TimedOut : SlotOutcome::Answered;
        this->endRegistration(feed.current, outcome, true, out);
        feed.current = registration;
        feed.next = noIndex;
    } else if (feed.next != noIndex && this->store.registration(feed.next).afterSilence) {
        this->endRegistration(feed.next, SlotOutcome::Cancelled, true, out); // the silent target is back
        feed.next = noIndex;
    }
    this->tellTaken(index);
    this->schedule(index);
}

// an answer without Observe: the target has ended the feed, or never began it
void FeedShard::onFinal(uint32_t registration, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out)
{
    const uint32_t index = this->store.registration(registration).feed;
    const Feed &feed = this->store.feed(index);
    const bool isServerError = message.code / 32 == 5;
    if (feed.next == registration || (isServerError && feed.established && !feed.cancelling)) {
        this->context.counters.retry(RetryReason::TargetShed);
        this->failRegistration(registration, SlotOutcome::Shed, out);
        return;
    }
    this->sendUpdate(index, message.code, Bytes(data + message.tailOffset, data + size), true, out);
}

//--- Silent and lost targets

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
    reset.dueAt = this->context.clock.now() + resetPause;
    this->schedule(reset.feed);
}

void FeedShard::onTargetUnreachable(const Endpoint &target)
{
    this->unreachable[target] = this->context.clock.now();
    this->beginSweep();
}

void FeedShard::onNotice(const TargetNotice &notice)
{
    if (notice.draining || notice.failed) {
        this->leavingTargets[notice.target] = this->context.clock.now();
        this->beginSweep();
    } else {
        this->leavingTargets.erase(notice.target);
    }
}

void FeedShard::runRegistration(uint32_t registration, Actions &out)
{
    Registration &due = this->store.registration(registration);
    if (due.state == RegistrationState::Waiting) {
        this->askPlace(registration, out);
        return;
    }
    if (due.state == RegistrationState::Live) {
        Feed &feed = this->store.feed(due.feed);
        if (this->context.clock.now() - feed.copiedAt > this->context.settings.copyRefresh) {
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
    this->onSilent(registration, out);
}

void FeedShard::onSilent(uint32_t registration, Actions &out)
{
    Registration &silent = this->store.registration(registration);
    const uint32_t index = silent.feed;
    Feed &feed = this->store.feed(index);
    if (feed.cancelling) {
        this->closeFeed(index, false, out);
        return;
    }
    this->context.counters.retry(RetryReason::FeedSilent);
    if (silent.state == RegistrationState::Refreshing && feed.current == registration) {
        silent.state = RegistrationState::Live; // goes on asking while another target is sought
        silent.attempts = 0;
        silent.dueAt = this->context.clock.now() + this->context.settings.silence;
        this->replaceTarget(index, RetryReason::FeedSilent, true, out);
        return;
    }
    ++feed.failures;
    if (!feed.established && feed.failures >= this->context.settings.answerAttempts) {
        this->failRegistration(registration, SlotOutcome::TimedOut, out);
        this->refuseFeed(index, CoapCode::GatewayTimeout, Reason::TargetTimeout, {}, out);
        return;
    }
    this->failRegistration(registration, SlotOutcome::TimedOut, out);
}

// gives the place back and looks for another one
void FeedShard::failRegistration(uint32_t registration, SlotOutcome outcome, Actions &out)
{
    Registration &failed = this->store.registration(registration);
    const uint32_t index = failed.feed;
    const bool established = this->store.feed(index).established;
    this->context.places.releaseSlot(failed.number | feedPlaceBit, outcome, {}, out);
    this->store.renumber(registration);
    failed.avoid = failed.target;
    failed.endpoint = Endpoint{};
    failed.hasSequence = false;
    failed.attempts = 0;
    failed.state = RegistrationState::Waiting;
    failed.dueAt = this->context.clock.now() + (established && outcome == SlotOutcome::Shed ? this->context.settings.placeRetry : Duration{});
    this->schedule(index);
}

void FeedShard::endRegistration(uint32_t registration, SlotOutcome outcome, bool deregister, Actions &out)
{
    const Registration &ended = this->store.registration(registration);
    const bool isSent = ended.state != RegistrationState::Asking && ended.state != RegistrationState::Waiting;
    if (isSent && deregister) {
        this->sendDeregister(ended, out);
    }
    if (ended.state != RegistrationState::Waiting) {
        this->context.places.releaseSlot(ended.number | feedPlaceBit, isSent ? outcome : SlotOutcome::Cancelled, {}, out);
    }
    this->store.removeRegistration(registration);
}

void FeedShard::replaceTarget(uint32_t index, RetryReason reason, bool afterSilence, Actions &out)
{
    Feed &feed = this->store.feed(index);
    if (feed.next != noIndex) {
        return;
    }
    const uint32_t next = this->store.addRegistration(index);
    if (next == noIndex) {
        return;
    }
    feed.next = next;
    Registration &added = this->store.registration(next);
    added.avoid = this->store.registration(feed.current).target;
    added.afterSilence = afterSilence;
    if (!afterSilence) {
        this->context.counters.retry(reason);
    }
    this->askPlace(next, out);
}

} // namespace hornbeam
