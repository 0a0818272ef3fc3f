// Slots at targets for a shard's feeds, and which targets are usable.

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned attemptsWithAvoid = 2; // after this many failures the avoided target may be granted again
constexpr seconds noticeLifetime{ 300 };  // a notice expires, so that a target that returned to service is used again

} // namespace

void FeedShard::requestSlot(uint32_t registration, Actions &out)
{
    Registration &asking = this->store.registration(registration);
    const Feed &feed = this->store.feed(asking.feed);
    asking.state = RegistrationState::AcquiringSlot;
    asking.dueAt = never;
    AcquireParams params;
    params.request = asking.number | feedSlotBit;
    params.service = feed.key.service;
    params.kind = SlotKind::Feed;
    params.flow = feed.key.flow();
    params.queueTimeout = this->context.settings.slotQueueTimeout;
    params.avoid = asking.avoid;
    this->context.slotProvider.acquireSlot(params, out);
}

void FeedShard::slotGranted(const GrantedSlot &grant, Actions &out)
{
    const uint32_t index = this->store.findRegistration(grant.request & ~feedSlotBit);
    if (index == noIndex || this->store.registration(index).state != RegistrationState::AcquiringSlot) {
        this->context.slotProvider.releaseSlot(grant.request, SlotOutcome::Cancelled, {}, out);
        return;
    }
    Registration &granted = this->store.registration(index);
    const Feed &feed = this->store.feed(granted.feed);
    const auto table = this->context.tables.find(feed.key.service);
    const TargetRow *row = table ? table->find(grant.target) : nullptr;
    if (grant.service != feed.key.service || row == nullptr || row->endpoint != grant.endpoint) {
        this->context.slotProvider.releaseSlot(grant.request, SlotOutcome::Cancelled, {}, out);
        this->onSlotFailure(index, Reason::WrongService, {}, out);
        return;
    }
    if (row->state != RowState::Active) {
        this->context.slotProvider.releaseSlot(grant.request, SlotOutcome::Cancelled, {}, out);
        this->onSlotFailure(index, Reason::NoTarget, {}, out);
        return;
    }
    granted.target = grant.target;
    granted.endpoint = grant.endpoint;
    granted.attempts = 0;
    granted.state = RegistrationState::Registering;
    this->sendGet(index, out);
}

void FeedShard::slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out)
{
    const uint32_t index = this->store.findRegistration(request & ~feedSlotBit);
    if (index != noIndex && this->store.registration(index).state == RegistrationState::AcquiringSlot) {
        this->onSlotFailure(index, reason, retryAfter, out);
    }
}

// Refuses a new feed; an open one requests a slot again later.
void FeedShard::onSlotFailure(uint32_t registration, Reason reason, Duration retryAfter, Actions &out)
{
    Registration &failed = this->store.registration(registration);
    const uint32_t index = failed.feed;
    const Feed &feed = this->store.feed(index);
    const bool isCurrent = feed.current == registration;
    ++failed.attempts;
    failed.state = RegistrationState::AwaitingRetry; // holds no slot
    if (isCurrent && (!feed.established || failed.attempts >= this->context.settings.maxSlotAttempts)) {
        this->refuseFeed(index, CoapCode::ServiceUnavailable, reason, retryAfter, out);
        return;
    }
    if (failed.attempts >= attemptsWithAvoid) {
        failed.avoid = 0;
    }
    const Duration wait = std::min(backoff(this->context.settings.slotRetryDelay, failed.attempts - 1U), this->context.settings.maxSlotRetryDelay);
    this->store.renumber(registration);
    failed.dueAt = this->context.clock.now() + std::max(wait, retryAfter);
    this->schedule(index);
}

bool FeedShard::isUsable(ServiceId service, const Registration &registration) const
{
    const auto leaving = this->unusableTargets.find(registration.target);
    if (leaving != this->unusableTargets.end() && this->context.clock.now() - leaving->second < noticeLifetime) {
        return false;
    }
    const auto table = this->context.tables.find(service);
    if (!table) {
        return true; // usable unless known otherwise
    }
    const TargetRow *row = table->find(registration.target);
    return row != nullptr && row->state == RowState::Active && row->endpoint == registration.endpoint;
}

} // namespace hornbeam
