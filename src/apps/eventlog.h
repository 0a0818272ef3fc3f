#pragma once

// Structured logs: one JSON object a line on standard output. Never blocks: lines wait in a bounded queue until the reader takes them, and each kind of
// event has a rate limit. What is left out is counted in the next line of its kind.

#include "core/clock.h"

#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hornbeam {

struct EventLogSettings
{
    double linesPerSecond = 30;               // of one kind
    double burst = 60;                        // lines of one kind at once
    size_t queueBytes = size_t{ 256 } * 1024; // waiting for a slow reader
};

/** Not thread safe: one event loop owns it. */
class EventLog
{
public:
    /** Writes to the file descriptor, which stays open. Precondition: the clock outlives the log. */
    EventLog(int descriptor, const Clock &clock, const EventLogSettings &settings = {});

    /** Whether a line of this kind would be written now. Counts the line as left out when not. */
    bool admits(const std::string &event);
    /** Queues a line. `fields` is an object. Precondition: admits() was true. */
    void add(const std::string &event, const nlohmann::ordered_json &fields);
    /** Writes what the reader takes without waiting. */
    void flush();
    /** Lines left out so far, because of the rate or of a slow reader. */
    uint64_t droppedLines() const;

private:
    struct TokenBucket
    {
        double tokens = 0;
        TimePoint lastRefill;
        uint64_t droppedSinceLast = 0; // since the last line
    };

    const int descriptor;
    const Clock &clock;
    const EventLogSettings settings;
    std::map<std::string, TokenBucket> buckets;
    std::deque<std::string> queue;
    size_t queuedBytes = 0;
    size_t writtenBytes = 0; // bytes of the first line
    uint64_t droppedTotal = 0;
};

} // namespace hornbeam
