#include "core/histogram.h"

#include <algorithm>
#include <cstdio>

namespace hornbeam {

namespace {

std::string secondsText(uint64_t microseconds)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%llu.%06llu", static_cast<unsigned long long>(microseconds / 1000000),
                  static_cast<unsigned long long>(microseconds % 1000000));
    return text.data();
}

} // namespace

void Histogram::add(Duration duration)
{
    const auto us = static_cast<uint64_t>(std::max<int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count()));
    const auto bucket = static_cast<size_t>(std::lower_bound(bounds.begin(), bounds.end(), us) - bounds.begin());
    this->buckets.at(bucket).fetch_add(1, std::memory_order_relaxed);
    this->sumUs.fetch_add(us, std::memory_order_relaxed);
}

uint64_t Histogram::count() const
{
    uint64_t total = 0;
    for (const auto &bucket : this->buckets) {
        total += bucket.load(std::memory_order_relaxed);
    }
    return total;
}

std::string Histogram::text(std::string_view name) const
{
    const std::string prefix(name);
    std::string out = "# TYPE " + prefix + " histogram\n";
    uint64_t total = 0;
    for (size_t i = 0; i < this->buckets.size(); ++i) {
        total += this->buckets.at(i).load(std::memory_order_relaxed);
        const std::string bound = i < bounds.size() ? secondsText(bounds.at(i)) : "+Inf";
        out += prefix + "_bucket{le=\"" + bound + "\"} " + std::to_string(total) + "\n";
    }
    out += prefix + "_sum " + secondsText(this->sumUs.load(std::memory_order_relaxed)) + "\n";
    return out + prefix + "_count " + std::to_string(total) + "\n";
}

} // namespace hornbeam
