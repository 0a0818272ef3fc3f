#pragma once

// What happened in a world, as an all-knowing witness sees it: each request's executions and what its caller was told, each feed, each
// target's peaks, and a trace of the newest events of each flow.
//
// Sections: trace | requests | feeds | all

#include "core/clock.h"
#include "core/types.h"

#include <array>
#include <deque>
#include <map>
#include <string>

namespace hornbeam::bench {

//--- Trace

/** Not thread safe. */
class Trace
{
public:
    explicit Trace(const Clock &clock) : clock(clock), started(clock.now())
    {
    }
    void add(const std::string &flow, const std::string &text)
    {
        const auto millis = std::chrono::duration_cast<milliseconds>(this->clock.now() - this->started).count();
        std::string line = std::to_string(millis) + " ms " + text;
        this->hash = mixHash(this->hash, hashName(line));
        std::deque<std::string> &lines = this->flows[flow];
        lines.push_back(std::move(line));
        if (lines.size() > linesKept) {
            lines.pop_front();
        }
    }
    /** The newest events of a flow, one a line. */
    std::string of(const std::string &flow) const
    {
        const auto found = this->flows.find(flow);
        std::string text;
        if (found != this->flows.end()) {
            for (const std::string &line : found->second) {
                text += "    " + line + "\n";
            }
        }
        return text;
    }
    /** Hash over all events so far, those forgotten included. */
    uint64_t digest() const
    {
        return this->hash;
    }

private:
    static constexpr size_t linesKept = 60;
    const Clock &clock;
    const TimePoint started;
    std::map<std::string, std::deque<std::string>> flows;
    uint64_t hash = 0;
};

//--- Requests

enum class Outcome : uint8_t {
    Answered,   // whole and the caller's own
    NotRun,     // 5.03: it did not run and will not
    MayHaveRun, // 5.04
    Failed,     // any other error
    Lost,       // no answer at all
    Torn,       // not whole, or another caller's
    Count,
};

constexpr std::array<std::string_view, static_cast<size_t>(Outcome::Count)> outcomeNames{ "answered", "not_run", "may_have_run", "failed", "lost", "torn" };

enum class CallerKind : uint8_t {
    Read,     // GET /<service>/item
    Order,    // POST /<service>/order
    Brochure, // block-wise GET /<service>/brochure
    Feed,     // Observe /<service>/board
};

/** One POST. */
struct OrderEntry
{
    std::string flow;
    uint32_t executions = 0;
    bool isTold = false;
    Outcome told = Outcome::Lost;
};

//--- Feeds

struct FeedEntry
{
    bool isOpen = false;       // had its first update
    bool isEnded = false;      // an error came for it
    uint64_t updates = 0;      // fresh ones
    uint64_t stale = 0;        // older by their number than one already seen
    uint64_t statesBack = 0;   // fresh by number with an older state
    uint64_t reregistered = 0; // by the caller, after it gave up waiting
    TimePoint lastUpdate;
    Duration longestGap = Duration::zero();
};

//--- All

struct Ledger
{
    std::map<std::string, OrderEntry> orders; // by identity
    std::map<std::string, FeedEntry> feeds;   // by flow
    std::array<uint64_t, static_cast<size_t>(Outcome::Count)> requests{};
    std::map<std::string, uint64_t> refusals;       // by the text of the answer
    uint64_t repeats = 0;                           // retransmissions by callers
    uint64_t strangers = 0;                         // packets to a caller from another service's address
    uint64_t undecodable = 0;                       // peer messages that did not survive their encoding
    uint64_t versionFalls = 0;                      // times that a process put an older version in force
    std::vector<Duration> latencies;                // of answered requests
    std::map<std::string, std::string> firstTraces; // of the flow at the first request with an outcome, and of each feed at its first long gap
};

} // namespace hornbeam::bench
