// The fault soak: real processes, faults from outside, and checks of what callers and targets see.

#include "run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>

namespace {
using namespace hornbeam::soak;
using hornbeam::seconds;

constexpr seconds calmEnd(10); // after the last fault: the stability window, a drain and an edit with their bounds

struct Options
{
    std::vector<uint64_t> seeds;
    std::string seedFile;
    std::string binaries = "build";
    uint32_t fresh = 0;
    uint32_t lengthSeconds = 28;
    size_t instances = 6;
    std::vector<std::string> without; // names of kinds of steps
    bool isShrinking = false;
};

std::filesystem::path logDirOf(uint64_t seed)
{
    return std::filesystem::temp_directory_path() / ("hornbeam-soak-" + std::to_string(seed) + "-" + std::to_string(::getpid()));
}

RunResult play(const Options &options, uint64_t seed, const Plan &plan)
{
    RunSettings settings;
    settings.seed = seed;
    settings.plan = plan;
    settings.length = seconds(options.lengthSeconds);
    settings.instances = options.instances;
    settings.binaries = options.binaries;
    settings.dir = logDirOf(seed);
    std::filesystem::remove_all(settings.dir);
    std::filesystem::create_directories(settings.dir);
    return playRun(settings);
}

// leaves out halves, then quarters and so on, as long as something is still found
Plan shrink(const Options &options, uint64_t seed, Plan plan)
{
    for (size_t size = plan.size() / 2; size > 0; size /= 2) {
        for (size_t begin = 0; begin + size <= plan.size();) {
            Plan less = plan;
            less.erase(less.begin() + static_cast<Plan::difference_type>(begin), less.begin() + static_cast<Plan::difference_type>(begin + size));
            if (play(options, seed, less).findings.empty()) {
                begin += size;
            } else {
                plan = less;
            }
        }
    }
    return plan;
}

bool playSeed(const Options &options, uint64_t seed)
{
    Plan plan = drawPlan(seed, seconds(options.lengthSeconds), calmEnd);
    std::erase_if(plan,
                  [&](const Step &step) { return std::find(options.without.begin(), options.without.end(), nameOf(step.kind)) != options.without.end(); });
    const RunResult result = play(options, seed, plan);
    std::printf("seed %llu: %zu steps, %llu flows opened, %llu requests answered, %llu tries failed, %llu resets, %llu openings of cold targets, %zu broken\n",
                static_cast<unsigned long long>(seed), plan.size(), static_cast<unsigned long long>(result.opened),
                static_cast<unsigned long long>(result.answered), static_cast<unsigned long long>(result.failed),
                static_cast<unsigned long long>(result.resets), static_cast<unsigned long long>(result.coldOpenings), result.findings.size());
    if (result.findings.empty() && result.answered > 0) {
        std::filesystem::remove_all(logDirOf(seed));
        return true;
    }
    std::string without;
    for (const std::string &kind : options.without) {
        without += (without.empty() ? " --without " : " ") + kind;
    }
    std::printf("again: soak-faults --seeds %llu --length %u --instances %zu%s; logs in %s; schedule:\n%s", static_cast<unsigned long long>(seed),
                options.lengthSeconds, options.instances, without.c_str(), logDirOf(seed).c_str(), toText(plan).c_str());
    if (options.isShrinking) {
        std::printf("smallest schedule that still fails:\n%s", toText(shrink(options, seed, plan)).c_str());
    }
    return false;
}

// one seed a line, then a bar and the cause of its failure
void readSeeds(Options &options)
{
    std::ifstream file(options.seedFile);
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#') {
            options.seeds.push_back(std::stoull(line));
        }
    }
}
}

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{ "Fault soak: runs hornbeamd processes with a store, targets and callers, and disturbs them by a seeded schedule." };
    app.add_option("--seeds", options.seeds, "seeds to play");
    app.add_option("--seed-file", options.seedFile, "file of seeds that once failed")->check(CLI::ExistingFile);
    app.add_option("--fresh", options.fresh, "further seeds, drawn now")->capture_default_str();
    app.add_option("--length", options.lengthSeconds, "seconds of traffic of a run")->check(CLI::Range(14, 600))->capture_default_str();
    app.add_option("--instances", options.instances, "balancers")->check(CLI::Range(2, 200))->capture_default_str();
    app.add_option("--binaries", options.binaries, "folder of hornbeamd and standins-platform")->check(CLI::ExistingDirectory)->capture_default_str();
    app.add_option("--without", options.without, "kinds of steps to leave out of the schedule")->check(CLI::IsMember(namesOfSteps()));
    app.add_flag("--shrink", options.isShrinking, "look for a smaller schedule that still fails");
    CLI11_PARSE(app, argc, argv);
    try {
        readSeeds(options);
        std::random_device entropy;
        for (uint32_t i = 0; i < options.fresh; ++i) {
            options.seeds.push_back(entropy());
        }
        size_t failed = 0;
        for (const uint64_t seed : options.seeds) {
            failed += playSeed(options, seed) ? 0 : 1;
            std::fflush(stdout);
        }
        std::printf("soak: %zu seeds, %zu failed\n", options.seeds.size(), failed);
        return failed == 0 && !options.seeds.empty() ? 0 : 1;
    } catch (const std::exception &failure) {
        std::cerr << "the soak could not run: " << failure.what() << "\n";
        return 2;
    }
}
