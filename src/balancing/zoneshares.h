#pragma once

// Decides which share of a service's new flows is sent to targets in other availability zones, and to which zones (locality-aware routing).
//
// The cost of a flow is the time that its request is expected to wait. For another zone, the round trip between the zones and a price for the bytes that cross
// are added. Flows leave while they are expected to gain in a zone that has free slots, and return otherwise; leaving needs a larger gain than staying
// (hysteresis). How many leave follows from the requests per second and what the own zone can serve of them, because waiting times react late and steeply:
// shares that followed only them swung between 0 and 0.76 (docs/design/zones.md).

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <vector>

namespace hornbeam {

struct ZoneShareSettings
{
    Duration minGain = milliseconds(10);         // expected gain of a flow above which flows leave the own zone; they return below half of it
    double minGainShare = 0.25;                  // of the own zone's waiting time, in addition: measurements of long queues deviate by as much
    Duration pricePerKilobyte = milliseconds(5); // waiting time of a caller that is accepted in order not to send 1,000 bytes between zones
    double maxUse = 0.85;                        // outstanding requests per slot above which a zone is sent no more flows of others
    double decidedUse = 0.6;                     // of the own zone's slots; below it nothing is decided while no flows leave
    double step = 0.02;                          // maximum increase of the share per update beyond what the own zone can't serve
};

/** Interval between two updates of the shares. Reports of other zones are about 1 s old on average, four updates. */
constexpr Duration zoneShareInterval = milliseconds(250);

/** What is known about a service's targets in one zone. */
struct ZoneState
{
    ZoneId zone = 0;
    bool isReachable = false; // a zone that can't be reached is sent nothing
    bool isReported = false;  // whether `waiting` and `outstanding` are from recent reports of the zone
    uint32_t slots = 0;       // of the targets that may be given new flows
    double outstanding = 0;   // requests without a response at these targets, from all instances
    Duration waiting{ 0 };    // expected waiting time of a new request, as measured in that zone
    Duration delay{ 0 };      // round trip from the own zone
    double leavingShare = 0;  // of that zone's own new flows
    Duration excess{ 0 };     // measured here: mean response time of the own flows there, minus the response time without waiting at home; 0 if unknown
};

/** What is known about a service. */
struct ServiceZones
{
    ZoneState own;
    std::vector<ZoneState> others; // sorted by zone
    double requestsPerSecond = 0;  // of the own zone's callers, through all its instances; 0 if unknown
    Duration serviceTime{ 0 };     // mean response time without waiting; 0 if unknown
    double bytesPerRequest = 0;    // of a request and its response
};

/** The zone of a new flow. */
struct ZoneChoice
{
    std::optional<ZoneId> zone; // none: nothing is decided, or the own zone is worse than others, so that targets of all zones are compared
    double leavingShare = 0;
};

/** Share of a service's new flows that one other zone gets. */
struct ZoneShare
{
    ZoneId zone = 0;
    double share = 0;
    Duration gain{ 0 }; // expected for each of these flows, negative for a loss
    Duration cost{ 0 }; // of a flow to that zone
};

/** The decision for one service. Not thread safe. */
class ZoneShares
{
public:
    explicit ZoneShares(const ZoneShareSettings &settings);

    /** Adjusts the shares to new values. Call it every `zoneShareInterval`. */
    void update(const ServiceZones &service);
    /** The zone of a flow. `draw` is uniformly distributed in [0, 1). */
    ZoneChoice choose(double draw) const;

    /** Share of the new flows that leaves the own zone, 0 to 1. */
    double leavingShare() const;
    /** Expected gain, averaged over all new flows of the service. */
    Duration expectedGain() const;
    /** Whether the decision replaces the comparison of single targets across zones. */
    bool isDecided() const;
    /** Shares of the other zones, also those with a share of 0. */
    const std::vector<ZoneShare> &destinations() const;
    /** Expected waiting time in the own zone, as of the last update. */
    Duration ownWaiting() const;

private:
    Duration costOf(const ZoneState &zone, double bytesPerRequest) const;
    double pressureOf(const ZoneState &zone, const ZoneShare &share) const;
    double roomOf(const ZoneState &zone) const;
    bool isDestination(const ZoneState &zone) const;
    Duration risingGain() const;
    double freeSlots(const ZoneState &zone) const;
    void replaceLostZones(const ServiceZones &service, double lost);
    void replaceOwnZone(const ServiceZones &service);
    void adjust(const ServiceZones &service);
    double neededShare(const ServiceZones &service) const;

    const ZoneShareSettings settings;
    std::vector<ZoneShare> shares; // sorted by zone
    ZoneId ownZone = 0;
    Duration homeWaiting{ 0 };
    double averageNeeded = 0; // moving average of neededShare()
    bool decided = false;
    bool hasBetterZone = false; // in another zone flows wait for less than half the time
};

} // namespace hornbeam
