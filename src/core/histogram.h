#pragma once

// A histogram of durations with fixed buckets, for the counters' page.

#include "core/clock.h"

#include <array>
#include <atomic>
#include <string>
#include <string_view>

namespace hornbeam {

/** Counts durations by bucket. All methods are thread safe. */
class Histogram
{
public:
    void add(Duration duration);
    /** Durations counted so far. */
    uint64_t count() const;
    /** The cumulative buckets, the sum in seconds and the count in the text exposition format, under `name`. */
    std::string text(std::string_view name) const;

private:
    // upper bounds in microseconds; what lies above goes to one more bucket
    static constexpr std::array<uint64_t, 14> bounds{ 50, 100, 250, 500, 1000, 2500, 5000, 10000, 25000, 50000, 100000, 250000, 500000, 1000000 };

    std::array<std::atomic<uint64_t>, bounds.size() + 1> buckets{};
    std::atomic<uint64_t> sumUs{ 0 };
};

} // namespace hornbeam
