#pragma once

// Membership and failure detection, within the local zone and across zones. Within a zone it implements SWIM (Das, Gupta, Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002): each member probes one other member
// per interval, falls back to indirect probes when there is no answer, then suspects the member and declares it dead unless it refutes
// the suspicion. Updates are piggybacked on probes. Zones exchange a hash over their members, and the full list when the hashes differ.
//
// Control traffic per member and second without changes: 2 probes and 2 answers of about 65 bytes, 10 bytes more for each other zone, and
// one digest of about 70 bytes. It is independent of the zone size. Changes add at most `updatesPerMessage` records of about 38 bytes to
// each of the four messages, which keeps the total under 4 KB. A full list takes 38 bytes per member of the zone and is sent at most
// `listsPerDigestInterval` times per digest interval. tests/membership_test.cpp checks the limits for 9 and 81 members.
//
// Sections: settings | membership

#include "core/clock.h"
#include "core/counters.h"
#include "membership/membertable.h"
#include "membership/memberview.h"
#include "membership/zonecontacts.h"
#include "peer/actions.h"
#include "peer/directory.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string_view>

namespace hornbeam {

//--- Settings

struct MembershipSettings
{
    Duration probeInterval = milliseconds(300);      // ms, 100 to 5000: one member is probed per interval
    Duration probeTimeout = milliseconds(200);       // ms, less than probeInterval: indirect probes are requested afterwards
    size_t indirectProbes = 3;                       // members, 1 to 10: asked to probe indirectly
    Duration suspicionTimeout = milliseconds(1000);  // ms, 500 to 30000: time to refute; plus 2 probe and 1 digest intervals, bounds feed silence after a kill
    Duration digestInterval = milliseconds(1000);    // ms, 200 to 10000: one zone is sent a digest per interval
    Duration zoneTimeout = milliseconds(5000);       // ms, more than 3 digest intervals: without contact for this long a zone is unreachable
    Duration inactiveMemberRetention = seconds(300); // s, 10 to 3600: how long records of dead and departed members are kept
    Duration missingMemberRetention = seconds(10);   // s, 2 to 300: how long a member is kept that its own zone no longer lists
    Duration pauseThreshold = milliseconds(250);     // ms, more than 2 ticks: a longer gap between ticks means that this process was paused
    size_t updatesPerMessage = 16;                   // records, 4 to 24: keeps datagrams under 1200 bytes
    size_t listRecordsPerDatagram = 28;              // records, up to 28: longer lists are sent over a stream
    size_t listsPerDigestInterval = 2;               // lists, 1 to 10: maximum sent per digest interval
    size_t seedFanout = 3;                           // seeds, 1 to 10: pinged per digest interval until they answer
    size_t leaveFanout = 8;                          // members, 1 to 20: notified immediately when this member leaves
    size_t maxSeeds = 1024;                          // seeds: maximum kept that have not answered yet
    size_t burstProbeCount = 8;                      // members, 1 to 24: probed at the same time after one was suspected
    size_t maxBootstrapMembers = 8;                  // members, 1 to 24: of the sender's zone, sent in the answer to a ping from another zone
};

//--- Membership

/** The name used in text dumps. Thread safe. */
std::string_view nameOf(MemberState state);

/** Zone of a seed that is known by its address only. */
constexpr ZoneId unknownZone = 0;

/** How many members of the local zone have the same table versions in force as this one. */
struct TableAgreement
{
    uint32_t members = 0;           // live members, including this one
    uint32_t agreeing = 0;          // live members with the same tables, including this one
    std::vector<Endpoint> laggards; // peer endpoints of the live members with other tables
};

/** The answer of a member of the local zone to a probe of this one. */
struct ProbeRoundTrip
{
    MemberId member = 0;
    Duration time{ 0 }; // includes the delays of both processes
};

/** The member directory of one process. All methods are thread safe and block only on the internal mutexes. */
class Membership final : public MemberDirectory
{
public:
    /** Precondition: `self` is Alive and has an identifier, a zone, an endpoint and an incarnation; `clock` and `counters` outlive this object. */
    Membership(const MembershipSettings &settings, const MemberRecord &self, const Clock &clock, Counters &counters, uint64_t seed);

    /** Adds a possible instance of any zone or of `unknownZone`. It is contacted, and becomes a member once it answers. May be called repeatedly. */
    void addSeed(MemberId member, ZoneId zone, const Endpoint &peer);
    /** The peer endpoint of a member or seed; std::nullopt when the identifier is unknown. */
    std::optional<Endpoint> endpointOf(MemberId member) const;

    void onMessage(const Ping &ping, Actions &out);
    void onMessage(const PingAck &ack, Actions &out);
    void onMessage(const PingRequest &request, Actions &out);
    void onMessage(const ZoneDigest &digest, Actions &out);
    /** Sends due messages and handles timeouts. Precondition: called about every 50 ms; a gap above `pauseThreshold` counts as a pause of this process. */
    void tick(Actions &out);

    /** Starts leaving: this member is no longer eligible as an owner. Notifies several members immediately. */
    void beginLeave(Actions &out);
    /** Ends the membership and notifies several members. No messages are sent or processed afterwards. */
    void endLeave(Actions &out);

    /** Sets the hash over the table versions in force here, which is sent to other members. */
    void setTableDigest(uint64_t digest);
    /** Sends the hash to one member immediately, e.g. to the one that reports which versions are in force. */
    void sendTableDigest(MemberId peer, Actions &out);
    /** Compares this member's hash with the last one received from each live member of the local zone. */
    TableAgreement tableAgreement() const;
    /** Returns and clears the members heard from since the last call whose table digest differs from this member's. */
    std::vector<MemberId> takeMembersWithDifferentTables();
    /** Sets whether at least half of the local zone's instances are alive. Sent to other zones; while false, other zones are polled for their health. */
    void setOwnZoneHealth(bool isHealthy);
    /** Returns and clears the round trips since the last call, including those of answers that came too late for the failure detection. */
    std::vector<ProbeRoundTrip> takeRoundTrips();
    /** How long ago each reachable other zone was last heard of, and last reported as healthy. */
    std::vector<ZoneContact> zoneContacts() const;
    /** All records including this process's own, sorted by identifier. */
    std::vector<MemberRecord> members() const;

    MemberRecord self() const override;
    std::optional<MemberRecord> find(MemberId member) const override;
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const override;
    std::vector<ZoneId> reachableZones() const override;
    MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const override;
    MemberId flowOwner(uint64_t flow) const override;
    uint64_t viewVersion() const override;

private:
    /** The direct probe in flight. */
    struct Probe
    {
        uint64_t sequence = 0;
        MemberId subject = 0; // 0 when none is in flight
        TimePoint sentAt;
        bool indirectRequested = false;
    };
    /** A probe sent on behalf of another member. */
    struct IndirectProbe
    {
        uint64_t sequence = 0;
        MemberId requester = 0;
        uint64_t requesterSequence = 0;
        TimePoint sentAt;
    };
    /** One of several probes sent after a suspicion, because host and link failures often affect several members. */
    struct BurstProbe
    {
        uint64_t sequence = 0;
        MemberId subject = 0;
        TimePoint sentAt;
    };
    /** A ping to a member of the local zone whose answer is timed. */
    struct TimedPing
    {
        uint64_t sequence = 0;
        MemberId subject = 0;
        TimePoint sentAt;
    };
    struct Seed
    {
        ZoneId zone = 0;
        Endpoint peer;
    };

    // Precondition of all methods below: the mutex is held.
    bool processSender(const MemberRecord &sender, uint64_t digest, Actions &out);
    void applyUpdates(const std::vector<MemberRecord> &records);
    void applyUpdate(const MemberRecord &record);
    void refute(const MemberRecord &record);
    void sendPing(MemberId peer, uint64_t sequence, Actions &out);
    void pingRandomMembers(size_t maxCount, Actions &out);
    std::vector<MemberRecord> updatesFor(MemberId peer);
    std::vector<MemberRecord> bootstrapRecordsFor(const MemberRecord &sender);
    std::vector<ZoneContact> zoneContactsFor(MemberId peer) const;
    void applyZoneContacts(ZoneId zone, const std::vector<ZoneContact> &reported);
    unsigned updateTransmitLimit() const;

    void timePing(MemberId peer, uint64_t sequence);
    void timeRoundTrip(const PingAck &ack);
    void handlePause(TimePoint now);
    void checkProbe(TimePoint now, Actions &out);
    void startProbe(TimePoint now, Actions &out);
    void requestIndirectProbes(Actions &out);
    void startProbeBurst(TimePoint now, Actions &out);
    void checkProbeBurst(TimePoint now, Actions &out);
    void pingOtherZones(TimePoint now, Actions &out);
    MemberId nextProbeSubject();

    void sendNextZoneDigest(Actions &out);
    void sendDigestToOtherZones(Actions &out);
    std::map<ZoneId, std::vector<MemberId>> peersByZone() const;
    void pingSeedsAndDeadMembers(Actions &out);
    void sendMemberList(MemberId peer, Actions &out);
    void requestMemberList(MemberId peer, ZoneId zone, Actions &out);
    ZoneDigest makeDigest() const;
    uint64_t ownZoneHash() const;
    std::vector<MemberId> randomSample(std::vector<MemberId> candidates, size_t maxCount);
    std::shared_ptr<const MemberView> currentView() const;
    void publishView();

    MembershipSettings settings;
    const Clock &clock;

    mutable std::mutex mutex; // guards all members below except `view`
    MemberRecord ownRecord;
    MemberTable table;
    ZoneContacts contacts;
    std::map<MemberId, Seed> seeds; // seeds that are not known as members
    std::mt19937_64 random;
    uint64_t tableDigest = 0;
    std::set<MemberId> membersWithDifferentTables;
    std::map<MemberId, uint64_t> peerTableDigests; // last hash received from each member of the local zone
    bool isViewOutdated = true;                    // the view has to be rebuilt
    bool hasMemberList = false;                    // a full list of the local zone was received
    std::vector<ZoneId> publishedZones;

    uint64_t nextSequence = 1;
    Probe probe;
    std::vector<IndirectProbe> pendingIndirectProbes;
    std::vector<BurstProbe> burstProbes;
    std::deque<TimedPing> timedPings;       // in the order of sending
    std::vector<ProbeRoundTrip> roundTrips; // not yet taken
    TimePoint lastProbeBurst;
    TimePoint lastZonePing;
    bool isOwnZoneHealthy = true;
    std::vector<MemberId> probeOrder;
    size_t nextProbeIndex = 0;
    TimePoint lastTick;
    TimePoint nextProbe;
    TimePoint nextDigest;
    size_t nextZoneIndex = 0;
    size_t remainingLists = 0;                   // lists that may still be sent in this digest interval
    std::map<ZoneId, TimePoint> listRequestedAt; // time of the last list request for each zone

    mutable std::mutex viewMutex; // guards `view`; locked last, and only to copy or replace the pointer
    std::shared_ptr<const MemberView> view;
};

} // namespace hornbeam
