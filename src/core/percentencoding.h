#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeam {

/** Percent-encodes everything but the unreserved characters of RFC 3986. Thread safe. */
std::string percentEncode(const std::string &text);
/** Decodes percent-encoded text; std::nullopt if a % is not followed by two hexadecimal digits. Thread safe. */
std::optional<std::string> percentDecode(std::string_view text);

} // namespace hornbeam
