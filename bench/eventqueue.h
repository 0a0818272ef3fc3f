#pragma once

// Work at points of paused time. Running it moves the manual clock from one event to the next.

#include "core/clock.h"

#include <functional>
#include <map>

namespace hornbeam::bench {

/** Not thread safe. */
class EventQueue
{
public:
    /** Precondition: the clock outlives the queue and is advanced by nobody else. */
    explicit EventQueue(ManualClock &clock) : clock(clock)
    {
    }
    /** Runs `work` after a time; events of the same moment run in the order in which they were added. */
    void add(Duration delay, std::function<void()> work)
    {
        this->events.emplace(this->clock.now() + delay, std::move(work));
    }
    /** Runs all events of the next `span`, those that they add included, and leaves the clock at its end. */
    void run(Duration span)
    {
        const TimePoint end = this->clock.now() + span;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            const auto first = this->events.extract(this->events.begin());
            this->advanceTo(first.key());
            first.mapped()();
        }
        this->advanceTo(end);
    }

private:
    void advanceTo(TimePoint at)
    {
        if (at > this->clock.now()) { // an event may itself have run the queue
            this->clock.advance(at - this->clock.now());
        }
    }

    ManualClock &clock;
    std::multimap<TimePoint, std::function<void()>> events;
};

} // namespace hornbeam::bench
