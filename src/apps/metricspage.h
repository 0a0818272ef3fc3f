#pragma once

// The page of counters and gauges of one instance, in the text exposition format that monitoring systems read.

#include "node/node.h"

namespace hornbeam {

/** The whole page. Thread safe. */
std::string metricsPage(const Node &node, const Counters &counters, bool isPlatformReachable);

} // namespace hornbeam
