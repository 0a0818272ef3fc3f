#pragma once

// Expected waiting times of a service's requests in each availability zone, from the response times and the outstanding requests of this instance's flows.

#include "core/clock.h"
#include "core/types.h"

#include <map>
#include <unordered_map>

namespace hornbeam {

/** What was observed at one target since it was last collected. */
struct ObservedTraffic
{
    uint32_t requests = 0;      // begun
    uint64_t bytes = 0;         // of requests and responses
    uint32_t answers = 0;       // responses whose route has a base time
    double excessSeconds = 0;   // sum of response times minus base times, over `answers`
    double serviceSeconds = 0;  // sum of base times
    double overheadSeconds = 0; // that opening packets and requests spent outside the target: network and delayed acknowledgements

    void add(const ObservedTraffic &other)
    {
        this->requests += other.requests;
        this->bytes += other.bytes;
        this->answers += other.answers;
        this->excessSeconds += other.excessSeconds;
        this->serviceSeconds += other.serviceSeconds;
        this->overheadSeconds += other.overheadSeconds;
    }
};

/** The response time of each route without waiting: the lowest mean of a window of responses in the own zone. Not thread safe. */
class BaseTimes
{
public:
    /** Records the time of a response in its target and adds it to what was observed there. `isOwnZone` says where the target is. */
    void add(const Endpoint &route, bool isOwnZone, Duration inTarget, ObservedTraffic &traffic);

private:
    struct Window
    {
        double seconds = 0;
        uint32_t answers = 0;
        double lowest = 0; // seconds; 0 before the first window is complete
    };

    std::unordered_map<Endpoint, Window> windows;
};

/** Averages for one service. Not thread safe. */
class ZoneWaiting
{
public:
    /** Adds what was observed in a zone in the last `interval`, and the number of requests without a response there now. */
    void add(ZoneId zone, const ObservedTraffic &traffic, double outstanding, Duration interval, TimePoint now);

    /** Moving average of this instance's requests that targets of a zone hold: without those that are on their way, or whose acknowledgement is delayed. */
    double outstandingIn(ZoneId zone) const;
    /** Mean response time in a zone minus the base time; 0 if there were too few responses lately. May be negative. */
    Duration excessIn(ZoneId zone, TimePoint now) const;
    /**
     * Expected waiting time in a zone: the largest of excessIn(), the time that the outstanding requests of all instances take on the zone's slots and, while
     * these are more than 1.5 times the slots, the time that this instance's take at its responses per second (Little's law).
     */
    Duration waitingIn(ZoneId zone, double outstandingOfAll, uint32_t slots, TimePoint now) const;
    /** Mean base time of the requests; 0 before the first responses. */
    Duration serviceTime() const;
    /** Moving average of this instance's requests in all zones. */
    double requestsPerSecond() const;
    /** Mean bytes of a request and its response; 0 before the first responses. */
    double bytesPerRequest() const;

private:
    Duration throughputWaitingIn(ZoneId zone) const;

    struct Averages
    {
        double outstanding = 0;
        double overhead = 0; // of `outstanding`, by Little's law
        double answersPerSecond = 0;
        double requestsPerSecond = 0;
        double excessSeconds = 0;
        double answers = 0; // saturates at the averaging window
        TimePoint answeredAt;
    };

    std::map<ZoneId, Averages> zones;
    double serviceSeconds = 0;
    double byteSum = 0;
    double answerSum = 0;
};

} // namespace hornbeam
