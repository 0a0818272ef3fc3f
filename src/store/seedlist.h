#pragma once

// Publishes a few instance addresses of each zone in the store, so that a starting instance discovers the others without configured seeds. Each zone has
// one object, which is written only when it lists fewer live instances than it should.

#include "store/platformapi.h"

#include <random>

namespace hornbeam {

struct SeedSettings
{
    bool isFirstStart = false;                     // first start of the whole system: the initial read is delayed; otherwise it is immediate
    Duration initialReadDelay = milliseconds(300); // at a first start, gives configured seeds time to respond
    Duration jitter = milliseconds(800);           // added to the delay, so that most instances that start together read what the first one wrote
    Duration checkInterval = seconds(10);          // between checks which listed instances are live; makes no store call
    Duration retryDelay = seconds(2);              // after a failed call
    size_t seedsPerZone = 3;                       // instances listed in a zone's object
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class SeedList
{
public:
    using SeedCallback = std::function<void(const Endpoint &peer)>;

    /** `self` is this instance's peer address. `onSeed` is called for each other address read, of any zone. Precondition: the API and the clock outlive this
     * object. */
    SeedList(PlatformApi &api, const Clock &clock, uint64_t seed, const std::string &zone, const Endpoint &self, SeedCallback onSeed,
             const SeedSettings &settings = {});

    /** `live`: the other live members of the zone. `isKeeper`: whether this instance writes the zone's object. Call it a few times a second. */
    void tick(const std::vector<Endpoint> &live, bool isKeeper);
    /** Whether the store has been read at least once. */
    bool hasBeenRead() const;

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
    std::vector<Endpoint> listedSeeds; // in the zone's object, as last read or written
    uint64_t version = 0;              // of that object; 0 if absent
    bool isRead = false;
    bool wasRead = false;       // at least once
    bool isCallPending = false; // waiting for a response
    TimePoint nextCallAt;
};

/** Parses the JSON text of a seed object; skips invalid entries and returns none if the text is not a JSON array. Thread safe. */
std::vector<Endpoint> parseSeeds(const std::string &text);
std::string serializeSeeds(const std::vector<Endpoint> &seeds);

} // namespace hornbeam
