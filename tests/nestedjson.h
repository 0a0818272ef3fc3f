#pragma once

#include <string>

namespace hornbeam {

/** JSON text of `depth` nested values, each between `open` and `close`. */
inline std::string nested(size_t depth, const std::string &open, const std::string &close)
{
    std::string text;
    for (size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

} // namespace hornbeam
