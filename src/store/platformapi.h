#pragma once

// Interface to the platform's object API: versioned objects, conditional writes, watches and the list of instances.
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
    NotFound,    // no such object
    Conflict,    // the condition of a write was not met; nothing was written
    Unavailable, // the platform did not respond or refused the call; nothing was written
    Malformed,   // the platform rejected the call, or its response can't be parsed; nothing was written
    Unknown,     // the response to a write was lost; the write may have taken effect
    HistoryGone, // the store's change history no longer covers the start revision of a watch
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
    uint64_t version = 0;                                    // strictly increasing, also across a deletion
    std::string value;                                       // if stored as text
    bool isDeleted = false;                                  // only in watch responses
    std::shared_ptr<const nlohmann::json> content = nullptr; // if stored as structured data
};

struct PlatformInstance
{
    std::string name;
    std::string zone;
    std::string address; // a.b.c.d:port of the peer protocol
    std::string state;   // "live" or "leaving"
};

/** Returns the content of an object as JSON; a discarded value if its text is not valid JSON. Thread safe. */
nlohmann::json contentOf(const PlatformObject &object);

/** The response to any call; each call fills in the fields that apply to it. */
struct PlatformReply
{
    PlatformOutcome outcome = PlatformOutcome::Unavailable;
    uint64_t version = 0;                    // put: the version written
    uint64_t revision = 0;                   // list, watch: the store revision that the response covers
    uint64_t era = 0;                        // of the store's revisions; 0 if it has never stated one
    std::string unreadableEra;               // what the response states if that is not a number; `era` is then the latest known one
    std::vector<PlatformObject> objects;     // get: the object; list, watch: those under the prefix
    size_t unnamedObjects = 0;               // list, watch: objects left out because their name can't be read
    std::vector<PlatformInstance> instances; // instances
    std::string problem;                     // human-readable error message if the outcome is not Ok

    bool isOk() const
    {
        return this->outcome == PlatformOutcome::Ok;
    }
    /** Whether the store processed the call: it carried it out, has no such object, or found the condition not met. */
    bool isProcessed() const
    {
        return this->isOk() || this->outcome == PlatformOutcome::NotFound || this->outcome == PlatformOutcome::Conflict;
    }
};

using PlatformCallback = std::function<void(PlatformReply)>;

/** Asynchronous client. Each callback runs exactly once, never before its call has returned. Not thread safe: one event loop owns it. */
class PlatformApi
{
public:
    virtual ~PlatformApi() = default;
    /** Reads one object. */
    virtual void get(const std::string &key, PlatformCallback done) = 0;
    /** Writes one object if the condition is met. */
    virtual void put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done) = 0;
    /** Reads all objects whose key begins with the prefix. */
    virtual void list(const std::string &prefix, PlatformCallback done) = 0;
    /** Waits at most `timeout` until an object under the prefix has a version above `after`. The reply is Ok without objects if there was no change. */
    virtual void watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done) = 0;
    /** Reads the list of live and leaving instances, which may be out of date. */
    virtual void instances(PlatformCallback done) = 0;
};

/** Object keys. Thread safe. */
inline std::string tableKey(std::string_view service)
{
    return "tables/" + std::string(service);
}
inline std::string statusKey(std::string_view zone)
{
    return "status/" + std::string(zone);
}
/** The part of a key up to and including its first slash, which names the kind of the object. */
std::string keyPrefixOf(const std::string &key);
constexpr std::string_view tablePrefix = "tables/";
constexpr std::string_view statusPrefix = "status/";
constexpr std::string_view seedPrefix = "seeds/";
constexpr std::string_view instancePrefix = "instances/";

/** Fills `reply.instances` from the objects of the reply; skips objects that are not JSON objects. Thread safe. */
void readInstances(PlatformReply &reply);

} // namespace hornbeam
