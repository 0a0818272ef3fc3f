#pragma once

// Structured log with one JSON object per line on standard output. Writing never blocks: lines are queued up to a limit until they can be written, and each
// event type has a rate limit. The number of dropped lines is added to the next line of the same event type.

#include "core/clock.h"

#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hornbeam {

struct EventLogSettings
{
    double linesPerSecond = 30;               // per event type
    double burst = 60;                        // burst size in lines per event type
    size_t queueBytes = size_t{ 256 } * 1024; // waiting for a slow reader; lines beyond it are dropped
};

/** Not thread safe: one event loop owns it. */
class EventLog
{
public:
    /** Writes to the file descriptor and doesn't close it. Precondition: the clock outlives the log. */
    EventLog(int descriptor, const Clock &clock, const EventLogSettings &settings = {});

    /** Whether a line of this event type may be added now; consumes one token of its rate limit. Otherwise counts the line as dropped. */
    bool admits(const std::string &event);
    /** Queues a line. Precondition: `fields` is an object, and admits() returned true for this line. */
    void add(const std::string &event, const nlohmann::ordered_json &fields);
    /** Writes queued lines as far as possible without blocking. */
    void flush();
    /** Lines dropped so far, because of the rate limit or of a slow reader. */
    uint64_t droppedLines() const;

private:
    struct TokenBucket
    {
        double tokens = 0;
        TimePoint lastRefill;
        uint64_t droppedSinceLast = 0; // since the last line of this event type
    };

    const int descriptor;
    const Clock &clock;
    const EventLogSettings settings;
    std::map<std::string, TokenBucket> buckets;
    std::deque<std::string> queue;
    size_t queuedBytes = 0;
    size_t writtenBytes = 0; // of the first queued line
    uint64_t droppedTotal = 0;
};

} // namespace hornbeam
