#pragma once

// Entries that another writer may leave among those of the targets, and that name no target.

#include <cstdint>
#include <string>

namespace hornbeam::standins {

/** The content of an entry, one of several kinds chosen by `kind`. Usually no valid JSON. Thread safe. */
std::string oddEntry(uint32_t kind);

} // namespace hornbeam::standins
