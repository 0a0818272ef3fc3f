#pragma once

// An instance's counters and gauges in the Prometheus text format.

#include "node/node.h"

namespace hornbeam {

/** Formats the whole page. Thread safe. */
std::string metricsPage(const Node &node, const Counters &counters, bool isPlatformReachable);

} // namespace hornbeam
