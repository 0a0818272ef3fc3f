#pragma once

// How an instance that forwards flows reads the store, so that it keeps the bounds of its deployment.

#include "apps/settings.h"
#include "sharing/sharingsettings.h"
#include "sharing/targetview.h"
#include "store/objectwatcher.h"

namespace hornbeam {

struct StoreReaderSettings
{
    WatcherSettings targets;
    WatcherSettings configurations;
    SharingSettings sharing;
    Duration listTimeout{ 0 };             // the same for a page of a list
    Duration callTimeout{ 0 };             // of the store within an answer, before the call is given up
    Duration maxConfirmationInterval{ 0 }; // longest time between two confirmations of the configuration while all calls succeed
};

/** An entry that names no target that can be used. */
struct IgnoredTarget
{
    std::string name;
    uint64_t revision = 0;
    std::string problem;
};

/** What an answer of the store says of targets. Of several changes of one entry the last counts; an entry that can't be used counts as removed. Thread safe. */
TargetUpdate makeTargetUpdate(const ObjectReadResult &read, std::vector<IgnoredTarget> &ignored);

/** Derives waits and pauses from the bounds. Thread safe. */
StoreReaderSettings makeStoreReaderSettings(const FlowServiceSettings &flows);
/** The tunables of the forwarding; a configuration counts as fresh at least as long as its reading takes. Thread safe. */
FlowSettings makeFlowSettings(const FlowServiceSettings &flows);

} // namespace hornbeam
