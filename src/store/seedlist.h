#pragma once

// A few addresses of each zone's instances in the store, so that an instance that starts finds the others without seeds in its settings. One object for
// each zone; it is written only when fewer of its instances live than it should name.

#include "store/platformapi.h"

#include <random>

namespace hornbeam {

struct SeedSettings
{
    bool isFirstStart = false;                     // of the whole system: the first reading waits, else it is done at once
    Duration initialReadDelay = milliseconds(300); // after a first start, when seeds of the settings had time to answer
    Duration jitter = milliseconds(800);           // added to it: of instances that start together, most find what the first of them wrote
    Duration checkInterval = seconds(10);          // between two looks at which of the named instances live; no call is made for it
    Duration retryDelay = seconds(2);              // after a failed call
    size_t seedsPerZone = 3;                       // instances that a zone's object names
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class SeedList
{
public:
    using SeedCallback = std::function<void(const Endpoint &peer)>;

    /** `self` is this instance's peer address. `onSeed` is told each address read, of any zone. Precondition: the API and the clock outlive this object. */
    SeedList(PlatformApi &api, const Clock &clock, uint64_t seed, const std::string &zone, const Endpoint &self, SeedCallback onSeed,
             const SeedSettings &settings = {});

    /** `live` are the other members of the zone that are known to live; `isKeeper` says whether this one writes for the zone. Call it a few times a second. */
    void tick(const std::vector<Endpoint> &live, bool isKeeper);

private:
    void read();
    void onRead(const PlatformReply &reply);
    void write(const std::vector<Endpoint> &live);
    void onWritten(const PlatformReply &reply);

    PlatformApi &api;
    const Clock &clock;
    const std::string key;
    const Endpoint self;
    SeedCallback onSeed;
    const SeedSettings settings;
    std::vector<Endpoint> listedSeeds; // by the zone's object, as last read or written
    uint64_t version = 0;              // of that object; 0 for none
    bool isRead = false;
    bool isCallPending = false; // a call waits for its answer
    TimePoint nextCallAt;
};

/** The addresses in the text of an object; none when it is anything else. Thread safe. */
std::vector<Endpoint> parseSeeds(const std::string &text);
std::string serializeSeeds(const std::vector<Endpoint> &seeds);

} // namespace hornbeam
