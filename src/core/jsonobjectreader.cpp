#include "core/jsonobjectreader.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hornbeam {

using nlohmann::json;

JsonObjectReader::JsonObjectReader(const json &object) : object(object)
{
}

std::string JsonObjectReader::textAt(const char *key, size_t maxBytes)
{
    const json *field = this->find(key);
    if (field == nullptr || !field->is_string()) {
        this->fail(key, "a string");
        return "";
    }
    if (field->get_ref<const std::string &>().size() > maxBytes) {
        this->fail(key, "a string of at most " + std::to_string(maxBytes) + " bytes");
        return "";
    }
    return field->get<std::string>();
}

uint64_t JsonObjectReader::integerAt(const char *key, uint64_t largest)
{
    const json *field = this->find(key);
    if (field == nullptr || !field->is_number_unsigned()) {
        this->fail(key, "a non-negative integer");
        return 0;
    }
    const auto number = field->get<uint64_t>();
    if (number > largest) {
        this->fail(key, "at most " + std::to_string(largest));
    }
    return number;
}

uint32_t JsonObjectReader::limitedNumberAt(const char *key, double factor)
{
    const json *field = this->find(key);
    if (field == nullptr || !field->is_number() || field->get<double>() < 0) {
        this->fail(key, "a non-negative number");
        return 0;
    }
    const double number = field->get<double>() * factor;
    const double rounded = number > 0 ? std::max(1.0, std::round(number)) : 0;
    return static_cast<uint32_t>(std::min<double>(rounded, std::numeric_limits<uint32_t>::max()));
}

const json *JsonObjectReader::arrayAt(const char *key)
{
    const json *field = this->find(key);
    if (field == nullptr || !field->is_array()) {
        this->fail(key, "an array");
        return nullptr;
    }
    return field;
}

bool JsonObjectReader::has(const char *key) const
{
    return this->find(key) != nullptr;
}

void JsonObjectReader::fail(const std::string &key, const std::string &expected)
{
    if (this->firstError.empty()) {
        this->firstError = "field \"" + key + "\" is not " + expected;
    }
}

const std::string &JsonObjectReader::problem() const
{
    return this->firstError;
}

const json *JsonObjectReader::find(const char *key) const
{
    const auto found = this->object.find(key);
    return found == this->object.end() ? nullptr : &*found;
}

} // namespace hornbeam
