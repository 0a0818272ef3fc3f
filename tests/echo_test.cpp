#include "requests/echo.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace hornbeam;

TEST_CASE("an Echo value identifies one request of one caller")
{
    ManualClock clock;
    const KeyRing keys({ Bytes(32, 1) });
    EchoMaker maker(7, 100, clock, keys);
    const Endpoint caller{ 0x7F000001, 4000 };
    const EchoValue value = maker.make(3, caller);

    SECTION("encoding and decoding preserve the value")
    {
        const auto back = decodeEcho(encodeEcho(value));
        REQUIRE(back.has_value());
        CHECK(maker.verify(*back, 3, caller));
        CHECK(maker.isOwn(*back));
    }
    SECTION("it is not valid for another caller, service, incarnation or key")
    {
        CHECK_FALSE(maker.verify(value, 3, Endpoint{ 0x7F000001, 4001 }));
        CHECK_FALSE(maker.verify(value, 4, caller));
        const EchoMaker later(7, 101, clock, keys);
        CHECK(later.verify(value, 3, caller));
        CHECK_FALSE(later.isOwn(value));
        const KeyRing otherKeys({ Bytes(32, 2) });
        CHECK_FALSE(EchoMaker(7, 100, clock, otherKeys).verify(value, 3, caller));
        const KeyRing bothKeys({ Bytes(32, 2), Bytes(32, 1) });
        CHECK(EchoMaker(7, 100, clock, bothKeys).verify(value, 3, caller));
    }
    SECTION("numbers are unique and encode the time of issue")
    {
        std::set<uint64_t> numbers{ value.number };
        for (int i = 0; i < 5000; ++i) {
            CHECK(numbers.insert(maker.make(3, caller).number).second);
            if (i % 1000 == 0) {
                clock.advance(milliseconds(1));
            }
        }
        clock.advance(seconds(2));
        CHECK(maker.age(value) == milliseconds(2005));
    }
}

TEST_CASE("malformed and modified Echo values are rejected")
{
    ManualClock clock;
    const KeyRing keys({ Bytes(32, 1) });
    EchoMaker maker(7, 100, clock, keys);
    const Endpoint caller{ 1, 2 };
    const bool decodePassed = rc::check("only values of 32 bytes decode", [&](const Bytes &bytes) {
        const auto value = decodeEcho(bytes);
        RC_ASSERT(value.has_value() == (bytes.size() == echoBytes));
    });
    CHECK(decodePassed);
    const bool tamperPassed = rc::check("a value with one modified byte fails verification", [&](uint8_t where, uint8_t mask) {
        RC_PRE(mask != 0);
        Bytes bytes = encodeEcho(maker.make(3, caller));
        bytes.at(where % echoBytes) ^= mask;
        const auto value = decodeEcho(bytes);
        RC_ASSERT(value.has_value());
        RC_ASSERT(!maker.verify(*value, 3, caller));
    });
    CHECK(tamperPassed);
}
