#pragma once

// Carries out the steps of a plan on the parts of a run, and records what each disturbs.

#include "instances.h"
#include "operators.h"
#include "plan.h"
#include "timers.h"

namespace hornbeam::soak {

/** What faults have disturbed, apart from single instances and targets. */
struct WorldDisturbance
{
    Disturbance any;   // any fault
    Disturbance store; // for all instances
};

/** The parts of a run that steps act on. */
struct RunParts
{
    const Clock &clock;
    Findings &findings;
    Timers &timers;
    Process &storeProcess;
    Instances &instances;
    Targets &targets;
    RouteProbes &probes;
    Operators &operators;
    WorldDisturbance &disturbed;
};

/** Not thread safe: one event loop owns it. */
class Steps
{
public:
    /** Precondition: the parts outlive this object. */
    explicit Steps(const RunParts &parts);

    /** Begins a step; timers end it. */
    void begin(const Step &step);

private:
    void disturb(Disturbance &part, Duration lasts);
    void beginTargetStep(const Step &step);
    void replaceTarget(SoakTarget &target, const std::string &zone);
    void crashTarget(SoakTarget &target, const std::string &zone);
    void killInstance(Instance &instance);
    void pauseInstance(Instance &instance, Duration lasts);
    void slowInstance(Instance &instance, Duration lasts);
    void checkReturned(Instance &instance, uint64_t starts);
    void leaveOddEntry(const Step &step);
    void moveRoute(uint32_t subject);
    void evacuateZone(const Step &step);
    void beginStoreStep(const Step &step, Instance &instance);
    void refuseStore(const Step &step);
    void pauseStore(Duration lasts);
    std::vector<Instance *> allInstances() const;
    void setProxies(const std::vector<Instance *> &which, ProxyMode mode, Duration lasts);

    RunParts parts;
};

} // namespace hornbeam::soak
