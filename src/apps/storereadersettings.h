#pragma once

// Timeouts with which an instance that forwards flows reads the store, derived from the deployment's time limits, and the conversion of objects to updates.

#include "apps/settings.h"
#include "balancing/zoneloads.h"
#include "sharing/entryview.h"
#include "sharing/sharingsettings.h"
#include "store/objectwatcher.h"

namespace hornbeam {

struct StoreReaderSettings
{
    WatcherSettings targets;
    WatcherSettings configurations;
    WatcherSettings evacuations; // unused without a bound for them
    SharingSettings sharing;
    Duration shortestGuaranteedBound{ 0 }; // shorter bounds may be exceeded while calls of the store fail
    Duration listTimeout{ 0 };             // the same as callTimeout, for a page of a list
    Duration callTimeout{ 0 };             // maximum time without a byte of the response before a call is aborted
    Duration maxConfirmationInterval{ 0 }; // maximum time between two confirmations of the configuration while all calls succeed
};

/** An entry that can't be used. */
struct IgnoredEntry
{
    std::string name;
    uint64_t revision = 0;
    std::string problem;
};

/** Converts a store response to a target update. If an entry changed several times, the last change counts. An entry that can't be used counts as removed, and
 * is appended to `ignored`. Thread safe. */
TargetUpdate makeTargetUpdate(const ObjectReadResult &read, std::vector<IgnoredEntry> &ignored);
/** The same for evacuations: the object's name is the zone, whatever its content is. */
EvacuationUpdate makeEvacuationUpdate(const ObjectReadResult &read, std::vector<IgnoredEntry> &ignored);

/** Derives timeouts and delays from the time limits of the deployment. Thread safe. */
StoreReaderSettings makeStoreReaderSettings(const FlowServiceSettings &flows);
/** The settings of the forwarder, with a freshness lifetime of at least the interval at which the configuration is confirmed, and whether it has to know the
 * evacuations. Thread safe. */
FlowSettings makeFlowSettings(const FlowServiceSettings &flows);
/** The settings of the load reports between zones. Thread safe. */
ZoneLoadSettings makeZoneLoadSettings(const FlowServiceSettings &flows);

} // namespace hornbeam
