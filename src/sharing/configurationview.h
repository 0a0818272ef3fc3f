#pragma once

// History of the most recent configurations, read from the store or received from another instance. Used to send differences to other instances.

#include "core/storeposition.h"
#include "flows/routetable.h"
#include "peer/messages.h"
#include "sharing/resourceview.h"

#include <deque>
#include <memory>
#include <optional>

namespace hornbeam {

/** Not thread safe: one event loop owns it. */
class ConfigurationView final : public ResourceView
{
public:
    /** Keeps the last `historySize` configurations, at least 1. Differences of more than `maxRoutesPerUpdate` routes are not sent. */
    ConfigurationView(size_t historySize, size_t maxRoutesPerUpdate);

    /** Adds a configuration with the position of its object. Returns false and ignores it unless it is newer than the current one. */
    bool update(const RouteConfiguration &configuration, const StorePosition &position);
    /** Records that a store request begun at `requestedAt` returned no configuration newer than that at `position`. */
    void confirm(const StorePosition &position, TimePoint requestedAt);
    /** The changes from `base` to the current configuration; the full configuration if `base` is not set and `wantsSnapshot` is. */
    StoreConfigurationChanges changesSince(const StorePosition &base, bool wantsSnapshot, TimePoint now) const;
    /** Applies changes to the configuration they are based on. Returns nothing if that configuration is not in the history or the changes have no content. */
    std::optional<RouteConfiguration> apply(const StoreConfigurationChanges &changes) const;

    bool isLoaded() const override;
    /** Position of the object that holds the newest configuration; not set before the first. */
    StorePosition position() const override;
    TimePoint confirmedAt() const override;

private:
    struct StoredConfiguration
    {
        StorePosition position;
        RouteConfiguration configuration;
    };

    const StoredConfiguration *find(const StorePosition &position) const;

    const size_t historySize;
    const size_t maxRoutesPerUpdate;
    std::deque<StoredConfiguration> history; // newest last
    TimePoint confirmed;
};

} // namespace hornbeam
