#pragma once

// What happens to the system in one run of the soak, drawn from a seed.

#include "core/clock.h"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeam::soak {

enum class StepKind : uint8_t {
    // planned work
    RestartInstance, // SIGTERM, then a new process
    RollInstances,   // all of them in turn
    ReloadSettings,  // SIGHUP
    ReplaceTarget,   // a new one starts, the old one drains and leaves
    AddRoute,
    DropRoute,
    ChangeStorm, // several configurations in quick succession
    // faults
    KillInstance,
    KillHalf, // of the instances, at once
    PauseInstance,
    CrashTarget, // another service's target takes its address later
    FreezeTarget,
    CutLink,      // packets of one instance reach no target
    SilenceStore, // for one instance: nothing comes back
    ResetStore,   // for one instance: its connections are reset
    DelayStore,   // for all instances
    CutStore,     // from all instances
    LapseEntry,   // of a living target, while the store is cut from all instances
    LoseWrites,   // of a living target, until its entry lapses
    PauseStore,   // the process of the store stands still
    // harmless
    OddEntry, // another writer leaves an unusable entry among those of the targets
    // drawn apart
    MoveRoute,   // planned: a route's flows go to another service
    RefuseStore, // a third of the instances get HTTP status 503 or 429 from the store
    // drawn apart
    EvacuateZone, // planned: an operator evacuates a zone and ends that later
    // drawn apart
    SlowInstance, // it gets a quarter of a processor in short slices; its callers have to be served all the same
    Count,
};

std::string_view nameOf(StepKind kind);
/** The names of all kinds. Thread safe. */
std::vector<std::string> namesOfSteps();
/** Whether no promise is eased by the step. */
bool isPlanned(StepKind kind);

struct Step
{
    Duration at{ 0 }; // from the start of traffic
    StepKind kind = StepKind::RestartInstance;
    uint32_t subject = 0; // which instance or target, modulo their number
    Duration lasts{ 0 };
};

using Plan = std::vector<Step>;

/** Steps over `length`, the last of them ended `calm` before its end. The same for the same seed. Thread safe. */
Plan drawPlan(uint64_t seed, Duration length, Duration calm);
/** One line for each step. Thread safe. */
std::string toText(const Plan &plan);

} // namespace hornbeam::soak
