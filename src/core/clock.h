#pragma once

// Time as the decision code sees it: the runtime's clock in the daemon, a manual one in tests and benches.

#include <chrono>
#include <cstdint>
#include <ctime>

namespace hornbeam {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

class Clock
{
public:
    virtual ~Clock() = default;
    /** Monotonic time; never goes back. Thread safe. */
    virtual TimePoint now() const = 0;
    /** Milliseconds since the Unix epoch; may be stepped. Only for incarnations, feed sequences and logs. Thread safe. */
    virtual uint64_t wallMillis() const = 0;
};

/** The runtime's clocks. Thread safe. */
class SystemClock final : public Clock
{
public:
    // counts the time that the machine was suspended, so that beliefs age during it
    TimePoint now() const override
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
    uint64_t wallMillis() const override
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }
};

/** A clock that stands still until it is advanced. Not thread safe: one test thread owns it. */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override
    {
        return this->monotonic;
    }
    uint64_t wallMillis() const override
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(this->monotonic.time_since_epoch()).count()) + wallOffset;
    }
    /** Moves the clock on. Precondition: `step` is not negative. */
    void advance(Duration step)
    {
        this->monotonic += step;
    }

private:
    static constexpr uint64_t wallOffset = 1'790'000'000'000; // ms, some day in 2026
    TimePoint monotonic{ seconds(1000) };
};

} // namespace hornbeam
