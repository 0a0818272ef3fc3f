#pragma once

// Lists and watches the objects under a key prefix of the platform's store, and lists them again when the store was restored from a backup. Members that are
// not watchers only resync at a long interval.

#include "store/platformapi.h"

#include <random>

namespace hornbeam {

struct WatcherSettings
{
    Duration watchTimeout = seconds(30);        // of one long poll
    Duration urgentWatchTimeout = seconds(30);  // of one long poll while a change is expected
    Duration coalescingDelay = milliseconds(0); // between a response and the next call, so that changes close together share one call
    Duration initialBackoff = milliseconds(250);
    Duration maxBackoff = seconds(10);      // between failed calls; up to half of it is jitter
    Duration resyncInterval = seconds(300); // between lists of a member that is not a watcher
};

/** The objects of one list or watch response. */
struct ObjectReadResult
{
    const std::vector<PlatformObject> &objects; // all under the prefix, or those that changed
    bool isSnapshot = false;
    TimePoint requestedAt;          // when the call began; the response is at least this recent
    uint64_t from = 0;              // changes after this revision; 0 for a snapshot
    uint64_t revision = 0;          // store revision that the response covers
    uint64_t era = 0;               // of all revisions of the response
    size_t unnamedObjects = 0;      // left out because their name can't be read
    std::string unreadableEra = {}; // what the store states as its era if that is not a number
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class ObjectWatcher
{
public:
    using ObjectsCallback = std::function<void(const ObjectReadResult &)>;
    using FailureCallback = std::function<void(const PlatformReply &)>;

    /** Watches the objects whose keys begin with `prefix`. Precondition: the API and the clock outlive this object. */
    ObjectWatcher(PlatformApi &api, const Clock &clock, uint64_t seed, std::string prefix, ObjectsCallback onObjects, const WatcherSettings &settings = {});

    /** Sets the callback for failed calls. */
    void setFailureCallback(FailureCallback callback);
    /** Starts the next call when it is due. `isWatcher` says whether this member watches. Call it a few times a second. */
    void tick(bool isWatcher);
    /** Selects the urgent or the normal timeout for the following long polls. */
    void setUrgent(bool isUrgent);
    /** Makes the next call due immediately, or as soon as the response to the pending one has arrived. */
    void pollNow();

    /** Whether the last call succeeded; true before the first call. */
    bool isReachable() const;
    /** Number of consecutive failed calls. */
    uint32_t failureCount() const;
    /** Whether a call is waiting for its response. */
    bool isWaiting() const;
    /** When the next call is due; has no meaning while a call is waiting. */
    TimePoint nextCallTime() const;

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
    bool isCallPending = false; // waiting for a response
    bool isListed = false;      // a watch may start at `revision`
    bool isUrgent = false;
    bool isPollRequested = false; // the next call is due whatever `nextCallAt` says
    uint64_t revision = 0;
    uint64_t era = 0;      // of `revision`
    uint32_t failures = 0; // consecutive
    TimePoint requestedAt; // when the last call began
    TimePoint nextCallAt;
    TimePoint retryAt; // end of the backoff after the last failed call
};

} // namespace hornbeam
