#pragma once

// Reads the objects of one kind from the platform's store and follows their changes. Full rate on a watcher, a rare safety poll on all others.

#include "store/platformapi.h"

#include <random>

namespace hornbeam {

struct WatcherSettings
{
    Duration watchTimeout = seconds(30);        // of one long poll
    Duration urgentWatchTimeout = seconds(30);  // of one long poll while a change is awaited
    Duration coalescingDelay = milliseconds(0); // from an answer to the next call, so that changes that come together cost one call
    Duration initialBackoff = milliseconds(250);
    Duration maxBackoff = seconds(10);      // between two failed calls, half of it jitter
    Duration resyncInterval = seconds(300); // of a member that is not a watcher
};

/** The objects of one answer. */
struct ObjectReadResult
{
    const std::vector<PlatformObject> &objects; // all of the kind, or those that changed
    bool isSnapshot = false;
    TimePoint requestedAt; // when the call began: the answer is at least as new
    uint64_t from = 0;     // the changes are those after this revision, unless whole
    uint64_t revision = 0; // of the store, up to which the answer goes
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class ObjectWatcher
{
public:
    using ObjectsCallback = std::function<void(const ObjectReadResult &)>;
    using FailureCallback = std::function<void(const PlatformReply &)>;

    /** Watches the objects whose keys begin with `prefix`. Precondition: the API and the clock outlive this object. */
    ObjectWatcher(PlatformApi &api, const Clock &clock, uint64_t seed, std::string prefix, ObjectsCallback onObjects, const WatcherSettings &settings = {});

    /** Sets who is told of failed calls. */
    void setFailureCallback(FailureCallback callback);
    /** Begins the next call when it is due. Call it a few times a second with whether this member watches. */
    void tick(bool isWatcher);
    /** Uses the short timeout for the next long polls, or no longer. */
    void setUrgent(bool isUrgent);
    /** Gives up the wait before the next call. */
    void pollNow();

    /** Whether the last call succeeded; true before the first. */
    bool isReachable() const;

private:
    void beginList();
    void beginWatch();
    void onReply(const PlatformReply &reply, bool isSnapshot);
    Duration nextBackoff();

    PlatformApi &api;
    const Clock &clock;
    std::minstd_rand random;
    const std::string prefix;
    ObjectsCallback onObjects;
    FailureCallback onFailure;
    const WatcherSettings settings;
    bool isWatching = false;    // as of the last tick
    bool isCallPending = false; // a call waits for its answer
    bool isListed = false;      // `revision` may be watched from
    bool isUrgent = false;
    uint64_t revision = 0;
    uint32_t failures = 0; // in a row
    TimePoint requestedAt; // when the last call began
    TimePoint nextCallAt;
};

} // namespace hornbeam
