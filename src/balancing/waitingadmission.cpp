#include "balancing/waitingadmission.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {
constexpr double percent = 100;
constexpr Duration demandWindow = seconds(2); // an instance sees some ten requests a second of a route
constexpr Duration answerWindow = seconds(1);
constexpr Duration refusedWindow = seconds(1);
constexpr double refusedForLowerLimit = 0.5;         // share of refused flows from which the lower limit applies
constexpr Duration confirmationTime = seconds(2);    // members report within 1 s
constexpr Duration confirmationMemory = seconds(10); // without outstanding requests above the slots, until the members' silence no longer matters
constexpr double maxOwnShare = 2;                    // of the mean of the zone
constexpr double minOpenings = 4;                    // within refusedWindow; so that a single refusal doesn't count as a large share
constexpr double minRequestRate = 0.5;               // per second; a priority without requests needs no preference
constexpr double maxUnqueuedShare = 0.5;             // of the slots; with random arrivals, waiting adds less than a third to the service time below it
constexpr double maxWaitingShare = 0.7;              // of what the latency target leaves; half of the flows wait for longer than the mean
constexpr double minLatencyShare = 0.5;              // of the latency target; with a tighter target, usual variations would look like a queue

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
}

//--- Sums

double WaitingAdmission::DecayingSum::value(TimePoint now, Duration constant) const
{
    return this->sum == 0 ? 0 : this->sum * std::exp(-toSeconds(now - this->at) / toSeconds(constant));
}

void WaitingAdmission::DecayingSum::add(double amount, TimePoint now, Duration constant)
{
    this->sum = this->value(now, constant) + amount;
    this->at = now;
}

//--- Observations

WaitingAdmission::WaitingAdmission(const WaitingSettings &settings) : settings(settings)
{
}

void WaitingAdmission::addRoundTrip(const Endpoint &route, const std::string &service, Duration elapsed, TimePoint now)
{
    this->routes.try_emplace(route, this->settings).first->second.addRoundTrip(elapsed);
    this->services[service].overhead.add(toSeconds(elapsed), now, this->settings.window);
}

void WaitingAdmission::addRequest(const RouteDemand &route, const std::string &service, TimePoint now)
{
    this->services[service].requestsByPriority[route.priority].add(1, now, demandWindow);
}

void WaitingAdmission::addAnswer(const Endpoint &route, const std::string &service, const AnswerSample &answer, TimePoint now)
{
    ServiceTimes &times = this->routes.try_emplace(route, this->settings).first->second;
    ServiceLoad &load = this->services[service];
    load.overhead.add(std::min(toSeconds(answer.elapsed), times.overheadSeconds(answer)), now, this->settings.window);
    const bool isQueued = this->outstandingOf(load, now) > maxUnqueuedShare * load.occupancy.slots;
    if (!times.addAnswer(answer, isQueued)) {
        return;
    }
    load.firstAnswerAt = load.firstAnswerAt == TimePoint{} ? now : load.firstAnswerAt;
    load.answers.add(1, now, answerWindow);
    load.serviceTime.add(times.serviceSeconds(), now, answerWindow);
}

void WaitingAdmission::update(const std::string &service, const ServiceOccupancy &occupancy, TimePoint now)
{
    ServiceLoad &load = this->services[service];
    const double age = load.updatedAt == TimePoint{} ? 0 : std::exp(-toSeconds(now - load.updatedAt) / toSeconds(this->settings.window));
    load.outstanding = load.outstanding * age + occupancy.outstanding * (1 - age);
    load.occupancy = occupancy;
    load.updatedAt = now;
    this->confirm(load, now);
}

// Requests also wait in the own link. If members see no load, the service is not the reason.
void WaitingAdmission::confirm(ServiceLoad &load, TimePoint now) const
{
    if (!load.occupancy.isReportExpected || load.occupancy.reports > 0 || now - load.exceededAt > confirmationMemory) {
        load.exceededSince = TimePoint{};
    }
    if (load.occupancy.isReportExpected && load.occupancy.reports == 0 && this->ownOutstandingOf(load, now) > load.occupancy.slots) {
        load.exceededSince = load.exceededSince == TimePoint{} ? now : load.exceededSince;
        load.exceededAt = now;
    }
}

void WaitingAdmission::retainRoutes(const std::function<bool(const Endpoint &)> &isRoute)
{
    std::erase_if(this->routes, [&isRoute](const auto &entry) { return !isRoute(entry.first); });
}

//--- Estimates

// Requests also count as outstanding while they and their answers are on their way, and while the caller delays its acknowledgement.
double WaitingAdmission::ownOutstandingOf(const ServiceLoad &load, TimePoint now) const
{
    return std::max(0.0, load.outstanding - load.overhead.value(now, this->settings.window) / toSeconds(this->settings.window));
}

// Each instance sees only a small sample of a zone's requests, so their mean is a better estimate, but an older one: the larger of both detects both a queue
// that other instances see and one that is growing. An own count of more than twice the mean is not the service's.
double WaitingAdmission::outstandingOf(const ServiceLoad &load, TimePoint now) const
{
    const double own = this->ownOutstandingOf(load, now);
    const double mean = (own + load.occupancy.reportedOutstanding) / static_cast<double>(1 + load.occupancy.reports);
    return std::max(mean, std::min(own, maxOwnShare * mean));
}

// Since all slots are in use when there is a queue, slots divided by throughput bound the service time. This corrects measurements that included a queue.
double WaitingAdmission::serviceSecondsOf(const ServiceLoad &load, TimePoint now) const
{
    const double answers = load.answers.value(now, answerWindow);
    if (answers <= 0) {
        return 0;
    }
    const double measured = load.serviceTime.value(now, answerWindow) / answers;
    const double measuredSeconds = toSeconds(answerWindow) * (1 - std::exp(-toSeconds(now - load.firstAnswerAt) / toSeconds(answerWindow)));
    const double bound = load.occupancy.slots * measuredSeconds / answers;
    const bool hasQueue = this->outstandingOf(load, now) > load.occupancy.slots;
    return hasQueue && bound > 0 ? std::min(measured, bound) : measured;
}

double WaitingAdmission::waitingSecondsOf(const ServiceLoad &load, TimePoint now) const
{
    const bool isUnconfirmed = load.exceededSince != TimePoint{} && now - load.exceededSince > confirmationTime;
    if (load.occupancy.slots <= 0 || isUnconfirmed) {
        return 0;
    }
    return std::max(0.0, this->outstandingOf(load, now) / load.occupancy.slots - 1) * this->serviceSecondsOf(load, now);
}

double WaitingAdmission::refusedShareOf(const ServiceLoad &load, TimePoint now) const
{
    return load.refused.value(now, refusedWindow) / std::max(minOpenings, load.openings.value(now, refusedWindow));
}

bool WaitingAdmission::isPreferred(const ServiceLoad &load, uint32_t priority, TimePoint now) const
{
    return this->settings.preferredDemandPercent > 0
        && std::any_of(load.requestsByPriority.upper_bound(priority), load.requestsByPriority.end(),
                       [&](const auto &entry) { return entry.second.value(now, demandWindow) > minRequestRate * toSeconds(demandWindow); });
}

double WaitingAdmission::demandOf(const ServiceLoad &load, uint32_t priority, TimePoint now) const
{
    double requests = 0;
    for (const auto &[other, sum] : load.requestsByPriority) {
        requests += other <= priority ? sum.value(now, demandWindow) : 0;
    }
    const double rate = requests / toSeconds(demandWindow);
    return load.occupancy.slots <= 0 ? 0 : rate * this->serviceSecondsOf(load, now) / load.occupancy.slots;
}

// Short peaks fit into the queues of the targets, and then nothing has to be refused. The more is refused, the shorter the queues should be, since requests
// can't all be served anyway, and those of higher priority should find little waiting.
WaitingVerdict WaitingAdmission::check(const RouteDemand &route, const std::string &service, TimePoint now) const
{
    WaitingVerdict verdict;
    const auto found = this->services.find(service);
    const auto times = this->routes.find(route.address);
    if (this->settings.limitPercent == 0 || found == this->services.end() || times == this->routes.end() || times->second.answers() < this->settings.minAnswers
        || !times->second.hasShortAnswers()) {
        return verdict;
    }
    const ServiceLoad &load = found->second;
    const double serviceSeconds = this->serviceSecondsOf(load, now);
    const double latencyTarget = toSeconds(route.latencyTarget);
    const double left = std::max(latencyTarget - times->second.roundTripSeconds() - serviceSeconds, minLatencyShare * latencyTarget);
    const double fullQueue = this->settings.targetQueue / std::max(1.0, load.occupancy.slotsPerTarget) * serviceSeconds;
    const double upper = std::min(left * maxWaitingShare, fullQueue * this->settings.limitPercent / percent);
    const double lower = upper * std::min(1.0, this->settings.overloadLimitPercent / percent);
    const bool isPreferred = this->isPreferred(load, route.priority, now);
    const double persistence = isPreferred ? 0 : std::min(1.0, this->refusedShareOf(load, now) / refusedForLowerLimit);

    verdict.waitingSeconds = this->waitingSecondsOf(load, now);
    verdict.limitSeconds = upper + (lower - upper) * persistence;
    verdict.outstanding = this->outstandingOf(load, now);
    verdict.slots = load.occupancy.slots;
    verdict.demand = this->demandOf(load, route.priority, now);
    const bool mayBeRefused = !isPreferred || verdict.demand * percent >= this->settings.preferredDemandPercent;
    verdict.isAdmitted = verdict.waitingSeconds <= verdict.limitSeconds || !mayBeRefused;
    return verdict;
}

void WaitingAdmission::record(const RouteDemand &route, const std::string &service, bool isRefused, TimePoint now)
{
    ServiceLoad &load = this->services[service];
    if (isRefused) {
        this->addRequest(route, service, now);
    }
    if (!this->isPreferred(load, route.priority, now)) {
        load.openings.add(1, now, refusedWindow);
        load.refused.add(isRefused ? 1 : 0, now, refusedWindow);
    }
}

bool WaitingAdmission::hasRoom(const RouteDemand &route, const std::string &service, TimePoint now) const
{
    const auto found = this->services.find(service);
    if (this->settings.overflowPercent == 0 || found == this->services.end() || found->second.occupancy.slots <= 0) {
        return false;
    }
    const WaitingVerdict verdict = this->check(route, service, now);
    return verdict.isAdmitted && verdict.waitingSeconds * percent <= verdict.limitSeconds * this->settings.overflowPercent;
}

std::map<std::string, WaitingAdmission::ServiceState> WaitingAdmission::states(TimePoint now) const
{
    std::map<std::string, ServiceState> found;
    for (const auto &[service, load] : this->services) {
        found[service] = { this->waitingSecondsOf(load, now),
                           this->serviceSecondsOf(load, now),
                           this->outstandingOf(load, now),
                           this->ownOutstandingOf(load, now),
                           load.occupancy.slots,
                           this->refusedShareOf(load, now) };
    }
    return found;
}

} // namespace hornbeam
