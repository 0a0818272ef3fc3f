// Measures the policy: both workloads, through steady load and failures, against baselines and with mechanisms taken away.
//
// Sections: workloads | variants | phases | report | main

#include "mechanisms.h"
#include "policybaselines.h"
#include "world.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <set>

using namespace hornbeam;
using namespace hornbeam::bench;

namespace {

//--- Workloads

constexpr uint32_t serviceMs = 200;
constexpr Duration think = seconds(1);

struct Workload
{
    std::string name;
    std::string main;  // the service that is measured
    std::string other; // brochures or certificates
    size_t zones = 3;
    size_t instances = 9;
    uint32_t slots = 2;
    Duration zoneDelay = std::chrono::microseconds(500);
    Duration callerDelay = milliseconds(3);
    Preference preference = Preference::Balance;
};

const std::vector<Workload> workloads{
    { "merpati", "booking", "catalogue", 3, 9, 2, std::chrono::microseconds(500), milliseconds(3), Preference::Balance },
    { "cabrera", "auction", "archive", 4, 8, 3, std::chrono::microseconds(1500), milliseconds(1), Preference::Persistence },
};
constexpr size_t mainTargets = 14;
constexpr size_t otherTargets = 4;
constexpr size_t feedCallers = 60;

std::string zoneName(size_t index)
{
    return "z" + std::to_string(index + 1);
}

//--- Variants

const std::vector<std::string> variants{ "ours",     "hash",          "least-loaded",    "all-knowing",    "no-spill",
                                         "no-queue", "no-slow-start", "no-retry-budget", "no-feed-copies", "other-preference" };

void useBaseline(WorldSettings &settings, Baseline baseline, const Clock *&clock)
{
    const auto shared = std::make_shared<BusyBoard>();
    settings.node.slotProviderFactory = [baseline, shared, &clock](const MemberDirectory &, const TableSource &tables) {
        const auto board = baseline == Baseline::AllKnowing ? shared : std::make_shared<BusyBoard>();
        return std::make_unique<BaselinePlaces>(baseline, board, *clock, tables);
    };
}

void applyVariant(const std::string &variant, WorldSettings &settings, const Clock *&clock)
{
    if (variant == "hash") {
        useBaseline(settings, Baseline::Hash, clock);
    } else if (variant == "least-loaded") {
        useBaseline(settings, Baseline::LeastLoaded, clock);
    } else if (variant == "all-knowing") {
        useBaseline(settings, Baseline::AllKnowing, clock);
    } else if (variant == "no-spill") {
        settings.node.slotClient.maxOverflowZones = 0;
    } else if (variant == "no-slow-start") {
        settings.node.slotAllocator.slowStart = Duration::zero();
    } else if (variant == "no-retry-budget") {
        settings.node.requests.retryRatio = 1;
        settings.node.requests.retryBurst = 1e6;
    } else if (variant == "no-feed-copies") {
        removeMechanism("feed-copies", settings);
    }
}

//--- Phases

struct Run
{
    Workload workload;
    std::string variant;
    uint32_t loadPercent = 85;
    uint64_t seed = 1;
    Duration length = seconds(10);
    const Clock *clock = nullptr;
    std::unique_ptr<World> world;
    std::set<Instance *> processes;
    std::vector<std::string> instanceNames;
    std::vector<std::string> targetNames;
    double imbalanceSum = 0;
    uint32_t windows = 0;
    double inForceMs = -1;

    void build();
    void pass(Duration span);
    void measureWindow();
    void replaceInstances(Duration pause);
    void replaceTargets(Duration pause);
    void edit(const std::string &value);
};

void Run::build()
{
    WorldSettings settings;
    settings.seed = this->seed;
    settings.zoneDelay = this->workload.zoneDelay;
    settings.callerDelay = this->workload.callerDelay;
    settings.tickInterval = milliseconds(10);
    applyVariant(this->variant, settings, this->clock);
    // the factory reads the clock through this->clock, at the first instance's start
    this->world = std::make_unique<World>(settings);
    this->clock = &this->world->time();
    const bool isOther = this->variant == "other-preference";
    const Preference other = this->workload.preference == Preference::Balance ? Preference::Persistence : Preference::Balance;
    this->world->addService(this->workload.main, 15683, isOther ? other : this->workload.preference, this->variant == "no-queue" ? 0 : 64);
    this->world->addService(this->workload.other, 15684);
    for (size_t i = 0; i < mainTargets + otherTargets; ++i) {
        const bool isMain = i < mainTargets;
        TargetOptions options;
        options.name = (isMain ? "m" : "o") + std::to_string(i);
        options.service = isMain ? this->workload.main : this->workload.other;
        options.slots = this->workload.slots;
        options.serviceMs = serviceMs;
        this->world->addTarget(options.service, zoneName(i % this->workload.zones), options);
        if (isMain) {
            this->targetNames.push_back(options.name);
        }
    }
    for (size_t i = 0; i < this->workload.instances; ++i) {
        this->instanceNames.push_back("i" + std::to_string(i));
        this->world->addInstance(this->instanceNames.back(), zoneName(i % this->workload.zones));
    }
    this->world->run(seconds(8));
    this->world->addCallers(this->workload.main, CallerKind::Feed, feedCallers, think);
    const double perSecond = mainTargets * this->workload.slots * 1000.0 / serviceMs * this->loadPercent / 100;
    // a caller's order takes two exchanges, of which one reaches a target
    const double cycle = 1.0 + serviceMs / 1000.0 + 0.02;
    const auto callers = static_cast<size_t>(perSecond * cycle);
    this->world->addCallers(this->workload.main, CallerKind::Order, callers / 2, think);
    this->world->addCallers(this->workload.main, CallerKind::Read, callers - callers / 2, think);
    this->world->addCallers(this->workload.other, CallerKind::Brochure, 4, think);
    this->world->run(seconds(5));
}

void Run::pass(Duration span)
{
    for (Duration passed{}; passed < span; passed += seconds(1)) {
        this->measureWindow();
    }
}

/** One second: the greatest mean of busy slots of a target over the mean of all targets. */
void Run::measureWindow()
{
    constexpr int samples = 20;
    std::map<std::string, double> busy;
    for (int i = 0; i < samples; ++i) {
        this->world->run(milliseconds(50));
        for (const std::string &name : this->targetNames) {
            const Target *target = this->world->target(name);
            busy[name] += target->isRunning ? target->model->busySlots() : 0;
        }
    }
    double sum = 0;
    double peak = 0;
    for (const auto &[name, slots] : busy) {
        sum += slots;
        peak = std::max(peak, slots);
    }
    if (sum > 0) {
        this->imbalanceSum += peak * static_cast<double>(busy.size()) / sum;
        ++this->windows;
    }
    for (Instance *instance : this->world->runningInstances()) {
        this->processes.insert(instance);
    }
}

void Run::replaceInstances(Duration pause)
{
    for (const std::string &name : this->instanceNames) {
        this->world->stopInstance(name);
        this->world->runUntil(seconds(40), [this, &name] { return this->world->instance(name)->state == ProcessState::Ended; });
        this->world->startInstance(name);
        this->pass(pause);
    }
}

void Run::replaceTargets(Duration pause)
{
    for (const std::string &name : this->targetNames) {
        this->world->drainTarget(name);
        this->world->runUntil(seconds(10), [this, &name] { return !this->world->target(name)->isRunning; });
        this->world->startTarget(name);
        this->pass(pause);
    }
}

void Run::edit(const std::string &value)
{
    TableChange change;
    change.target = this->targetNames.front();
    change.column = "weight";
    change.value = value;
    const TimePoint began = this->world->time().now();
    this->world->edit("operator", this->workload.main, { change });
    const bool isThere = this->world->runUntil(seconds(30), [this] { return this->world->findLaggard(this->workload.main).empty(); });
    const auto took = std::chrono::duration_cast<milliseconds>(this->world->time().now() - began).count();
    this->inForceMs = std::max(this->inForceMs, isThere ? static_cast<double>(took) : 1e9);
}

const std::vector<std::string> phases{ "steady60", "steady85", "steady110", "balancers", "targets", "both", "zonecut", "outage", "return" };

void carryOut(Run &run, const std::string &phase, bool isQuick)
{
    run.loadPercent = phase == "steady85" ? 85 : phase == "steady110" ? 110 : 60;
    run.build();
    World &world = *run.world;
    const Duration cutTime = isQuick ? Duration(seconds(20)) : Duration(std::chrono::minutes(10));
    if (phase.starts_with("steady")) {
        run.pass(run.length);
    } else if (phase == "balancers") {
        run.replaceInstances(seconds(1));
    } else if (phase == "targets") {
        run.replaceTargets(seconds(1));
    } else if (phase == "both") {
        for (size_t i = 0; i < run.instanceNames.size(); ++i) {
            const std::string &instance = run.instanceNames[i];
            const std::string &target = run.targetNames[i];
            world.stopInstance(instance);
            world.drainTarget(target);
            world.runUntil(seconds(40), [&] { return world.instance(instance)->state == ProcessState::Ended && !world.target(target)->isRunning; });
            world.startInstance(instance);
            world.startTarget(target);
            run.pass(seconds(1));
        }
    } else if (phase == "zonecut") {
        for (size_t i = 1; i < run.workload.zones; ++i) {
            world.cut(zoneName(0), zoneName(i));
        }
        run.pass(cutTime);
        for (size_t i = 1; i < run.workload.zones; ++i) {
            world.mend(zoneName(0), zoneName(i));
        }
        run.pass(seconds(10));
    } else if (phase == "outage") {
        run.edit("90");
        world.platform().setOut(true);
        run.pass(isQuick ? Duration(seconds(20)) : Duration(std::chrono::minutes(30)));
        world.platform().setOut(false);
        run.edit("100");
    } else {
        world.endCallers(run.workload.main, CallerKind::Order);
        world.endCallers(run.workload.main, CallerKind::Read);
        run.pass(seconds(3));
        const auto callers = static_cast<size_t>(mainTargets * run.workload.slots * 5);
        world.addCallers(run.workload.main, CallerKind::Order, callers / 2, think);
        world.addCallers(run.workload.main, CallerKind::Read, callers / 2, think);
        run.pass(seconds(5));
    }
    run.pass(seconds(5));
}

//--- Report

void printReasons(const Run &run)
{
    const auto sum = [&run](auto value) {
        uint64_t total = 0;
        for (const Instance *one : run.processes) {
            total += one->counters.value(value);
        }
        return total;
    };
    for (size_t i = 1; i < static_cast<size_t>(Reason::Count); ++i) {
        const auto reason = static_cast<Reason>(i);
        if (sum(reason) > 0) {
            std::cout << " " << nameOf(reason) << "=" << sum(reason);
        }
    }
    std::cout << " |";
    for (size_t i = 0; i < static_cast<size_t>(RetryReason::Count); ++i) {
        const auto reason = static_cast<RetryReason>(i);
        if (sum(reason) > 0) {
            std::cout << " " << nameOf(reason) << "=" << sum(reason);
        }
    }
}

void report(const Run &run, const std::string &phase, TimePoint began)
{
    const Ledger &ledger = run.world->ledger();
    const TimePoint now = run.world->time().now();
    const auto told = [&ledger](Outcome outcome) { return ledger.requests.at(static_cast<size_t>(outcome)); };
    const uint64_t refused = told(Outcome::NotRun) + told(Outcome::Failed);
    uint64_t doubled = 0;
    uint64_t falseNotRun = 0;
    for (const auto &[identity, order] : ledger.orders) {
        doubled += order.executions > 1 ? 1 : 0;
        falseNotRun += order.isTold && order.told == Outcome::NotRun && order.executions > 0 ? 1 : 0;
    }
    uint64_t broken = 0;
    for (const auto &[flow, feed] : ledger.feeds) {
        const bool isSilent = now - feed.lastUpdate > seconds(5);
        broken += feed.isEnded || !feed.isOpen || isSilent ? 1 : 0;
    }
    uint64_t bytes = 0;
    for (const Instance *one : run.processes) {
        bytes += one->peerBytes;
    }
    uint64_t shed = 0;
    for (const auto &target : run.world->targets()) {
        shed += target->model->report().shed;
    }
    const auto elapsed = std::chrono::duration<double>(now - began).count();
    std::printf("%-8s %-10s %-16s answered=%llu refused=%llu may=%llu lost=%llu torn=%llu doubled=%llu false_not_run=%llu broken=%llu/%zu imbalance=%.3f "
                "shed=%llu in_force_ms=%.0f peer_bytes_s=%.0f :",
                run.workload.name.c_str(), phase.c_str(), run.variant.c_str(), static_cast<unsigned long long>(told(Outcome::Answered)),
                static_cast<unsigned long long>(refused), static_cast<unsigned long long>(told(Outcome::MayHaveRun)),
                static_cast<unsigned long long>(told(Outcome::Lost)), static_cast<unsigned long long>(told(Outcome::Torn)),
                static_cast<unsigned long long>(doubled), static_cast<unsigned long long>(falseNotRun), static_cast<unsigned long long>(broken),
                ledger.feeds.size(), run.windows == 0 ? 0 : run.imbalanceSum / run.windows, static_cast<unsigned long long>(shed), run.inForceMs,
                static_cast<double>(bytes) / elapsed / static_cast<double>(run.instanceNames.size()));
    std::fflush(stdout);
    printReasons(run);
    std::cout << std::endl;
}

} // namespace

//--- Main

int main(int argc, char **argv)
{
    CLI::App app{ "Measures the policy under load and failures, on paused time" };
    uint64_t seed = 1;
    bool isQuick = false;
    std::vector<std::string> chosenWorkloads;
    std::vector<std::string> chosenPhases = phases;
    std::vector<std::string> chosenVariants = variants;
    app.add_option("--seed", seed, "seed of the world");
    app.add_flag("--quick", isQuick, "cuts and outages of 20 s in place of 10 and 30 min");
    app.add_option("--workload", chosenWorkloads, "merpati, cabrera; both when left out");
    app.add_option("--phase", chosenPhases, "phases; all when left out")->check(CLI::IsMember(phases));
    app.add_option("--variant", chosenVariants, "variants; all when left out");
    CLI11_PARSE(app, argc, argv);
    for (const Workload &workload : workloads) {
        if (!chosenWorkloads.empty() && std::find(chosenWorkloads.begin(), chosenWorkloads.end(), workload.name) == chosenWorkloads.end()) {
            continue;
        }
        for (const std::string &phase : chosenPhases) {
            for (const std::string &variant : chosenVariants) {
                Run run;
                run.workload = workload;
                run.variant = variant;
                run.seed = seed;
                const TimePoint began{ ManualClock().now() };
                carryOut(run, phase, isQuick);
                report(run, phase, began);
            }
        }
    }
    return 0;
}
