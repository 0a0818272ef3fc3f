// Places at targets for a shard's feeds, and which targets may be used.

#include "feeds/feedshard.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr unsigned wishesWithAvoid = 2;  // then the target that went silent may be granted again
constexpr seconds noticeLifetime{ 300 }; // a target that is used again after a notice is trusted again

} // namespace

void FeedShard::askPlace(uint32_t registration, Actions &out)
{
    Registration &asking = this->store.registration(registration);
    const Feed &feed = this->store.feed(asking.feed);
    asking.state = RegistrationState::Asking;
    asking.dueAt = never;
    AcquireParams want;
    want.request = asking.number | feedPlaceBit;
    want.service = feed.key.service;
    want.kind = PlaceKind::Feed;
    want.flow = feed.key.flow();
    want.queueTimeout = this->context.settings.placePatience;
    want.avoid = asking.avoid;
    this->context.places.acquireSlot(want, out);
}

void FeedShard::slotGranted(const GrantedSlot &place, Actions &out)
{
    const uint32_t index = this->store.findRegistration(place.request & ~feedPlaceBit);
    if (index == noIndex || this->store.registration(index).state != RegistrationState::Asking) {
        this->context.places.releaseSlot(place.request, SlotOutcome::Cancelled, {}, out);
        return;
    }
    Registration &granted = this->store.registration(index);
    const Feed &feed = this->store.feed(granted.feed);
    const auto table = this->context.tables.find(feed.key.service);
    const TargetRow *row = table ? table->find(place.target) : nullptr;
    if (place.service != feed.key.service || row == nullptr || row->endpoint != place.endpoint) {
        this->context.places.releaseSlot(place.request, SlotOutcome::Cancelled, {}, out);
        this->placeFailed(index, Reason::WrongService, {}, out);
        return;
    }
    if (row->state != RowState::Active) {
        this->context.places.releaseSlot(place.request, SlotOutcome::Cancelled, {}, out);
        this->placeFailed(index, Reason::NoTarget, {}, out);
        return;
    }
    granted.target = place.target;
    granted.endpoint = place.endpoint;
    granted.attempts = 0;
    granted.state = RegistrationState::Registering;
    this->sendGet(index, out);
}

void FeedShard::slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out)
{
    const uint32_t index = this->store.findRegistration(request & ~feedPlaceBit);
    if (index != noIndex && this->store.registration(index).state == RegistrationState::Asking) {
        this->placeFailed(index, reason, retryAfter, out);
    }
}

// a new feed is refused; an open one asks again later
void FeedShard::placeFailed(uint32_t registration, Reason reason, Duration retryAfter, Actions &out)
{
    Registration &failed = this->store.registration(registration);
    const uint32_t index = failed.feed;
    const Feed &feed = this->store.feed(index);
    const bool isCurrent = feed.current == registration;
    ++failed.attempts;
    failed.state = RegistrationState::Waiting; // holds no place
    if (isCurrent && (!feed.established || failed.attempts >= this->context.settings.placeAttempts)) {
        this->refuseFeed(index, CoapCode::ServiceUnavailable, reason, retryAfter, out);
        return;
    }
    if (failed.attempts >= wishesWithAvoid) {
        failed.avoid = 0;
    }
    const Duration wait = std::min(backoff(this->context.settings.placeRetry, failed.attempts - 1U), this->context.settings.placeRetryMax);
    this->store.renumber(registration);
    failed.dueAt = this->context.clock.now() + std::max(wait, retryAfter);
    this->schedule(index);
}

bool FeedShard::isUsable(ServiceId service, const Registration &registration) const
{
    const auto leaving = this->leavingTargets.find(registration.target);
    if (leaving != this->leavingTargets.end() && this->context.clock.now() - leaving->second < noticeLifetime) {
        return false;
    }
    const auto table = this->context.tables.find(service);
    if (!table) {
        return true; // nothing is known against it
    }
    const TargetRow *row = table->find(registration.target);
    return row != nullptr && row->state == RowState::Active && row->endpoint == registration.endpoint;
}

} // namespace hornbeam
