// The commands that README.md shows, run as they stand there but for addresses.

#include "paths.h"
#include "systemfixture.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace hornbeam;

namespace {

std::vector<std::string> linesOfReadme()
{
    std::ifstream file(sourceDirectory() + "/README.md");
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

/** The words of each line that runs `binary` as a command of its own, without the binary. */
std::vector<std::vector<std::string>> commandsOf(const std::string &binary)
{
    std::vector<std::vector<std::string>> commands;
    for (const std::string &line : linesOfReadme()) {
        std::istringstream words(line);
        std::string word;
        words >> word;
        if (word != "build/" + binary) {
            continue;
        }
        std::vector<std::string> arguments;
        while (words >> word) {
            arguments.push_back(word);
        }
        commands.push_back(arguments);
    }
    return commands;
}

}

TEST_CASE("each command that README.md shows works", "[endtoend]")
{
    const auto folder = std::filesystem::temp_directory_path() / ("readme" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string settings = (folder / "my.json").string();
    const std::string key = (folder / "key").string();
    std::ofstream(key) << "00112233445566778899aabbccddeeff\n";
    PlatformProcess platform({ "--listen", "127.0.0.1:0" });
    REQUIRE_FALSE(platform.address.empty());
    ::setenv("HORNBEAM_PLATFORM", platform.address.c_str(), 1);

    // a balancer of your own
    ChildProcess defaults("hornbeamd", { "--print-defaults" });
    nlohmann::json edited = nlohmann::json::parse(defaults.readAll());
    CHECK(defaults.wait() == 0);
    edited["key_files"] = { key };
    edited["platform"] = platform.address;
    std::ofstream(settings) << edited;

    SECTION("settings are checked, as the first argument of the check and of the start")
    {
        ChildProcess good("hornbeamd", { "--check-settings", settings });
        CHECK(good.wait() == 0);
        ChildProcess both("hornbeamd", { "--settings", settings, "--check-settings" });
        CHECK(both.wait() == 0);
        edited["peer_port"] = 0;
        std::ofstream(settings) << edited;
        ChildProcess bad("hornbeamd", { "--check-settings", settings });
        CHECK(bad.readAll().find("peer_port") != std::string::npos);
        CHECK(bad.wait() == 2);
        ChildProcess none("hornbeamd", { "--check-settings" });
        CHECK(none.wait() == 2);
    }
    SECTION("a balancer runs with them, and the table is made, filled, shown and in force")
    {
        const ChildProcess balancer("hornbeamd", { "--settings", settings });
        const auto commands = commandsOf("hornbeamctl");
        REQUIRE(commands.size() >= 4);
        for (const std::vector<std::string> &arguments : commands) {
            ChildProcess command("hornbeamctl", arguments);
            INFO(arguments.front());
            CHECK(command.wait() == 0);
        }
        const auto page = httpGet({ 0x7F000001, 9464 }, "/metrics", seconds(2));
        CHECK(page.has_value());
    }
    ::unsetenv("HORNBEAM_PLATFORM");
    std::filesystem::remove_all(folder);
}
