#pragma once

// Who is alive, in the own zone and in others. SWIM within the zone (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002): each member probes one other per interval, indirectly when it doesn't
// answer, suspects it, and declares it dead unless it refutes. Changes ride along on probes. Zones tell each other a hash over their
// members, and the list when hashes differ.
//
// Control traffic of a member, in bytes a second without changes: 2 probes and 2 answers of about 65 bytes, 10 more for each other zone,
// and one digest of about 70 bytes. It doesn't grow with the zone; changes add at most `updatesPerMessage` records of about 38
// bytes to each of the four messages, so that it stays under 4 KB. A list is 38 bytes for each member of the zone, sent
// `listsPerDigestInterval` times a second at most. tests/membership_test.cpp bounds it at 9 and at 81 members.
//
// Sections: settings | membership

#include "core/clock.h"
#include "core/counters.h"
#include "membership/membertable.h"
#include "membership/memberview.h"
#include "membership/zonecontacts.h"
#include "peer/actions.h"
#include "peer/directory.h"

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
    Duration probeInterval = milliseconds(300); // ms, 100 to 5000: one member is probed in each
    Duration probeTimeout = milliseconds(200);  // ms, under probeInterval: then others are asked to probe
    size_t indirectProbes = 3;                  // members, 1 to 10
    Duration suspicionTimeout =
        milliseconds(1000); // ms, 500 to 30000: time to refute; with 2 probe intervals and a digest interval it bounds the silence of feeds after a kill
    Duration digestInterval = milliseconds(1000);    // ms, 200 to 10000: one zone is told in each
    Duration zoneTimeout = milliseconds(5000);       // ms, above 3 digest intervals: then a zone is unreachable
    Duration inactiveMemberRetention = seconds(300); // s, 10 to 3600: how long dead and departed members are remembered
    Duration missingMemberRetention = seconds(10);   // s, 2 to 300: how long a member stays that its own zone doesn't list
    Duration pauseThreshold = milliseconds(250);     // ms, above 2 ticks: a later tick means that this process stood still
    size_t updatesPerMessage = 16;                   // records, 4 to 24: keeps a datagram under 1200 bytes
    size_t listRecordsPerDatagram = 28;              // records, up to 28: longer lists go over a stream
    size_t listsPerDigestInterval = 2;               // lists, 1 to 10: how many are sent
    size_t seedFanout = 3;                           // seeds, 1 to 10: contacted per digest interval until they answer
    size_t leaveFanout = 8;                          // members, 1 to 20: told at once when this one leaves
    size_t maxSeeds = 1024;                          // seeds that have not answered yet
    size_t burstProbeCount = 8;                      // members, 1 to 24: probed at once when one is suspected
    size_t maxBootstrapMembers = 8;                  // members, 1 to 24: of a caller's own zone, told to one that asks from another zone
};

//--- Membership

/** The name used in dumps. Thread safe. */
std::string_view nameOf(MemberState state);

/** The zone of a seed of which only the address is known. */
constexpr ZoneId unknownZone = 0;

/** How far the tables in force here are in force in the zone. */
struct TableAgreement
{
    uint32_t members = 0;           // live ones, this one included
    uint32_t agreeing = 0;          // of those, with the same tables, this one included
    std::vector<Endpoint> laggards; // peer endpoints of the others
};

/** The member directory of one process. All methods are thread safe; none waits for anything but the own mutex. */
class Membership final : public MemberDirectory
{
public:
    /** Precondition: `self` is Alive and has an identifier, a zone, an endpoint and an incarnation; `clock` and `counters` outlive this. */
    Membership(const MembershipSettings &settings, const MemberRecord &self, const Clock &clock, Counters &counters, uint64_t seed);

    /** Adds an instance that may exist, of any zone, or of `unknownZone`. It is contacted, and counts as a member once it answers. May be repeated. */
    void addSeed(MemberId member, ZoneId zone, const Endpoint &peer);
    /** Where to send a message for a member or a seed; nothing when it is neither. */
    std::optional<Endpoint> endpointOf(MemberId member) const;

    void onMessage(const Ping &ping, Actions &out);
    void onMessage(const PingAck &ack, Actions &out);
    void onMessage(const PingRequest &request, Actions &out);
    void onMessage(const ZoneDigest &digest, Actions &out);
    /** Sends what is due and ends what timed out. Precondition: called about every 50 ms; a gap above `pauseThreshold` counts as a pause of this process. */
    void tick(Actions &out);

    /** Starts to leave: this member owns nothing new, and several members are told at once. */
    void beginLeave(Actions &out);
    /** Ends the membership; several members are told. Nothing is sent or taken in afterwards. */
    void endLeave(Actions &out);

    /** The hash over the table versions in force here, told to others. */
    void setTableDigest(uint64_t digest);
    /** Tells one member the hash at once, e.g. the one that reports what is in force. */
    void sendTableDigest(MemberId peer, Actions &out);
    /** Which live members of the own zone were last heard with the same hash. */
    TableAgreement tableAgreement() const;
    /** The members heard from since the last call whose table digest differs from ours. */
    std::vector<MemberId> takeMembersWithDifferentTables();
    /** Whether half of the own zone's instances or more live: told to other zones. While they don't, other zones are asked for the same. */
    void setOwnZoneHealth(bool isHealthy);
    /** How long ago this zone heard of each other zone that is in reach, and that it is well. */
    std::vector<ZoneContact> zoneContacts() const;
    /** All records, sorted by identifier, this process's own among them. */
    std::vector<MemberRecord> members() const;

    MemberRecord self() const override;
    std::optional<MemberRecord> find(MemberId member) const override;
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const override;
    std::vector<ZoneId> reachableZones() const override;
    MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const override;
    MemberId flowOwner(uint64_t flow) const override;
    uint64_t viewVersion() const override;

private:
    /** A probe in flight. */
    struct Probe
    {
        uint64_t sequence = 0;
        MemberId subject = 0; // 0 when none is in flight
        TimePoint sentAt;
        bool indirectRequested = false; // others were asked to probe it
    };
    /** A probe made for another member. */
    struct IndirectProbe
    {
        uint64_t sequence = 0;
        MemberId requester = 0;
        uint64_t requesterSequence = 0;
        TimePoint sentAt;
    };
    /** One of several probes that follow a suspicion: faults of hosts and links come in groups. */
    struct BurstProbe
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

    // all below: precondition is that the mutex is held
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

    mutable std::mutex mutex; // guards all below but `view`
    MemberRecord ownRecord;
    MemberTable table;
    ZoneContacts contacts;
    std::map<MemberId, Seed> seeds; // those not known as members
    std::mt19937_64 random;
    uint64_t tableDigest = 0;
    std::set<MemberId> membersWithDifferentTables;
    std::map<MemberId, uint64_t> peerTableDigests; // the hash that each member of the own zone last told
    bool isViewOutdated = true;                    // the view has to be built anew
    bool hasMemberList = false;                    // a list of the own zone has arrived
    std::vector<ZoneId> publishedZones;

    uint64_t nextSequence = 1;
    Probe probe;
    std::vector<IndirectProbe> pendingIndirectProbes;
    std::vector<BurstProbe> burstProbes;
    TimePoint lastProbeBurst;
    TimePoint lastZonePing;
    bool isOwnZoneHealthy = true;
    std::vector<MemberId> probeOrder;
    size_t nextProbeIndex = 0;
    TimePoint lastTick;
    TimePoint nextProbe;
    TimePoint nextDigest;
    size_t nextZoneIndex = 0;
    size_t remainingLists = 0;                   // until the next digest interval
    std::map<ZoneId, TimePoint> listRequestedAt; // when a zone was last asked for its list

    mutable std::mutex viewMutex; // guards `view`; taken last, and only to copy or replace the pointer
    std::shared_ptr<const MemberView> view;
};

} // namespace hornbeam
