#pragma once

// The platform stand-in's memory: versioned objects, instances, call counts and the faults that tests ask for.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace hornbeam::standins {

struct StoredObject
{
    std::string key;
    uint64_t version = 0; // the store's revision at the last write
    std::string value;
    bool isDeleted = false;
};

struct StoredInstance
{
    std::string name;
    std::string zone;
    std::string address;
    std::string state = "live";
};

enum class WriteOutcome : uint8_t {
    Created,
    Replaced,
    Conflict,
    TooLarge,
    NotFound,
};

/** Not thread safe: one event loop owns it. A copy of it is a backup: it has the revisions of its moment. */
class PlatformStore
{
public:
    static constexpr size_t maxValueBytes = (1U << 20) + 2; // a megabyte of text and its quotes

    /** The object under a key, or null when there is none or it was deleted. */
    const StoredObject *find(const std::string &key) const;
    /** Writes when the condition holds. `ifVersion` is null for none, and 0 for "must not exist". */
    WriteOutcome put(const std::string &key, const std::string &value, const uint64_t *ifVersion);
    WriteOutcome remove(const std::string &key, const uint64_t *ifVersion);
    /** Objects under a prefix with a version above `after`, by key; deleted ones only when `withDeleted`. */
    std::vector<StoredObject> list(const std::string &prefix, uint64_t after, bool withDeleted) const;
    /** The number of writes so far. */
    uint64_t revision() const;

private:
    bool isAllowed(const std::string &key, const uint64_t *ifVersion) const;

    std::map<std::string, StoredObject> objects;
    uint64_t writes = 0;
};

/** What goes wrong on request. */
struct PlatformFaults
{
    bool outage = false;          // every call is answered by 503, but those to /faults and /calls
    uint64_t delayMs = 0;         // before each answer
    uint64_t loseAnswers = 0;     // this many next writes take effect and get no answer
    std::string statedEra;        // in place of the era, if not empty
    double failRate = 0;          // share of the calls that are answered by 503
    std::minstd_rand random{ 1 }; // decides which
};

} // namespace hornbeam::standins
