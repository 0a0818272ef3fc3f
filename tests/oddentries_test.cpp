// Tests of store responses in which one entry, written by another program, is unusable. All other entries have to be read, and the process has to survive.

#include "apps/storereadersettings.h"
#include "core/jsontext.h"
#include "nestedjson.h"
#include "platform/flowobjects.h"
#include "platform/platformcodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck.h>

using namespace hornbeam;
using nlohmann::json;

namespace {

constexpr size_t soundEntries = 5;
constexpr size_t largestNesting = 500'000; // of an entry of 1 MB

std::string soundSpec(const std::string &changedField = "", const std::string &changedValue = "")
{
    const std::vector<std::pair<std::string, std::string>> fields{
        { "service", R"("booking")" },
        { "address", R"("10.1.0.9:8080")" },
        { "zone", R"("here")" },
        { "version", R"("v1")" },
        { "slots", "2" },
        { "state", R"("ready")" },
        { "warmupLeftMs", "0" },
        { "seqNo", "4" },
        { "born", "1772920000000" },
    };
    std::string text;
    bool isChanged = changedField.empty();
    for (const auto &[field, value] : fields) {
        isChanged = isChanged || field == changedField;
        text += (text.empty() ? "{\"" : ",\"") + field + "\":" + (field == changedField ? changedValue : value);
    }
    return text + (isChanged ? "" : ",\"" + changedField + "\":" + changedValue) + "}";
}

std::string object(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","rev":7},"spec":)" + spec + R"(,"status":null})";
}

/** The entries of a response in order; the odd one stands at `position` under the name "odd". */
std::vector<std::string> entriesWith(const std::string &oddSpec, size_t position)
{
    std::vector<std::string> entries;
    for (size_t i = 0; i <= soundEntries; ++i) {
        entries.push_back(i == position ? object("odd", oddSpec) : object("i-" + std::to_string(i), soundSpec()));
    }
    return entries;
}

std::string join(const std::vector<std::string> &entries)
{
    std::string text;
    for (const std::string &entry : entries) {
        text += (text.empty() ? "" : ",") + entry;
    }
    return text;
}

std::string listBody(const std::vector<std::string> &entries)
{
    return R"({"items":[)" + join(entries) + R"(],"hasMore":false,"currentRev":9})";
}

std::string watchBody(std::vector<std::string> entries)
{
    for (std::string &entry : entries) {
        entry = R"({"object":)" + entry + R"(,"removed":false})";
    }
    return R"({"events":[)" + join(entries) + R"(],"currentRev":9})";
}

/** Checks that all entries but the odd one are read from a list and from a watch, and that the odd one is reported. */
void checkOnlyOddIsIgnored(const std::string &oddSpec)
{
    for (const size_t position : { size_t{ 0 }, soundEntries / 2, soundEntries }) {
        CAPTURE(position);
        PlatformReply list;
        PlatformReply watch;
        ObjectPage page;
        REQUIRE(parsePage(listBody(entriesWith(oddSpec, position)), std::string(targetPrefix), list, page));
        REQUIRE(parseWatchResponse(watchBody(entriesWith(oddSpec, position)), std::string(targetPrefix), watch));
        CHECK(list.revision == 9);
        CHECK(watch.revision == 9);
        for (const PlatformReply *reply : { &list, &watch }) {
            std::vector<IgnoredEntry> ignored;
            const TargetUpdate update = makeTargetUpdate({ reply->objects, reply == &list, TimePoint{}, 1, 9 }, ignored);
            CHECK(update.updated.size() == soundEntries);
            CHECK(std::none_of(update.updated.begin(), update.updated.end(), [](const TargetEntry &entry) { return entry.record.name == "odd"; }));
            REQUIRE(ignored.size() == 1);
            CHECK(ignored.front().name == "odd");
            CHECK_FALSE(ignored.front().problem.empty());
            CHECK(update.removed == std::vector<std::string>{ "odd" }); // also when it was a sound entry before
        }
    }
}

/** Text of a JSON value, sound or not, whose quotes and brackets are balanced. */
std::string drawValue(std::minstd_rand &random, int depth)
{
    static const std::vector<std::string> scalars{ "null",
                                                   "true",
                                                   "0",
                                                   "-0",
                                                   "1",
                                                   "-1",
                                                   "0.5",
                                                   "1e3",
                                                   "1e999",
                                                   "-1E+400",
                                                   "65536",
                                                   "4294967296",
                                                   "18446744073709551615",
                                                   "18446744073709551616",
                                                   "9223372036854775808",
                                                   "NaN",
                                                   "nul",
                                                   "0x10",
                                                   "+1",
                                                   "01",
                                                   "\"\"",
                                                   "\"ready\"",
                                                   "\"draining\"",
                                                   "\"10.1.0.9:0\"",
                                                   "\"10.1.0.9:65535\"",
                                                   "\"booking\"",
                                                   "\"\\ud800\"",
                                                   "\"\\u0000\"",
                                                   "\"\\q\"",
                                                   "\"[{\"",
                                                   "\"\\\"}\"",
                                                   "\"\xed\xa0\x80\"",
                                                   "\"\xff\"",
                                                   "\"\xc0\x80\"",
                                                   "\"\x01\"",
                                                   "\"" + std::string(300, 'x') + "\"" };
    const size_t choice = random() % 10;
    if (choice < 7 || depth == 0) {
        return scalars[random() % scalars.size()];
    }
    std::string text;
    const size_t count = random() % 4;
    for (size_t i = 0; i < count; ++i) {
        text += (i == 0 ? "" : ",") + (choice < 9 ? "\"" + std::string(1, static_cast<char>('a' + random() % 3)) + "\":" : std::string())
            + drawValue(random, depth - 1);
    }
    text = choice < 9 ? "{" + text + "}" : "[" + text + "]";
    return random() % 20 == 0 ? nested(random() % 200, "[", "]") : text;
}

std::string drawOddSpec(std::minstd_rand &random)
{
    static const std::vector<std::string> fields{ "service", "address", "zone", "version", "slots", "state", "warmupLeftMs", "seqNo", "born", "extra" };
    if (random() % 4 == 0) {
        return drawValue(random, 5);
    }
    std::string spec = soundSpec(fields[random() % fields.size()], drawValue(random, 3));
    for (size_t i = random() % 3; i > 0; --i) {
        const size_t at = random() % spec.size();
        const char byte = static_cast<char>(random() % 256);
        const auto isStructure = [](char character) { return std::string_view("\"\\[]{}").find(character) != std::string_view::npos; };
        spec[at] = isStructure(spec[at]) || isStructure(byte) ? spec[at] : byte;
    }
    return spec;
}

}

// Guards against a stack overflow: copying or writing a parsed document recurses to its depth, so every process that reads the list ends again and again.
TEST_CASE("a deeply nested entry of the store ends no process and hides no other entry")
{
    SECTION("as the whole entry")
    {
        checkOnlyOddIsIgnored(nested(largestNesting, "[", "]"));
        checkOnlyOddIsIgnored(nested(largestNesting / 3, "{\"a\":", "}"));
    }
    SECTION("in a field of the entry")
    {
        checkOnlyOddIsIgnored(soundSpec("service", nested(largestNesting, "[", "]")));
        checkOnlyOddIsIgnored(soundSpec("extra", nested(largestNesting, "[", "]")));
    }
    SECTION("as the only object of a response")
    {
        PlatformReply reply;
        REQUIRE(parseObject(object("odd", nested(largestNesting, "[", "]")), std::string(targetPrefix), reply));
        REQUIRE(reply.objects.size() == 1);
        CHECK_FALSE(contentOf(reply.objects.front()).is_object());
        CHECK_FALSE(parseTarget(reply.objects.front()).record.has_value());
        CHECK_FALSE(parseConfiguration(reply.objects.front()).configuration.has_value());
    }
    SECTION("as text")
    {
        checkOnlyOddIsIgnored("\"" + nested(largestNesting, "[", "]") + "\"");
    }
}

// Guards against a response that is rejected as a whole: the process then follows neither the targets nor their draining while the entry exists.
TEST_CASE("an entry of the store that can't be parsed hides no other entry")
{
    SECTION("with a number out of range")
    {
        for (const std::string number : { "1e999", "-1e999", "1e99999999999999999999" }) {
            CAPTURE(number);
            checkOnlyOddIsIgnored(number);
            checkOnlyOddIsIgnored(soundSpec("slots", number));
            checkOnlyOddIsIgnored(soundSpec("extra", number));
        }
        checkOnlyOddIsIgnored(soundSpec("born", std::string(400, '9')));
    }
    SECTION("with text that is not UTF-8")
    {
        for (const std::string text : { "\xff\xfe\x80", "\xed\xa0\x80", "\xed\xbf\xbf", "\xf4\x90\x80\x80", "\xe0\x80\x80", "\xc3" }) {
            checkOnlyOddIsIgnored("\"" + text + "\"");
            checkOnlyOddIsIgnored(soundSpec("service", "\"" + text + "\""));
            checkOnlyOddIsIgnored(soundSpec("version", "\"" + text + "\""));
        }
    }
    SECTION("with invalid escapes, control characters and words")
    {
        for (const std::string value : { R"("\ud800")", R"("\x41")", "\"a\tb\"", "NaN", "Infinity", "tru", "0123", "--1", "[1,2,]", "{\"a\" 1}", "[}" }) {
            CAPTURE(value);
            checkOnlyOddIsIgnored(value);
            checkOnlyOddIsIgnored(soundSpec("extra", value));
        }
    }
    SECTION("with quotes, brackets and backslashes in its text")
    {
        for (const std::string value : { R"("]}")", R"("{[\"")", R"("\\")", R"("\\\"}]")", R"({"]":"[{"})" }) {
            CAPTURE(value);
            checkOnlyOddIsIgnored(value);
        }
    }
    SECTION("whose name can't be parsed")
    {
        for (const std::string meta : { R"({"name":"\ud800","rev":7})", R"({"name":5,"rev":7})", R"({"rev":7})", "1e999" }) {
            CAPTURE(meta);
            std::vector<std::string> entries = entriesWith("{}", 2);
            entries[2] = R"({"meta":)" + meta + R"(,"spec":)" + soundSpec() + "}";
            PlatformReply reply;
            ObjectPage page;
            REQUIRE(parsePage(listBody(entries), std::string(targetPrefix), reply, page));
            CHECK(reply.objects.size() == soundEntries);
            CHECK(reply.unnamedObjects == 1);
        }
    }
}

// Guards against numbers that change when they are stored in a smaller type, and against packets to addresses that no target can have.
TEST_CASE("an entry of the store with a number out of range names no target")
{
    SECTION("a port out of range")
    {
        for (const std::string address : { "10.1.0.9:0", "10.1.0.9:65536", "10.1.0.9:70000", "10.1.0.9:99999999999999999999", "10.1.0.9:-1", "10.1.0.9:+80",
                                           "10.1.0.9:", "10.1.0.9", "10.1.0.256:80", "0.0.0.0:80", "10.1.0.9:80 " }) {
            CAPTURE(address);
            checkOnlyOddIsIgnored(soundSpec("address", "\"" + address + "\""));
        }
    }
    SECTION("slots that don't fit")
    {
        for (const std::string slots : { "4294967296", "4294967298", "18446744073709551615", "18446744073709551616", "-1", "2.5", "1e3" }) {
            CAPTURE(slots);
            checkOnlyOddIsIgnored(soundSpec("slots", slots));
        }
    }
    SECTION("a start time in the far future, which would make every later process of the target look older")
    {
        for (const std::string born : { "253402300800000", "9223372036854775808", "18446744073709551615" }) {
            CAPTURE(born);
            checkOnlyOddIsIgnored(soundSpec("born", born));
        }
    }
    SECTION("the largest values in range are used")
    {
        for (const auto &[field, value] : std::vector<std::pair<std::string, std::string>>{
                 { "address", "\"10.1.0.9:65535\"" }, { "slots", "4294967295" }, { "born", "253402300799999" }, { "warmupLeftMs", "18446744073709551615" } }) {
            CAPTURE(field);
            PlatformReply reply;
            REQUIRE(parseObject(object("i-1f", soundSpec(field, value)), std::string(targetPrefix), reply));
            CHECK(parseTarget(reply.objects.front()).problem.empty());
        }
    }
}

// Guards against updates that no datagram between members can carry.
TEST_CASE("an entry of the store with a text that is too long to be a name names no target")
{
    const auto text = [](size_t size) { return "\"" + std::string(size, 'a') + "\""; };
    for (const std::string field : { "service", "zone" }) {
        CAPTURE(field);
        checkOnlyOddIsIgnored(soundSpec(field, text(257)));
        checkOnlyOddIsIgnored(soundSpec(field, text(900'000)));
        PlatformReply reply;
        REQUIRE(parseObject(object("i-1f", soundSpec(field, text(256))), std::string(targetPrefix), reply));
        CHECK(parseTarget(reply.objects.front()).record.has_value());
    }
    SECTION("as its own name")
    {
        std::vector<std::string> entries = entriesWith("{}", 2);
        entries[2] = object(std::string(70'000, 'a'), soundSpec());
        PlatformReply reply;
        REQUIRE(parseWatchResponse(watchBody(entries), std::string(targetPrefix), reply));
        std::vector<IgnoredEntry> ignored;
        const TargetUpdate update = makeTargetUpdate({ reply.objects, false, TimePoint{}, 1, 9 }, ignored);
        CHECK(update.updated.size() == soundEntries);
        CHECK(update.removed.empty());
        REQUIRE(ignored.size() == 1);
        CHECK(ignored.front().name.size() <= 256);
    }
}

// Guards against flows that any process at an entry's address takes, whatever service it belongs to.
TEST_CASE("an entry of the store whose name identifies no process names no target")
{
    for (const std::string name : { "xyz", "-", "" }) {
        CAPTURE(name);
        PlatformReply reply;
        REQUIRE(parseObject(object(name, soundSpec()), std::string(targetPrefix), reply));
        CHECK_FALSE(parseTarget(reply.objects.front()).record.has_value());
    }
    PlatformReply reply;
    REQUIRE(parseObject(object("i-0", soundSpec()), std::string(targetPrefix), reply));
    CHECK(parseTarget(reply.objects.front()).record.has_value());
}

TEST_CASE("whatever one entry of a list or a watch holds, the others are read and nothing out of range is used")
{
    CHECK(rc::check("odd entries", [](uint32_t seed) {
        std::minstd_rand random(seed);
        const size_t position = random() % (soundEntries + 1);
        const std::vector<std::string> entries = entriesWith(drawOddSpec(random), position);
        PlatformReply list;
        PlatformReply watch;
        ObjectPage page;
        RC_ASSERT(parsePage(listBody(entries), std::string(targetPrefix), list, page));
        RC_ASSERT(parseWatchResponse(watchBody(entries), std::string(targetPrefix), watch));
        for (const PlatformReply *reply : { &list, &watch }) {
            std::vector<IgnoredEntry> ignored;
            const TargetUpdate update = makeTargetUpdate({ reply->objects, reply == &list, TimePoint{}, 1, 9 }, ignored);
            RC_ASSERT(update.updated.size() + ignored.size() == soundEntries + 1);
            RC_ASSERT(update.updated.size() >= soundEntries);
            for (const TargetEntry &entry : update.updated) {
                RC_ASSERT(entry.record.address.port > 0);
                RC_ASSERT(entry.record.address.address > 0U);
                RC_ASSERT(entry.record.slots > 0U);
                RC_ASSERT(entry.record.service.size() <= maxNameBytes);
            }
        }
        for (const PlatformObject &object : list.objects) {
            RC_ASSERT(parseConfiguration(object).configuration.has_value() == parseConfiguration(object).problem.empty());
            const json copy = contentOf(object); // must not use up the stack
            RC_ASSERT(copy.is_discarded() || !copy.dump(-1, ' ', false, json::error_handler_t::replace).empty());
        }
    }));
}
