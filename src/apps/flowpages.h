#pragma once

// What an instance that forwards flows shows of itself: gauges for monitoring, and pages for `hornbeamctl`.

#include "flows/flowforwarder.h"

#include <string>

namespace hornbeam {

/** Gauges in the text exposition format: beliefs with their ages, targets by phase, flows. Not thread safe, like the forwarder. */
std::string flowGauges(const FlowForwarder &forwarder, bool isReady, TimePoint now);
/** All known targets as a JSON array. Not thread safe. */
std::string targetsPage(const FlowForwarder &forwarder, TimePoint now);
/** The routes in force as a JSON object with their version. Not thread safe. */
std::string routesPage(const FlowForwarder &forwarder);
/** The flows that were seen last, 2,000 at most, newest first, as a JSON array. Not thread safe. */
std::string flowsPage(const FlowForwarder &forwarder, TimePoint now);

/** A flow's identifier in logs and pages: "caller>service". Thread safe. */
std::string formatFlow(const FlowKey &flow);

} // namespace hornbeam
