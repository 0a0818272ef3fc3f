#pragma once

// Actions that are carried out later, on the run's clock.

#include "core/clock.h"

#include <functional>
#include <map>

namespace hornbeam::soak {

/** Not thread safe: one event loop owns it. */
class Timers
{
public:
    /** Precondition: the clock outlives this object. */
    explicit Timers(const Clock &clock) : clock(clock)
    {
    }

    void add(Duration delay, std::function<void()> action)
    {
        this->due.emplace(this->clock.now() + delay, std::move(action));
    }
    /** Carries out the actions that are due, in the order of their times. */
    void tick()
    {
        const TimePoint now = this->clock.now();
        while (!this->due.empty() && this->due.begin()->first <= now) {
            const std::function<void()> action = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            action();
        }
    }

private:
    const Clock &clock;
    std::multimap<TimePoint, std::function<void()>> due;
};

} // namespace hornbeam::soak
