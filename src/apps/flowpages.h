#pragma once

// Status output of an instance that forwards flows: gauges for monitoring, and JSON pages for `hornbeamctl`.

#include "flows/flowforwarder.h"

#include <string>

namespace hornbeam {

/** Gauges in the Prometheus text format: version and age of the configuration, age of the target data, targets by phase, flows. Not thread safe, like the
 *  forwarder. */
std::string flowGauges(const FlowForwarder &forwarder, bool isReady, TimePoint now);
/** All known targets as a JSON array. Not thread safe. */
std::string targetsPage(const FlowForwarder &forwarder, TimePoint now);
/** The version of the configuration in force and its routes as a JSON object. Not thread safe. */
std::string routesPage(const FlowForwarder &forwarder);
/** The most recently seen flows, at most 2,000, newest first, as a JSON array. Not thread safe. */
std::string flowsPage(const FlowForwarder &forwarder, TimePoint now);

/** A flow's identifier in logs and pages: "caller>service". Thread safe. */
std::string formatFlow(const FlowKey &flow);

} // namespace hornbeam
