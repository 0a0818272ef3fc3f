#include "oddentry.h"

#include <array>
#include <string_view>
#include <utility>

namespace hornbeam::standins {

std::string oddEntry(uint32_t kind)
{
    constexpr size_t nesting = 100'000;
    using Fields = std::pair<std::string_view, std::string_view>; // a field of an entry that would be sound otherwise, and what stands in its place
    constexpr std::array<Fields, 10> changes{ {
        { R"("slots":2)", R"("slots":1e999)" },
        { R"("slots":2)", R"("slots":4294967296)" },
        { R"("born":1)", R"("born":18446744073709551615)" },
        { R"("127.0.0.1:9")", R"("127.0.0.1:70000")" },
        { R"("127.0.0.1:9")", R"("127.0.0.1:0")" },
        { R"("v1")", "\"\xed\xa0\xbd\xed\xb0\x91\"" },
        { R"("v1")", R"("\ud800")" },
        { R"("version":"v1",)", "" },
        { R"("ready")", R"("asleep")" },
        { R"("here")", "NaN" },
    } };
    std::string text =
        R"({"service":"booking","address":"127.0.0.1:9","zone":"here","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"seqNo":1,"born":1})";
    const size_t chosen = kind % (changes.size() + 2);
    if (chosen < changes.size()) {
        return text.replace(text.find(changes[chosen].first), changes[chosen].first.size(), changes[chosen].second);
    }
    std::string deep = std::string(nesting, '[') + std::string(nesting, ']');
    if (chosen == changes.size()) {
        return deep;
    }
    text.insert(1, R"("extra":)" + deep + ",");
    return text;
}

} // namespace hornbeam::standins
