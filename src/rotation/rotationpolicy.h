#pragma once

// Decides whether this instance reports itself ready to the routers, considering their panic threshold when a zone has partially failed.
//
// Routers that find fewer than half of a zone's instances ready send packets to all of them, including dead ones; if none is ready, they use the nearest zones.
// After a zone has lost more than half of its instances, the remaining ones therefore stop being ready while another zone can take over. They continue to
// forward packets that still arrive. The decision is based on the live members of each zone, so that all instances reach the same result. A zone never leaves
// the rotation in favor of a zone that is no better off.
//
// Sections: settings | policy

#include "core/clock.h"
#include "peer/messages.h"

#include <map>
#include <vector>

namespace hornbeam {

//--- Settings

struct RotationSettings
{
    uint32_t minServingPercent = 50;                   // of a zone's instances; with fewer ready instances, routers use all of them
    uint32_t maxTakeoverLoadPercent = 400;             // of the usual load, on the instances that take over; the busiest ones use less than 10% of a core
    Duration confirmationPeriod = milliseconds(100);   // minimum duration of the loss; another zone must also have reported itself healthy since its detection
    Duration maxHealthReportAge = milliseconds(1500);  // zones whose last healthy report is older are not relied on; reports are requested every 200 ms
    Duration deadMemberRetention = seconds(60);        // a dead instance counts for its zone, because routers list it until the platform has removed it
    Duration leftMemberRetention = seconds(5);         // the same for an instance that was stopped as planned; a restart takes 2 s
    Duration minTimeOutOfRotation = milliseconds(500); // minimum time out of rotation; one interval of the routers' readiness probes
};

//--- Policy

/** Not thread safe: owned by one event loop. */
class RotationPolicy
{
public:
    RotationPolicy(const RotationSettings &settings, ZoneId ownZone);

    /**
     * Updates the decision from all known members, including this instance and dead and departed ones, and from the ages of the other zones' last healthy
     * reports. Returns whether the decision changed. Call about every 50 ms.
     */
    bool update(const std::vector<MemberRecord> &members, const std::vector<ZoneContact> &contacts, TimePoint now);

    /** Whether at least half of the own zone's instances are serving. */
    bool isZoneHealthy() const;
    /** The instances of the own zone that the routers still list, including this one and recently lost ones. */
    uint32_t countedInstances() const;
    /** Whether this instance should be out of rotation. */
    bool isOutOfRotation() const;

private:
    struct ZoneCounts
    {
        uint32_t serving = 0; // instances that forward packets
        uint32_t counted = 0; // instances that the routers still list
    };
    struct NonServingMember
    {
        MemberState state = MemberState::Alive;
        TimePoint since;
    };

    std::map<ZoneId, ZoneCounts> countZones(const std::vector<MemberRecord> &members, TimePoint now);
    bool isDegraded(const ZoneCounts &zone) const;
    bool canTakeOver(const std::map<ZoneId, ZoneCounts> &zones, const std::vector<ZoneContact> &contacts, TimePoint now) const;

    const RotationSettings settings;
    const ZoneId ownZone;
    std::map<MemberId, NonServingMember> nonServingMembers; // members that do not serve, and since when
    TimePoint degradedSince;                                // TimePoint{} while the own zone is healthy
    TimePoint changedAt;
    uint32_t ownZoneCounted = 0;
    bool outOfRotation = false;
};

} // namespace hornbeam
