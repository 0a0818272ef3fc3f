#include "feedfakes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("a feed outlives the instance that owns it")
{
    FeedWorld world({ 11, 12, 13, 14 });
    const MemberId owner = world.ownerByView();
    const MemberId entry = world.otherThan(owner);
    world.get(entry, 0);
    world.run(seconds(1));
    REQUIRE(world.holders() == std::vector<MemberId>{ owner });

    GIVEN("the owner dies")
    {
        world.kill(owner);
        world.tell(owner, MemberState::Dead);
        world.run(seconds(1));

        SECTION("the holder of the copy brings it to the new owner")
        {
            CHECK(world.holders() == std::vector<MemberId>{ world.ownerByView() });
            world.publish("1");
            CHECK(world.caller.state == "1");
            CHECK(world.caller.rising);
        }
        SECTION("and the next owner as well")
        {
            const MemberId second = world.ownerByView();
            world.kill(second);
            world.tell(second, MemberState::Dead);
            world.run(seconds(1));
            REQUIRE(world.holders() == std::vector<MemberId>{ world.ownerByView() });
            world.publish("2");
            CHECK(world.caller.state == "2");
        }
    }
    GIVEN("the holder of the copy dies first, then the owner")
    {
        world.kill(entry);
        world.tell(entry, MemberState::Dead);
        world.run(seconds(1));
        world.kill(owner);
        world.tell(owner, MemberState::Dead);
        world.run(seconds(1));
        CHECK(world.holders() == std::vector<MemberId>{ world.ownerByView() });
        world.publish("1");
        CHECK(world.caller.state == "1");
    }
    GIVEN("the owner leaves by plan")
    {
        world.tell(owner, MemberState::Leaving);
        Actions out;
        world.node(owner).engine->beginDrain(out);

        SECTION("every state published meanwhile reaches the caller, the numbers rising")
        {
            for (int i = 1; i <= 60; ++i) {
                world.run(milliseconds(50));
                world.publish(std::to_string(i));
                REQUIRE(world.caller.seen.contains(std::to_string(i)));
            }
            CHECK(world.holders() == std::vector<MemberId>{ world.ownerByView() });
            CHECK(world.caller.state == "60");
            CHECK(world.node(owner).counters.value(Counter::FeedsMovedOut) == 1);
            CHECK(world.node(owner).places.held.empty());
            CHECK(world.observed().size() == 1);
        }
        SECTION("it is idle in the end")
        {
            world.run(seconds(8));
            CHECK(world.node(owner).engine->isIdle());
        }
        SECTION("the target drains at the same moment")
        {
            const Endpoint target = world.observed().front();
            world.rowAt(target).state = RowState::Draining;
            ++world.tables.version;
            world.run(seconds(8));
            CHECK(world.holders() == std::vector<MemberId>{ world.ownerByView() });
            CHECK(world.targets[target].observers.empty());
            world.publish("1");
            CHECK(world.caller.state == "1");
            CHECK(world.node(owner).engine->isIdle());
        }
    }
    GIVEN("the owner leaves by plan together with the holder of the copy")
    {
        Actions out;
        world.tell(owner, MemberState::Leaving);
        world.tell(entry, MemberState::Leaving);
        world.node(owner).engine->beginDrain(out);
        world.node(entry).engine->beginDrain(out);
        world.run(seconds(8));
        CHECK(world.holders() == std::vector<MemberId>{ world.ownerByView() });
        CHECK(world.node(owner).engine->isIdle());
        CHECK(world.node(entry).engine->isIdle());
        world.publish("1");
        CHECK(world.caller.state == "1");
    }
    GIVEN("the feed has ended when its owner dies")
    {
        world.get(entry, 1);
        world.kill(owner);
        world.tell(owner, MemberState::Dead);
        world.run(seconds(5));
        CHECK(world.holders().empty());
    }
    GIVEN("a new member that comes first in the order of owners")
    {
        MemberId joiner = 100;
        const uint64_t flow = flowKey(board, world.caller.endpoint);
        while (mixHash(flow, joiner) <= mixHash(flow, owner)) {
            ++joiner;
        }
        world.join(joiner);

        SECTION("the feed moves to it")
        {
            world.run(seconds(1));
            CHECK(world.holders() == std::vector<MemberId>{ joiner });
            world.publish("1");
            CHECK(world.caller.state == "1");
            CHECK(world.caller.rising);
            CHECK(world.node(owner).places.held.empty());
        }
        SECTION("the old owner dies before it has moved the feed: the copy's holder watched it")
        {
            world.kill(owner);
            world.run(milliseconds(500));
            world.tell(owner, MemberState::Dead);
            world.run(seconds(1));
            CHECK(world.holders() == std::vector<MemberId>{ joiner });
        }
        SECTION("a packet that reaches the old owner later is relayed")
        {
            world.run(seconds(1));
            world.get(owner, 0);
            CHECK(world.caller.last.messageId == world.caller.messageId);
            CHECK(world.holders() == std::vector<MemberId>{ joiner });
        }
    }
    GIVEN("a second owner, made while the views differed")
    {
        const MemberId other = entry;
        world.node(other).directory.states[owner] = MemberState::Dead; // by its view alone
        ++world.node(other).directory.version;
        world.get(other, 0);
        world.run(seconds(1));
        REQUIRE_FALSE(world.holders().empty());

        SECTION("both deliver, and the caller ends with the newest state")
        {
            world.publish("1");
            CHECK(world.caller.state == "1");
        }
        SECTION("once the views agree there is one, and no places are left behind")
        {
            world.node(other).directory.states[owner] = MemberState::Alive;
            ++world.node(other).directory.version;
            world.run(seconds(8));
            CHECK(world.holders() == std::vector<MemberId>{ owner });
            CHECK(world.observed().size() == 1);
            world.publish("2");
            CHECK(world.caller.state == "2");
        }
    }
}

TEST_CASE("two members that offer a feed to each other never both drop it")
{
    FeedWorld world({ 11, 12 });
    for (const MemberId member : { 11, 12 }) { // each opens it as the only one that it knows of
        world.node(member).directory.states[member == 11 ? 12 : 11] = MemberState::Dead;
        world.get(member, 0);
    }
    REQUIRE(world.holders().size() == 2);
    for (const MemberId member : { 11, 12 }) { // then each believes that the other one is the only owner
        for (const MemberId other : { 11, 12 }) {
            world.node(member).directory.states[other] = other == member ? MemberState::Leaving : MemberState::Alive;
        }
        ++world.node(member).directory.version;
    }
    world.messagesCross = GENERATE(false, true);
    for (int i = 0; i < 200; ++i) {
        world.run(milliseconds(50));
        REQUIRE_FALSE(world.holders().empty());
    }
    for (const MemberId member : { 11, 12 }) { // the views agree
        world.tell(member, MemberState::Alive);
    }
    world.run(seconds(8));
    CHECK(world.holders() == std::vector<MemberId>{ world.ownerByView() });
}

TEST_CASE("after any schedule the caller holds the newest state")
{
    const bool held = rc::check("faults stop, the last state arrives", [](const std::vector<uint8_t> &schedule) {
        FeedWorld world({ 11, 12, 13, 14 });
        world.get(11, 0);
        int number = 0;
        uint64_t noise = 1;
        const auto lossy = [&noise] { return ((noise = noise * 6364136223846793005ULL + 1) >> 60U) < 4; };
        world.loseToCaller = lossy;
        world.loseFromTarget = lossy;
        MemberId joiner = 100;
        for (const uint8_t step : schedule) {
            const MemberId owner = world.ownerByView();
            const auto alive = static_cast<size_t>(std::count_if(world.nodes.begin(), world.nodes.end(), [](const auto &each) { return each.second->alive; }));
            switch (step % 6) {
            case 0:
                world.publish(std::to_string(++number));
                break;
            case 1:
                world.run(milliseconds(50 * (step / 6 + 1)));
                break;
            case 2:
                world.join(joiner++);
                break;
            case 3: // the owner dies; its copy had time to be made
                world.run(seconds(4));
                if (alive > 2) {
                    world.kill(owner);
                    world.tell(owner, MemberState::Dead);
                }
                break;
            case 4: { // a target leaves and another one is back
                for (TargetRow &row : world.tables.table->rows) {
                    row.state = row.id == 1U + step % 3U ? RowState::Draining : RowState::Active;
                }
                ++world.tables.version;
                break;
            }
            default:
                world.run(seconds(1));
            }
        }
        world.loseToCaller = [] { return false; };
        world.loseFromTarget = [] { return false; };
        world.run(seconds(15));
        world.publish("last");
        world.run(seconds(15));
        RC_ASSERT(world.caller.state == std::string("last"));
        RC_ASSERT(world.holders() == std::vector<MemberId>{ world.ownerByView() });
    });
    CHECK(held);
}

TEST_CASE("sequence numbers rise in the sense of RFC 7641")
{
    const bool held = rc::check("each is fresher than the one before", [](uint32_t start, const std::vector<uint16_t> &steps) {
        uint64_t now = 1'790'000'000'000 + start;
        uint32_t last = nextSequence(0, 0, now);
        for (const uint16_t step : steps) {
            const uint64_t before = now;
            now += static_cast<uint64_t>(step) * 4000; // up to 3 days: far beyond the wrap
            const uint32_t next = nextSequence(last, before, now);
            const bool fresher = isFresher(next, now, last, before);
            RC_ASSERT(fresher);
            RC_ASSERT(next <= sequenceMask);
            last = next;
        }
    });
    CHECK(held);
    CHECK(nextSequence(sequenceMask, sequenceMask, sequenceMask) == 0); // the clock stands at the last number
    CHECK_FALSE(isFresher(5, 5));
    CHECK(isFresher(0, sequenceMask));
    CHECK_FALSE(isFresher(sequenceMask, 0));
}
