#pragma once

// Exchange of load reports between members, within the own zone and across zones.
//
// Every `interval` an instance sends its own zone's load, as it estimates it, to one random member of each other reachable zone, which answers with the load of
// its own zone, and the newest known load of all zones to one random member of its own zone. Each instance averages what it receives: one instance sees only
// about 1/29 of its zone's requests. Lost messages only make the averages older.
//
// Traffic per instance for two services, three zones and 29 members in each zone: at most 1.1 KB/s of messages. It doesn't grow with the number of members.
// At most `maxServices` services are reported in a message, which keeps it below 2 KB/s; the others follow in the next ones.

#include "balancing/zoneshares.h"
#include "peer/actions.h"
#include "peer/directory.h"

#include <map>
#include <random>

namespace hornbeam {

struct ZoneLoadSettings
{
    bool isEnabled = true;                 // whether reports are sent
    Duration interval = milliseconds(500); // between two reports
    Duration timeout = seconds(2);         // after which a report is no longer used; four intervals
    size_t maxServices = 4;                // per message
};

/** The load of one service in the own zone, as this instance estimates it for all instances of the zone. */
struct OwnZoneLoad
{
    ServiceId service = 0;
    uint32_t slots = 0;
    double outstanding = 0;
    Duration waiting{ 0 };
    double leavingShare = 0;
    double requestsPerSecond = 0;
};

/** Averaged reports of one service in one zone. */
struct ReportedZoneLoad
{
    double slots = 0;
    double outstanding = 0;
    Duration waiting{ 0 };
    double leavingShare = 0;
    double requestsPerSecond = 0;
    TimePoint measuredAt; // the newest of the averaged values, as an upper bound of its age
};

/** Not thread safe: owned by one event loop. */
class ZoneLoads
{
public:
    /** Precondition: the directory and the clock outlive this object. */
    ZoneLoads(const ZoneLoadSettings &settings, const MemberDirectory &members, const Clock &clock, uint64_t seed);

    /** Replaces this instance's own estimates, which the following reports contain. */
    void setOwnLoads(std::vector<OwnZoneLoad> loads);
    /** Sends due reports. Call it about every 20 ms. */
    void tick(Actions &out);
    void onMessage(const ZoneLoad &message, Actions &out);

    /** The average of recent reports of a service in a zone, including this instance's own estimates for its own zone. Null if there is none. */
    const ReportedZoneLoad *find(ZoneId zone, ServiceId service) const;
    /** Whether members of a zone can be reached, as far as the membership knows. */
    bool isReachable(ZoneId zone) const;
    /** The shortest recent round trip to members of a zone; 0 if none was measured. */
    Duration delayTo(ZoneId zone) const;
    /** Number of live members of the own zone, including this instance. */
    size_t ownMembers() const;

private:
    struct RoundTrips
    {
        uint64_t sequence = 0; // of the last message that was sent; 0 after its answer has arrived
        TimePoint sentAt;
        std::vector<Duration> recent; // ring buffer
        size_t next = 0;
    };
    using Key = std::pair<ZoneId, ServiceId>;

    void send(MemberId peer, bool isOwnZone, uint64_t echo, Actions &out);
    std::vector<ZoneLoadEntry> ownEntries() const;
    void appendReported(std::vector<ZoneLoadEntry> &entries) const;
    void apply(const ZoneLoadEntry &entry, ZoneId senderZone);
    void blend(const Key &key, const ReportedZoneLoad &load, double weight);
    MemberId randomMember(ZoneId zone);
    bool isReplayed(const ZoneLoad &message);

    const ZoneLoadSettings settings;
    const MemberDirectory &members;
    const Clock &clock;
    std::minstd_rand random;
    std::vector<OwnZoneLoad> ownLoads;
    std::map<Key, ReportedZoneLoad> reports;
    std::map<ZoneId, RoundTrips> roundTrips;
    std::map<MemberId, uint64_t> lastSequences; // of messages received
    std::vector<ZoneId> reachable;
    size_t memberCount = 1;
    uint64_t nextSequence;
    size_t firstService = 0; // of the next message
    TimePoint nextReport;
};

} // namespace hornbeam
