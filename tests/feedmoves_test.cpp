#include "feedfakes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("a feed survives the loss of its owner")
{
    FeedTestCluster cluster({ 11, 12, 13, 14 });
    const MemberId owner = cluster.expectedOwner();
    const MemberId entry = cluster.liveMemberExcept(owner);
    cluster.get(entry, 0);
    cluster.run(seconds(1));
    REQUIRE(cluster.feedOwners() == std::vector<MemberId>{ owner });

    GIVEN("the owner dies")
    {
        cluster.kill(owner);
        cluster.setMemberState(owner, MemberState::Dead);
        cluster.run(seconds(1));

        SECTION("the copy holder transfers the feed to the new owner")
        {
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
            cluster.publish("1");
            CHECK(cluster.caller.state == "1");
            CHECK(cluster.caller.isSequenceIncreasing);
        }
        SECTION("the feed also survives the loss of the next owner")
        {
            const MemberId second = cluster.expectedOwner();
            cluster.kill(second);
            cluster.setMemberState(second, MemberState::Dead);
            cluster.run(seconds(1));
            REQUIRE(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
            cluster.publish("2");
            CHECK(cluster.caller.state == "2");
        }
    }
    GIVEN("the copy holder dies first, then the owner")
    {
        cluster.kill(entry);
        cluster.setMemberState(entry, MemberState::Dead);
        cluster.run(seconds(1));
        cluster.kill(owner);
        cluster.setMemberState(owner, MemberState::Dead);
        cluster.run(seconds(1));
        CHECK(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
        cluster.publish("1");
        CHECK(cluster.caller.state == "1");
    }
    GIVEN("the owner drains")
    {
        cluster.setMemberState(owner, MemberState::Leaving);
        Actions out;
        cluster.node(owner).engine->beginDrain(out);

        SECTION("every state published meanwhile reaches the caller")
        {
            for (int i = 1; i <= 60; ++i) {
                cluster.run(milliseconds(50));
                cluster.publish(std::to_string(i));
                REQUIRE(cluster.caller.seen.contains(std::to_string(i)));
            }
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
            CHECK(cluster.caller.state == "60");
            CHECK(cluster.node(owner).counters.value(Counter::FeedsMovedOut) == 1);
            CHECK(cluster.node(owner).slotProvider.heldSlots.empty());
            CHECK(cluster.observedTargets().size() == 1);
        }
        SECTION("the owner becomes idle")
        {
            cluster.run(seconds(8));
            CHECK(cluster.node(owner).engine->isIdle());
        }
        SECTION("the target drains at the same time")
        {
            const Endpoint target = cluster.observedTargets().front();
            cluster.rowAt(target).state = RowState::Draining;
            ++cluster.tables.version;
            cluster.run(seconds(8));
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
            CHECK(cluster.targets[target].observers.empty());
            cluster.publish("1");
            CHECK(cluster.caller.state == "1");
            CHECK(cluster.node(owner).engine->isIdle());
        }
    }
    GIVEN("the owner and the copy holder drain together")
    {
        Actions out;
        cluster.setMemberState(owner, MemberState::Leaving);
        cluster.setMemberState(entry, MemberState::Leaving);
        cluster.node(owner).engine->beginDrain(out);
        cluster.node(entry).engine->beginDrain(out);
        cluster.run(seconds(8));
        CHECK(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
        CHECK(cluster.node(owner).engine->isIdle());
        CHECK(cluster.node(entry).engine->isIdle());
        cluster.publish("1");
        CHECK(cluster.caller.state == "1");
    }
    GIVEN("the feed was closed before its owner dies")
    {
        cluster.get(entry, 1);
        cluster.kill(owner);
        cluster.setMemberState(owner, MemberState::Dead);
        cluster.run(seconds(5));
        CHECK(cluster.feedOwners().empty());
    }
    GIVEN("a new member with the highest owner rank")
    {
        MemberId joiner = 100;
        const uint64_t flow = flowKey(bookingService, cluster.caller.endpoint);
        while (mixHash(flow, joiner) <= mixHash(flow, owner)) {
            ++joiner;
        }
        cluster.join(joiner);

        SECTION("the feed moves to it")
        {
            cluster.run(seconds(1));
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ joiner });
            cluster.publish("1");
            CHECK(cluster.caller.state == "1");
            CHECK(cluster.caller.isSequenceIncreasing);
            CHECK(cluster.node(owner).slotProvider.heldSlots.empty());
        }
        SECTION("the copy holder transfers the feed if the previous owner dies before moving it")
        {
            cluster.kill(owner);
            cluster.run(milliseconds(500));
            cluster.setMemberState(owner, MemberState::Dead);
            cluster.run(seconds(1));
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ joiner });
        }
        SECTION("a later packet to the previous owner is relayed")
        {
            cluster.run(seconds(1));
            cluster.get(owner, 0);
            CHECK(cluster.caller.last.messageId == cluster.caller.messageId);
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ joiner });
        }
    }
    GIVEN("a second owner, created while the views differed")
    {
        const MemberId other = entry;
        cluster.node(other).directory.states[owner] = MemberState::Dead; // only in its own view
        ++cluster.node(other).directory.version;
        cluster.get(other, 0);
        cluster.run(seconds(1));
        REQUIRE_FALSE(cluster.feedOwners().empty());

        SECTION("both deliver and the caller has the newest state")
        {
            cluster.publish("1");
            CHECK(cluster.caller.state == "1");
        }
        SECTION("once the views agree, one owner remains and no slot is leaked")
        {
            cluster.node(other).directory.states[owner] = MemberState::Alive;
            ++cluster.node(other).directory.version;
            cluster.run(seconds(8));
            CHECK(cluster.feedOwners() == std::vector<MemberId>{ owner });
            CHECK(cluster.observedTargets().size() == 1);
            cluster.publish("2");
            CHECK(cluster.caller.state == "2");
        }
    }
}

TEST_CASE("two members that offer a feed to each other do not both drop it")
{
    FeedTestCluster cluster({ 11, 12 });
    for (const MemberId member : { 11, 12 }) { // each opens the feed as the only member in its view
        cluster.node(member).directory.states[member == 11 ? 12 : 11] = MemberState::Dead;
        cluster.get(member, 0);
    }
    REQUIRE(cluster.feedOwners().size() == 2);
    for (const MemberId member : { 11, 12 }) { // then each considers the other one the owner
        for (const MemberId other : { 11, 12 }) {
            cluster.node(member).directory.states[other] = other == member ? MemberState::Leaving : MemberState::Alive;
        }
        ++cluster.node(member).directory.version;
    }
    cluster.delaysPeerMessages = GENERATE(false, true);
    for (int i = 0; i < 200; ++i) {
        cluster.run(milliseconds(50));
        REQUIRE_FALSE(cluster.feedOwners().empty());
    }
    for (const MemberId member : { 11, 12 }) { // the views agree
        cluster.setMemberState(member, MemberState::Alive);
    }
    cluster.run(seconds(8));
    CHECK(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
}

TEST_CASE("the caller has the newest state after any schedule of faults")
{
    const bool passed = rc::check("faults stop, the last state arrives", [](const std::vector<uint8_t> &schedule) {
        FeedTestCluster cluster({ 11, 12, 13, 14 });
        cluster.get(11, 0);
        int number = 0;
        uint64_t randomState = 1;
        const auto isPacketLost = [&randomState] { return ((randomState = randomState * 6364136223846793005ULL + 1) >> 60U) < 4; };
        cluster.dropToCaller = isPacketLost;
        cluster.dropFromTarget = isPacketLost;
        MemberId joiner = 100;
        for (const uint8_t step : schedule) {
            const MemberId owner = cluster.expectedOwner();
            const auto alive =
                static_cast<size_t>(std::count_if(cluster.nodes.begin(), cluster.nodes.end(), [](const auto &each) { return each.second->alive; }));
            switch (step % 6) {
            case 0:
                cluster.publish(std::to_string(++number));
                break;
            case 1:
                cluster.run(milliseconds(50 * (step / 6 + 1)));
                break;
            case 2:
                cluster.join(joiner++);
                break;
            case 3: // the owner dies after its copy was sent
                cluster.run(seconds(4));
                if (alive > 2) {
                    cluster.kill(owner);
                    cluster.setMemberState(owner, MemberState::Dead);
                }
                break;
            case 4: { // one target drains and the others are active
                for (TargetRow &row : cluster.tables.table->rows) {
                    row.state = row.id == 1U + step % 3U ? RowState::Draining : RowState::Active;
                }
                ++cluster.tables.version;
                break;
            }
            default:
                cluster.run(seconds(1));
            }
        }
        cluster.dropToCaller = [] { return false; };
        cluster.dropFromTarget = [] { return false; };
        cluster.run(seconds(15));
        cluster.publish("last");
        cluster.run(seconds(15));
        RC_ASSERT(cluster.caller.state == std::string("last"));
        RC_ASSERT(cluster.feedOwners() == std::vector<MemberId>{ cluster.expectedOwner() });
    });
    CHECK(passed);
}

TEST_CASE("sequence numbers increase as defined by RFC 7641")
{
    const bool passed = rc::check("each is newer than the previous one", [](uint32_t start, const std::vector<uint16_t> &steps) {
        uint64_t now = 1'790'000'000'000 + start;
        uint32_t last = nextSequence(0, 0, now);
        for (const uint16_t step : steps) {
            const uint64_t before = now;
            now += static_cast<uint64_t>(step) * 4000; // up to 3 days, far beyond the wraparound
            const uint32_t next = nextSequence(last, before, now);
            const bool isNewer = isNewerSequence(next, now, last, before);
            RC_ASSERT(isNewer);
            RC_ASSERT(next <= sequenceMask);
            last = next;
        }
    });
    CHECK(passed);
    CHECK(nextSequence(sequenceMask, sequenceMask, sequenceMask) == 0); // the clock equals the last number
    CHECK_FALSE(isNewerSequence(5, 5));
    CHECK(isNewerSequence(0, sequenceMask));
    CHECK_FALSE(isNewerSequence(sequenceMask, 0));
}
