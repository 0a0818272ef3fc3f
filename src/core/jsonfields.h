#pragma once

// Validates hand-written JSON documents. Collects every error with its path, the value found and the allowed values.

#include "core/clock.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

/** A validation error in a document. */
struct Fault
{
    std::string path;    // for example "targets[2].weight"; empty for the document itself
    std::string value;   // as written, truncated; "missing" if the key is absent
    std::string allowed; // description of the allowed values

    bool operator==(const Fault &) const = default;
};

/** Formats an error as "path: value is not allowed; allowed: ..." on one line. Thread safe. */
std::string toString(const Fault &fault);

/** Whether `text` is a valid service, target or zone name: 1 to 64 letters, digits, dots, dashes and underscores. Thread safe. */
bool isValidName(std::string_view text);

/**
 * Reads the fields of a JSON object. Each read registers its key as known, and finish() reports all other keys. If a field is absent, the
 * output value is unchanged. Not thread safe. Precondition: the object and the list of errors outlive the reader.
 */
class JsonFields
{
public:
    JsonFields(const nlohmann::json &object, std::string path, std::vector<Fault> &faults);

    /** Whether the key is present. */
    bool has(const std::string &key) const;
    /** Reports an error if the key is absent. Returns whether it is present. */
    bool require(const std::string &key, const std::string &allowed);
    /** Reads an unsigned integer in the range [low, high]. */
    void number(const std::string &key, uint64_t low, uint64_t high, uint64_t &value);
    /** Reads a number in the range [low, high] that may have decimals. */
    void decimal(const std::string &key, double low, double high, double &value);
    /** Reads a duration in milliseconds in the range [low, high] that may have decimals; it is rounded to nanoseconds. */
    void duration(const std::string &key, Duration low, Duration high, Duration &value);
    /** Reads a string without further validation. */
    void text(const std::string &key, std::string &value);
    /** Reads a string that satisfies isValidName. */
    void name(const std::string &key, std::string &value);
    /** Reads a Boolean. */
    void flag(const std::string &key, bool &value);
    /** Reads a string that is one of `names` and stores its index. */
    void choice(const std::string &key, const std::vector<std::string_view> &names, size_t &position);
    /** The array at a key. Null if the key is absent; null with a reported error if it has another type. */
    const nlohmann::json *array(const std::string &key);
    /** The object at a key. Null if the key is absent; null with a reported error if it has another type. */
    const nlohmann::json *object(const std::string &key);
    /** Reports an error for a key of this object. */
    void fault(const std::string &key, const std::string &allowed);
    /** The number of errors reported so far in the whole document. */
    size_t faultCount() const;
    /** Reports every key that was not read. */
    void finish();
    /** The path of a key of this object. */
    std::string pathOf(const std::string &key) const;

private:
    const nlohmann::json *find(const std::string &key);

    const nlohmann::json &fields;
    std::string path;
    std::vector<Fault> &faults;
    std::vector<std::string> knownKeys;
};

/** A number for a document: one that is whole has no decimals. Thread safe. */
nlohmann::json decimalToJson(double number);
/** A duration in milliseconds for a document, as JsonFields::duration reads it. Thread safe. */
nlohmann::json durationToJson(Duration duration);

/** Serializes a value for an error message, truncated to 60 bytes. Thread safe. */
std::string abbreviatedText(const nlohmann::json &value);

} // namespace hornbeam
