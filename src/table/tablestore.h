#pragma once

// The tables in force at one instance. Versions only rise, whichever source they come from.

#include "core/clock.h"
#include "core/counters.h"
#include "peer/messages.h"
#include "table/servicetable.h"
#include "table/tableparser.h"

#include <map>
#include <shared_mutex>
#include <string>

namespace hornbeam {

enum class ApplyResult : uint8_t {
    Applied, // in force now
    Stale,   // this version or a later one is in force already
    Invalid, // refused whole; the table in force stays
};

/** One service as a state dump and the status object show it. */
struct TableState
{
    std::string service;
    ServiceId id = 0;
    TableVersion version = 0; // in force; 0 when none is
    uint64_t sinceMs = 0;     // wall clock when it came into force
    bool isDeleted = false;
    TableVersion refusedVersion = 0; // a later version that was refused; 0 when there is none
    std::vector<TableError> faults;  // why it was refused
};

/**
 * Holds the tables in force. A table that claims an address or a port of another service in force is refused whole, with a fault that
 * names both; it is tried again when that other service changes. All methods are thread safe.
 */
class TableStore final : public TableSource
{
public:
    /** Precondition: the clock and the counters outlive the store. */
    TableStore(const Clock &clock, Counters &counters);

    /** Puts a version in force unless it is stale or has a fault. */
    ApplyResult apply(const std::string &service, TableVersion version, const std::string &text);

    std::shared_ptr<const ServiceTable> find(ServiceId service) const override;
    std::vector<std::shared_ptr<const ServiceTable>> all() const override;
    uint64_t changes() const override;

    /** The versions in force, tombstones included, sorted by service identifier. */
    std::vector<ServiceVersion> versions() const;
    /** The highest version of a service that was seen, in force or refused; 0 when none was. */
    TableVersion seenVersion(ServiceId service) const;
    /** Hash over the versions in force, whatever the order in which they came; 0 when there are none. */
    uint64_t digest() const;
    /** The text in force of a service, tombstones included; nothing when there is none. */
    std::optional<TableText> text(ServiceId service) const;
    /** Every service that was seen, sorted by name. */
    std::vector<TableState> states() const;
    /** Whether every version that was seen is in force. */
    bool hasRejectedVersions() const;

private:
    struct Entry
    {
        std::string service;
        std::string text;
        std::shared_ptr<const ServiceTable> table; // null before the first version
        TableVersion version = 0;
        uint64_t sinceMs = 0;
        bool isDeleted = false;
        TableVersion refusedVersion = 0;
        std::string refusedText;
        std::vector<TableError> faults;
    };
    using Entries = std::map<ServiceId, Entry>;

    ApplyResult tryApply(Entry &entry, TableVersion version, const std::string &text);
    std::vector<TableError> findConflicts(const ServiceTable &table) const;
    void retryRefused();

    const Clock &clock;
    Counters &counters;
    mutable std::shared_mutex mutex;
    Entries entries;
    uint64_t changeCount = 0;
};

} // namespace hornbeam
