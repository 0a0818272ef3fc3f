#pragma once

// A service's targets, the callers of a zone and the zone's instances in one loop, to test admission and load reports without a network.

#include "balancing/loadreports.h"
#include "balancing/waitingadmission.h"
#include "core/clock.h"
#include "fakedirectory.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

namespace hornbeam {
inline namespace service_fake {

constexpr double fakeOneWay = 0.003;  // seconds, between callers and targets
constexpr double fakeAckDelay = 0.04; // seconds
constexpr uint32_t fakeErrorBytes = 150;
constexpr uint32_t fakeAnswerBytes = 700;
constexpr double fakeRetryDelay = 0.05; // seconds
constexpr size_t fakeAttempts = 3;

/** Requests of a route and what became of them. */
struct FakeRoute
{
    RouteDemand demand;
    double rate = 0;       // requests a second
    double service = 0.05; // mean, seconds
    bool isPooled = false; // flows are reused
    size_t callers = 1;    // each with its own pool
    size_t requests = 0;
    size_t inTime = 0;
    size_t late = 0;
    size_t refusals = 0; // of new flows
    size_t rejected = 0; // by targets with full queues
    size_t opened = 0;   // flows, since the beginning

    double inTimeShare() const
    {
        return this->requests == 0 ? 1 : static_cast<double>(this->inTime) / static_cast<double>(this->requests);
    }
};

class ServiceFake
{
public:
    ServiceFake(const ServiceFake &) = delete;
    ServiceFake &operator=(const ServiceFake &) = delete;
    ServiceFake(const WaitingSettings &settings, size_t instances, size_t targets, std::vector<FakeRoute> routes, uint32_t seed = 7)
        : settings(settings)
        , routes(std::move(routes))
        , random(seed)
        , targets(targets)
        , outstanding(instances, std::vector<uint32_t>(targets))
        , pools(this->routes.size())
        , admissions(instances, WaitingAdmission(this->settings))
    {
        for (size_t route = 0; route < this->routes.size(); ++route) {
            this->pools[route].resize(this->routes[route].callers);
            this->arrive(route);
        }
        this->update();
    }

    /** Lets the instances report their load to each other and choose, of two random targets with the fewest own requests, the one with fewer reported ones. */
    void beginReports(const LoadReportSettings &settings)
    {
        for (size_t i = 0; i < this->outstanding.size(); ++i) {
            MemberRecord record;
            record.id = i + 1;
            record.incarnation = 1;
            this->directory.members.push_back(record);
        }
        for (const MemberRecord &record : this->directory.members) {
            auto own = std::make_unique<FakeDirectory>(this->directory);
            own->selfRecord = record;
            this->reports.push_back(std::make_unique<LoadReports>(settings, *own, this->clock));
            this->directories.push_back(std::move(own));
        }
    }
    /** Lets `duration` seconds pass; the counts of the routes are those of this time. */
    void run(double duration)
    {
        for (FakeRoute &route : this->routes) {
            route.requests = route.inTime = route.late = route.refusals = route.rejected = 0;
        }
        const double end = this->time + duration;
        while (this->events.begin()->first < end) {
            const auto next = this->events.begin();
            this->time = next->first;
            const auto action = std::move(next->second);
            this->events.erase(next);
            action();
        }
        this->time = end;
    }
    TimePoint now() const
    {
        return this->clock.now();
    }
    /** Requests at all targets that are processed or queued. */
    size_t held() const
    {
        size_t sum = 0;
        for (const FakeTarget &target : this->targets) {
            sum += target.busy + target.queue.size();
        }
        return sum;
    }

    /** Requests at a target, and those on their way to it. */
    size_t loadOf(size_t target) const
    {
        return this->targets[target].coming + this->targets[target].busy + this->targets[target].queue.size();
    }

    const WaitingSettings settings;
    std::vector<FakeRoute> routes;
    /** Returns the target of a new flow of the route; std::nullopt refuses it. Replaces the decisions of the instances if set. */
    std::function<std::optional<size_t>(size_t route)> place;

    static constexpr size_t slots = 2;
    static constexpr size_t queueLimit = 8;

private:
    struct Flow
    {
        size_t route = 0;
        size_t caller = 0;
        size_t instance = 0;
        size_t target = 0;
        double sentAt = 0;
        double startedAt = 0; // first attempt of the request
        size_t attempt = 0;
        uint32_t unacknowledged = 0; // bytes of the last answer
        uint64_t answer = 0;         // number of the last answer
    };
    using FlowPtr = std::shared_ptr<Flow>;
    struct FakeTarget
    {
        size_t coming = 0;
        size_t busy = 0;
        std::deque<FlowPtr> queue;
    };

    void at(double delay, std::function<void()> action)
    {
        this->events.emplace(this->time + delay, std::move(action));
    }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(this->random);
    }
    void arrive(size_t route)
    {
        const double rate = this->routes[route].rate;
        if (rate > 0) {
            const size_t callers = this->routes[route].callers;
            this->request(route, this->time, 0, callers == 1 ? 0 : this->random() % callers);
        }
        this->at(rate > 0 ? this->exponential(1 / rate) : 0.01, [this, route] { this->arrive(route); });
    }
    void request(size_t route, double startedAt, size_t attempt, size_t caller)
    {
        FakeRoute &of = this->routes[route];
        of.requests += attempt == 0 ? 1 : 0;
        std::vector<FlowPtr> &pool = this->pools[route][caller];
        if (attempt == 0 && !pool.empty()) {
            const FlowPtr flow = pool.back();
            pool.pop_back();
            this->acknowledge(flow, Acknowledgement::WithRequest);
            ++this->targets[flow->target].coming;
            this->send(flow, startedAt, attempt);
            return;
        }
        const auto flow = std::make_shared<Flow>();
        flow->route = route;
        flow->caller = caller;
        flow->instance = this->random() % this->outstanding.size();
        const std::optional<size_t> target = this->place ? this->place(route) : this->decide(*flow);
        if (!target.has_value()) {
            ++of.refusals;
            this->at(fakeRetryDelay, [this, flow, startedAt, attempt] { this->retry(*flow, startedAt, attempt); });
            return;
        }
        flow->target = *target;
        ++of.opened;
        ++this->targets[flow->target].coming;
        ++this->outstanding[flow->instance][flow->target];
        this->at(2 * fakeOneWay, [this, flow, startedAt, attempt] {
            --this->outstanding[flow->instance][flow->target];
            this->admissions[flow->instance].addRoundTrip(this->routes[flow->route].demand.address, "main", milliseconds(6));
            this->send(flow, startedAt, attempt);
        });
    }
    void retry(const Flow &flow, double startedAt, size_t attempt)
    {
        if (attempt + 1 < fakeAttempts) {
            this->request(flow.route, startedAt, attempt + 1, flow.caller);
        }
    }
    std::optional<size_t> decide(const Flow &flow)
    {
        const RouteDemand &demand = this->routes[flow.route].demand;
        WaitingAdmission &admission = this->admissions[flow.instance];
        const bool isAdmitted = admission.check(demand, "main").isAdmitted;
        admission.record(demand, "main", !isAdmitted);
        if (!isAdmitted) {
            return std::nullopt;
        }
        return this->reports.empty() ? this->leastOutstanding(flow.instance) : this->lessLoadedOfTwo(flow.instance);
    }
    size_t leastOutstanding(size_t instance)
    {
        const std::vector<uint32_t> &own = this->outstanding[instance];
        size_t best = this->random() % own.size();
        for (size_t i = 0, first = best; i < own.size(); ++i) {
            const size_t target = (first + i) % own.size();
            best = own[target] < own[best] ? target : best;
        }
        return best;
    }
    size_t lessLoadedOfTwo(size_t instance)
    {
        const std::vector<uint32_t> &own = this->outstanding[instance];
        const ReportedLoad &reported = this->reports[instance]->reported();
        const uint32_t least = *std::min_element(own.begin(), own.end());
        std::vector<uint32_t> candidates;
        while (candidates.size() < 2) {
            const uint32_t target = this->random() % own.size();
            if (own[target] == least) {
                candidates.push_back(target);
            }
        }
        return reported.outstandingOf(candidates[0] + 1) <= reported.outstandingOf(candidates[1] + 1) ? candidates[0] : candidates[1];
    }
    void report()
    {
        Actions out;
        for (size_t instance = 0; instance < this->reports.size(); ++instance) {
            const auto state = this->admissions[instance].states().at("main");
            OwnLoad load;
            load.services.push_back({ 1, state.ownOutstanding, state.slots });
            for (uint32_t target = 0; target < this->targets.size(); ++target) {
                if (this->outstanding[instance][target] > 0) {
                    load.targets.push_back({ target + 1, this->outstanding[instance][target] });
                }
            }
            this->reports[instance]->tick(load, out);
        }
        for (const OutgoingMessage &message : out.toPeers) {
            this->reports[message.peer - 1]->onMessage(std::get<LoadReport>(message.message));
        }
    }
    void send(const FlowPtr &flow, double startedAt, size_t attempt)
    {
        flow->startedAt = startedAt;
        flow->attempt = attempt;
        flow->sentAt = this->time;
        ++this->outstanding[flow->instance][flow->target];
        this->admissions[flow->instance].addRequest(this->routes[flow->route].demand, "main");
        this->at(fakeOneWay, [this, flow] {
            FakeTarget &target = this->targets[flow->target];
            --target.coming;
            if (target.busy < slots) {
                this->process(flow);
            } else if (target.queue.size() < queueLimit) {
                target.queue.push_back(flow);
            } else {
                this->at(fakeOneWay, [this, flow] { this->answer(flow, fakeErrorBytes); });
            }
        });
    }
    void process(const FlowPtr &flow)
    {
        FakeTarget &target = this->targets[flow->target];
        ++target.busy;
        this->at(this->exponential(this->routes[flow->route].service), [this, flow, &target] {
            --target.busy;
            this->at(fakeOneWay, [this, flow] { this->answer(flow, fakeAnswerBytes / 2 + this->random() % fakeAnswerBytes); });
            if (!target.queue.empty()) {
                const FlowPtr next = target.queue.front();
                target.queue.pop_front();
                this->process(next);
            }
        });
    }
    void answer(const FlowPtr &flow, uint32_t bytes)
    {
        FakeRoute &route = this->routes[flow->route];
        const bool isError = bytes == fakeErrorBytes;
        const bool isInTime = this->time - flow->startedAt <= std::chrono::duration<double>(route.demand.latencyTarget).count();
        route.rejected += isError ? 1 : 0;
        route.inTime += !isError && isInTime ? 1 : 0;
        route.late += !isError && !isInTime ? 1 : 0;
        flow->unacknowledged = bytes;
        const uint64_t number = ++flow->answer;
        if (route.isPooled) {
            this->pools[flow->route][flow->caller].push_back(flow);
            this->at(fakeAckDelay, [this, flow, number] {
                if (flow->answer == number) {
                    this->acknowledge(flow, Acknowledgement::Alone);
                }
            });
        } else {
            this->acknowledge(flow, Acknowledgement::WithClosing);
        }
        if (isError) {
            this->at(fakeRetryDelay, [this, flow, startedAt = flow->startedAt, attempt = flow->attempt] { this->retry(*flow, startedAt, attempt); });
        }
    }
    void acknowledge(const FlowPtr &flow, Acknowledgement kind)
    {
        if (flow->unacknowledged == 0) {
            return;
        }
        const auto elapsed = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->time - flow->sentAt));
        this->admissions[flow->instance].addAnswer(this->routes[flow->route].demand, "main", { elapsed, flow->unacknowledged, true, kind }, this->now());
        --this->outstanding[flow->instance][flow->target];
        flow->unacknowledged = 0;
    }
    void update()
    {
        for (size_t instance = 0; instance < this->outstanding.size(); ++instance) {
            const std::vector<uint32_t> &own = this->outstanding[instance];
            const double sum = std::accumulate(own.begin(), own.end(), 0.0);
            const double share = static_cast<double>(slots * own.size()) / static_cast<double>(this->outstanding.size());
            ServiceOccupancy occupancy{ sum, share, slots };
            if (!this->reports.empty() && this->reports[instance]->reported().services.contains(1)) {
                const ReportedLoad::Service &reported = this->reports[instance]->reported().services.at(1);
                occupancy.reportedOutstanding = reported.held;
                occupancy.reports = reported.reports;
            }
            this->admissions[instance].update("main", occupancy, this->now());
        }
        this->report();
        this->at(0.02, [this] { this->update(); });
    }

    /** The time of the loop. */
    class LoopClock final : public Clock
    {
    public:
        explicit LoopClock(const double &time) : time(time)
        {
        }
        TimePoint now() const override
        {
            return TimePoint{} + std::chrono::hours(1) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->time));
        }
        uint64_t wallMillis() const override
        {
            return 0;
        }

    private:
        const double &time;
    };

    double time = 0;
    const LoopClock clock{ this->time };
    FakeDirectory directory;
    std::vector<std::unique_ptr<FakeDirectory>> directories;
    std::multimap<double, std::function<void()>> events;
    std::minstd_rand random;
    std::vector<FakeTarget> targets;

public:
    std::vector<std::vector<uint32_t>> outstanding;       // by instance and target
    std::vector<std::vector<std::vector<FlowPtr>>> pools; // idle flows by route and caller
    std::vector<WaitingAdmission> admissions;             // by instance
    std::vector<std::unique_ptr<LoadReports>> reports;    // by instance; empty without reports
};

} // namespace service_fake
} // namespace hornbeam
