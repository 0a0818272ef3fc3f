#pragma once

// Token bucket that limits the rate of moves and copies.

#include "core/clock.h"

#include <algorithm>
#include <mutex>

namespace hornbeam {

/** All methods are thread safe. */
class TokenBucket
{
public:
    /** `rate`: tokens per second. The burst size is a tenth of a second's tokens. */
    explicit TokenBucket(double rate) : tokensPerSecond(rate)
    {
    }
    void setRate(double rate)
    {
        const std::lock_guard lock(this->mutex);
        this->tokensPerSecond = rate;
    }
    /** Refills the bucket and returns whether something may be sent now. */
    bool hasTokens(TimePoint now)
    {
        const std::lock_guard lock(this->mutex);
        const double elapsed = std::chrono::duration<double>(now - this->refilledAt).count();
        this->tokens = std::min(this->tokens + elapsed * this->tokensPerSecond, this->tokensPerSecond / 10);
        this->refilledAt = now;
        return this->tokens > 0;
    }
    /** Removes tokens for what was sent. The balance may become negative. */
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
