#include "balancing/warmupbudget.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

std::optional<uint32_t> warmupLimitOf(std::optional<uint32_t> ratePerMille, std::optional<double> excess, double slack, ZeroRateMeaning meaning)
{
    constexpr double perMille = 1000;
    constexpr double largest = 1'000'000;
    if (!excess.has_value() || (ratePerMille.value_or(0) == 0 && meaning == ZeroRateMeaning::NoLimit)) {
        return std::nullopt;
    }
    const double limit = ratePerMille.value_or(0) * *excess / perMille + slack;
    return static_cast<uint32_t>(std::floor(std::clamp(limit, 0.0, largest)));
}

WarmupBudget::WarmupBudget(Duration window) : window(window)
{
}

void WarmupBudget::setShares(const BudgetShares &shares)
{
    this->shares = &shares;
}

bool WarmupBudget::hasRoom(uint64_t key, uint32_t limit, TimePoint now) const
{
    const uint32_t share = this->shares == nullptr ? 0 : this->shares->shareOf(key, limit, now);
    return share > 0 && this->usedOf(key, now) < share;
}

void WarmupBudget::record(uint64_t key, TimePoint now)
{
    std::deque<TimePoint> &times = this->sent[key];
    while (!times.empty() && now - times.front() >= this->window) {
        times.pop_front();
    }
    times.push_back(now);
}

void WarmupBudget::expire(TimePoint now)
{
    std::erase_if(this->sent, [&](const auto &entry) { return entry.second.empty() || now - entry.second.back() >= this->window; });
}

size_t WarmupBudget::usedOf(uint64_t key, TimePoint now) const
{
    const auto found = this->sent.find(key);
    if (found == this->sent.end()) {
        return 0;
    }
    const std::deque<TimePoint> &times = found->second;
    const auto first = std::find_if(times.begin(), times.end(), [&](TimePoint time) { return now - time < this->window; });
    return static_cast<size_t>(times.end() - first);
}

} // namespace hornbeam
