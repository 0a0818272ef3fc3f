#include "apps/storereading.h"

#include "platform/flowobjects.h"

#include <algorithm>
#include <map>

namespace hornbeam {

namespace {
constexpr milliseconds storeSilence(1000); // 4 ms is usual, 0.4 s when the store is slow
constexpr milliseconds listSilence(3000);  // 300 instances that start at once and read 1 MB each fill the store's link of 1,000 Mbit/s for 2.4 s
constexpr milliseconds watchMargin(500);   // for the call that follows a lost one
constexpr milliseconds changePause(300);   // changes of a release come in groups
constexpr milliseconds ownReading(500);    // of a bound, for the reading that begins when what members tell is outdated
constexpr milliseconds shortestWatch(500); // a bound that is shorter costs calls, not promptness
constexpr milliseconds answerMargin(300);  // of a call and of a message between members

// while the reader's calls succeed, what a member knows from it is never older: a call that has begun, the one before it, and the message
Duration outdatedAfter(Duration watchTimeout, const SharingSettings &sharing)
{
    return 2 * watchTimeout + changePause + sharing.longPollTimeout + answerMargin;
}

// `bound`: within it a change of the store's objects must be acted upon, also when the member that reads the store fails
WatcherSettings watcherSettings(const FlowServiceSettings &flows, Duration bound, const SharingSettings &sharing)
{
    WatcherSettings settings;
    const Duration noticed = flows.stability - storeSilence - watchMargin; // a lost answer is noticed before what it told must be in force
    const Duration followed = (bound - ownReading - outdatedAfter(Duration{ 0 }, sharing)) / 2;
    settings.watchTimeout = std::max<Duration>(shortestWatch, std::min(noticed, followed));
    settings.urgentWatchTimeout = milliseconds(500); // while a target is missing
    settings.coalescingDelay = changePause;
    settings.initialBackoff = milliseconds(200);
    settings.maxBackoff = seconds(1);
    return settings;
}
}

StoreReading storeReadingOf(const FlowServiceSettings &flows)
{
    StoreReading reading;
    reading.targets = watcherSettings(flows, flows.drainBound, reading.sharing);
    reading.configurations = watcherSettings(flows, flows.changeBound, reading.sharing);
    reading.silence = storeSilence;
    reading.listSilence = listSilence;
    reading.sharing.maxTargetsAge = outdatedAfter(reading.targets.watchTimeout, reading.sharing);
    reading.sharing.maxConfigurationAge = outdatedAfter(reading.configurations.watchTimeout, reading.sharing);
    reading.freshness = reading.sharing.maxConfigurationAge + storeSilence;
    return reading;
}

TargetUpdate targetNewsOf(const ObjectReadResult &read, std::vector<IgnoredTarget> &ignored)
{
    std::map<std::string, std::optional<TargetEntry>> last;
    for (const PlatformObject &object : read.objects) {
        const std::string name = object.key.substr(targetPrefix.size());
        std::optional<TargetEntry> &entry = last[name];
        entry.reset();
        if (object.isDeleted) {
            continue;
        }
        ParsedTarget target = parseTarget(object);
        if (target.record.has_value()) {
            entry = TargetEntry{ std::move(*target.record), object.version };
        } else {
            ignored.push_back({ name, object.version, target.problem });
        }
    }
    TargetUpdate news{ read.isSnapshot, read.from, read.revision, read.requestedAt, {}, {} };
    for (auto &[name, entry] : last) {
        if (entry.has_value()) {
            news.updated.push_back(std::move(*entry));
        } else {
            news.removed.push_back(name);
        }
    }
    return news;
}

FlowSettings withFreshness(const FlowServiceSettings &flows)
{
    FlowSettings settings = flows.parts;
    settings.freshnessLifetime = std::max(settings.freshnessLifetime, storeReadingOf(flows).freshness);
    return settings;
}

} // namespace hornbeam
