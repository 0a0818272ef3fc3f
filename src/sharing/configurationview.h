#pragma once

// The last configurations that the store told, by itself or through another instance, so that differences can be told on.

#include "flows/routetable.h"
#include "peer/messages.h"

#include <deque>
#include <memory>
#include <optional>

namespace hornbeam {

/** Not thread safe: one event loop owns it. */
class ConfigurationView
{
public:
    /** Keeps the last `kept` configurations, at least 1. Differences of more than `maxRoutesPerUpdate` are not told. */
    ConfigurationView(size_t historySize, size_t maxRoutesPerUpdate);

    /** Takes a configuration and the revision of its object. Returns whether it is newer than the one known. */
    bool update(const RouteConfiguration &configuration, uint64_t revision);
    /** The store was asked at `asked` and named none newer than that of `revision`. */
    void confirm(uint64_t revision, TimePoint requestedAt);
    /** What an asker that has the configuration of `revision` needs to have the one known here; everything when it has none and wants it whole. */
    StoreConfigurationChanges changesSince(uint64_t revision, bool wantsWhole, TimePoint now) const;
    /** The configuration that changes lead to, or nothing when those it is told by aren't known. */
    std::optional<RouteConfiguration> apply(const StoreConfigurationChanges &changes) const;

    bool isLoaded() const;
    /** Of the object that holds the newest configuration; 0 before the first. */
    uint64_t revision() const;
    TimePoint confirmedAt() const;

private:
    struct Known
    {
        uint64_t revision = 0;
        RouteConfiguration configuration;
    };

    const Known *find(uint64_t revision) const;

    const size_t historySize;
    const size_t maxRoutesPerUpdate;
    std::deque<Known> history; // newest last
    TimePoint confirmed;
};

} // namespace hornbeam
