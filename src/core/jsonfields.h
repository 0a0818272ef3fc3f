#pragma once

// Reads JSON documents that people write: every fault is collected with its path, its value and what is allowed there.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

/** One fault of a document. */
struct Fault
{
    std::string path;    // for example "targets[2].weight"; empty for the document itself
    std::string value;   // as written, cut short; "missing" when there is none
    std::string allowed; // what may stand there

    bool operator==(const Fault &) const = default;
};

/** "path: value is not allowed; allowed: ..." on one line. Thread safe. */
std::string toString(const Fault &fault);

/** Whether a name of a service, target or zone is allowed: 1 to 64 letters, digits, dots, dashes and underscores. Thread safe. */
bool isValidName(std::string_view text);

/**
 * Reads the fields of one JSON object. Each read marks its key as known; finish() reports the others. A field that is absent leaves the
 * value alone. Not thread safe. Precondition: the object and the list of faults outlive the reader.
 */
class JsonFields
{
public:
    JsonFields(const nlohmann::json &object, std::string path, std::vector<Fault> &faults);

    /** Whether the key is there. */
    bool has(const std::string &key) const;
    /** Reports the key as missing unless it is there. Returns whether it is there. */
    bool require(const std::string &key, const std::string &allowed);
    /** Reads a whole number within the bounds, both included. */
    void number(const std::string &key, uint64_t low, uint64_t high, uint64_t &value);
    /** Reads a string of any content. */
    void text(const std::string &key, std::string &value);
    /** Reads a string that isValidName. */
    void name(const std::string &key, std::string &value);
    /** Reads true or false. */
    void flag(const std::string &key, bool &value);
    /** Reads one of the names and gives its position. */
    void choice(const std::string &key, const std::vector<std::string_view> &names, size_t &position);
    /** The array under a key, or null when it is absent or anything else (which is reported). */
    const nlohmann::json *array(const std::string &key);
    /** The object under a key, or null when it is absent or anything else (which is reported). */
    const nlohmann::json *object(const std::string &key);
    /** Reports a fault at a key of this object. */
    void fault(const std::string &key, const std::string &allowed);
    /** The number of faults reported so far, of the whole document. */
    size_t faultCount() const;
    /** Reports every key that no read asked for. */
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

/** The text of a value for a fault, cut to a readable length. Thread safe. */
std::string abbreviatedText(const nlohmann::json &value);

} // namespace hornbeam
