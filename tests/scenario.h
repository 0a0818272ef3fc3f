#pragma once

// The language of tests/scenarios/*.scenario: one verb a line, `#` begins a comment. docs/PROOFS.md lists what the scenarios show.
//
//   zone NAME...                                      service NAME PORT [balance|persistence] [queue N]
//   instance NAME... in ZONE                          target NAME... of SERVICE in ZONE [slots N] [work MS] [cold MS] [drain MS]
//   reads|orders|brochures|feeds N of SERVICE [think MS]    end reads|orders|brochures|feeds of SERVICE
//   run DURATION                                      repeat N ... done (lines between run N times; `#` in a name is replaced by 1 to N)
//   replace NAME... (stop, and start once it ended)
//   kill|freeze|wake|stop|start NAME...               kill-target|start-target|drain-target NAME...
//   cut|mend PLACE PLACE (zones, callers, platform)   loss|duplicates|reorders SHARE [DURATION]
//   outage on|off     slow MS     lose-answers N      lie TARGET none|up|bad
//   edit WHO SERVICE TARGET COLUMN VALUE [OUTCOME]    race-edit WHO VALUE [OUTCOME] (between the next edit's read and write)
//   release-address TARGET   reuse-address TARGET for SERVICE as NAME   expect ... (see expectations in scenario.cpp)
//   without MECHANISM -> EXPECTATION                  the scenario must fail at that expectation when the mechanism is taken away

#include <optional>
#include <string>
#include <vector>

/** Why a scenario failed. */
struct ScenarioFailure
{
    size_t line = 0;
    std::string expectation; // the failing line
    std::string text;        // what was seen, with seed and trace
};

struct ScenarioCounter
{
    std::string mechanism;
    std::string expectation; // the beginning of the line that must fail
};

struct Scenario
{
    std::string name;
    std::vector<std::string> lines;
    std::vector<ScenarioCounter> counters; // its `without` lines
};

/** Reads a file; throws std::runtime_error when it can't be read. */
Scenario readScenario(const std::string &path);

/** Runs it; nothing when it passes. Throws std::runtime_error, naming the line, when a line is malformed. `mechanism` is taken away unless empty. */
std::optional<ScenarioFailure> runScenario(const Scenario &scenario, uint64_t seed, const std::string &mechanism);
