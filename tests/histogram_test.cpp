#include "core/histogram.h"

#include <catch2/catch.hpp>

using namespace hornbeam;

TEST_CASE("a histogram counts durations in cumulative buckets")
{
    Histogram histogram;
    histogram.add(std::chrono::microseconds(50)); // the upper bound is inclusive
    histogram.add(std::chrono::microseconds(51));
    histogram.add(seconds(3));
    histogram.add(Duration(-5)); // negative durations count as zero
    const std::string text = histogram.text("wait");
    CHECK(histogram.count() == 4);
    CHECK(text.find("wait_bucket{le=\"0.000050\"} 2\n") != std::string::npos);
    CHECK(text.find("wait_bucket{le=\"0.000100\"} 3\n") != std::string::npos);
    CHECK(text.find("wait_bucket{le=\"1.000000\"} 3\n") != std::string::npos);
    CHECK(text.find("wait_bucket{le=\"+Inf\"} 4\n") != std::string::npos);
    CHECK(text.find("wait_sum 3.000101\nwait_count 4\n") != std::string::npos);
}
