#pragma once

// One blocking GET, for the counters of an instance.

#include "core/clock.h"
#include "core/types.h"

#include <optional>
#include <string>

namespace hornbeam {

/** The body of a GET that was answered by 200; nothing otherwise. Blocks until the timeout at most. Thread safe. */
std::optional<std::string> httpGet(const Endpoint &endpoint, const std::string &path, Duration timeout);

} // namespace hornbeam
