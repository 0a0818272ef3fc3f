#pragma once

// A point in the store's history.

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace hornbeam {

/**
 * A revision of the store and the era that it belongs to. The era rises when the store is restored from a backup, whose revisions are lower and are given out
 * again. A revision without its era says nothing, so positions are not compared with numbers. Thread safe.
 */
struct StorePosition
{
    constexpr StorePosition() = default;
    constexpr StorePosition(uint64_t era, uint64_t revision) : era(era), revision(revision)
    {
    }

    uint64_t era = 0;      // 0: the store doesn't state one
    uint64_t revision = 0; // 0: none

    bool operator==(const StorePosition &) const = default;
    std::strong_ordering operator<=>(const StorePosition &other) const
    {
        return std::pair(this->era, this->revision) <=> std::pair(other.era, other.revision);
    }

    bool isSet() const
    {
        return this->revision != 0;
    }
};

/** "REVISION" without an era, otherwise "ERA/REVISION". Thread safe. */
inline std::string toString(const StorePosition &position)
{
    return (position.era == 0 ? "" : std::to_string(position.era) + "/") + std::to_string(position.revision);
}

} // namespace hornbeam
