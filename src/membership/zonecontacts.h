#pragma once

// When each other zone was last heard of, by this member or by another one of its zone that told it. Not thread safe: Membership guards it.

#include "core/clock.h"
#include "peer/messages.h"

#include <map>

namespace hornbeam {

class ZoneContacts
{
public:
    /** A zone counts as reachable until nothing was heard of it for `silence`. */
    explicit ZoneContacts(Duration timeout);

    /** A datagram or stream message of a member of `zone` arrived. */
    void recordDirectContact(ZoneId zone, TimePoint now);
    /** A member of `zone` says whether half of that zone's instances or more live. */
    void recordHealth(ZoneId zone, bool isHealthy, TimePoint now);
    /** Another member of the own zone says when it heard of other zones. */
    void recordReportedContacts(const std::vector<ZoneContact> &contacts, TimePoint now);
    /** After a pause of this process: gives each zone that was reachable the short time in which others report their contacts. */
    void adjustForPause(Duration pause, TimePoint now);

    /** What to tell the members of the own zone: the zones that are reachable. */
    std::vector<ZoneContact> report(TimePoint now) const;
    /** The zones heard of within the silence, sorted. */
    std::vector<ZoneId> reachable(TimePoint now) const;

private:
    /** TimePoint{} for never. */
    struct Health
    {
        TimePoint healthyAt;   // when its members last said that it was well
        TimePoint unhealthyAt; // when they last said that it was not
    };

    Duration timeout;
    std::map<ZoneId, TimePoint> lastContact;
    std::map<ZoneId, Health> health;
};

} // namespace hornbeam
