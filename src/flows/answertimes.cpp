#include "flows/answertimes.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr double routeSamples = 200; // a few seconds of one route's answers at one instance
constexpr double targetSamples = 12; // times of one target vary by half their mean: this averages it to a sixth
constexpr double shortest = 1e-4;    // s: a clock may show no time between two packets
}

void AnswerTimes::add(const Endpoint &route, Target &target, Duration elapsed)
{
    this->times.add(elapsed);
    const double took = std::max(shortest, std::chrono::duration<double>(elapsed).count());
    const auto [mean, isFirst] = this->means.try_emplace(route, took);
    mean->second += (took - mean->second) / routeSamples;
    ++target.answers;
    const double weight = std::min(targetSamples, static_cast<double>(target.answers));
    target.slowness += (took / mean->second - target.slowness) / weight;
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
