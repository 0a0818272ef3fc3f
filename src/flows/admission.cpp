#include "flows/admission.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {
constexpr double congestionWindow = 8;                     // answers
constexpr Duration congestionHalfLife = milliseconds(300); // while no answers are measured
constexpr uint32_t unqueuedWindow = 32;                    // answers; their mean is within a tenth of the true one
constexpr double unqueuedDrift = 1.002;                    // per window, so that a route whose requests become heavier is measured anew within minutes
constexpr double minQueueingShare = 0.5;                   // of the latency target; with a tighter target, usual variations would look like a queue
constexpr Duration rejectedShareWindow = seconds(1);       // of the moving average
constexpr double percent = 100;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
}

AdmissionControl::AdmissionControl(const FlowSettings &settings) : settings(settings)
{
}

void AdmissionControl::addAnswer(const Route &route, Target &target, const MeasuredAnswer &answer, TimePoint now)
{
    RouteLoad &load = this->routes[route.address];
    if (load.answers < this->settings.minAnswersForAdmission && ++load.answers == this->settings.minAnswersForAdmission) {
        this->addPriority(route);
    }
    // Callers delay the acknowledgement of a single packet. Errors, with which targets shed requests, usually fit into one, too.
    const double targetSeconds = toSeconds(route.latencyTarget);
    if (answer.bytes <= maxPacketContent || targetSeconds <= 0) {
        return;
    }
    const double answerSeconds = toSeconds(answer.elapsed);
    updateUnqueuedTime(load, answerSeconds);
    const double unqueued = load.unqueuedSeconds == 0 ? answerSeconds : load.unqueuedSeconds;
    const double queued = (answerSeconds - unqueued) / std::max(targetSeconds - unqueued, minQueueingShare * targetSeconds);
    target.congestion = congestionOf(target, now);
    target.congestion += (queued - target.congestion) / congestionWindow;
    target.congestionMeasuredAt = now;
}

void AdmissionControl::updateUnqueuedTime(RouteLoad &load, double answerSeconds)
{
    load.windowSeconds += answerSeconds;
    if (++load.windowAnswers < unqueuedWindow) {
        return;
    }
    const double mean = load.windowSeconds / load.windowAnswers;
    load.unqueuedSeconds = load.unqueuedSeconds == 0 ? mean : std::min(load.unqueuedSeconds * unqueuedDrift, mean);
    load.windowSeconds = 0;
    load.windowAnswers = 0;
}

AdmissionVerdict AdmissionControl::admit(const Route &route, const std::string &service, const Target &target, TimePoint now)
{
    AdmissionVerdict verdict;
    const auto routeLoad = this->routes.find(route.address);
    if (routeLoad == this->routes.end() || routeLoad->second.answers < this->settings.minAnswersForAdmission) {
        return verdict;
    }
    ServiceLoad &load = this->services[service];
    verdict.congestion = congestionOf(target, now);
    verdict.limit = this->limitOf(route, load);
    verdict.isAdmitted = verdict.congestion <= verdict.limit;
    const double age = std::exp(-toSeconds(now - load.lastOpening) / toSeconds(rejectedShareWindow));
    load.rejectedShare = load.rejectedShare * age + (verdict.isAdmitted ? 0.0 : 1 - age);
    load.lastOpening = now;
    return verdict;
}

// Short peaks fit into the queues of the targets, and then nothing has to be rejected. The more is rejected, the shorter the queues should be, since callers
// can't all be served anyway. Routes of a higher priority than others of the service keep the upper limit.
double AdmissionControl::limitOf(const Route &route, const ServiceLoad &load) const
{
    const double upper = this->settings.congestionLimitPercent / percent;
    if (route.priority < load.lowestPriority) {
        return upper;
    }
    const double lower = std::min(upper, this->settings.overloadLimitPercent / percent);
    const double persistence = std::min(1.0, load.rejectedShare * percent / this->settings.overloadRejectedPercent);
    return upper + (lower - upper) * persistence;
}

double AdmissionControl::congestionOf(const Target &target, TimePoint now)
{
    const Duration age = now - target.congestionMeasuredAt;
    return age <= congestionHalfLife ? target.congestion : target.congestion * std::exp2(1 - toSeconds(age) / toSeconds(congestionHalfLife));
}

void AdmissionControl::retainRoutes(const RouteTable &table)
{
    std::erase_if(this->routes, [&table](const auto &entry) { return table.find(entry.first) == nullptr; });
    for (auto &[service, load] : this->services) {
        load.lowestPriority = 0;
    }
    for (const auto &[address, load] : this->routes) {
        if (load.answers >= this->settings.minAnswersForAdmission) {
            this->addPriority(*table.find(address));
        }
    }
}

void AdmissionControl::addPriority(const Route &route)
{
    for (const RouteShare &share : route.shares) {
        uint32_t &lowest = this->services[share.service].lowestPriority;
        lowest = std::max(lowest, route.priority);
    }
}

} // namespace hornbeam
