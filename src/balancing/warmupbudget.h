#pragma once

// Limit of the opening packets that a cold target receives: docs/design/warm-up.md.

#include "balancing/budgetshares.h"
#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace hornbeam {

/** What a service's warm-up rate of 0, or none, means where the deployment has warm-up bounds. */
enum class ZeroRateMeaning : uint8_t {
    NoLimit,
    SlackOnly, // the rate is 0: only the slack may be used
};

constexpr ZeroRateMeaning zeroRateMeaning = ZeroRateMeaning::NoLimit;

/**
 * The opening packets that a cold target may receive in any sliding second, rounded down; nothing if there is no limit. `ratePerMille`: thousandths of an
 * opening packet per second, nothing if the service has none. `excess`: nothing if the deployment has no bounds. Thread safe.
 */
std::optional<uint32_t> warmupLimitOf(std::optional<uint32_t> ratePerMille, std::optional<double> excess, double slack,
                                      ZeroRateMeaning meaning = zeroRateMeaning);

/** The opening packets that this instance has sent to cold targets, against its shares of their limits. Not thread safe: owned by one event loop. */
class WarmupBudget
{
public:
    /** `window`: a sliding second and the time by which the delays of two packets to a target may differ. */
    explicit WarmupBudget(Duration window);

    /** Precondition: `shares` outlives the budget. Without shares, nothing may be sent. */
    void setShares(const BudgetShares &shares);
    /** Whether this instance may send another opening packet to a target with this limit. */
    bool hasRoom(uint64_t key, uint32_t limit, TimePoint now) const;
    void record(uint64_t key, TimePoint now);
    /** Drops what is older than the window. */
    void expire(TimePoint now);
    /** Opening packets sent to a target within the window. */
    size_t usedOf(uint64_t key, TimePoint now) const;

private:
    const Duration window;
    const BudgetShares *shares = nullptr;
    std::unordered_map<uint64_t, std::deque<TimePoint>> sent; // by key, oldest first
};

} // namespace hornbeam
