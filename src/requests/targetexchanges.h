#pragma once

// Allocates the message IDs of exchanges with targets (RFC 7252, 4.4).

#include "core/types.h"

#include <mutex>
#include <optional>
#include <unordered_map>

namespace hornbeam {

/** Maps message IDs to attempts, for each target. All methods are thread safe; its mutex is a leaf in the lock order. */
class TargetExchanges
{
public:
    /** `seed` makes the first message IDs differ from those of an earlier process at the same address. */
    explicit TargetExchanges(uint64_t seed);
    /** Allocates the message ID for `attempt`. It is unique at this target until a 14-bit counter wraps around. */
    uint16_t add(const Endpoint &target, uint64_t attempt);
    /** The attempt that an empty message from this target belongs to, or nullopt. */
    std::optional<uint64_t> find(const Endpoint &target, uint16_t messageId) const;
    void remove(const Endpoint &target, uint16_t messageId);

private:
    const uint64_t seed;
    mutable std::mutex mutex;
    std::unordered_map<Endpoint, uint16_t> counters;
    std::unordered_map<uint64_t, uint64_t> attempts; // by target and message ID
};

} // namespace hornbeam
