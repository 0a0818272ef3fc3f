#include "balancing/zonewaiting.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {
constexpr uint32_t baseWindow = 64;           // responses; their mean is within an eighth of the true one
constexpr double baseDrift = 1.01;            // per window, so that a route whose requests become heavier is measured anew
constexpr double excessWindow = 16;           // responses, about 1 s of one instance's traffic
constexpr double minAnswers = 8;              // before a mean is used
constexpr Duration maxAnswerAge = seconds(2); // of the last response
constexpr double averageWeight = 0.4;         // per update, of outstanding requests and rates: about the last 0.6 s
constexpr double minQueued = 0.5;             // queued requests per slot from which a queue is certain
constexpr double byteWindow = 256;            // responses
constexpr double maxThroughputWaiting = 10;   // seconds; bounds the quotient while hardly any responses arrive, before it exceeds a duration

Duration toDuration(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}
}

void BaseTimes::add(const Endpoint &route, bool isOwnZone, Duration inTarget, ObservedTraffic &traffic)
{
    const double answerSeconds = std::chrono::duration<double>(inTarget).count();
    Window &window = this->windows[route];
    if (isOwnZone) {
        window.seconds += answerSeconds;
        if (++window.answers == baseWindow) {
            const double mean = window.seconds / baseWindow;
            window.lowest = window.lowest == 0 ? mean : std::min(window.lowest * baseDrift, mean);
            window.seconds = 0;
            window.answers = 0;
        }
    }
    if (window.lowest > 0) {
        ++traffic.answers;
        traffic.excessSeconds += answerSeconds - window.lowest;
        traffic.serviceSeconds += window.lowest;
    }
}

void ZoneWaiting::add(ZoneId zone, const ObservedTraffic &traffic, double outstanding, Duration interval, TimePoint now)
{
    Averages &averages = this->zones[zone];
    averages.outstanding += averageWeight * (outstanding - averages.outstanding);
    const double elapsed = std::chrono::duration<double>(interval).count();
    if (elapsed > 0) {
        averages.requestsPerSecond += averageWeight * (traffic.requests / elapsed - averages.requestsPerSecond);
        averages.answersPerSecond += averageWeight * (traffic.answers / elapsed - averages.answersPerSecond);
        averages.overhead += averageWeight * (traffic.overheadSeconds / elapsed - averages.overhead);
    }
    this->byteSum += static_cast<double>(traffic.bytes);
    if (traffic.answers == 0) {
        return;
    }
    const double answers = traffic.answers;
    if (now - averages.answeredAt > maxAnswerAge) {
        averages.answers = 0;
    }
    averages.answeredAt = now;
    averages.answers = std::min(averages.answers + answers, excessWindow);
    averages.excessSeconds += (traffic.excessSeconds / answers - averages.excessSeconds) * std::min(1.0, answers / averages.answers);
    this->serviceSeconds = this->serviceSeconds == 0
        ? traffic.serviceSeconds / answers
        : this->serviceSeconds + (traffic.serviceSeconds / answers - this->serviceSeconds) * std::min(1.0, answers / byteWindow);
    this->answerSum += answers;
    if (this->answerSum > byteWindow) {
        this->byteSum *= byteWindow / this->answerSum;
        this->answerSum = byteWindow;
    }
}

double ZoneWaiting::outstandingIn(ZoneId zone) const
{
    const auto found = this->zones.find(zone);
    return found == this->zones.end() ? 0 : std::max(0.0, found->second.outstanding - found->second.overhead);
}

double ZoneWaiting::requestsPerSecond() const
{
    double sum = 0;
    for (const auto &[zone, averages] : this->zones) {
        sum += averages.requestsPerSecond;
    }
    return sum;
}

Duration ZoneWaiting::excessIn(ZoneId zone, TimePoint now) const
{
    const auto found = this->zones.find(zone);
    if (found == this->zones.end() || found->second.answers < minAnswers || now - found->second.answeredAt > maxAnswerAge) {
        return Duration{ 0 };
    }
    return toDuration(found->second.excessSeconds);
}

Duration ZoneWaiting::waitingIn(ZoneId zone, double outstandingOfAll, uint32_t slots, TimePoint now) const
{
    const double queued = slots == 0 ? 0 : std::max(0.0, outstandingOfAll / slots - 1);
    const Duration throughputWaiting = queued > minQueued ? this->throughputWaitingIn(zone) : Duration{ 0 };
    return std::max({ Duration{ 0 }, this->excessIn(zone, now), toDuration(this->serviceSeconds * queued), throughputWaiting });
}

// Response times show a slow zone only once its slow responses have arrived; the responses per second fall at once.
Duration ZoneWaiting::throughputWaitingIn(ZoneId zone) const
{
    const auto found = this->zones.find(zone);
    if (found == this->zones.end() || found->second.answersPerSecond <= 0) {
        return Duration{ 0 };
    }
    const double seconds = this->outstandingIn(zone) / found->second.answersPerSecond - this->serviceSeconds;
    return toDuration(std::min(maxThroughputWaiting, seconds));
}

Duration ZoneWaiting::serviceTime() const
{
    return toDuration(this->serviceSeconds);
}

double ZoneWaiting::bytesPerRequest() const
{
    return this->answerSum == 0 ? 0 : this->byteSum / this->answerSum;
}

} // namespace hornbeam
