#pragma once

// The mechanisms that can be taken away, by name.

#include "worldparts.h"

namespace hornbeam::bench {

/** Takes a mechanism away. Returns false when there is none of that name. Not thread safe. */
bool removeMechanism(const std::string &name, WorldSettings &settings);

} // namespace hornbeam::bench
