#pragma once

// What a run found wrong, and when the system was disturbed: promises with a time bound hold only for what was undisturbed for a while.

#include "core/clock.h"

#include <cstdio>
#include <string>
#include <vector>

namespace hornbeam::soak {

// the bounds that the deployment promises, as in the users' site files
constexpr seconds stability(4);       // after a disturbance, until bounds hold again
constexpr seconds drainBound(3);      // from the store's acknowledgement of a draining target to its last new flow
constexpr seconds changeBound(3);     // from the store's acknowledgement of a configuration to its being in force
constexpr seconds evacuationBound(3); // from the store's acknowledgement of an evacuation to the last new flow to a target of the zone
constexpr seconds graceBound(6);      // from SIGTERM to the end of a process
constexpr seconds warmupTime(5);      // of a target that starts during traffic
constexpr uint32_t warmupRate(1);     // opening packets a second to a cold target, from all instances
constexpr double warmupExcess(1.5);
constexpr double warmupSlack(1.25);
constexpr size_t warmupLimit(2); // in any second: rate x excess + slack, rounded down
constexpr size_t memoryBoundKb = size_t{ 256 } * 1024;

/** A span of disturbance of one part. Spans may overlap. */
class Disturbance
{
public:
    void begin(TimePoint now)
    {
        ++this->open;
        this->last = now;
    }
    void end(TimePoint now)
    {
        --this->open;
        this->last = now;
    }
    /** Whether the part was undisturbed for the whole stability window before `now`. */
    bool isCalm(TimePoint now) const
    {
        return this->open == 0 && now - this->last >= stability;
    }

private:
    int open = 0;
    TimePoint last;
};

/** Not thread safe: one event loop owns it. */
class Findings
{
public:
    void add(TimePoint now, const std::string &text)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(now - this->start).count();
        this->lines.push_back(std::to_string(at) + " ms " + text);
        std::printf("  BROKEN %s\n", this->lines.back().c_str());
    }

    TimePoint start; // of traffic
    std::vector<std::string> lines;
};

} // namespace hornbeam::soak
