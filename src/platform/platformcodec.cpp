#include "platform/platformcodec.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using nlohmann::json;

bool readObject(const json &entry, PlatformObject &object)
{
    if (!entry.is_object() || !entry.contains("key") || !entry["key"].is_string() || !entry.contains("version") || !entry["version"].is_number_unsigned()) {
        return false;
    }
    object.key = entry["key"].get<std::string>();
    object.version = entry["version"].get<uint64_t>();
    const auto deleted = entry.find("deleted");
    object.isDeleted = deleted != entry.end() && *deleted == true;
    const auto value = entry.find("value");
    if (value != entry.end() && value->is_string()) {
        object.value = value->get<std::string>();
        return true;
    }
    return object.isDeleted;
}

std::string textAt(const json &entry, const char *key)
{
    const auto found = entry.find(key);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}
}

std::string_view nameOf(PlatformOutcome outcome)
{
    constexpr std::array<std::string_view, 6> names{ "ok", "not_found", "conflict", "unavailable", "malformed", "unknown" };
    return names[static_cast<size_t>(outcome)];
}

bool readObjects(const std::string &body, PlatformReply &reply)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("revision") || !document["revision"].is_number_unsigned() || !document.contains("objects")
        || !document["objects"].is_array()) {
        return false;
    }
    reply.revision = document["revision"].get<uint64_t>();
    for (const json &entry : document["objects"]) {
        PlatformObject object;
        if (!readObject(entry, object)) {
            return false;
        }
        reply.objects.push_back(std::move(object));
    }
    return true;
}

bool readInstances(const std::string &body, PlatformReply &reply)
{
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("instances") || !document["instances"].is_array()) {
        return false;
    }
    for (const json &entry : document["instances"]) {
        if (!entry.is_object()) {
            return false;
        }
        reply.instances.push_back({ textAt(entry, "name"), textAt(entry, "zone"), textAt(entry, "address"), textAt(entry, "state") });
    }
    return true;
}

} // namespace hornbeam
