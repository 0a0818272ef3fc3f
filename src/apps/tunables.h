#pragma once

// What operators may tune in the parts of an instance: one sub-object of the settings for each part.

#include "core/jsonfields.h"
#include "flows/flowsettings.h"
#include "node/node.h"
#include "rotation/overloaddetector.h"

namespace hornbeam {

/** Reads the sub-objects "requests", "feeds", "slots" and "membership". Absent keys keep their defaults. Thread safe. */
void readTunables(JsonFields &fields, NodeSettings &node, std::vector<Fault> &faults);
/** Adds the sub-objects to a settings object. Thread safe. */
void writeTunables(const NodeSettings &node, nlohmann::json &object);

/** Reads the tunables of the forwarding of flows. Absent keys keep their defaults. Thread safe. */
void readFlowTunables(JsonFields &fields, FlowSettings &flows);
/** Adds them to an object. Thread safe. */
void writeFlowTunables(const FlowSettings &flows, nlohmann::json &object);

/** Reads the tunables of instances that leave the rotation because they are overloaded. Absent keys keep their defaults. Thread safe. */
void readOverloadTunables(JsonFields &fields, OverloadSettings &overload);
/** Adds them to an object. Thread safe. */
void writeOverloadTunables(const OverloadSettings &overload, nlohmann::json &object);

} // namespace hornbeam
