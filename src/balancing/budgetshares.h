#pragma once

// Division of a limit that holds for all instances together.

#include "core/clock.h"

#include <cstdint>

namespace hornbeam {

/** Not thread safe: owned by one event loop. */
class BudgetShares
{
public:
    virtual ~BudgetShares() = default;
    /**
     * How much of `total` units for each sliding second this instance may use at `now`. The shares of all instances that may use the same key at any time
     * within a second add up to at most `total`.
     */
    virtual uint32_t shareOf(uint64_t key, uint32_t total, TimePoint now) const = 0;
};

} // namespace hornbeam
