#include "apps/settings.h"
#include "apps/tablecells.h"
#include "apps/tablediff.h"
#include "paths.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace hornbeam;

namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(sourceDirectory() + "/packaging/examples/" + name);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

struct Example
{
    const char *file;
    size_t targets;
    uint32_t slots;
    size_t zones;
};

}

TEST_CASE("the examples that are installed are in order")
{
    SECTION("settings")
    {
        for (const char *file : { "merpati-lepas.json", "cabrera-hermanos.json" }) {
            INFO(file);
            const CheckedSettings checked = parseSettings(readExample(file));
            REQUIRE(checked.settings.has_value());
            CHECK(checked.settings->seeds.size() >= 3);
        }
    }
    SECTION("the template of the users' platform, with and without bounds for evacuations and for warm-up")
    {
        std::ifstream file(sourceDirectory() + "/deploy/settings.template.json");
        std::ostringstream content;
        content << file.rdbuf();
        const auto render = [&content](bool hasEvacuation, bool hasWarmup, const char *excess = "1.5", const char *figure = "5000",
                                       const char *absent = "none") {
            std::string text = content.str();
            const auto replace = [&text](const std::string &pattern, const char *with) { text = std::regex_replace(text, std::regex(pattern), with); };
            replace(std::string(R"(\{\{#bounds.)") + absent + R"(\}\}.*?\{\{/bounds.)" + absent + R"(\}\})", "");
            replace(std::string(R"(\{\{bounds.)") + absent + R"(\}\})", "");
            replace(R"(\{\{[#/]bounds.(drainMs|configApplyMs|stabilityWindowMs)\}\})", "");
            replace(R"(\{\{#seeds\}\}.*?\{\{/seeds\}\})", R"("127.0.0.9:1","127.0.0.8:1")");
            replace(R"(\{\{#bounds.evacuateMs\}\}(.*?)\{\{/bounds.evacuateMs\}\})", hasEvacuation ? "$1" : "");
            replace(R"(\{\{#bounds.warmupExcess\}\}(.*?)\{\{/bounds.warmupExcess\}\})", hasWarmup ? "$1" : "");
            replace(R"(\{\{#bounds.warmupSlack\}\}(.*?)\{\{/bounds.warmupSlack\}\})", hasWarmup ? "$1" : "");
            replace(R"(\{\{bounds.warmupExcess\}\})", excess);
            replace(R"(\{\{(nodeName|zone)\|json\}\})", R"("n")");
            replace(R"(\{\{ip\|json\}\})", R"("127.0.0.1")");
            replace(R"(\{\{internalPorts.0\}\})", "1001");
            replace(R"(\{\{internalPorts.1\}\})", "1002");
            replace(R"(\{\{bootstrap\|json\}\})", "true");
            replace(R"(\{\{[^}|]*\|json\}\})", R"("127.0.0.1:80")");
            replace(R"(\{\{[^}]*\}\})", figure);
            return parseSettings(text);
        };
        for (const auto &[hasEvacuation, hasWarmup] : { std::pair(false, false), std::pair(true, false), std::pair(false, true), std::pair(true, true) }) {
            const CheckedSettings checked = render(hasEvacuation, hasWarmup);
            REQUIRE(checked.settings.has_value());
            CHECK(checked.settings->flows->parts.warmupExcess.has_value() == hasWarmup);
            CHECK(checked.settings->flows->parts.warmupSlack == (hasWarmup ? 5000 : 0));
            CHECK(checked.settings->flows->drainBound == seconds(5));
            CHECK(checked.settings->flows->evacuationBound.has_value() == hasEvacuation);
        }
        // no instance started after a figure of the deployment had become a fraction
        for (const auto &[excess, figure] : { std::pair("1.25", "2500.5"), std::pair("2", "3000.0") }) {
            CAPTURE(figure);
            const CheckedSettings checked = render(true, true, excess, figure);
            REQUIRE(checked.faults.empty());
            CHECK(checked.settings->flows->parts.warmupSlack == std::stod(figure));
        }
        // the settings of a deployment that lacks one of the bounds were not readable, and no instance started
        for (const char *absent : { "drainMs", "configApplyMs", "stabilityWindowMs" }) {
            CAPTURE(absent);
            CHECK(render(true, true, "1.5", "5000", absent).faults.empty());
        }
    }
    SECTION("tables: applied to an empty one, they parse without a fault")
    {
        for (const Example &example : { Example{ "merpati-lepas-booking.csv", 14, 2, 3 }, Example{ "merpati-lepas-catalogue.csv", 4, 2, 3 },
                                        Example{ "cabrera-hermanos-auction.csv", 14, 3, 4 }, Example{ "cabrera-hermanos-certificates.csv", 4, 3, 4 } }) {
            INFO(example.file);
            TableDocument document;
            document.table.name = "example";
            document.table.port = 5683;
            std::vector<Fault> faults;
            for (const TableChange &change : diffTable(document.table, readExample(example.file), faults)) {
                document.table.rows.push_back(change.row);
            }
            REQUIRE(faults.empty());
            const ParsedTable parsed = parseTable(writeTable(document), 1);
            CHECK(parsed.faults.empty());
            REQUIRE(parsed.document.has_value());
            std::set<std::string> zones;
            for (const TargetRow &row : parsed.document->table.rows) {
                zones.insert(row.zoneName);
                CHECK(row.slots == example.slots);
                CHECK(row.connections == 2000);
            }
            CHECK(parsed.document->table.rows.size() == example.targets);
            CHECK(zones.size() == example.zones);
        }
    }
}
