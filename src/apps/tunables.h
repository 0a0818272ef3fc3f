#pragma once

// What operators may tune in the parts of an instance: one sub-object of the settings for each part.

#include "core/jsonfields.h"
#include "flows/flowsettings.h"
#include "node/node.h"

namespace hornbeam {

/** Reads the sub-objects "requests", "feeds", "slots" and "membership". Absent keys keep their defaults. Thread safe. */
void readTunables(JsonFields &fields, NodeSettings &node, std::vector<Fault> &faults);
/** Adds the sub-objects to a settings object. Thread safe. */
void writeTunables(const NodeSettings &node, nlohmann::json &object);

/** Reads the tunables of the forwarding of flows. Absent keys keep their defaults. Thread safe. */
void readFlowTunables(JsonFields &fields, FlowSettings &flows);
/** Adds them to an object. Thread safe. */
void writeFlowTunables(const FlowSettings &flows, nlohmann::json &object);

} // namespace hornbeam
