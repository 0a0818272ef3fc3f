#pragma once

// A token bucket that paces moves and copies.

#include "core/clock.h"

#include <algorithm>
#include <mutex>

namespace hornbeam {

/** All methods are thread safe. */
class TokenBucket
{
public:
    /** `rate`: units a second; a pause saves up at most one tenth of a second's units. */
    explicit TokenBucket(double rate) : tokensPerSecond(rate)
    {
    }
    void setRate(double rate)
    {
        const std::lock_guard lock(this->mutex);
        this->tokensPerSecond = rate;
    }
    /** Whether something may be sent now. */
    bool hasTokens(TimePoint now)
    {
        const std::lock_guard lock(this->mutex);
        const double elapsed = std::chrono::duration<double>(now - this->refilledAt).count();
        this->tokens = std::min(this->tokens + elapsed * this->tokensPerSecond, this->tokensPerSecond / 10);
        this->refilledAt = now;
        return this->tokens > 0;
    }
    /** Takes what was sent; the bucket may go below zero by the last one. */
    void consume(double amount)
    {
        const std::lock_guard lock(this->mutex);
        this->tokens -= amount;
    }

private:
    std::mutex mutex;
    double tokensPerSecond;
    double tokens = 0;
    TimePoint refilledAt;
};

} // namespace hornbeam
