#include "apps/storereadersettings.h"

#include "platform/flowobjects.h"

#include <algorithm>
#include <map>

namespace hornbeam {

namespace {
constexpr milliseconds storeCallTimeout(1000);  // 4 ms is usual, 0.4 s when the store is slow
constexpr milliseconds storeListTimeout(3000);  // 300 instances that start at once and read 1 MB each fill the store's link of 1,000 Mbit/s for 2.4 s
constexpr milliseconds watchRetryMargin(500);   // for the call that follows a lost one
constexpr milliseconds coalescingDelay(300);    // changes of a release come in groups
constexpr milliseconds fallbackReadMargin(500); // of a bound, for the reading that begins when what members tell is outdated
constexpr milliseconds minWatchTimeout(500);    // a bound that is shorter costs calls, not promptness
constexpr milliseconds latencyMargin(300);      // of a call and of a message between members

// while the reader's calls succeed, what a member knows from it is never older: a call that has begun, the one before it, and the message
Duration maxUpdateAge(Duration watchTimeout, const SharingSettings &sharing)
{
    return 2 * watchTimeout + coalescingDelay + sharing.longPollTimeout + latencyMargin;
}

// `bound`: within it a change of the store's objects must be acted upon, also when the member that reads the store fails
WatcherSettings makeWatcherSettings(const FlowServiceSettings &flows, Duration bound, const SharingSettings &sharing)
{
    WatcherSettings settings;
    const Duration detectionLimit = flows.stability - storeCallTimeout - watchRetryMargin; // a lost answer is noticed before what it told must be in force
    const Duration failoverLimit = (bound - fallbackReadMargin - maxUpdateAge(Duration{ 0 }, sharing)) / 2;
    settings.watchTimeout = std::max<Duration>(minWatchTimeout, std::min(detectionLimit, failoverLimit));
    settings.urgentWatchTimeout = milliseconds(500); // while a target is missing
    settings.coalescingDelay = coalescingDelay;
    settings.initialBackoff = milliseconds(200);
    settings.maxBackoff = seconds(1);
    return settings;
}
}

StoreReaderSettings makeStoreReaderSettings(const FlowServiceSettings &flows)
{
    StoreReaderSettings settings;
    settings.targets = makeWatcherSettings(flows, flows.drainBound, settings.sharing);
    settings.configurations = makeWatcherSettings(flows, flows.changeBound, settings.sharing);
    settings.callTimeout = storeCallTimeout;
    settings.listTimeout = storeListTimeout;
    settings.sharing.maxTargetsAge = maxUpdateAge(settings.targets.watchTimeout, settings.sharing);
    settings.sharing.maxConfigurationAge = maxUpdateAge(settings.configurations.watchTimeout, settings.sharing);
    settings.maxConfirmationInterval = settings.sharing.maxConfigurationAge + storeCallTimeout;
    return settings;
}

TargetUpdate makeTargetUpdate(const ObjectReadResult &read, std::vector<IgnoredTarget> &ignored)
{
    std::map<std::string, std::optional<TargetEntry>> lastEntries;
    for (const PlatformObject &object : read.objects) {
        const std::string name = object.key.substr(targetPrefix.size());
        std::optional<TargetEntry> &entry = lastEntries[name];
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
    TargetUpdate update{ read.isSnapshot, read.from, read.revision, read.requestedAt, {}, {} };
    for (auto &[name, entry] : lastEntries) {
        if (entry.has_value()) {
            update.updated.push_back(std::move(*entry));
        } else {
            update.removed.push_back(name);
        }
    }
    return update;
}

FlowSettings makeFlowSettings(const FlowServiceSettings &flows)
{
    FlowSettings settings = flows.parts;
    settings.freshnessLifetime = std::max(settings.freshnessLifetime, makeStoreReaderSettings(flows).maxConfirmationInterval);
    return settings;
}

} // namespace hornbeam
