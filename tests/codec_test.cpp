#include "peer/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("peer messages are restored after encoding and decoding")
{
    GIVEN("a grant with every field set")
    {
        SlotGrant grant;
        grant.request = ~0ULL;
        grant.service = 7;
        grant.allocator = 9;
        grant.epoch = 3;
        grant.target = 11;
        grant.endpoint = Endpoint{ 0x7F000001, 5683 };
        grant.kind = SlotKind::Feed;
        const Bytes wire = encodeMessage(grant);

        SECTION("the decoded message equals the original")
        {
            const auto back = decodeMessage(wire);
            REQUIRE(back.has_value());
            const auto &same = std::get<SlotGrant>(*back);
            CHECK(same.request == grant.request);
            CHECK(same.endpoint == grant.endpoint);
            CHECK(same.kind == SlotKind::Feed);
        }
        SECTION("every truncation is rejected")
        {
            for (size_t size = 0; size < wire.size(); ++size) {
                CHECK_FALSE(decodeMessage(wire.data(), size).has_value());
            }
        }
    }
    GIVEN("a move of several feeds")
    {
        FeedMove move;
        move.feed = { 7, Endpoint{ 1, 2 }, { 3 }, { 4, 5 }, 6, 8, 9 };
        move.sender = 10;
        move.others = { AdditionalFeed{ { 11, 12 }, { 13 }, 14, {} }, AdditionalFeed{ { 15, 16 }, {}, 17, { 18 } } };
        const Bytes wire = encodeMessage(move);
        const auto back = decodeMessage(wire);
        REQUIRE(back.has_value());
        const auto &same = std::get<FeedMove>(*back);
        CHECK(same.feed.registration == move.feed.registration);
        CHECK(same.feed.copyHolder == 9);
        CHECK(same.sender == 10);
        CHECK(same.others == move.others);
        for (size_t size = 0; size < wire.size(); ++size) {
            CHECK_FALSE(decodeMessage(wire.data(), size).has_value());
        }
        const auto copy = decodeMessage(encodeMessage(FeedCopy{ move.feed, move.others }));
        CHECK(std::get<FeedCopy>(copy.value()).others == move.others);
        const auto taken = decodeMessage(encodeMessage(FeedMoveAck{ 7, { 1, 2 }, { 3 }, 4, move.others }));
        CHECK(std::get<FeedMoveAck>(taken.value()).others == move.others);
    }
    GIVEN("nested lists")
    {
        HeldSlotsReport report;
        report.slots = { HeldSlot{ 1, 2, SlotKind::Request }, HeldSlot{ 3, 4, SlotKind::Feed } };
        const auto back = decodeMessage(encodeMessage(report));
        REQUIRE(back.has_value());
        CHECK(std::get<HeldSlotsReport>(*back).slots == report.slots);
    }
}

TEST_CASE("the peer message decoder handles arbitrary bytes")
{
    const bool passed = rc::check("decoding returns", [](const Bytes &input) {
        const auto message = decodeMessage(input);
        if (message.has_value()) { // not "||": RapidCheck's assertions overload it, so both operands would be evaluated
            RC_ASSERT(!encodeMessage(*message).empty());
        }
    });
    CHECK(passed);

    SECTION("a map that claims 2.3e17 entries (seed 2026-12-04)")
    {
        CHECK_FALSE(decodeMessage(Bytes{ 187, 3, 52, 0, 0, 0, 0, 0, 0 }).has_value());
    }
}
