#pragma once

// Message IDs of the exchanges with targets (RFC 7252, 4.4).

#include "core/types.h"

#include <mutex>
#include <optional>
#include <unordered_map>

namespace hornbeam {

/** All methods are thread safe; its mutex is taken last. */
class TargetExchanges
{
public:
    /** `seed`: makes the first message IDs differ from those of an earlier process at the same address. */
    explicit TargetExchanges(uint64_t seed);
    /** The message ID under which exchange `attempt` is sent: unique at this target until a rising counter of 14 bits comes round. */
    uint16_t add(const Endpoint &target, uint64_t attempt);
    /** The exchange that an empty message of this target belongs to, or nothing. */
    std::optional<uint64_t> find(const Endpoint &target, uint16_t messageId) const;
    void remove(const Endpoint &target, uint16_t messageId);

private:
    const uint64_t seed;
    mutable std::mutex mutex;
    std::unordered_map<Endpoint, uint16_t> counters;
    std::unordered_map<uint64_t, uint64_t> attempts; // by target and message ID
};

} // namespace hornbeam
