#pragma once

// The calls by which an instance reads one resource of the store itself, with their log events.

#include "sharing/sharedstorereader.h"
#include "store/objectwatcher.h"

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hornbeam {

/** What all readings of an instance have in common. */
struct ReadingContext
{
    PlatformApi &store;
    const Clock &clock;
    SharedStoreReader &sharing; // decides whether this instance reads the resource itself
    std::function<void(const std::string &event, const nlohmann::ordered_json &fields)> logEvent;
};

/** Not thread safe: the event loop that owns the store's client owns it. */
class ResourceReading
{
public:
    /** Precondition: the parts of the context outlive this object. `onObjects` gets each response. */
    ResourceReading(ReadingContext context, StoreResource resource, std::string_view prefix, const WatcherSettings &settings, uint64_t seed,
                    ObjectWatcher::ObjectsCallback onObjects);

    /** Starts the next call when it is due. Call it about every 20 ms. */
    void tick();
    /** Reads the resource immediately, but at most once a second. */
    void readNow();
    /** Selects short or normal timeouts for long polls. */
    void setUrgent(bool isUrgent);

    /** What decides when the resource is read next. */
    nlohmann::ordered_json state() const;
    /** Gauges in the Prometheus text format. */
    std::string gauges() const;

private:
    void onFailure(const PlatformReply &reply);
    void recordSuccess(const ObjectReadResult &read);

    const ReadingContext context;
    const StoreResource resource;
    ObjectWatcher watcher;
    bool isLost = false;
    TimePoint lastReadNow;
    uint64_t era = 0;          // of the last response; 0 before the first
    std::string unreadableEra; // as last logged
    bool wasReader = false;    // as of the last tick
    bool wasOutdated = true;   // as of the last tick
};

} // namespace hornbeam
