#pragma once

#include <string>

namespace hornbeam {

/** Percent-encodes everything but the unreserved characters of RFC 3986. Thread safe. */
std::string percentEncode(const std::string &text);

} // namespace hornbeam
