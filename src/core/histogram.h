#pragma once

// A histogram of durations with fixed buckets, for the metrics page.

#include "core/clock.h"

#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace hornbeam {

/** Counts durations per bucket. All methods are thread safe. */
class Histogram
{
public:
    void add(Duration duration);
    /** Number of recorded durations. */
    uint64_t count() const;
    /** The cumulative buckets, the sum in seconds and the count as metric `name` in the text exposition format. */
    std::string text(std::string_view name) const;

private:
    // inclusive upper bounds in microseconds; larger values go to an additional bucket
    static constexpr std::array<uint64_t, 14> bounds{ 50, 100, 250, 500, 1000, 2500, 5000, 10000, 25000, 50000, 100000, 250000, 500000, 1000000 };

    std::array<std::atomic<uint64_t>, bounds.size() + 1> buckets{};
    std::atomic<uint64_t> sumUs{ 0 };
};

} // namespace hornbeam
