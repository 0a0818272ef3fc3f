#include "core/jsonfields.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
constexpr size_t maxNameBytes = 64;
constexpr size_t maxAbbreviatedBytes = 60;

using DecimalMillis = std::chrono::duration<double, std::milli>;

DecimalMillis toMillis(Duration duration)
{
    return std::chrono::duration_cast<DecimalMillis>(duration);
}

bool isValidNameByte(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') || byte == '.' || byte == '-' || byte == '_';
}
}

std::string toString(const Fault &fault)
{
    return (fault.path.empty() ? "document" : fault.path) + ": " + fault.value + " is not allowed; allowed: " + fault.allowed;
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::all_of(text.begin(), text.end(), isValidNameByte);
}

nlohmann::json decimalToJson(double number)
{
    constexpr double maxExact = 1LL << 53; // above it not every whole number is a double
    const bool isWhole = std::abs(number) <= maxExact && std::trunc(number) == number;
    return isWhole ? nlohmann::json(static_cast<int64_t>(number)) : nlohmann::json(number);
}

nlohmann::json durationToJson(Duration duration)
{
    return decimalToJson(toMillis(duration).count());
}

std::string abbreviatedText(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxAbbreviatedBytes) {
        text.resize(maxAbbreviatedBytes);
        text += "...";
    }
    return text;
}

JsonFields::JsonFields(const nlohmann::json &object, std::string path, std::vector<Fault> &faults) : fields(object), path(std::move(path)), faults(faults)
{
}

bool JsonFields::has(const std::string &key) const
{
    return this->fields.contains(key);
}

bool JsonFields::require(const std::string &key, const std::string &allowed)
{
    if (!this->has(key)) {
        this->faults.push_back({ this->pathOf(key), "missing", allowed });
    }
    return this->has(key);
}

const nlohmann::json *JsonFields::find(const std::string &key)
{
    this->knownKeys.push_back(key);
    const auto found = this->fields.find(key);
    return found == this->fields.end() ? nullptr : &*found;
}

void JsonFields::number(const std::string &key, uint64_t low, uint64_t high, uint64_t &value)
{
    const nlohmann::json *field = this->find(key);
    if (field == nullptr) {
        return;
    }
    if (!field->is_number_unsigned() || field->get<uint64_t>() < low || field->get<uint64_t>() > high) {
        this->fault(key, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    value = field->get<uint64_t>();
}

void JsonFields::decimal(const std::string &key, double low, double high, double &value)
{
    const nlohmann::json *field = this->find(key);
    if (field == nullptr) {
        return;
    }
    if (!field->is_number() || field->get<double>() < low || field->get<double>() > high) {
        this->fault(key, "a number from " + decimalToJson(low).dump() + " to " + decimalToJson(high).dump());
        return;
    }
    value = field->get<double>();
}

void JsonFields::duration(const std::string &key, Duration low, Duration high, Duration &value)
{
    const size_t faultsBefore = this->faultCount();
    double millis = toMillis(value).count();
    this->decimal(key, toMillis(low).count(), toMillis(high).count(), millis);
    if (this->has(key) && this->faultCount() == faultsBefore) {
        value = std::chrono::round<Duration>(DecimalMillis(millis));
    }
}

void JsonFields::text(const std::string &key, std::string &value)
{
    const nlohmann::json *field = this->find(key);
    if (field == nullptr) {
        return;
    }
    if (!field->is_string()) {
        this->fault(key, "a string");
        return;
    }
    value = field->get<std::string>();
}

void JsonFields::name(const std::string &key, std::string &value)
{
    const nlohmann::json *field = this->find(key);
    if (field == nullptr) {
        return;
    }
    if (!field->is_string() || !isValidName(field->get<std::string>())) {
        this->fault(key, "1 to 64 letters, digits, dots, dashes and underscores");
        return;
    }
    value = field->get<std::string>();
}

void JsonFields::flag(const std::string &key, bool &value)
{
    const nlohmann::json *field = this->find(key);
    if (field == nullptr) {
        return;
    }
    if (!field->is_boolean()) {
        this->fault(key, "true or false");
        return;
    }
    value = field->get<bool>();
}

void JsonFields::choice(const std::string &key, const std::vector<std::string_view> &names, size_t &position)
{
    const nlohmann::json *field = this->find(key);
    if (field == nullptr) {
        return;
    }
    const std::string text = field->is_string() ? field->get<std::string>() : std::string();
    const auto found = std::find(names.begin(), names.end(), text);
    if (found != names.end()) {
        position = static_cast<size_t>(found - names.begin());
        return;
    }
    std::string allowed;
    for (const std::string_view name : names) {
        allowed += (allowed.empty() ? "" : " or ") + std::string(name);
    }
    this->fault(key, allowed);
}

const nlohmann::json *JsonFields::array(const std::string &key)
{
    const nlohmann::json *field = this->find(key);
    if (field != nullptr && !field->is_array()) {
        this->fault(key, "a list");
        return nullptr;
    }
    return field;
}

const nlohmann::json *JsonFields::object(const std::string &key)
{
    const nlohmann::json *field = this->find(key);
    if (field != nullptr && !field->is_object()) {
        this->fault(key, "an object");
        return nullptr;
    }
    return field;
}

void JsonFields::fault(const std::string &key, const std::string &allowed)
{
    const auto found = this->fields.find(key);
    this->faults.push_back({ this->pathOf(key), found == this->fields.end() ? "missing" : abbreviatedText(*found), allowed });
}

size_t JsonFields::faultCount() const
{
    return this->faults.size();
}

void JsonFields::finish()
{
    std::string allowed;
    for (const std::string &key : this->knownKeys) {
        allowed += (allowed.empty() ? "the keys " : ", ") + key;
    }
    for (const auto &[key, value] : this->fields.items()) {
        if (std::find(this->knownKeys.begin(), this->knownKeys.end(), key) == this->knownKeys.end()) {
            this->faults.push_back({ this->pathOf(key), abbreviatedText(value), allowed });
        }
    }
}

std::string JsonFields::pathOf(const std::string &key) const
{
    return this->path.empty() ? key : this->path + "." + key;
}

} // namespace hornbeam
