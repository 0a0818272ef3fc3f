#include "core/percentencoding.h"

#include <charconv>

namespace hornbeam {

std::string percentEncode(const std::string &text)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isUnreserved = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') || byte == '-' || byte == '.'
            || byte == '_' || byte == '~';
        if (isUnreserved) {
            encoded += character;
        } else {
            encoded += { '%', hexDigits[byte >> 4U], hexDigits[byte & 0x0FU] };
        }
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    constexpr size_t digits = 2;
    constexpr int base = 16;
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        const std::string_view code = text.substr(i + 1, digits);
        uint8_t byte = 0;
        const auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), byte, base);
        if (code.size() != digits || error != std::errc() || end != code.data() + code.size()) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        i += digits;
    }
    return decoded;
}

} // namespace hornbeam
