#include "paths.h"

namespace hornbeam {

std::string sourceDirectory()
{
    return HORNBEAM_SOURCE_DIR;
}

std::string binaryDirectory()
{
    return HORNBEAM_BINARY_DIR;
}

} // namespace hornbeam
