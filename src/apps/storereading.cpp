#include "apps/storereading.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr milliseconds storeSilence(1000); // 4 ms is usual, 0.4 s when the store is slow
constexpr milliseconds watchMargin(500);   // for the call that follows a lost one
constexpr milliseconds changeMargin(2000); // of a bound, for a failed call, its repeat and a large answer over a slow link

// `bound`: within it a change of the store's objects must be acted upon
WatcherSettings watcherSettings(const FlowServiceSettings &flows, Duration bound)
{
    WatcherSettings settings;
    settings.watchTimeout = flows.stability - storeSilence - watchMargin; // a lost answer is noticed before what it told must be in force
    settings.shortTimeout = milliseconds(500);                            // while a target is missing
    settings.pause = bound - changeMargin;                                // changes of a release come in groups
    settings.firstBackoff = milliseconds(200);
    settings.maxBackoff = seconds(1);
    return settings;
}
}

StoreReading storeReadingOf(const FlowServiceSettings &flows)
{
    StoreReading reading;
    reading.targets = watcherSettings(flows, flows.drainBound);
    reading.configurations = watcherSettings(flows, flows.changeBound);
    reading.silence = storeSilence;
    reading.freshness = reading.configurations.pause + reading.configurations.watchTimeout + storeSilence;
    return reading;
}

FlowSettings withFreshness(const FlowServiceSettings &flows)
{
    FlowSettings settings = flows.parts;
    settings.freshness = std::max(settings.freshness, storeReadingOf(flows).freshness);
    return settings;
}

} // namespace hornbeam
