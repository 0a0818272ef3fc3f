#pragma once

// Reads the operators' tables from the platform and follows their changes. Full rate on a watcher, a rare safety poll on all others.

#include "platform/platformapi.h"

#include <random>

namespace hornbeam {

struct TableWatcherSettings
{
    Duration watchTimeout = seconds(30); // of one long poll
    Duration firstBackoff = milliseconds(250);
    Duration maxBackoff = seconds(10);  // between two failed calls, half of it jitter
    Duration safetyPoll = seconds(300); // of a member that is not a watcher
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class TableWatcher
{
public:
    /** Gets the objects of one answer: all of them after a list, the changed ones after a watch. */
    using ObjectsCallback = std::function<void(const std::vector<PlatformObject> &)>;

    /** Precondition: the API and the clock outlive this object. */
    TableWatcher(PlatformApi &api, const Clock &clock, uint64_t seed, ObjectsCallback onObjects, const TableWatcherSettings &settings = {});

    /** Begins the next call when it is due. Call it a few times a second with TableSync::isWatcher(). */
    void tick(bool isWatcher);

    /** Whether the last call succeeded; true before the first. */
    bool isReachable() const;

private:
    void beginList();
    void beginWatch();
    void onReply(const PlatformReply &reply);
    Duration nextBackoff();

    PlatformApi &api;
    const Clock &clock;
    std::minstd_rand random;
    ObjectsCallback onObjects;
    const TableWatcherSettings settings;
    bool isWatching = false; // as of the last tick
    bool isBusy = false;     // a call waits for its answer
    bool isListed = false;   // `revision` may be watched from
    uint64_t revision = 0;
    uint32_t failures = 0; // in a row
    TimePoint due;
};

} // namespace hornbeam
