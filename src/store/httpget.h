#pragma once

// Blocking HTTP GET, used to read the counters of an instance.

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <string>

namespace hornbeam {

/** An HTTP response. */
struct HttpPage
{
    unsigned status = 0;
    std::string body;
};

/** Returns the response of any status, or nothing if there is none. Blocks for at most `timeout`. Thread safe. */
std::optional<HttpPage> httpRead(const Endpoint &endpoint, const std::string &path, Duration timeout);
/** Returns the body of a 200 response, or nothing for any other status or error. Blocks for at most `timeout`. Thread safe. */
std::optional<std::string> httpGet(const Endpoint &endpoint, const std::string &path, Duration timeout);

} // namespace hornbeam
