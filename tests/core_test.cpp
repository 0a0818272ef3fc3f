#include "core/bigendian.h"
#include "core/counters.h"
#include "core/types.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

TEST_CASE("endpoints are parsed and formatted")
{
    Endpoint endpoint;
    SECTION("a valid endpoint")
    {
        REQUIRE(parseEndpoint("127.0.4.20:5683", endpoint));
        CHECK(toString(endpoint) == "127.0.4.20:5683");
    }
    SECTION("invalid endpoints leave the output unchanged")
    {
        for (const char *text : { "", "127.0.0.1", "127.0.0:1", "127.0.0.256:1", "127.0.0.1:65536", "127.0.0.1:1x", "a.b.c.d:1" }) {
            CAPTURE(text);
            CHECK_FALSE(parseEndpoint(text, endpoint));
            CHECK(endpoint == Endpoint{});
        }
    }
}

TEST_CASE("integers are written and read in network byte order")
{
    std::array<uint8_t, 8> bytes{};
    writeBigEndian(bytes.data() + 1, 3, 0xFF010203); // the byte that does not fit is dropped
    CHECK(bytes == std::array<uint8_t, 8>{ 0, 1, 2, 3, 0, 0, 0, 0 });
    CHECK(readBigEndian(bytes.data() + 1, 3) == 0x010203);
    CHECK(readBigEndian(bytes.data(), 8) == 0x0001020300000000);
}

TEST_CASE("every refusal reason has a verdict, a name and a counter")
{
    Counters counters;
    counters.addRefusal(Reason::QueueDeadline);
    CHECK(counters.text().find("hornbeam_refusals_total{reason=\"queue_deadline\"} 1\n") != std::string::npos);
    CHECK(verdictOf(Reason::QueueDeadline) == Verdict::NotRun);
    CHECK(verdictOf(Reason::TargetTimeout) == Verdict::MayHaveRun);
}
