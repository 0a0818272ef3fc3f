#pragma once

// Reads the fields of a JSON object that another program wrote.

#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hornbeam {

/** Reads typed fields and records the first one that is missing or has the wrong type. Unlike JsonFields, which validates documents that people write, it
 * leaves unknown fields alone and stops at the first error. Not thread safe. Precondition: the object outlives the reader. */
class JsonObjectReader
{
public:
    explicit JsonObjectReader(const nlohmann::json &object);

    /** The string at a key, of at most `maxBytes`; empty with an error otherwise. */
    std::string textAt(const char *key, size_t maxBytes = std::numeric_limits<size_t>::max());
    /** The integer from 0 to `largest` at a key; 0 with an error if it is none, the number as it is with an error if it is larger. */
    uint64_t integerAt(const char *key, uint64_t largest = std::numeric_limits<uint64_t>::max());
    /** The non-negative number at a key, `factor` times as large and rounded; the largest one of 32 bits if it doesn't fit. Only 0 becomes 0. */
    uint32_t limitedNumberAt(const char *key, double factor = 1);
    /** The array at a key; null with an error if there is none. */
    const nlohmann::json *arrayAt(const char *key);
    bool has(const char *key) const;

    /** Records an error for a key unless there is one already. */
    void fail(const std::string &key, const std::string &expected);
    /** The first error; empty if there is none. */
    const std::string &problem() const;

private:
    const nlohmann::json *find(const char *key) const;

    const nlohmann::json &object;
    std::string firstError;
};

} // namespace hornbeam
