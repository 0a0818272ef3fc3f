#pragma once

// A token bucket that paces moves and copies.

#include "core/clock.h"

#include <algorithm>
#include <mutex>

namespace hornbeam {

/** All methods are thread safe. */
class Pace
{
public:
    /** `rate`: units a second; a pause saves up at most one tenth of a second's units. */
    explicit Pace(double rate) : perSecond(rate)
    {
    }
    void updateRate(double rate)
    {
        const std::lock_guard lock(this->mutex);
        this->perSecond = rate;
    }
    /** Whether something may be sent now. */
    bool isOpen(TimePoint now)
    {
        const std::lock_guard lock(this->mutex);
        const double elapsed = std::chrono::duration<double>(now - this->filledAt).count();
        this->units = std::min(this->units + elapsed * this->perSecond, this->perSecond / 10);
        this->filledAt = now;
        return this->units > 0;
    }
    /** Takes what was sent; the bucket may go below zero by the last one. */
    void take(double amount)
    {
        const std::lock_guard lock(this->mutex);
        this->units -= amount;
    }

private:
    std::mutex mutex;
    double perSecond;
    double units = 0;
    TimePoint filledAt;
};

} // namespace hornbeam
