#pragma once

// Folders of the build that runs the tests. Only paths.cpp is compiled with them, so that ccache shares the other objects between checkouts.

#include <string>

namespace hornbeam {

/** The root of the source tree, without a slash at the end. */
std::string sourceDirectory();
/** The folder with the project's binaries, without a slash at the end. */
std::string binaryDirectory();

} // namespace hornbeam
