#include "apps/storereadersettings.h"

#include "platform/flowobjects.h"

#include <algorithm>
#include <map>

namespace hornbeam {

namespace {
constexpr milliseconds storeCallTimeout(1000);  // a response usually takes 4 ms, and 0.4 s when the store is slow
constexpr milliseconds storeListTimeout(3000);  // 300 instances that start together and read 1 MB each saturate the store's link of 1,000 Mbit/s for 2.4 s
constexpr milliseconds watchRetryMargin(500);   // time for the call that follows a failed one
constexpr milliseconds coalescingDelay(300);    // the changes of a release arrive in bursts
constexpr milliseconds fallbackReadMargin(500); // part of a time limit, for the direct read that starts when the members' data is outdated
constexpr milliseconds minWatchTimeout(500);    // shorter timeouts only add calls and make updates no faster
constexpr milliseconds minBackoff(200);         // before the first retry of a failed call
constexpr milliseconds maxBackoff(1000);
constexpr milliseconds latencyMargin(300); // latency of a call and of a message between members

// Upper bound on the age of the data that a member gets from the reader while the reader's calls succeed. Covers the call in progress, the one before it, and
// the message to the member.
Duration maxUpdateAge(Duration watchTimeout, const SharingSettings &sharing)
{
    return 2 * watchTimeout + coalescingDelay + sharing.longPollTimeout + latencyMargin;
}

// `bound`: time limit for acting on a change of the store's objects, even if the member that reads the store fails
WatcherSettings makeWatcherSettings(const FlowServiceSettings &flows, Duration bound, const SharingSettings &sharing)
{
    WatcherSettings settings;
    const Duration detectionLimit = flows.stability - storeCallTimeout - watchRetryMargin; // a lost response is detected before its changes have to be in force
    const Duration failoverLimit = (bound - fallbackReadMargin - maxUpdateAge(Duration{ 0 }, sharing)) / 2;
    settings.watchTimeout = std::max<Duration>(minWatchTimeout, std::min(detectionLimit, failoverLimit));
    settings.urgentWatchTimeout = milliseconds(500); // used while a target is missing
    settings.coalescingDelay = coalescingDelay;
    settings.initialBackoff = minBackoff;
    // a list that began at the end of an outage times out and is repeated before its changes have to be in force
    settings.maxBackoff = std::clamp<Duration>(flows.stability - storeListTimeout - watchRetryMargin, minBackoff, maxBackoff);
    return settings;
}
}

StoreReaderSettings makeStoreReaderSettings(const FlowServiceSettings &flows)
{
    StoreReaderSettings settings;
    settings.targets = makeWatcherSettings(flows, flows.drainBound, settings.sharing);
    settings.configurations = makeWatcherSettings(flows, flows.changeBound, settings.sharing);
    // Members learn of a reader's failure too late for shorter bounds, so each instance reads the store itself.
    const Duration shortestSharedBound = maxUpdateAge(minWatchTimeout, settings.sharing) + fallbackReadMargin;
    settings.sharing.isShared = flows.isReadingShared && std::min(flows.drainBound, flows.changeBound) >= shortestSharedBound;
    settings.shortestGuaranteedBound = minWatchTimeout + storeCallTimeout + coalescingDelay + latencyMargin;
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
        if (name.size() > maxNameBytes) {
            ignored.push_back({ name.substr(0, maxNameBytes), object.version, "a name of " + std::to_string(name.size()) + " bytes" });
            continue;
        }
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

ZoneLoadSettings makeZoneLoadSettings(const FlowServiceSettings &flows)
{
    constexpr int intervalsUntilTimeout = 4;
    ZoneLoadSettings settings;
    settings.isEnabled = flows.parts.zoneRouting;
    settings.interval = flows.parts.zoneReportInterval;
    settings.timeout = intervalsUntilTimeout * flows.parts.zoneReportInterval;
    return settings;
}

} // namespace hornbeam
