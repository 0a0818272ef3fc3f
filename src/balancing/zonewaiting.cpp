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
constexpr double outstandingWeight = 0.2;     // per update, also of the request rate: about the last 1.2 s
constexpr double byteWindow = 256;            // responses

Duration toDuration(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}
}

void BaseTimes::add(const Endpoint &route, bool isOwnZone, Duration elapsed, ObservedTraffic &traffic)
{
    const double answerSeconds = std::chrono::duration<double>(elapsed).count();
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
    averages.outstanding += outstandingWeight * (outstanding - averages.outstanding);
    const double rate = interval.count() <= 0 ? 0 : traffic.requests / std::chrono::duration<double>(interval).count();
    averages.requestsPerSecond += outstandingWeight * (rate - averages.requestsPerSecond);
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
    return found == this->zones.end() ? 0 : found->second.outstanding;
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
    return std::max({ Duration{ 0 }, this->excessIn(zone, now), toDuration(this->serviceSeconds * queued) });
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
