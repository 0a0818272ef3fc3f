// Tests of JSON text that is split without being parsed.

#include "core/jsontext.h"
#include "nestedjson.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace hornbeam;
using nlohmann::json;

TEST_CASE("JSON text is split into the parts that a parser finds, and arbitrary text is split or rejected")
{
    SECTION("objects and arrays")
    {
        const JsonSlices fields(" { \"a\" : 1 , \"b\":{\"a\":[2,{}]}, \"c\" : \"x\\\"}\" ,\"a\":null } ");
        CHECK(fields.at("a") == "null"); // the last of several, as in the parser
        CHECK(fields.at("b") == R"({"a":[2,{}]})");
        CHECK(fields.at("c") == R"("x\"}")");
        CHECK(fields.at("d").empty());
        CHECK(splitJsonArray(" [ ] ")->empty());
        CHECK(*splitJsonArray("[1, [2,3] ,\"]\"]") == std::vector<std::string_view>{ "1", "[2,3]", "\"]\"" });
    }
    SECTION("incomplete documents")
    {
        for (const std::string_view text : { "", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[1]]", "{", "[[1]", "[\"a]", "[\"a\\", "1" }) {
            CAPTURE(text);
            CHECK_FALSE(splitJsonArray(text).has_value());
        }
        for (const std::string_view text :
             { "", "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":1,", "{a:1}", "{\"a\":1}{", "[]", "{\"a\" 1}", "{\"a\":1 \"a\":2}" }) {
            CAPTURE(text);
            CHECK(JsonSlices(text).at("a").empty());
        }
    }
    SECTION("nested documents")
    {
        CHECK(parseJson(nested(maxJsonDepth, "[", "]")).is_array());
        CHECK(parseJson(nested(maxJsonDepth + 1, "[", "]")).is_discarded());
        CHECK(parseJson(nested(maxJsonDepth + 1, "{\"a\":", "}")).is_discarded());
        CHECK(parseJson("\"" + nested(maxJsonDepth + 1, "[", "]") + "\"").is_string());
    }
    SECTION("any document")
    {
        CHECK(rc::check("split and parsed documents agree", [](const std::vector<std::string> &texts, const std::vector<int> &numbers, uint16_t at, char byte) {
            json document{ { "texts", json::array() }, { "numbers", numbers }, { "nested", { { "list", numbers }, { "none", nullptr } } } };
            for (const std::string &text : texts) {
                document["texts"].push_back(json::parse(json(text).dump(-1, ' ', false, json::error_handler_t::replace)));
            }
            std::string text = document.dump();
            const JsonSlices fields(text);
            for (const auto &[key, value] : document.items()) {
                RC_ASSERT(parseJson(fields.at(key)) == value);
            }
            const auto elements = splitJsonArray(fields.at("texts"));
            RC_ASSERT(elements.has_value());
            RC_ASSERT(elements->size() == texts.size());
            text[at % text.size()] = byte;
            const JsonSlices mutated(text);
            json parsed = json::parse(text, nullptr, false);
            for (const std::string key : { "texts", "numbers", "nested" }) {
                if (parsed.is_object() && parsed.contains(key)) {
                    RC_ASSERT(parseJson(mutated.at(key)) == parsed[key]);
                }
            }
        }));
    }
}
