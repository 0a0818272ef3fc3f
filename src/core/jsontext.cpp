#include "core/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {

constexpr std::string_view blanks = " \t\r\n";

/** Finds the ends of JSON values by their quotes and brackets alone. */
class Scanner
{
public:
    explicit Scanner(std::string_view text) : text(text)
    {
    }

    bool isAtEnd()
    {
        this->skipBlanks();
        return this->position == this->text.size();
    }

    bool consume(char expected)
    {
        this->skipBlanks();
        const bool isFound = this->position < this->text.size() && this->text[this->position] == expected;
        this->position += isFound ? 1 : 0;
        return isFound;
    }

    /** The text of the next value; empty if there is none or it has no end. */
    std::string_view nextValue()
    {
        this->skipBlanks();
        const size_t begin = this->position;
        size_t depth = 0;
        while (this->position < this->text.size()) {
            const char character = this->text[this->position];
            if (character == '"') {
                if (!this->skipString()) {
                    return {};
                }
            } else if (character == '[' || character == '{') {
                ++depth;
                this->deepest = std::max(this->deepest, depth);
                ++this->position;
            } else if (depth > 0 && (character == ']' || character == '}')) {
                --depth;
                ++this->position;
            } else if (depth == 0) {
                this->position = std::min(this->text.size(), this->text.find_first_of(",:]} \t\r\n", this->position));
                return this->text.substr(begin, this->position - begin);
            } else {
                ++this->position;
                continue;
            }
            if (depth == 0) {
                return this->text.substr(begin, this->position - begin);
            }
        }
        return {};
    }

    /** The deepest nesting of the values returned so far. */
    size_t nesting() const
    {
        return this->deepest;
    }

private:
    void skipBlanks()
    {
        this->position = std::min(this->text.size(), this->text.find_first_not_of(blanks, this->position));
    }

    bool skipString()
    {
        ++this->position;
        while (this->position < this->text.size()) {
            const char character = this->text[this->position];
            this->position += character == '\\' ? 2 : 1;
            if (character == '"') {
                return true;
            }
        }
        return false;
    }

    const std::string_view text;
    size_t position = 0;
    size_t deepest = 0;
};

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    Scanner scanner(text);
    scanner.nextValue();
    if (scanner.nesting() > maxJsonDepth) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

JsonSlices::JsonSlices(std::string_view text)
{
    Scanner scanner(text);
    bool isComplete = scanner.consume('{');
    while (isComplete && !scanner.consume('}')) {
        isComplete = this->fields.empty() || scanner.consume(',');
        const std::string_view key = isComplete ? scanner.nextValue() : std::string_view();
        isComplete = key.size() >= 2 && key.front() == '"' && scanner.consume(':');
        const std::string_view value = isComplete ? scanner.nextValue() : std::string_view();
        isComplete = !value.empty();
        if (isComplete) {
            this->fields.emplace_back(key.substr(1, key.size() - 2), value);
        }
    }
    if (!isComplete || !scanner.isAtEnd()) {
        this->fields.clear();
    }
}

std::string_view JsonSlices::at(std::string_view key) const
{
    const auto found = std::find_if(this->fields.rbegin(), this->fields.rend(), [key](const auto &field) { return field.first == key; });
    return found == this->fields.rend() ? std::string_view() : found->second;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    Scanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.consume('[')) {
        return std::nullopt;
    }
    while (!scanner.consume(']')) {
        const bool isNext = elements.empty() || scanner.consume(',');
        const std::string_view element = isNext ? scanner.nextValue() : std::string_view();
        if (element.empty()) {
            return std::nullopt;
        }
        elements.push_back(element);
    }
    return scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

} // namespace hornbeam
