#pragma once

// One service's table: a row for each target, as the operators wrote it.

#include "core/types.h"

#include <memory>
#include <optional>
#include <vector>

namespace hornbeam {

enum class RowState : uint8_t {
    Active,   // takes work
    Draining, // finishes what it has, takes nothing new
    Disabled, // is not used at all
};

/** What a service weighs more when both can't be had. */
enum class Preference : uint8_t {
    Balance,     // even load over targets; feeds may be placed anywhere
    Persistence, // open flows stay where they are
};

struct TargetRow
{
    std::string name;
    TargetId id = 0;
    Endpoint endpoint;
    std::string zoneName;
    ZoneId zone = 0;
    uint32_t weight = 100;       // share of new work, 0 to 10000; 0 gets none
    uint32_t slots = 1;          // requests at the same time, 1 to 100000
    uint32_t connections = 1000; // open feeds at the same time, 0 to 1000000
    RowState state = RowState::Active;
};

struct ServiceTable
{
    std::string name;
    ServiceId id = 0;
    TableVersion version = 0;
    uint16_t port = 0; // UDP port that callers' packets for this service come to, at each instance
    Preference preference = Preference::Balance;
    uint32_t queueLimit = 64; // requests that may wait for a slot, for each zone
    std::vector<TargetRow> rows;

    /** The row of a target, or nothing. Thread safe. */
    const TargetRow *find(TargetId target) const;
    /** The row of the target at an address, or nothing. Thread safe. */
    const TargetRow *findEndpoint(const Endpoint &endpoint) const;
};

/** Where other parts read the tables in force. Implemented by TableStore and by fakes in tests. All methods are thread safe. */
class TableSource
{
public:
    virtual ~TableSource() = default;
    /** The table in force of a service; null when none has arrived. */
    virtual std::shared_ptr<const ServiceTable> find(ServiceId service) const = 0;
    /** Every table in force, sorted by service identifier. */
    virtual std::vector<std::shared_ptr<const ServiceTable>> all() const = 0;
    /** Rises with each version put in force. */
    virtual uint64_t changes() const = 0;
};

} // namespace hornbeam
