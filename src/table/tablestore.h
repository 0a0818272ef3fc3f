#pragma once

// The tables in force on an instance. The version of a table never decreases, regardless of its source.

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
    Applied, // now in force
    Stale,   // this version or a later one is already in force
    Invalid, // rejected as a whole; the table in force is unchanged
};

/** State of a service's table for the state dump and the status object. */
struct TableState
{
    std::string service;
    ServiceId id = 0;
    TableVersion version = 0; // in force; 0 if there is none
    uint64_t sinceMs = 0;     // wall clock time at which it came into force
    bool isDeleted = false;
    TableVersion refusedVersion = 0; // a later version that was rejected; 0 if there is none
    std::vector<TableError> faults;  // the reasons for the rejection
};

/**
 * Holds the tables in force. A table that uses an address or port of another service in force is rejected as a whole, with an error that
 * names both services. Rejected tables are retried whenever another table comes into force. All methods are thread safe.
 */
class TableStore final : public TableSource
{
public:
    /** Precondition: the clock and the counters outlive the store. */
    TableStore(const Clock &clock, Counters &counters);

    /** Puts a version in force unless it is stale or invalid. */
    ApplyResult apply(const std::string &service, TableVersion version, const std::string &text);

    std::shared_ptr<const ServiceTable> find(ServiceId service) const override;
    std::vector<std::shared_ptr<const ServiceTable>> all() const override;
    uint64_t changes() const override;

    /** The versions in force including tombstones, sorted by service identifier. */
    std::vector<ServiceVersion> versions() const;
    /** The highest version of a service seen so far, in force or rejected; 0 if there is none. */
    TableVersion seenVersion(ServiceId service) const;
    /** Hash of the versions in force, independent of their order of arrival; 0 if there are none. */
    uint64_t digest() const;
    /** The text in force for a service, including tombstones; nullopt if there is none. */
    std::optional<TableText> text(ServiceId service) const;
    /** All services seen so far, sorted by name. */
    std::vector<TableState> states() const;
    /** Whether any service has a rejected version that is later than the one in force. */
    bool hasRejectedVersions() const;

private:
    struct Entry
    {
        std::string service;
        std::string text;
        std::shared_ptr<const ServiceTable> table; // null until the first version is in force
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
