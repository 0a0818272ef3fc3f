#include "paths.h"
#include "scenario.h"

#include <catch2/catch.hpp>
#include <filesystem>

namespace {

constexpr uint64_t seeds[] = { 20261204, 7 };

/** One test case for each file, by its exact name. */
class ScenarioCase final : public Catch::ITestInvoker
{
public:
    explicit ScenarioCase(std::string path) : path(std::move(path))
    {
    }
    void invoke() const override
    {
        const Scenario scenario = readScenario(this->path);
        for (const uint64_t seed : seeds) {
            const auto failure = runScenario(scenario, seed, "");
            INFO((failure ? failure->text : ""));
            CHECK_FALSE(failure.has_value());
        }
        for (const ScenarioCounter &counter : scenario.counters) {
            const auto failure = runScenario(scenario, seeds[0], counter.mechanism);
            INFO("without " << counter.mechanism << " it must fail at: " << counter.expectation << "\n" << (failure ? failure->text : "it passes"));
            CHECK(failure.has_value());
            CHECK((failure && failure->expectation.starts_with(counter.expectation)));
        }
    }

private:
    std::string path;
};

const size_t registered = [] {
    std::vector<std::string> paths;
    for (const auto &entry : std::filesystem::directory_iterator(hornbeam::sourceDirectory() + "/tests/scenarios")) {
        if (entry.path().extension() == ".scenario") {
            paths.push_back(entry.path().string());
        }
    }
    std::sort(paths.begin(), paths.end());
    for (const std::string &path : paths) {
        const std::string name = "scenario " + std::filesystem::path(path).stem().string();
        Catch::AutoReg(new ScenarioCase(path), CATCH_INTERNAL_LINEINFO, Catch::StringRef(), Catch::NameAndTags(name, "[scenario]"));
    }
    return paths.size();
}();

} // namespace

TEST_CASE("the scenario files were found")
{
    CHECK(registered >= 8);
}
