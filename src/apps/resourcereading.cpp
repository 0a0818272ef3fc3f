#include "apps/resourcereading.h"

#include "apps/storereadings.h"

#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
constexpr Duration readNowInterval = seconds(1); // minimum interval between reads that are triggered by packets or members
}

ResourceReading::ResourceReading(ReadingContext context, StoreResource resource, std::string_view prefix, const WatcherSettings &settings, uint64_t seed,
                                 ObjectWatcher::ObjectsCallback onObjects)
    : context(std::move(context))
    , resource(resource)
    , watcher(
          this->context.store, this->context.clock, seed, std::string(prefix),
          [this, onObjects = std::move(onObjects)](const ObjectReadResult &read) {
              this->recordSuccess(read);
              onObjects(read);
          },
          settings)
{
    this->watcher.setFailureCallback([this](const PlatformReply &reply) { this->onFailure(reply); });
}

void ResourceReading::tick()
{
    const bool isReader = this->context.sharing.isReader(this->resource);
    this->watcher.tick(isReader);
    if (isReader != this->wasReader) {
        this->wasReader = isReader;
        this->context.logEvent(isReader ? "store_reading_started" : "store_reading_stopped", this->state());
    }
    const bool isOutdated = this->context.sharing.isOutdated(this->resource);
    if (isOutdated != this->wasOutdated) {
        this->wasOutdated = isOutdated;
        this->context.logEvent(isOutdated ? "store_data_outdated" : "store_data_current", this->state());
    }
}

void ResourceReading::readNow()
{
    const TimePoint now = this->context.clock.now();
    if (this->lastReadNow != TimePoint{} && now - this->lastReadNow < readNowInterval) {
        return;
    }
    this->lastReadNow = now;
    this->watcher.pollNow();
}

void ResourceReading::setUrgent(bool isUrgent)
{
    this->watcher.setUrgent(isUrgent);
}

nlohmann::ordered_json ResourceReading::state() const
{
    return describeReading(this->resource, this->context.sharing, this->watcher, this->context.clock.now());
}

std::string ResourceReading::gauges() const
{
    return readingGauges(this->resource, this->watcher, this->context.clock.now());
}

void ResourceReading::onFailure(const PlatformReply &reply)
{
    this->isLost = true;
    if (this->resource != StoreResource::Evacuations) { // a store that serves the targets needs no full copy from a member early
        this->context.sharing.onStoreFailure();
    }
    this->context.logEvent("store_lost", { { "reading", nameOf(this->resource) }, { "outcome", nameOf(reply.outcome) }, { "problem", reply.problem } });
}

void ResourceReading::recordSuccess(const ObjectReadResult &read)
{
    if (read.unnamedObjects > 0) {
        this->context.logEvent("entries_ignored",
                               { { "reading", nameOf(this->resource) }, { "entries", read.unnamedObjects }, { "problem", "the name can't be read" } });
    }
    if (read.unreadableEra != this->unreadableEra) {
        this->unreadableEra = read.unreadableEra;
        if (!read.unreadableEra.empty()) {
            this->context.logEvent("store_era_ignored", { { "reading", nameOf(this->resource) }, { "stated", read.unreadableEra }, { "era", read.era } });
        }
    }
    if (read.era != this->era) {
        if (this->era != 0) {
            this->context.logEvent("store_restored", { { "reading", nameOf(this->resource) }, { "before", this->era }, { "era", read.era } });
        }
        this->era = read.era;
    }
    if (this->isLost) {
        this->isLost = false;
        this->context.logEvent("store_regained", { { "reading", nameOf(this->resource) } });
    }
}

} // namespace hornbeam
