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
constexpr int maxAttempts = 3;                       // of a caller for a request (docs/design/hard-load.md)
constexpr double maxUnqueuedShare = 0.5;             // of the slots; with random arrivals, waiting adds less than a third to the service time below it
constexpr double maxWaitingShare = 0.7;              // of what the latency target leaves; half of the flows wait for longer than the mean
constexpr double minLatencyShare = 0.5;              // of the latency target; with a tighter target, usual variations would look like a queue

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Of a sum that decays with a time constant.
double remainingShare(Duration elapsed, Duration constant)
{
    return std::exp(-toSeconds(elapsed) / toSeconds(constant));
}
}

//--- Observations

WaitingAdmission::WaitingAdmission(const WaitingSettings &settings) : settings(settings)
{
}

void WaitingAdmission::addRoundTrip(const Endpoint &route, const std::string &service, Duration elapsed)
{
    this->routes.try_emplace(route, this->settings).first->second.addRoundTrip(elapsed);
    this->services[service].overhead += toSeconds(elapsed);
}

void WaitingAdmission::addRequest(const RouteDemand &route, const std::string &service)
{
    this->services[service].loadByPriority[route.priority].attempts += 1;
}

AnswerParts WaitingAdmission::addAnswer(const RouteDemand &route, const std::string &service, const AnswerSample &answer, TimePoint now)
{
    ServiceTimes &times = this->routes.try_emplace(route.address, this->settings).first->second;
    ServiceLoad &load = this->services[service];
    const double overhead = std::min(toSeconds(answer.elapsed), times.overheadSeconds(answer));
    load.overhead += overhead;
    AnswerParts result;
    result.overhead = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(overhead));
    result.inTarget = answer.elapsed - result.overhead;
    const bool isQueued = this->outstandingOf(load) > maxUnqueuedShare * load.occupancy.slots;
    result.isRejection = !times.addAnswer(answer, isQueued);
    if (result.isRejection) {
        load.loadByPriority[route.priority].failures += 1;
        return result;
    }
    load.firstAnswerAt = load.firstAnswerAt == TimePoint{} ? now : load.firstAnswerAt;
    load.answers += 1;
    load.serviceTime += times.serviceSeconds();
    return result;
}

void WaitingAdmission::update(const std::string &service, const ServiceOccupancy &occupancy, TimePoint now)
{
    ServiceLoad &load = this->services[service];
    const double age = load.updatedAt == TimePoint{} ? 0 : remainingShare(now - load.updatedAt, this->settings.window);
    load.outstanding = load.outstanding * age + occupancy.outstanding * (1 - age);
    load.occupancy = occupancy;
    this->decay(load, now);
    load.updatedAt = now;
    this->confirm(load, now);
    load.serviceSeconds = this->serviceSecondsOf(load, now);
    load.waitingSeconds = this->waitingSecondsOf(load, now);
}

void WaitingAdmission::decay(ServiceLoad &load, TimePoint now) const
{
    if (load.updatedAt == TimePoint{}) {
        return;
    }
    const Duration elapsed = now - load.updatedAt;
    const double answerShare = remainingShare(elapsed, answerWindow);
    const double refusedShare = remainingShare(elapsed, refusedWindow);
    const double demandShare = remainingShare(elapsed, demandWindow);
    load.overhead *= remainingShare(elapsed, this->settings.window);
    load.answers *= answerShare;
    load.serviceTime *= answerShare;
    load.refused *= refusedShare;
    load.openings *= refusedShare;
    for (auto &[priority, requests] : load.loadByPriority) {
        requests.attempts *= demandShare;
        requests.failures *= demandShare;
    }
}

// Requests also wait in the own link. If members see no load, the service is not the reason.
void WaitingAdmission::confirm(ServiceLoad &load, TimePoint now) const
{
    if (!load.occupancy.isReportExpected || load.occupancy.reports > 0 || now - load.exceededAt > confirmationMemory) {
        load.exceededSince = TimePoint{};
    }
    if (load.occupancy.isReportExpected && load.occupancy.reports == 0 && this->ownOutstandingOf(load) > load.occupancy.slots) {
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
double WaitingAdmission::ownOutstandingOf(const ServiceLoad &load) const
{
    return std::max(0.0, load.outstanding - load.overhead / toSeconds(this->settings.window));
}

// Each instance sees only a small sample of a zone's requests, so their mean is a better estimate, but an older one: the larger of both detects both a queue
// that other instances see and one that is growing. An own count of more than twice the mean is not the service's.
double WaitingAdmission::outstandingOf(const ServiceLoad &load) const
{
    const double own = this->ownOutstandingOf(load);
    const double mean = (own + load.occupancy.reportedOutstanding) / static_cast<double>(1 + load.occupancy.reports);
    return std::max(mean, std::min(own, maxOwnShare * mean));
}

// Since all slots are in use when there is a queue, slots divided by throughput bound the service time. This corrects measurements that included a queue.
double WaitingAdmission::serviceSecondsOf(const ServiceLoad &load, TimePoint now) const
{
    const double answers = load.answers;
    if (answers <= 0) {
        return 0;
    }
    const double measured = load.serviceTime / answers;
    const double measuredSeconds = toSeconds(answerWindow) * (1 - std::exp(-toSeconds(now - load.firstAnswerAt) / toSeconds(answerWindow)));
    const double bound = load.occupancy.slots * measuredSeconds / answers;
    const bool hasQueue = this->outstandingOf(load) > load.occupancy.slots;
    return hasQueue && bound > 0 ? std::min(measured, bound) : measured;
}

double WaitingAdmission::waitingSecondsOf(const ServiceLoad &load, TimePoint now) const
{
    const bool isUnconfirmed = load.exceededSince != TimePoint{} && now - load.exceededSince > confirmationTime;
    if (load.occupancy.slots <= 0 || isUnconfirmed) {
        return 0;
    }
    return std::max(0.0, this->outstandingOf(load) / load.occupancy.slots - 1) * this->serviceSecondsOf(load, now);
}

double WaitingAdmission::refusedShareOf(const ServiceLoad &load) const
{
    return load.refused / std::max(minOpenings, load.openings);
}

bool WaitingAdmission::isPreferred(const ServiceLoad &load, uint32_t priority) const
{
    return this->settings.preferredDemandPercent > 0
        && std::any_of(load.loadByPriority.upper_bound(priority), load.loadByPriority.end(),
                       [&](const auto &entry) { return entry.second.attempts > minRequestRate * toSeconds(demandWindow); });
}

// Failed requests come back. Each attempt counted as a request of its own would make a demand that fits look like one that doesn't: its flows would be refused,
// come back, and raise it further.
double WaitingAdmission::requestsOf(const PriorityLoad &load)
{
    const double failed = load.attempts <= 0 ? 0 : std::min(1.0, load.failures / load.attempts);
    double attemptsPerRequest = 0;
    double share = 1; // of the requests that need the attempt
    for (int attempt = 0; attempt < maxAttempts; ++attempt, share *= failed) {
        attemptsPerRequest += share;
    }
    return load.attempts / attemptsPerRequest;
}

double WaitingAdmission::demandOf(const ServiceLoad &load, uint32_t priority) const
{
    double requests = 0;
    for (const auto &[other, sums] : load.loadByPriority) {
        requests += other <= priority ? requestsOf(sums) : 0;
    }
    const double rate = requests / toSeconds(demandWindow);
    return load.occupancy.slots <= 0 ? 0 : rate * load.serviceSeconds / load.occupancy.slots;
}

// Short peaks fit into the queues of the targets, and then nothing has to be refused. The more is refused, the shorter the queues should be, since requests
// can't all be served anyway, and those of higher priority should find little waiting.
WaitingVerdict WaitingAdmission::check(const RouteDemand &route, const std::string &service) const
{
    WaitingVerdict verdict;
    const auto found = this->services.find(service);
    const auto times = this->routes.find(route.address);
    if (this->settings.limitPercent == 0 || found == this->services.end() || times == this->routes.end() || times->second.answers() < this->settings.minAnswers
        || !times->second.hasShortAnswers()) {
        return verdict;
    }
    const ServiceLoad &load = found->second;
    const double serviceSeconds = load.serviceSeconds;
    const double latencyTarget = toSeconds(route.latencyTarget);
    const double left = std::max(latencyTarget - times->second.roundTripSeconds() - serviceSeconds, minLatencyShare * latencyTarget);
    const double fullQueue = this->settings.targetQueue / std::max(1.0, load.occupancy.slotsPerTarget) * serviceSeconds;
    const double upper = std::min(left * maxWaitingShare, fullQueue * this->settings.limitPercent / percent);
    const double lower = upper * std::min(1.0, this->settings.overloadLimitPercent / percent);
    const bool isPreferred = this->isPreferred(load, route.priority);
    const double persistence = isPreferred ? 0 : std::min(1.0, this->refusedShareOf(load) / refusedForLowerLimit);

    verdict.waitingSeconds = load.waitingSeconds;
    verdict.limitSeconds = upper + (lower - upper) * persistence;
    verdict.outstanding = this->outstandingOf(load);
    verdict.slots = load.occupancy.slots;
    verdict.demand = this->demandOf(load, route.priority);
    const bool mayBeRefused = !isPreferred || verdict.demand * percent >= this->settings.preferredDemandPercent;
    verdict.isAdmitted = verdict.waitingSeconds <= verdict.limitSeconds || !mayBeRefused;
    return verdict;
}

void WaitingAdmission::record(const RouteDemand &route, const std::string &service, bool isRefused)
{
    ServiceLoad &load = this->services[service];
    if (isRefused) {
        this->addRequest(route, service);
        load.loadByPriority[route.priority].failures += 1;
    }
    if (!this->isPreferred(load, route.priority)) {
        load.openings += 1;
        load.refused += isRefused ? 1 : 0;
    }
}

bool WaitingAdmission::hasRoom(const RouteDemand &route, const std::string &service) const
{
    const auto found = this->services.find(service);
    if (this->settings.overflowPercent == 0 || found == this->services.end() || found->second.occupancy.slots <= 0) {
        return false;
    }
    const WaitingVerdict verdict = this->check(route, service);
    return verdict.isAdmitted && verdict.waitingSeconds * percent <= verdict.limitSeconds * this->settings.overflowPercent;
}

std::map<std::string, WaitingAdmission::ServiceState> WaitingAdmission::states() const
{
    std::map<std::string, ServiceState> found;
    for (const auto &[service, load] : this->services) {
        found[service] = { load.waitingSeconds,          load.serviceSeconds,  this->outstandingOf(load),
                           this->ownOutstandingOf(load), load.occupancy.slots, this->refusedShareOf(load) };
    }
    return found;
}

} // namespace hornbeam
