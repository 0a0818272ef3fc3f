#include "feeds/sequence.h"

namespace hornbeam {

namespace {

constexpr uint32_t halfRange = 1U << 23U;

} // namespace

bool isNewerSequence(uint32_t newer, uint32_t older)
{
    const uint32_t distance = (newer - older) & sequenceMask;
    return distance != 0 && distance < halfRange;
}

bool isNewerSequence(uint32_t newer, uint64_t newerAtMs, uint32_t older, uint64_t olderAtMs)
{
    return isNewerSequence(newer, older) || newerAtMs > olderAtMs + sequenceLifetimeMs;
}

uint32_t nextSequence(uint32_t last, uint64_t lastAtMs, uint64_t nowMs)
{
    const auto wall = static_cast<uint32_t>(nowMs & sequenceMask);
    if (lastAtMs == 0 || nowMs > lastAtMs + sequenceLifetimeMs) {
        return wall;
    }
    return isNewerSequence(wall, last) ? wall : (last + 1) & sequenceMask;
}

} // namespace hornbeam
