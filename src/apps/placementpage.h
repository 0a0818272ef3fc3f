#pragma once

// The page /explain of an instance: where a flow that does not exist yet would be sent now, and why.

#include "flows/flowforwarder.h"
#include "transport/metricsserver.h"

#include <string>

namespace hornbeam {

/**
 * Explains the placement of a flow, as JSON. Parameters: `caller` (a.b.c.d:port) and `route` (a name or a.b.c.d:port). The response has status 400 and one
 * line of text if a parameter is missing or malformed, and 404 if there is no such route. Changes nothing. Not thread safe, like the forwarder.
 */
PageResponse placementPage(const FlowForwarder &forwarder, const PageParameters &parameters);

/** The path of the page for a caller and a route. Thread safe. */
std::string placementPath(const std::string &caller, const std::string &route);
/** The page as text for operators. Returns an empty string if it is not such a page. Thread safe. */
std::string placementText(const std::string &page);

} // namespace hornbeam
