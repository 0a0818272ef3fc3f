#pragma once

// Clock interface of the decision code: the system clock in the daemon, a manual clock in tests and benchmarks.

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
    /** Monotonic time. Thread safe. */
    virtual TimePoint now() const = 0;
    /** Milliseconds since the Unix epoch; may jump when the clock is set. Use only for incarnations, feed sequences and logs. Thread safe. */
    virtual uint64_t wallMillis() const = 0;
};

/** The clocks of the operating system. Thread safe. */
class SystemClock final : public Clock
{
public:
    // CLOCK_BOOTTIME includes time in suspend, so that cached state ages during it
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

/** A clock that changes only through advance(). Not thread safe: owned by one test thread. */
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
    /** Advances the clock. Precondition: `step` is not negative. */
    void advance(Duration step)
    {
        this->monotonic += step;
    }

private:
    static constexpr uint64_t wallOffset = 1'790'000'000'000; // ms; a date in 2026
    TimePoint monotonic{ seconds(1000) };
};

} // namespace hornbeam
