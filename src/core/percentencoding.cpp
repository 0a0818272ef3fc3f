#include "core/percentencoding.h"

#include <string_view>

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

} // namespace hornbeam
