#include "store/statusreporter.h"

#include "core/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using nlohmann::json;

std::vector<std::string> stringsAt(const json &object, const char *key)
{
    std::vector<std::string> values;
    for (const json &entry : object.value(key, json::array())) {
        if (entry.is_string()) {
            values.push_back(entry.get<std::string>());
        }
    }
    return values;
}

template<typename Number>
bool readNumber(const json &object, const char *key, Number &number)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return false;
    }
    number = found->get<Number>();
    return true;
}
}

bool ZoneStatus::isInForce(const std::string &service, uint64_t version) const
{
    const bool isHere = std::any_of(this->services.begin(), this->services.end(),
                                    [&](const ServiceVersionInForce &known) { return known.service == service && known.version >= version; });
    return isHere && this->agreeing == this->members;
}

std::string serializeStatus(const ZoneStatus &status)
{
    json services = json::object();
    for (const ServiceVersionInForce &service : status.services) {
        services[service.service] = service.version;
    }
    const json object{ { "zone", status.zone },         { "reporter", status.reporter }, { "members", status.members }, { "agreeing", status.agreeing },
                       { "laggards", status.laggards }, { "refused", status.refused },   { "services", services },      { "written_ms", status.writtenMs } };
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ZoneStatus> parseStatus(const std::string &text)
{
    const json object = parseJson(text);
    ZoneStatus status;
    if (!object.is_object() || !object.contains("zone") || !object["zone"].is_string() || !readNumber(object, "members", status.members)
        || !readNumber(object, "agreeing", status.agreeing) || !readNumber(object, "written_ms", status.writtenMs) || !object.contains("services")
        || !object["services"].is_object()) {
        return std::nullopt;
    }
    status.zone = object["zone"].get<std::string>();
    status.reporter = object.contains("reporter") && object["reporter"].is_string() ? object["reporter"].get<std::string>() : "";
    status.laggards = stringsAt(object, "laggards");
    status.refused = stringsAt(object, "refused");
    for (const auto &[service, version] : object["services"].items()) {
        if (!version.is_number_unsigned()) {
            return std::nullopt;
        }
        status.services.push_back({ service, version.get<uint64_t>() });
    }
    return status;
}

StatusReporter::StatusReporter(PlatformApi &api, const Clock &clock, const StatusReporterSettings &settings)
    : api(api), clock(clock), settings(settings), lastWrite(clock.now() - settings.idleInterval)
{
}

void StatusReporter::tick(bool isReporter, ZoneStatus status)
{
    if (!isReporter) {
        this->lastText.clear(); // another member overwrites the object now, so it has to be written again when this one becomes the reporter
        return;
    }
    status.writtenMs = 0;
    const std::string text = serializeStatus(status);
    const bool isChanged = text != this->lastText || !this->isWritten;
    const Duration interval = isChanged ? this->settings.changeInterval : this->settings.idleInterval;
    const TimePoint now = this->clock.now();
    if (this->isCallPending || now - this->lastWrite < interval) {
        return;
    }
    this->lastWrite = now;
    this->lastText = text;
    this->isCallPending = true;
    status.writtenMs = this->clock.wallMillis();
    this->api.put(statusKey(status.zone), serializeStatus(status), PutCondition{}, [this](const PlatformReply &reply) {
        this->isCallPending = false;
        this->isWritten = reply.isOk();
    });
}

} // namespace hornbeam
