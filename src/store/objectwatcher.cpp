#include "store/objectwatcher.h"

#include <algorithm>

namespace hornbeam {

namespace {
// The failure that a response from before the store was restored amounts to.
PlatformReply makeOutdatedReply(const PlatformReply &reply, uint64_t era)
{
    PlatformReply failure;
    failure.outcome = PlatformOutcome::Unavailable;
    failure.era = reply.era;
    failure.problem = "the response is of the store's era " + std::to_string(reply.era) + ", the latest one is " + std::to_string(era);
    return failure;
}
}

ObjectWatcher::ObjectWatcher(PlatformApi &api, const Clock &clock, uint64_t seed, std::string prefix, ObjectsCallback onObjects,
                             const WatcherSettings &settings)
    : api(api)
    , clock(clock)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , prefix(std::move(prefix))
    , onObjects(std::move(onObjects))
    , settings(settings)
    , nextCallAt(clock.now() + settings.resyncInterval)
{
}

void ObjectWatcher::setFailureCallback(FailureCallback callback)
{
    this->onFailure = std::move(callback);
}

void ObjectWatcher::tick(bool isWatcher)
{
    const TimePoint now = this->clock.now();
    if (isWatcher && !this->isWatching) {
        this->nextCallAt = std::max(now, this->retryAt); // became a watcher
    } else if (!isWatcher && this->isWatching && !this->isCallPending) {
        this->nextCallAt = now + this->settings.resyncInterval; // stopped being a watcher
    }
    this->isWatching = isWatcher;
    if (this->isCallPending || (!this->isPollRequested && now < this->nextCallAt)) {
        return;
    }
    this->isPollRequested = false;
    if (isWatcher && this->isListed) {
        this->beginWatch();
    } else {
        this->beginList();
    }
}

void ObjectWatcher::setUrgent(bool isUrgent)
{
    this->isUrgent = isUrgent;
}

void ObjectWatcher::pollNow()
{
    this->isPollRequested = true;
}

void ObjectWatcher::beginList()
{
    this->isCallPending = true;
    this->requestedAt = this->clock.now();
    this->api.list(this->prefix, [this](const PlatformReply &reply) { this->onReply(reply, true); });
}

void ObjectWatcher::beginWatch()
{
    this->isCallPending = true;
    this->requestedAt = this->clock.now();
    const Duration timeout = this->isUrgent ? this->settings.urgentWatchTimeout : this->settings.watchTimeout;
    this->api.watch(this->prefix, this->revision, timeout, [this](const PlatformReply &reply) { this->onReply(reply, false); });
}

void ObjectWatcher::onReply(const PlatformReply &reply, bool isSnapshot)
{
    this->isCallPending = false;
    const TimePoint now = this->clock.now();
    if (!reply.isOk() || reply.era < this->era) {
        this->isListed = false;        // a restarted platform may have lost its change history, so list again
        this->isPollRequested = false; // the retry serves it
        this->retryAt = now + (reply.outcome == PlatformOutcome::HistoryGone ? Duration{ 0 } : this->nextBackoff());
        this->nextCallAt = this->retryAt;
        if (this->onFailure) {
            this->onFailure(reply.isOk() ? makeOutdatedReply(reply, this->era) : reply);
        }
        return;
    }
    if (!isSnapshot && reply.era > this->era) {
        this->isListed = false; // the watch began at a revision of an earlier era, so changes may be missing
        this->nextCallAt = now;
        return;
    }
    this->failures = 0;
    this->retryAt = now;
    this->isListed = this->isWatching;
    this->isPollRequested = this->isPollRequested && !this->isWatching; // the next watch follows anyway and returns all changes
    const uint64_t from = isSnapshot ? 0 : this->revision;
    this->revision = reply.revision;
    this->era = reply.era;
    this->nextCallAt = this->isWatching ? now + this->settings.coalescingDelay : now + this->settings.resyncInterval;
    this->onObjects({ reply.objects, isSnapshot, this->requestedAt, from, reply.revision, reply.era, reply.unnamedObjects, reply.unreadableEra });
}

Duration ObjectWatcher::nextBackoff()
{
    const Duration full = std::min(this->settings.maxBackoff, this->settings.initialBackoff * (1U << std::min(this->failures, 8U)));
    ++this->failures;
    std::uniform_int_distribution<Duration::rep> jitter(0, full.count() / 2);
    return full / 2 + Duration(jitter(this->random));
}

bool ObjectWatcher::isReachable() const
{
    return this->failures == 0;
}

uint32_t ObjectWatcher::failureCount() const
{
    return this->failures;
}

bool ObjectWatcher::isWaiting() const
{
    return this->isCallPending;
}

TimePoint ObjectWatcher::nextCallTime() const
{
    return this->isPollRequested ? std::min(this->nextCallAt, this->clock.now()) : this->nextCallAt;
}

} // namespace hornbeam
