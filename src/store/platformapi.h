#pragma once

// The platform's object API as the rest of the program sees it: versioned objects, conditional writes, watches, the list of instances.
// Implemented by PlatformClient over HTTP, and by fakes in tests.

#include "core/clock.h"
#include "core/types.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

/** How a call ended. */
enum class PlatformOutcome : uint8_t {
    Ok,
    NotFound,    // there is no such object
    Conflict,    // the condition of a write does not hold; nothing was written
    Unavailable, // the platform did not answer or refused the call; nothing was written
    Malformed,   // the platform rejects the call, or its answer can't be read; nothing was written
    Unknown,     // a write's answer was lost; it may have taken effect
    HistoryGone, // the store no longer knows the changes since the revision that a watch begins at
};

std::string_view nameOf(PlatformOutcome outcome);

/** The condition of a write. */
struct PutCondition
{
    enum class Kind : uint8_t {
        Always,
        IfAbsent,
        IfVersion,
    };
    Kind kind = Kind::Always;
    uint64_t version = 0;

    static PutCondition ifAbsent()
    {
        return { Kind::IfAbsent, 0 };
    }
    static PutCondition ifVersion(uint64_t version)
    {
        return { Kind::IfVersion, version };
    }
};

struct PlatformObject
{
    std::string key;
    uint64_t version = 0;                                    // only rises, also past a deletion
    std::string value;                                       // when it is stored as text
    bool isDeleted = false;                                  // in answers to watches only
    std::shared_ptr<const nlohmann::json> content = nullptr; // when it is stored as structured data
};

struct PlatformInstance
{
    std::string name;
    std::string zone;
    std::string address; // a.b.c.d:port of the peer protocol
    std::string state;   // "live" or "leaving"
};

/** The content of an object as structured data; discarded when it is text that is not JSON. Thread safe. */
nlohmann::json contentOf(const PlatformObject &object);

/** The answer to any call; each call fills the fields that belong to it. */
struct PlatformReply
{
    PlatformOutcome outcome = PlatformOutcome::Unavailable;
    uint64_t version = 0;                    // put: the version written
    uint64_t revision = 0;                   // list, watch: the store's revision that the answer covers
    std::vector<PlatformObject> objects;     // get: one; list, watch: those under the prefix
    std::vector<PlatformInstance> instances; // instances
    std::string problem;                     // for people, when the outcome is not Ok

    bool isOk() const
    {
        return this->outcome == PlatformOutcome::Ok;
    }
};

using PlatformCallback = std::function<void(PlatformReply)>;

/** Asynchronous calls. Each callback runs exactly once, never before its call has returned. Not thread safe: one event loop owns it. */
class PlatformApi
{
public:
    virtual ~PlatformApi() = default;
    /** Reads one object. */
    virtual void get(const std::string &key, PlatformCallback done) = 0;
    /** Writes one object when the condition holds. */
    virtual void put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done) = 0;
    /** Reads all objects whose key begins with the prefix. */
    virtual void list(const std::string &prefix, PlatformCallback done) = 0;
    /** Waits until an object under the prefix has a version above `after`, at most `timeout`; Ok without objects when none came. */
    virtual void watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done) = 0;
    /** Reads the list of live and leaving instances, which lags. */
    virtual void instances(PlatformCallback done) = 0;
};

/** The keys of the project's objects. Thread safe. */
inline std::string tableKey(std::string_view service)
{
    return "tables/" + std::string(service);
}
inline std::string statusKey(std::string_view zone)
{
    return "status/" + std::string(zone);
}
constexpr std::string_view tablePrefix = "tables/";
constexpr std::string_view statusPrefix = "status/";
constexpr std::string_view seedPrefix = "seeds/";
constexpr std::string_view instancePrefix = "instances/";

/** Reads the objects of a reply as instances; leaves out those that are malformed. Thread safe. */
void readInstances(PlatformReply &reply);

} // namespace hornbeam
