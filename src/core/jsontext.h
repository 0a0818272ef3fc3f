#pragma once

// Reads JSON text written by other programs. Splits a document without parsing its parts, so that a part that can't be parsed doesn't affect the others, and
// limits the nesting of what is parsed.

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeam {

constexpr size_t maxJsonDepth = 64; // nested arrays and objects; copying, comparing and writing a parsed document use the stack for each level
constexpr std::string_view unparsableJson = "text that is malformed, nested too deeply, or with a number out of range";

/** Parses a document. Returns a discarded value if it is malformed, has a number out of the range of a double, or is nested deeper than `maxJsonDepth`.
 * Thread safe. */
nlohmann::json parseJson(std::string_view text);

/** The fields of a JSON object, as unparsed text. */
class JsonSlices
{
public:
    /** Splits `text`, which has to outlive this object. Without fields if `text` isn't an object or its fields can't be told apart. */
    explicit JsonSlices(std::string_view text);

    /** The text of a field's value, of the last one if there are several; empty if there is none. */
    std::string_view at(std::string_view key) const;

private:
    std::vector<std::pair<std::string_view, std::string_view>> fields;
};

/** Splits a JSON array into the unparsed text of its elements, which share the storage of `text`. Returns nothing if it isn't an array or its elements can't
 * be told apart. Thread safe. */
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

} // namespace hornbeam
