#include "membershipnet.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hornbeam;

namespace {

constexpr ZoneId localZone = 1;
constexpr ZoneId remoteZone = 2;

void addMembers(MembershipNet &net, ZoneId zone, size_t count)
{
    for (size_t i = 0; i < count; ++i) {
        net.add(zone);
    }
}

/** The highest send rate of any member during `time`, in bytes per second. */
double maxSendRate(MembershipNet &net, Duration time)
{
    for (const auto &node : net.nodes) {
        node->bytesSent = 0;
    }
    net.run(time);
    uint64_t maxBytes = 0;
    for (const auto &node : net.nodes) {
        maxBytes = std::max(maxBytes, node->bytesSent);
    }
    return static_cast<double>(maxBytes) / std::chrono::duration<double>(time).count();
}

} // namespace

TEST_CASE("members of a zone discover each other and detect failures and departures")
{
    MembershipNet net;
    addMembers(net, localZone, 9);
    REQUIRE(net.runUntil(seconds(10), [&] { return net.allSeeEligible(9); }) < seconds(10));

    SECTION("a new instance with the others as seeds becomes known to all, and a seed is no member before it answers")
    {
        CHECK_FALSE(net.at(0).find(12345).has_value());
        net.at(0).addSeed(12345, localZone, Endpoint{ 1, 1 });
        CHECK_FALSE(net.at(0).find(12345).has_value());
        CHECK(net.at(0).endpointOf(12345) == Endpoint{ 1, 1 });
        net.add(localZone);
        CHECK(net.runUntil(seconds(5), [&] { return net.allSeeEligible(10); }) < seconds(5));
    }
    SECTION("a stopped member is declared dead everywhere within the probe and suspicion time")
    {
        net.nodes[3]->isStopped = true;
        // a full probe round takes 8 intervals; the first of the 8 probing members gets there earlier
        const Duration bound = 4 * net.settings.probeInterval + net.settings.suspicionTimeout + seconds(2);
        CHECK(net.runUntil(bound, [&] { return net.allSeeEligible(8); }) < bound);
        CHECK(net.stateAt(0, 3) == MemberState::Dead);
        CHECK(net.nodes[0]->counters.value(Counter::MembersFailed) == 1);

        SECTION("its record is purged after the retention time")
        {
            net.run(net.settings.inactiveMemberRetention + seconds(5));
            CHECK_FALSE(net.at(0).find(net.idOf(3)).has_value());
        }
        SECTION("it is a member again after a restart")
        {
            net.start(3);
            CHECK(net.runUntil(seconds(5), [&] { return net.allSeeEligible(9); }) < seconds(5));
        }
    }
    SECTION("an immediate restart replaces the previous incarnation")
    {
        const Incarnation before = net.at(0).find(net.idOf(3))->incarnation;
        net.run(milliseconds(20));
        net.start(3);
        const auto isReplaced = [&] { return net.at(0).find(net.idOf(3))->incarnation > before; };
        CHECK(net.runUntil(seconds(5), isReplaced) < seconds(5));
        CHECK(net.nodes[0]->counters.value(Counter::MembersFailed) == 1);
        CHECK(net.allSeeEligible(9));
    }
    SECTION("indirect probes prevent the suspicion of a member whose link to one prober is cut")
    {
        net.isLost = [](size_t from, size_t to) { return (from == 0 && to == 1) || (from == 1 && to == 0); };
        net.run(seconds(60));
        CHECK(net.allSeeEligible(9));
        CHECK(net.nodes[0]->counters.value(Counter::MembersSuspected) == 0);
    }
    SECTION("a suspected member refutes the suspicion with a higher revision")
    {
        MemberRecord suspect = *net.at(0).find(net.idOf(1));
        suspect.state = MemberState::Suspect;
        Actions out;
        net.at(0).onMessage(Ping{ 1, *net.at(0).find(net.idOf(2)), 0, { suspect }, {} }, out);
        CHECK(net.stateAt(0, 1) == MemberState::Suspect);
        CHECK(net.at(0).eligibleIn(localZone).size() == 9); // a suspected member remains eligible
        net.run(seconds(5));
        CHECK(net.stateAt(0, 1) == MemberState::Alive);
        CHECK(net.at(0).find(net.idOf(1))->revision > suspect.revision);
        CHECK(net.allSeeEligible(9));
    }
    SECTION("a paused member that was declared dead rejoins when it resumes and suspects nobody")
    {
        net.nodes[4]->isPaused = true;
        net.run(seconds(20));
        CHECK(net.stateAt(0, 4) == MemberState::Dead);
        net.nodes[4]->isPaused = false;
        CHECK(net.runUntil(seconds(5), [&] { return net.allSeeEligible(9); }) < seconds(5));
        net.run(seconds(5));
        CHECK(net.at(0).find(net.idOf(4))->revision > 0);
        CHECK(net.nodes[4]->counters.value(Counter::MembersSuspected) == 0);
    }
    SECTION("a member that lost answers before and during a pause suspects nobody when it resumes")
    {
        for (int trial = 0; trial < 5; ++trial) { // at different times between two probes
            net.isLost = [](size_t, size_t to) { return to == 4; };
            net.run(net.settings.probeInterval - milliseconds(50)); // shorter than the time allowed for a probe
            net.nodes[4]->isPaused = true;
            net.run(seconds(20));
            net.nodes[4]->isPaused = false;
            net.isLost = [](size_t, size_t) { return false; };
            net.run(seconds(10) + trial * milliseconds(110));
        }
        CHECK(net.nodes[4]->counters.value(Counter::MembersSuspected) == 0);
        CHECK(net.allSeeEligible(9));
    }
    SECTION("a leaving member is not eligible and never rejoins in the same incarnation")
    {
        Actions out;
        net.at(5).beginLeave(out);
        net.send(5, out);
        CHECK(net.at(5).eligibleIn(localZone).size() == 8); // not even in its own view
        CHECK(net.runUntil(seconds(2), [&] { return net.allSeeEligible(8); }) < seconds(2));
        CHECK(net.stateAt(0, 5) == MemberState::Leaving);

        net.run(seconds(30));
        CHECK(net.stateAt(0, 5) == MemberState::Leaving); // it is still known and probed

        Actions leaveActions;
        net.at(5).endLeave(leaveActions);
        net.send(5, leaveActions);
        net.run(seconds(3));
        CHECK(net.stateAt(0, 5) == MemberState::Left);
        MemberRecord staleRecord = *net.at(0).find(net.idOf(5));
        staleRecord.state = MemberState::Alive;
        staleRecord.revision += 5;
        Actions ignored;
        net.at(0).onMessage(Ping{ 1, staleRecord, 0, {}, {} }, ignored);
        CHECK(net.stateAt(0, 5) == MemberState::Left);
    }
    SECTION("a leaving member that stops is declared dead")
    {
        Actions out;
        net.at(5).beginLeave(out);
        net.send(5, out);
        net.run(seconds(1));
        net.nodes[5]->isStopped = true;
        net.run(seconds(8));
        CHECK(net.stateAt(0, 5) == MemberState::Dead);
    }
    SECTION("a member with a different table digest is reported once")
    {
        net.at(1).setTableDigest(99);
        net.run(seconds(10));
        CHECK(net.at(0).takeMembersWithDifferentTables() == std::vector<MemberId>{ net.idOf(1) });
        CHECK(net.at(0).takeMembersWithDifferentTables().empty());
    }
    SECTION("the halves of a partitioned zone merge again")
    {
        net.isLost = [](size_t from, size_t to) { return (from < 4) != (to < 4); };
        SECTION("after a short partition, through the retained records of dead members")
        {
            net.run(seconds(30));
        }
        SECTION("after the dead members were purged, through seeds from the platform's list")
        {
            net.run(net.settings.inactiveMemberRetention + seconds(30));
            CHECK_FALSE(net.at(0).find(net.idOf(8)).has_value());
            net.at(0).addSeed(net.idOf(8), localZone, net.nodes[8]->record.peer);
        }
        CHECK(net.eligibleCountAt(0) == 4);
        CHECK(net.eligibleCountAt(8) == 5);
        net.isLost = [](size_t, size_t) { return false; };
        CHECK(net.runUntil(seconds(20), [&] { return net.allSeeEligible(9); }) < seconds(20));
    }
    SECTION("no member is declared dead at 10% message loss")
    {
        std::mt19937_64 random(5);
        net.isLost = [&random](size_t, size_t) { return random() % 10 == 0; };
        net.run(seconds(120));
        for (const auto &node : net.nodes) {
            CHECK(node->counters.value(Counter::MembersFailed) == 0);
        }
    }
}

TEST_CASE("zones learn each other's members")
{
    MembershipNet net;
    addMembers(net, localZone, 4);
    addMembers(net, remoteZone, 5);
    REQUIRE(net.runUntil(seconds(15), [&] { return net.allSeeEligible(9); }) < seconds(15));
    CHECK(net.at(0).reachableZones() == std::vector<ZoneId>{ localZone, remoteZone });

    SECTION("a failure in the remote zone becomes known in the local zone")
    {
        net.nodes[6]->isStopped = true;
        CHECK(net.runUntil(seconds(15), [&] { return net.allSeeEligible(8); }) < seconds(15));
    }
    SECTION("a zone is reachable for all members while one member has contact with it")
    {
        net.isLost = [](size_t from, size_t to) { return (from < 4) != (to < 4) && from != 0 && to != 0; };
        net.run(seconds(30));
        for (size_t i = 0; i < 9; ++i) {
            CHECK(net.at(i).reachableZones().size() == 2);
        }
    }
    SECTION("a network partition makes the zone unreachable for all members within two seconds of each other, until it heals")
    {
        net.isLost = [](size_t from, size_t to) { return (from < 4) != (to < 4); };
        const auto unreachable = [&] {
            size_t count = 0;
            for (size_t i = 0; i < 4; ++i) {
                count += net.at(i).reachableZones().size() == 1 ? 1 : 0;
            }
            return count;
        };
        REQUIRE(net.runUntil(seconds(10), [&] { return unreachable() > 0; }) < seconds(10));
        CHECK(net.runUntil(seconds(2), [&] { return unreachable() == 4; }) < seconds(2));
        for (uint64_t flow = 0; flow < 100; ++flow) {
            CHECK(net.at(0).find(net.at(0).flowOwner(flow))->zone == localZone);
        }
        net.nodes[7]->isStopped = true; // stops during the partition, which outlasts the retention time in its zone
        net.run(net.settings.inactiveMemberRetention + seconds(30));
        CHECK(net.stateAt(0, 7) == MemberState::Alive);
        net.isLost = [](size_t, size_t) { return false; };
        CHECK(net.runUntil(seconds(5), [&] { return unreachable() == 0; }) < seconds(5));
        CHECK(net.runUntil(seconds(40), [&] { return net.allSeeEligible(8); }) < seconds(40));
    }
}

TEST_CASE("instances with only three seed addresses in another zone discover their own zone and all others")
{
    constexpr ZoneId thirdZone = 3;
    MembershipNet net;
    const std::vector<size_t> seeds{ 0, 1, 2 };
    for (size_t i = 0; i < 3; ++i) {
        net.addWithSeeds(localZone, i == 0 ? std::vector<size_t>{} : seeds);
    }
    SECTION("when all start at the same time")
    {
        for (size_t i = 0; i < 12; ++i) {
            net.addWithSeeds(i % 2 == 0 ? remoteZone : thirdZone, seeds);
        }
        CHECK(net.runUntil(seconds(20), [&] { return net.allSeeEligible(15); }) < seconds(10));
    }
    SECTION("when one starts later, and its zone discovers it within seconds")
    {
        for (size_t i = 0; i < 6; ++i) {
            net.addWithSeeds(remoteZone, seeds);
        }
        REQUIRE(net.runUntil(seconds(20), [&] { return net.allSeeEligible(9); }) < seconds(20));
        const size_t lateInstance = net.addWithSeeds(remoteZone, seeds);
        CHECK(net.runUntil(seconds(5), [&] { return net.at(lateInstance).eligibleIn(remoteZone).size() == 7; }) < seconds(1));
        CHECK(net.runUntil(seconds(5), [&] { return net.stateAt(5, lateInstance) == MemberState::Alive; }) < seconds(2));
    }
    SECTION("when one gets its seeds only after it has started")
    {
        net.run(seconds(2));
        const size_t lateInstance = net.addWithSeeds(localZone, {});
        net.run(milliseconds(60));
        net.at(lateInstance).addSeed(net.idOf(0), unknownZone, net.nodes[0]->record.peer);
        CHECK(net.runUntil(seconds(5), [&] { return net.at(lateInstance).eligibleIn(localZone).size() == 4; }) < milliseconds(200));
    }
    SECTION("when all seeds but one are down")
    {
        net.nodes[0]->isStopped = true;
        net.nodes[1]->isStopped = true;
        for (size_t i = 0; i < 4; ++i) {
            net.addWithSeeds(remoteZone, seeds);
        }
        CHECK(net.runUntil(seconds(20), [&] { return net.at(4).eligibleIn(remoteZone).size() == 4; }) < seconds(5));
    }
    SECTION("when all seeds are down: the zone finds a former member that restarts")
    {
        for (size_t i = 0; i < 4; ++i) {
            net.addWithSeeds(remoteZone, seeds);
        }
        REQUIRE(net.runUntil(seconds(20), [&] { return net.at(4).eligibleIn(remoteZone).size() == 4; }) < seconds(20));
        net.nodes[6]->isStopped = true;
        for (const size_t seed : seeds) {
            net.nodes[seed]->isStopped = true;
        }
        net.run(seconds(6));
        net.restartWithSeeds(6, seeds);
        CHECK(net.runUntil(seconds(20), [&] { return net.at(6).eligibleIn(remoteZone).size() == 4; }) < seconds(10));
    }
}

TEST_CASE("the simultaneous loss of most of a zone is detected within a few intervals instead of a full probe round")
{
    for (const size_t size : { 4U, 20U }) {
        MembershipNet net;
        net.settings.probeInterval = milliseconds(200);
        net.settings.probeTimeout = milliseconds(120);
        addMembers(net, localZone, size);
        addMembers(net, remoteZone, 4);
        REQUIRE(net.runUntil(seconds(20), [&] { return net.allSeeEligible(size + 4); }) < seconds(20));
        const size_t stoppedCount = size * 3 / 4;
        for (size_t i = 0; i < stoppedCount; ++i) {
            net.nodes[i]->isStopped = true;
        }
        const auto isSeenBy = [&](size_t viewer) {
            size_t alive = 0;
            for (const MemberRecord &record : net.at(viewer).members()) {
                alive += record.zone == localZone && record.state == MemberState::Alive ? 1 : 0;
            }
            return alive * 2 < size;
        };
        const auto isSeen = [&] {
            for (size_t i = stoppedCount; i < size; ++i) {
                if (!isSeenBy(i)) {
                    return false;
                }
            }
            return true;
        };
        INFO(size);
        CHECK(net.runUntil(seconds(5), isSeen) < milliseconds(1000));

        // other zones are polled and report that they are healthy
        net.at(stoppedCount).setOwnZoneHealth(false);
        net.run(milliseconds(100));
        const std::vector<ZoneContact> contacts = net.at(stoppedCount).zoneContacts();
        REQUIRE(contacts.size() == 1);
        CHECK(contacts.front().healthyAgeMs < 300);
    }
}

TEST_CASE("a key has one owner, and keys are evenly distributed over owners")
{
    MembershipNet net;
    addMembers(net, localZone, 3);
    addMembers(net, remoteZone, 6);
    REQUIRE(net.runUntil(seconds(15), [&] { return net.allSeeEligible(9); }) < seconds(15));
    std::map<MemberId, size_t> keysPerOwner;
    for (uint64_t key = 0; key < 9000; ++key) {
        const MemberId owner = net.at(0).flowOwner(key);
        ++keysPerOwner[owner];
        REQUIRE(net.at(8).flowOwner(key) == owner);
    }
    for (const auto &[member, count] : keysPerOwner) { // 1000 expected for each; 6 standard deviations are about 180
        CHECK(count > 820);
        CHECK(count < 1180);
    }
    std::set<MemberId> ranks;
    for (size_t rank = 0; rank < 3; ++rank) {
        ranks.insert(net.at(0).ownerIn(localZone, 42, rank));
    }
    CHECK(ranks.size() == 3);
    CHECK(ranks.count(0) == 0);
    CHECK(net.at(0).ownerIn(localZone, 42, 3) == 0);
}

TEST_CASE("control traffic stays below its limit")
{
    MembershipNet net;
    size_t members = 0;
    double bound = 0;
    SECTION("with 9 members in a zone, 4 KB per second")
    {
        members = 9;
        bound = 4000;
    }
    SECTION("with 81 members in a zone, 17 KB per second")
    {
        members = 81;
        bound = 17000;
    }
    addMembers(net, localZone, members);
    addMembers(net, remoteZone, 3);
    REQUIRE(net.runUntil(seconds(20), [&] { return net.allSeeEligible(members + 3); }) < seconds(20));
    net.run(seconds(30));
    const double idleRate = maxSendRate(net, seconds(20));
    for (size_t i = 0; i < members / 9; ++i) {
        net.nodes[i]->isStopped = true;
    }
    const double failureRate = maxSendRate(net, seconds(5));
    WARN(members << " members: " << idleRate << " B/s idle, " << failureRate << " B/s after a ninth of them stopped");
    CHECK(idleRate < bound);
    CHECK(failureRate < bound);
    for (const auto &node : net.nodes) {
        CHECK(node->largestDatagram < 1200);
    }
}
