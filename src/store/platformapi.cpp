#include "store/platformapi.h"

#include "core/jsontext.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
std::string stringAt(const nlohmann::json &entry, const char *key)
{
    const auto found = entry.find(key);
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}
}

std::string_view nameOf(PlatformOutcome outcome)
{
    constexpr std::array<std::string_view, 7> names{ "ok", "not_found", "conflict", "unavailable", "malformed", "unknown", "history_gone" };
    return names[static_cast<size_t>(outcome)];
}

nlohmann::json contentOf(const PlatformObject &object)
{
    return object.content != nullptr ? *object.content : parseJson(object.value);
}

std::string keyPrefixOf(const std::string &key)
{
    return key.substr(0, key.find('/') + 1);
}

void readInstances(PlatformReply &reply)
{
    for (const PlatformObject &object : reply.objects) {
        const nlohmann::json entry = contentOf(object);
        if (entry.is_object()) {
            reply.instances.push_back(
                { object.key.substr(instancePrefix.size()), stringAt(entry, "zone"), stringAt(entry, "address"), stringAt(entry, "state") });
        }
    }
}

} // namespace hornbeam
