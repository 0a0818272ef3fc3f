#include "flows/answertimes.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr double routeSampleWindow = 200; // a few seconds of traffic of one route through one instance
constexpr double targetSampleWindow = 12; // answer times of one target deviate by half their mean; averaging reduces this to a sixth
constexpr double minAnswerSeconds = 1e-4; // the clock may not advance between two packets
}

void AnswerTimes::add(const Endpoint &route, Target &target, Duration elapsed)
{
    this->times.add(elapsed);
    const double answerSeconds = std::max(minAnswerSeconds, std::chrono::duration<double>(elapsed).count());
    const auto [mean, isFirst] = this->means.try_emplace(route, answerSeconds);
    mean->second += (answerSeconds - mean->second) / routeSampleWindow;
    ++target.answers;
    const double weight = std::min(targetSampleWindow, static_cast<double>(target.answers));
    target.slowness += (answerSeconds / mean->second - target.slowness) / weight;
}

Duration AnswerTimes::meanOf(const Endpoint &route) const
{
    const auto found = this->means.find(route);
    return found == this->means.end() ? Duration{ 0 } : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(found->second));
}

const Histogram &AnswerTimes::histogram() const
{
    return this->times;
}

} // namespace hornbeam
