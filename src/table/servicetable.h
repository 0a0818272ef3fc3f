#pragma once

// The table of a service: one row per target, as configured by the operators.

#include "core/types.h"

#include <memory>
#include <optional>
#include <vector>

namespace hornbeam {

enum class RowState : uint8_t {
    Active,   // accepts new work
    Draining, // completes its current work and accepts no new work
    Disabled, // not used
};

/** Which goal takes precedence when the two conflict. */
enum class Preference : uint8_t {
    Balance,     // even load over targets; feeds may be placed anywhere
    Persistence, // open flows stay on their target
};

struct TargetRow
{
    std::string name;
    TargetId id = 0;
    Endpoint endpoint;
    std::string zoneName;
    ZoneId zone = 0;
    uint32_t weight = 100;       // relative share of new work, 0 to 10000; 0 receives none
    uint32_t slots = 1;          // concurrent requests, 1 to 100000
    uint32_t connections = 1000; // concurrently open feeds, 0 to 1000000
    RowState state = RowState::Active;
};

struct ServiceTable
{
    std::string name;
    ServiceId id = 0;
    TableVersion version = 0;
    uint16_t port = 0; // UDP port on which each instance receives callers' packets for this service
    Preference preference = Preference::Balance;
    uint32_t queueLimit = 64; // requests that may be queued for a slot, per zone
    std::vector<TargetRow> rows;

    /** The row of a target, or null. Thread safe. */
    const TargetRow *find(TargetId target) const;
    /** The row of the target with this address, or null. Thread safe. */
    const TargetRow *findEndpoint(const Endpoint &endpoint) const;
};

/** Read access to the tables in force. Implemented by TableStore and by fakes in tests. All methods are thread safe. */
class TableSource
{
public:
    virtual ~TableSource() = default;
    /** The table in force for a service; null if none has been received. */
    virtual std::shared_ptr<const ServiceTable> find(ServiceId service) const = 0;
    /** All tables in force, sorted by service identifier. */
    virtual std::vector<std::shared_ptr<const ServiceTable>> all() const = 0;
    /** Increases with each version put in force. */
    virtual uint64_t changes() const = 0;
};

} // namespace hornbeam
