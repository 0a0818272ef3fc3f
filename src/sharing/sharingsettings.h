#pragma once

// Settings of the reading that the instances of a zone share.

#include "core/clock.h"

#include <cstddef>

namespace hornbeam {

struct SharingSettings
{
    Duration longPollTimeout = milliseconds(500); // a question waits this long at the member asked while there is no news
    Duration responseTimeout = milliseconds(400); // beyond `hold`, until a member that was asked counts as silent; a datagram within a zone takes some ms
    Duration sourceSuspension = seconds(5);       // a member that was silent or out of date is not asked for this long; the time to restart a process
    Duration readerRoleDuration = seconds(2);     // after a question of another member, this instance reads the store itself
    Duration settlingTime = milliseconds(2000);   // after the first reading, until an instance that has found no other follows the store by itself
    Duration fullSyncDelay = seconds(5); // at the start without an answer of the store, until members are asked for everything; 1 MB at 10 Mbit/s takes 0.8 s
    Duration fullSyncDelayAfterFailure = milliseconds(700); // the same once the store has failed
    Duration maxTargetsAge = seconds(3);                    // age of what is known of targets, from which this instance reads the store itself
    Duration maxConfigurationAge = seconds(3);              // the same for the configuration
    Duration removalRetention = seconds(60);                // how long removed targets are remembered, to tell members that were away
    size_t readerCandidates = 3;                            // members that are asked, one after the other, before the store is read
    size_t configurationHistorySize = 4;                    // to tell members what differs from theirs
    size_t maxRoutesPerUpdate = 64;                         // of a change; more are read from the store, so that one member's link isn't filled by all others
    size_t maxEntriesPerDatagram = 8;                       // targets and routes of about 90 bytes; longer answers go over a stream
};

} // namespace hornbeam
