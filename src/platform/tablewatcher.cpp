#include "platform/tablewatcher.h"

#include <algorithm>

namespace hornbeam {

TableWatcher::TableWatcher(PlatformApi &api, const Clock &clock, uint64_t seed, ObjectsCallback onObjects, const TableWatcherSettings &settings)
    : api(api)
    , clock(clock)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , onObjects(std::move(onObjects))
    , settings(settings)
    , due(clock.now() + settings.safetyPoll)
{
}

void TableWatcher::tick(bool isWatcher)
{
    const TimePoint now = this->clock.now();
    if (isWatcher && !this->isWatching && this->failures == 0) {
        this->due = now; // the role is new
    }
    this->isWatching = isWatcher;
    if (this->isBusy || now < this->due) {
        return;
    }
    if (isWatcher && this->isListed) {
        this->beginWatch();
    } else {
        this->beginList();
    }
}

void TableWatcher::beginList()
{
    this->isBusy = true;
    this->api.list(std::string(tablePrefix), [this](const PlatformReply &reply) { this->onReply(reply); });
}

void TableWatcher::beginWatch()
{
    this->isBusy = true;
    this->api.watch(std::string(tablePrefix), this->revision, this->settings.watchTimeout, [this](const PlatformReply &reply) { this->onReply(reply); });
}

void TableWatcher::onReply(const PlatformReply &reply)
{
    this->isBusy = false;
    const TimePoint now = this->clock.now();
    if (!reply.isOk()) {
        this->isListed = false; // a platform that comes back may have forgotten its changes
        this->due = now + this->nextBackoff();
        return;
    }
    this->failures = 0;
    this->isListed = this->isWatching;
    this->revision = reply.revision;
    this->due = this->isWatching ? now : now + this->settings.safetyPoll;
    this->onObjects(reply.objects);
}

Duration TableWatcher::nextBackoff()
{
    const Duration full = std::min(this->settings.maxBackoff, this->settings.firstBackoff * (1U << std::min(this->failures, 8U)));
    ++this->failures;
    std::uniform_int_distribution<Duration::rep> jitter(0, full.count() / 2);
    return full / 2 + Duration(jitter(this->random));
}

bool TableWatcher::isReachable() const
{
    return this->failures == 0;
}

} // namespace hornbeam
