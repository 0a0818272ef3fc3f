#include "core/coap.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;

TEST_CASE("CoAP messages are parsed and rewritten")
{
    GIVEN("a notification with options on both sides of Observe")
    {
        const Bytes token{ 1, 2, 3 };
        const std::vector<CoapOption> options{ { 4, { 9, 9 } },
                                               { optionObserve, optionValue(5U) },
                                               { optionMaxAge, optionValue(30U) },
                                               { optionEcho, { 7, 7, 7 } },
                                               { optionDeadline, optionValue(1500U) } };
        const Bytes packet = buildCoap(CoapType::NonConfirmable, CoapCode::Content, 0x1234, token, options, "board");
        const auto message = parseCoap(packet);
        REQUIRE(message.has_value());

        SECTION("all fields are parsed")
        {
            CHECK(message->type == CoapType::NonConfirmable);
            CHECK(message->isResponse());
            CHECK(message->messageId == 0x1234);
            CHECK(message->token == token);
            CHECK(message->observe == 5U);
            CHECK(message->maxAge == 30U);
            CHECK(message->deadlineMs == 1500U);
            CHECK(message->echo == Bytes{ 7, 7, 7 });
        }
        SECTION("a new header leaves options and payload unchanged")
        {
            const Bytes other =
                withHeader(CoapType::Acknowledgement, message->code, 7, Bytes{ 8 }, packet.data() + message->tailOffset, packet.size() - message->tailOffset);
            const auto again = parseCoap(other);
            REQUIRE(again.has_value());
            CHECK(again->token == Bytes{ 8 });
            CHECK(again->observe == 5U);
            CHECK(Bytes(other.begin() + static_cast<long>(again->tailOffset), other.end())
                  == Bytes(packet.begin() + static_cast<long>(message->tailOffset), packet.end()));
        }
        SECTION("the Observe value is replaced and the following options are unchanged")
        {
            const Bytes tail = replaceObserve(*message, packet.data(), packet.size(), 0xABCDEF);
            const auto again = parseCoap(withHeader(message->type, message->code, 1, token, tail.data(), tail.size()));
            REQUIRE(again.has_value());
            CHECK(again->observe == 0xABCDEFU);
            CHECK(again->maxAge == 30U);
            CHECK(again->echo == Bytes{ 7, 7, 7 });
        }
    }
    GIVEN("a message without options or payload")
    {
        const Bytes packet = buildCoap(CoapType::Reset, CoapCode::Empty, 77, {}, {}, "");
        CHECK(packet.size() == 4);
        CHECK(parseCoap(packet).has_value());
    }
    GIVEN("a GET with only an Observe of length zero")
    {
        const Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Get, 1, {}, { { optionObserve, {} } }, "");
        const auto message = parseCoap(packet);
        REQUIRE(message.has_value());
        CHECK(message->observe == 0U);
        CHECK(message->observeBytes == 1);
    }
}

TEST_CASE("the CoAP parser handles arbitrary bytes")
{
    const bool passed = rc::check("offsets stay inside the datagram", [](const Bytes &input) {
        const auto message = parseCoap(input);
        if (message.has_value()) {
            RC_ASSERT(message->tailOffset <= input.size());
            RC_ASSERT(message->observeOffset + message->observeBytes <= input.size());
        }
    });
    CHECK(passed);
    const bool mutated = rc::check("a message with one changed byte is parsed or rejected", [](uint16_t where, uint8_t value) {
        Bytes packet = buildCoap(CoapType::Confirmable, CoapCode::Post, 9, { 1, 2 }, { { optionObserve, { 1 } }, { optionEcho, Bytes(32, 5) } }, "payload");
        packet.at(where % packet.size()) = value;
        const auto message = parseCoap(packet);
        if (message.has_value()) {
            RC_ASSERT(message->tailOffset <= packet.size());
            RC_ASSERT(message->observeOffset + message->observeBytes <= packet.size());
        }
    });
    CHECK(mutated);
}
