#pragma once

// One run of the soak: a store, instances, targets and callers, and the steps of a plan.

#include "callers.h"
#include "instances.h"
#include "plan.h"

namespace hornbeam::soak {

struct RunSettings
{
    uint64_t seed = 1;
    Plan plan;
    Duration length = seconds(28); // of traffic
    size_t instances = 6;
    std::string binaries; // folder of hornbeamd and of the store's stand-in
    std::filesystem::path dir;
};

/** What a run gave. */
struct RunResult
{
    std::vector<std::string> findings;
    uint64_t answered = 0;
    uint64_t failed = 0; // tries
    uint64_t resets = 0;
    uint64_t opened = 0;
    uint64_t coldOpenings = 0; // opening packets that cold targets got
};

/** Plays one run. Blocks until its end; all processes that it started have ended then. */
RunResult playRun(const RunSettings &settings);

} // namespace hornbeam::soak
