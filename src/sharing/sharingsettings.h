#pragma once

// Settings for sharing store reads between the instances of a zone.

#include "core/clock.h"

#include <cstddef>

namespace hornbeam {

struct SharingSettings
{
    bool isShared = true; // whether members that have loaded all data get updates from each other; otherwise each reads the store itself
    Duration longPollTimeout = milliseconds(500); // how long a member holds a request while there are no updates
    Duration responseTimeout = milliseconds(400); // on top of `longPollTimeout`, until a source counts as silent; a datagram within a zone takes a few ms
    Duration sourceSuspension = seconds(5);       // a silent or outdated member is not used as a source for this long, the time a process needs to restart
    Duration readerRoleDuration = seconds(2);     // how long this instance reads the store after a request from another member
    Duration settlingTime = milliseconds(2000);   // after the initial load, until an instance that has discovered no other starts watching the store
    Duration fullSyncDelay = seconds(5);          // wait for the store at startup before requesting a full copy from members; 1 MB at 10 Mbit/s takes 0.8 s
    Duration fullSyncDelayAfterFailure = milliseconds(700); // the same once a store call has failed
    Duration maxTargetsAge = seconds(3);                    // age of the target data above which this instance reads the store itself
    Duration maxConfigurationAge = seconds(3);              // the same for the configuration
    bool readsEvacuations = false;                          // whether the deployment evacuates zones
    Duration maxEvacuationsAge = seconds(3);                // the same for the evacuations
    Duration removalRetention = seconds(60);                // how long tombstones of removed entries are kept for members that were disconnected
    Duration restoredRetention = seconds(15);               // how long an evacuation that a restored store lacks stays in effect unless it is written again
    size_t readerCandidates = 3;                            // members tried as a source, in order, before the store is read
    size_t configurationHistorySize = 4;                    // base configurations available for differences
    size_t maxRoutesPerUpdate = 64;   // larger changes are read from the store, so that requests of all members don't saturate one member's link
    size_t maxEntriesPerDatagram = 8; // targets and routes of about 90 bytes each; larger responses are sent over a stream
};

} // namespace hornbeam
