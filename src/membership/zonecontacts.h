#pragma once

// When each other zone was last heard of, directly or as reported by another member of the local zone. Not thread safe: guarded by Membership.

#include "core/clock.h"
#include "peer/messages.h"

#include <map>

namespace hornbeam {

class ZoneContacts
{
public:
    /** A zone becomes unreachable when nothing was heard of it for `timeout`. */
    explicit ZoneContacts(Duration timeout);

    /** Records that a datagram or stream message from a member of `zone` arrived. */
    void recordDirectContact(ZoneId zone, TimePoint now);
    /** Records a report by a member of `zone` on whether at least half of that zone's instances are alive. */
    void recordHealth(ZoneId zone, bool isHealthy, TimePoint now);
    /** Merges the contacts with other zones that another member of the local zone reports. */
    void recordReportedContacts(const std::vector<ZoneContact> &contacts, TimePoint now);
    /** After a pause of this process: keeps zones reachable that were so before, for a grace period in which other members report their contacts. */
    void adjustForPause(Duration pause, TimePoint now);

    /** The reachable zones, for the messages to members of the local zone. */
    std::vector<ZoneContact> report(TimePoint now) const;
    /** The zones heard of within the timeout, sorted. */
    std::vector<ZoneId> reachable(TimePoint now) const;

private:
    /** TimePoint{} stands for never. */
    struct Health
    {
        TimePoint healthyAt;   // when a member of the zone last reported it as healthy
        TimePoint unhealthyAt; // when a member of the zone last reported it as unhealthy
    };

    Duration timeout;
    std::map<ZoneId, TimePoint> lastContact;
    std::map<ZoneId, Health> health;
};

} // namespace hornbeam
