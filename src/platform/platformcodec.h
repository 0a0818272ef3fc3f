#pragma once

// The JSON bodies of the platform's answers.

#include "platform/platformapi.h"

namespace hornbeam {

/** Reads the answer to a list or a watch into `reply`. Returns false when it is malformed. Thread safe. */
bool readObjects(const std::string &body, PlatformReply &reply);

/** Reads the answer to a call for the instances into `reply`. Returns false when it is malformed. Thread safe. */
bool readInstances(const std::string &body, PlatformReply &reply);

} // namespace hornbeam
