#pragma once

// Whether routers should send packets to this instance. Pattern: panic threshold of a load balancer seen from the balanced side, at a partial loss of a zone.
//
// Routers that find fewer than half of a zone's instances ready send packets to all of them, dead ones too; when none is ready, they use the nearest zones.
// The survivors of a zone that lost more than half therefore stop being ready while another zone can take over, and go on forwarding whatever still comes.
// A zone counts by the members that live, so that all instances come to the same result; no zone steps aside for one that is no better off.
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
    uint32_t minServingPercent = 50;                   // of a zone's instances; with fewer ready ones routers use all of them
    uint32_t maxTakeoverLoadPercent = 400;             // of the usual load, for the instances that would take over; the busiest use under 10% of a core
    Duration confirmationPeriod = milliseconds(100);   // the loss must last, and another zone must have said since it was noticed that it is well
    Duration maxHealthReportAge = milliseconds(1500);  // a zone that has not said for so long that it is well is not relied on; it is asked each 200 ms
    Duration deadMemberRetention = seconds(60);        // a dead instance counts for its zone: routers list it until the platform has removed it
    Duration leftMemberRetention = seconds(5);         // the same for one that stopped by plan; a restart takes 2 s
    Duration minTimeOutOfRotation = milliseconds(500); // out of rotation at least, one interval of the routers' probes
};

//--- Policy

/** Not thread safe: one event loop owns it. */
class RotationPolicy
{
public:
    RotationPolicy(const RotationSettings &settings, ZoneId ownZone);

    /**
     * Takes what is known now: all members, this instance included, dead and departed ones too, and how long ago other zones said that they are well.
     * Returns whether the answer changed. Call it about each 50 ms.
     */
    bool update(const std::vector<MemberRecord> &members, const std::vector<ZoneContact> &contacts, TimePoint now);

    /** Whether half of the own zone's instances or more serve. */
    bool isZoneHealthy() const;
    /** Whether this instance should be out of rotation. */
    bool isOutOfRotation() const;

private:
    struct ZoneCounts
    {
        uint32_t serving = 0; // forwards packets
        uint32_t counted = 0; // on the routers' lists
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
    std::map<MemberId, NonServingMember> nonServingMembers; // of members that don't serve
    TimePoint degradedSince;                                // TimePoint{} while the own zone is well
    TimePoint changedAt;
    bool outOfRotation = false;
};

} // namespace hornbeam
