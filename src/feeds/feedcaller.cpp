// Communication of a shard's feeds with callers.
//
// Sections: packets from callers | relays and copies | refusals | notifications

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

namespace {

Bytes tailOf(const Bytes &packet, const CoapMessage &message)
{
    return { packet.begin() + static_cast<std::ptrdiff_t>(message.tailOffset), packet.end() };
}

bool isCancel(const CoapMessage &message)
{
    return message.observe.value_or(0) == 1;
}

} // namespace

//--- Packets from callers

void FeedShard::onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out)
{
    if (message.code == static_cast<uint8_t>(CoapCode::Empty)) {
        this->onCallerEmpty(origin, message, out);
        return;
    }
    if (message.code != static_cast<uint8_t>(CoapCode::Get) || message.observe.value_or(2) > 1) {
        return;
    }
    const FeedKey key = makeFeedKey(origin.service, origin.caller, message.token);
    const uint32_t index = this->store.findFeed(key);
    const MemberId owner = this->relayDestination(origin, key.flow());
    if (index == noIndex && owner != 0) {
        this->storeEntryCopy(key, owner, origin, message);
        this->relay(origin, owner, out);
        return;
    }
    if (index == noIndex) {
        this->openFeed(key, origin, message, out);
        return;
    }
    if (isCancel(message) && owner != 0) {
        this->relay(origin, owner, out); // the owner may have taken over the feed already
    }
    this->renewFeed(index, origin, message, out);
}

void FeedShard::onCallerEmpty(const Relay &origin, const CoapMessage &message, Actions &out)
{
    const uint64_t flow = flowKey(origin.service, origin.caller);
    for (uint32_t index = this->store.firstOfFlow(flow); index != noIndex; index = this->store.feed(index).nextInFlow) {
        Feed &feed = this->store.feed(index);
        const auto sent = feed.recentMessageIds.begin() + std::min<size_t>(feed.recentMessageIdCount, feed.recentMessageIds.size());
        if (feed.key.caller != origin.caller || std::find(feed.recentMessageIds.begin(), sent, message.messageId) == sent) {
            continue;
        }
        if (message.type == CoapType::Reset) {
            this->closeFeed(index, true, out);
            return;
        }
        feed.lastCallerActivity = this->context.clock.now();
        if (feed.unacknowledged && feed.unacknowledged->messageId == message.messageId) {
            feed.unacknowledged.reset();
            if (feed.closing) {
                this->closeFeed(index, false, out);
            }
        } else if (feed.unacknowledged) {
            feed.unacknowledged->attempts = 1; // an ACK of an earlier notification shows that the caller is reachable
        }
        return;
    }
    const MemberId owner = this->relayDestination(origin, flow);
    if (owner != 0) {
        this->relay(origin, owner, out);
    }
}

void FeedShard::openFeed(const FeedKey &key, const Relay &origin, const CoapMessage &message, Actions &out)
{
    if (this->context.draining) {
        this->refuse(origin, message, Reason::Draining, out);
        return;
    }
    const uint64_t flow = key.flow();
    size_t feedsOfFlow = 0;
    for (uint32_t other = this->store.firstOfFlow(flow); other != noIndex; other = this->store.feed(other).nextInFlow) {
        ++feedsOfFlow;
    }
    if (feedsOfFlow >= this->context.settings.maxFeedsPerFlow) {
        this->refuse(origin, message, Reason::NoSlot, out);
        return;
    }
    const auto firstId = static_cast<uint16_t>(mixHash(flow ^ this->context.self, this->context.clock.wallMillis()));
    const uint32_t index = this->store.addFeed(key, firstId);
    const uint32_t registration = this->store.addRegistration(index);
    if (registration == noIndex) {
        this->store.removeFeed(index);
        this->refuse(origin, message, Reason::NoSlot, out);
        return;
    }
    Feed &feed = this->store.feed(index);
    feed.current = registration;
    feed.requestTail = this->store.internRequestTail(tailOf(origin.packet, message));
    feed.cancelling = isCancel(message);
    this->copies.remove(key);
    this->setPendingRequest(feed, message);
    this->context.counters.add(Counter::FeedsOpened);
    if (!feed.cancelling) {
        this->updateCopyHolder(index, origin.entry, out);
    }
    this->requestSlot(registration, out);
}

void FeedShard::renewFeed(uint32_t index, const Relay &origin, const CoapMessage &message, Actions &out)
{
    Feed &feed = this->store.feed(index);
    if (feed.closing) {
        const FeedKey key = feed.key;
        this->closeFeed(index, false, out);
        this->openFeed(key, origin, message, out);
        return;
    }
    const bool isRetransmission = feed.isResponsePending && feed.pendingRequestId == message.messageId;
    if (isRetransmission) {
        return; // the response is pending
    }
    feed.cancelling = isCancel(message);
    feed.requestTail = this->store.internRequestTail(tailOf(origin.packet, message));
    this->setPendingRequest(feed, message);
    if (feed.cancelling && feed.replacement != noIndex) {
        this->endRegistration(feed.replacement, SlotOutcome::Cancelled, true, out);
        feed.replacement = noIndex;
    }
    if (!feed.cancelling) {
        this->updateCopyHolder(index, origin.entry, out);
    }
    Registration &current = this->store.registration(feed.current);
    if (current.state != RegistrationState::AcquiringSlot && current.state != RegistrationState::AwaitingRetry) {
        current.attempts = 0;
        this->sendGet(feed.current, out);
    }
}

void FeedShard::setPendingRequest(Feed &feed, const CoapMessage &message)
{
    feed.isResponsePending = true;
    feed.pendingRequestId = message.messageId;
    feed.pendingRequestType = message.type;
    feed.lastCallerActivity = this->context.clock.now();
    feed.unacknowledged.reset();
}

//--- Relays and copies

MemberId FeedShard::relayDestination(const Relay &origin, uint64_t flow) const
{
    const MemberId owner = this->context.directory.flowOwner(flow);
    return owner == this->context.self || origin.hops >= maxRelayHops ? 0 : owner;
}

void FeedShard::relay(const Relay &origin, MemberId owner, Actions &out)
{
    Relay forwarded = origin;
    ++forwarded.hops;
    this->context.counters.add(Counter::RelaysSent);
    out.sendToPeer(owner, std::move(forwarded));
}

void FeedShard::storeEntryCopy(const FeedKey &key, MemberId owner, const Relay &origin, const CoapMessage &message)
{
    if (origin.entry != this->context.self) {
        return;
    }
    if (isCancel(message)) {
        this->copies.remove(key);
        return;
    }
    FeedCopyEntry entry;
    entry.key = key;
    entry.requestTail = this->store.internRequestTail(tailOf(origin.packet, message));
    entry.owner = owner;
    entry.storedAt = this->context.clock.now();
    if (this->copies.update(std::move(entry))) {
        this->context.counters.add(Counter::FeedCopiesStored);
    }
}

void FeedShard::updateCopyHolder(uint32_t index, MemberId entry, Actions &out)
{
    Feed &feed = this->store.feed(index);
    if (entry == this->context.self || this->isUnknownOrInactive(entry)) {
        if (feed.copyHolder == 0) {
            this->copyQueue.push_back(feed.key);
        }
        return;
    }
    if (feed.copyHolder != 0 && feed.copyHolder != entry) {
        out.sendToPeer(feed.copyHolder, FeedDrop{ feed.key.service, feed.key.caller, feed.key.token() });
    }
    feed.copyHolder = entry;
    feed.copiedAt = this->context.clock.now();
}

//--- Refusals

namespace {

Bytes refusalTail(CoapCode code, Reason reason, Duration retryAfter)
{
    std::string text(nameOf(verdictOf(reason)));
    text += ": ";
    text += nameOf(reason);
    const auto wait = std::max<int64_t>(1, std::chrono::ceil<seconds>(retryAfter).count());
    const Bytes packet = buildCoap(CoapType::NonConfirmable, code, 0, {}, { { optionMaxAge, optionValue(static_cast<uint32_t>(wait)) } }, text);
    return tailOf(packet, parseCoap(packet).value_or(CoapMessage{}));
}

} // namespace

void FeedShard::refuse(const Relay &origin, const CoapMessage &message, Reason reason, Actions &out)
{
    this->context.counters.addRefusal(reason);
    const Bytes tail = refusalTail(CoapCode::ServiceUnavailable, reason, {});
    const CoapType type = message.type == CoapType::Confirmable ? CoapType::Acknowledgement : CoapType::NonConfirmable;
    out.sendToCaller(origin.service, origin.caller,
                     withHeader(type, static_cast<uint8_t>(CoapCode::ServiceUnavailable), message.messageId, message.token, tail.data(), tail.size()));
}

void FeedShard::refuseFeed(uint32_t index, CoapCode code, Reason reason, Duration retryAfter, Actions &out)
{
    this->context.counters.addRefusal(reason);
    this->sendUpdate(index, static_cast<uint8_t>(code), refusalTail(code, reason, retryAfter), true, out);
}

//--- Notifications

void FeedShard::notify(uint32_t index, const CoapMessage &message, const uint8_t *data, size_t size, Actions &out)
{
    Feed &feed = this->store.feed(index);
    const uint64_t wall = this->context.clock.wallMillis();
    feed.sequence = nextSequence(feed.sequence, feed.sequenceSentAtMs, wall);
    feed.sequenceSentAtMs = wall;
    feed.established = true;
    this->sendUpdate(index, message.code, replaceObserve(message, data, size, feed.sequence), false, out);
}

// Sends a representation to the caller: as the response to a pending GET, else as a notification. The feed is closed after the last one.
void FeedShard::sendUpdate(uint32_t index, uint8_t code, const Bytes &tail, bool last, Actions &out)
{
    Feed &feed = this->store.feed(index);
    const TimePoint now = this->context.clock.now();
    this->context.counters.add(Counter::NotificationsSent);
    if (feed.isResponsePending && feed.pendingRequestType == CoapType::Confirmable) {
        feed.isResponsePending = false;
        out.sendToCaller(feed.key.service, feed.key.caller,
                         withHeader(CoapType::Acknowledgement, code, feed.pendingRequestId, feed.key.token(), tail.data(), tail.size()));
        if (last) {
            this->closeFeed(index, false, out);
        }
        return;
    }
    feed.isResponsePending = false;
    const uint16_t messageId = this->store.nextCallerMessageId(feed.key.flow());
    std::rotate(feed.recentMessageIds.begin(), feed.recentMessageIds.end() - 1, feed.recentMessageIds.end());
    feed.recentMessageIds[0] = messageId;
    feed.recentMessageIdCount = static_cast<uint8_t>(std::min<size_t>(feed.recentMessageIdCount + 1U, feed.recentMessageIds.size()));
    const bool confirmable = last || feed.unacknowledged || now - feed.lastCallerActivity >= this->context.settings.confirmInterval;
    const CoapType type = confirmable ? CoapType::Confirmable : CoapType::NonConfirmable;
    Bytes packet = withHeader(type, code, messageId, feed.key.token(), tail.data(), tail.size());
    if (confirmable) {
        if (!feed.unacknowledged) {
            feed.unacknowledged = std::make_unique<UnacknowledgedNotification>();
            feed.unacknowledged->attempts = 1;
            feed.unacknowledged->dueAt = now + this->context.settings.confirmTimeout;
        }
        feed.unacknowledged->packet = packet;
        feed.unacknowledged->messageId = messageId;
    }
    out.sendToCaller(feed.key.service, feed.key.caller, std::move(packet));
    if (last) {
        feed.closing = true;
        this->endRegistrations(index, false, out);
    }
    this->schedule(index);
}

void FeedShard::retransmitNotification(uint32_t index, Actions &out)
{
    Feed &feed = this->store.feed(index);
    UnacknowledgedNotification &pending = *feed.unacknowledged;
    if (pending.attempts >= this->context.settings.confirmAttempts) {
        this->closeFeed(index, true, out); // the caller no longer acknowledges
        return;
    }
    out.sendToCaller(feed.key.service, feed.key.caller, pending.packet);
    pending.dueAt = this->context.clock.now() + this->context.settings.confirmTimeout * (1U << pending.attempts);
    ++pending.attempts;
}

} // namespace hornbeam
