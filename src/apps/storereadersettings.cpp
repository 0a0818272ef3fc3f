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
constexpr milliseconds maxWatchTimeout(30'000); // of the store's API
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
    settings.watchTimeout = std::clamp<Duration>(std::min(detectionLimit, failoverLimit), minWatchTimeout, maxWatchTimeout);
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
    const Duration evacuationBound = flows.evacuationBound.value_or(flows.changeBound);
    settings.evacuations = makeWatcherSettings(flows, evacuationBound, settings.sharing);
    // Members learn of a reader's failure too late for shorter bounds, so each instance reads the store itself.
    const Duration shortestSharedBound = maxUpdateAge(minWatchTimeout, settings.sharing) + fallbackReadMargin;
    settings.sharing.isShared = flows.isReadingShared && std::min({ flows.drainBound, flows.changeBound, evacuationBound }) >= shortestSharedBound;
    settings.shortestGuaranteedBound = minWatchTimeout + storeCallTimeout + coalescingDelay + latencyMargin;
    settings.callTimeout = storeCallTimeout;
    settings.listTimeout = storeListTimeout;
    settings.sharing.maxTargetsAge = maxUpdateAge(settings.targets.watchTimeout, settings.sharing);
    settings.sharing.maxConfigurationAge = maxUpdateAge(settings.configurations.watchTimeout, settings.sharing);
    settings.sharing.readsEvacuations = flows.evacuationBound.has_value();
    settings.sharing.maxEvacuationsAge = maxUpdateAge(settings.evacuations.watchTimeout, settings.sharing);
    settings.maxConfirmationInterval = settings.sharing.maxConfigurationAge + storeCallTimeout;
    return settings;
}

namespace {
/** The record in an object, or in `problem` the reason why there is none. */
template<typename Record>
struct ParsedRecord
{
    std::optional<Record> record;
    std::string problem;
};

template<typename Record, typename Parser>
EntryUpdate<Record> makeUpdate(const ObjectReadResult &read, std::string_view prefix, std::vector<IgnoredEntry> &ignored, const Parser &parse)
{
    std::map<std::string, std::optional<StoreEntry<Record>>> lastEntries;
    for (const PlatformObject &object : read.objects) {
        const std::string name = object.key.substr(prefix.size());
        if (name.size() > maxNameBytes) {
            ignored.push_back({ name.substr(0, maxNameBytes), object.version, "a name of " + std::to_string(name.size()) + " bytes" });
            continue;
        }
        std::optional<StoreEntry<Record>> &entry = lastEntries[name];
        entry.reset();
        if (object.isDeleted) {
            continue;
        }
        auto parsed = parse(object, name);
        if (parsed.record.has_value()) {
            entry = StoreEntry<Record>{ std::move(*parsed.record), { read.era, object.version } };
        } else {
            ignored.push_back({ name, object.version, parsed.problem });
        }
    }
    EntryUpdate<Record> update{ read.isSnapshot, { read.era, read.from }, { read.era, read.revision }, read.requestedAt, {}, {} };
    for (auto &[name, entry] : lastEntries) {
        if (entry.has_value()) {
            update.updated.push_back(std::move(*entry));
        } else {
            update.removed.push_back(name);
        }
    }
    return update;
}
}

TargetUpdate makeTargetUpdate(const ObjectReadResult &read, std::vector<IgnoredEntry> &ignored)
{
    return makeUpdate<TargetRecord>(read, targetPrefix, ignored, [](const PlatformObject &object, const std::string &) { return parseTarget(object); });
}

EvacuationUpdate makeEvacuationUpdate(const ObjectReadResult &read, std::vector<IgnoredEntry> &ignored)
{
    return makeUpdate<EvacuationRecord>(read, evacuationPrefix, ignored, [&read](const PlatformObject &object, const std::string &name) {
        return name.empty() ? ParsedRecord<EvacuationRecord>{ std::nullopt, "an empty name" }
                            : ParsedRecord<EvacuationRecord>{ EvacuationRecord{ name, { read.era, object.version } }, "" };
    });
}

FlowSettings makeFlowSettings(const FlowServiceSettings &flows)
{
    FlowSettings settings = flows.parts;
    settings.freshnessLifetime = std::max(settings.freshnessLifetime, makeStoreReaderSettings(flows).maxConfirmationInterval);
    settings.needsEvacuations = flows.evacuationBound.has_value();
    settings.evacuationsTimeout = flows.initialReadTimeout;
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
