#pragma once

// Decides from an instance's own measurements whether it forwards packets so late that its callers are harmed.
//
// Four signals, each of which has to last for `confirmationPeriod`:
// - Stalls: the event loop runs too late, again and again, because the process gets too little processor time. The longest stall of a series does not count, so
//   that a single pause of the process has no effect.
// - Backlog: the receive queue of the packet socket has not been empty.
// - Round trips: every answer of other members to this instance's membership probes was late. One quick answer is enough to show that the own link and
// processor
//   are not the cause.
// - Refused sends: the kernel had no space for a share of the packets.
//
// Sections: settings | measurements | detector

#include "core/clock.h"
#include "core/types.h"

#include <deque>
#include <string_view>

namespace hornbeam {

//--- Settings

struct OverloadSettings
{
    // detection
    Duration maxDelay = milliseconds(50);            // ms, 10 to 5000: an added delay above it endangers responses within 300 to 400 ms
    Duration confirmationPeriod = milliseconds(500); // ms, 100 to 60000: minimum duration of the delay
    uint32_t stalledPercent = 30;                    // 1 to 100: of the time in which the process is held up; the quota of an instance allows peaks
    uint32_t refusedPercent = 5;                     // 1 to 100: of the packets sent; callers retransmit single lost ones

    // limits
    uint32_t maxOutPercent = 25;   // 0 to 50: of the zone's ready instances that are out at the same time
    uint32_t minReadyPercent = 60; // 50 to 100: of the zone's counted instances that stay ready; with fewer than half, routers use all of them
    Duration agreementDelay =
        milliseconds(300); // ms, 50 to 10000: from the first report to members until leaving, so that two that decide at once know each other
    Duration reportInterval = milliseconds(500); // ms, 100 to 10000: between reports while overloaded or out; longer in large zones
    Duration minTimeOut = seconds(3);            // ms, 500 to 600000: minimum time out of rotation; doubles with each return that fails
    Duration maxTimeOut = seconds(60);           // ms, 500 to 600000: upper bound of that time
    Duration minTimeIn = seconds(5); // ms, 500 to 600000: after the start or a return, before the instance may leave; it covers the lists of members
};

//--- Measurements

/** What one tick of the event loop measured. */
struct LoadSample
{
    Duration tickDelay{ 0 };   // time from the previous tick in excess of the interval of ticks
    bool isBacklogged = false; // the receive queue of the packet socket was not empty at any time since the previous tick
    uint32_t packetsSent = 0;  // since the previous tick
    uint32_t sendsRefused = 0; // since the previous tick, for lack of buffer space
};

enum class OverloadCause : uint8_t {
    None,
    Stalls,
    Backlog,
    RoundTrips,
    RefusedSends,
    Count,
};

/** The name used in logs and pages. Thread safe. */
std::string_view nameOf(OverloadCause cause);

struct OverloadVerdict
{
    OverloadCause cause = OverloadCause::None;
    Duration delay{ 0 }; // estimated delay of a packet: how bad the overload is

    bool isOverloaded() const
    {
        return this->cause != OverloadCause::None;
    }
};

//--- Detector

/** Not thread safe: owned by one event loop. Memory is bounded by the length of the observation, at most 256 entries of each kind. */
class OverloadDetector
{
public:
    explicit OverloadDetector(const OverloadSettings &settings);

    /** Adds the measurements of a tick. Call about every 20 ms; times in between that are longer are stalls. */
    void addSample(const LoadSample &sample, TimePoint now);
    /** Adds the round trip time of a membership probe to a member of the own zone. */
    void addRoundTrip(MemberId member, Duration roundTrip, TimePoint now);
    /** The worst of the signals. */
    OverloadVerdict verdict(TimePoint now) const;
    /** Whether a probe was answered in time within the last second, which shows that the link works. */
    bool hasPromptAnswer(TimePoint now) const;

private:
    struct Stall
    {
        TimePoint end;
        Duration length{ 0 };
    };
    struct Sends
    {
        TimePoint at;
        uint32_t sent = 0;
        uint32_t refused = 0;
    };
    struct RoundTrip
    {
        TimePoint at;
        MemberId member = 0;
        Duration time{ 0 };
    };

    Duration stallDelay(TimePoint now) const;
    Duration backlogDelay(TimePoint now) const;
    Duration roundTripDelay(TimePoint now) const;
    Duration refusalDelay(TimePoint now) const;

    const OverloadSettings settings;
    std::deque<Stall> stalls;         // longer than maxDelay
    std::deque<Sends> sends;          // ticks in which packets were sent
    std::deque<RoundTrip> roundTrips; // of the last second
    TimePoint backloggedSince;        // TimePoint{} while the receive queue is emptied
};

} // namespace hornbeam
