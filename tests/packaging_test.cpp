#include "apps/settings.h"
#include "apps/tablecells.h"
#include "apps/tablediff.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

using namespace hornbeam;

namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(HORNBEAM_SOURCE_DIR "/packaging/examples/" + name);
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
