#include "table/tablestore.h"

#include <algorithm>
#include <mutex>
#include <set>

namespace hornbeam {

TableStore::TableStore(const Clock &clock, Counters &counters) : clock(clock), counters(counters)
{
}

ApplyResult TableStore::apply(const std::string &service, TableVersion version, const std::string &text)
{
    const std::unique_lock lock(this->mutex);
    const auto known = this->entries.find(serviceIdOf(service));
    if (!isValidName(service) || (known != this->entries.end() && known->second.service != service)) {
        // Invalid name, or a hash collision with another service, whose packets would be indistinguishable.
        this->counters.add(Counter::TableRowsRejected);
        return ApplyResult::Invalid;
    }
    Entry &entry = this->entries[serviceIdOf(service)];
    entry.service = service;
    if (version <= entry.version) {
        this->counters.add(Counter::TableVersionsStale);
        return ApplyResult::Stale;
    }
    if (version == entry.refusedVersion) {
        return ApplyResult::Invalid;
    }
    const ApplyResult result = this->tryApply(entry, version, text);
    if (result == ApplyResult::Applied) {
        this->retryRefused();
    } else {
        this->counters.add(Counter::TableRowsRejected);
    }
    return result;
}

ApplyResult TableStore::tryApply(Entry &entry, TableVersion version, const std::string &text)
{
    ParsedTable parsed = parseTable(text, version);
    if (parsed.document.has_value() && parsed.document->table.name != entry.service) {
        parsed.faults.push_back({ "service", '"' + parsed.document->table.name + '"', "the service named by the object's key, " + entry.service });
    }
    if (parsed.document.has_value() && !parsed.document->isDeleted) {
        const std::vector<TableError> conflicts = this->findConflicts(parsed.document->table);
        parsed.faults.insert(parsed.faults.end(), conflicts.begin(), conflicts.end());
    }
    if (!parsed.faults.empty()) {
        if (version >= entry.refusedVersion) {
            entry.refusedVersion = version;
            entry.refusedText = text;
            entry.faults = parsed.faults;
        }
        return ApplyResult::Invalid;
    }
    entry.text = text;
    entry.version = version;
    entry.sinceMs = this->clock.wallMillis();
    entry.isDeleted = parsed.document->isDeleted;
    entry.table = std::make_shared<const ServiceTable>(std::move(parsed.document->table));
    if (entry.refusedVersion <= version) {
        entry.refusedVersion = 0;
        entry.refusedText.clear();
        entry.faults.clear();
    }
    ++this->changeCount;
    this->counters.add(Counter::TableVersionsApplied);
    return ApplyResult::Applied;
}

std::vector<TableError> TableStore::findConflicts(const ServiceTable &table) const
{
    std::vector<TableError> faults;
    std::set<uint64_t> wanted;
    for (const TargetRow &row : table.rows) {
        wanted.insert(row.endpoint.key());
    }
    for (const auto &[id, other] : this->entries) {
        if (id == table.id || other.table == nullptr || other.isDeleted) {
            continue;
        }
        if (other.table->port == table.port) {
            faults.push_back({ "port", std::to_string(table.port), "a port not in use by service " + other.service + ", for service " + table.name });
        }
        for (const TargetRow &row : other.table->rows) {
            if (wanted.contains(row.endpoint.key())) {
                faults.push_back({ "targets", toString(row.endpoint), "an address not in use by service " + other.service + ", for service " + table.name });
            }
        }
    }
    return faults;
}

// When an address moves between services, the new service's table may arrive before the old one's.
void TableStore::retryRefused()
{
    bool progress = true;
    while (progress) {
        progress = false;
        for (auto &[id, entry] : this->entries) {
            if (entry.refusedVersion == 0) {
                continue;
            }
            const std::string text = entry.refusedText;
            progress = this->tryApply(entry, entry.refusedVersion, text) == ApplyResult::Applied || progress;
        }
    }
}

std::shared_ptr<const ServiceTable> TableStore::find(ServiceId service) const
{
    const std::shared_lock lock(this->mutex);
    const auto found = this->entries.find(service);
    return found == this->entries.end() || found->second.isDeleted ? nullptr : found->second.table;
}

std::vector<std::shared_ptr<const ServiceTable>> TableStore::all() const
{
    const std::shared_lock lock(this->mutex);
    std::vector<std::shared_ptr<const ServiceTable>> tables;
    for (const auto &[id, entry] : this->entries) {
        if (entry.table != nullptr && !entry.isDeleted) {
            tables.push_back(entry.table);
        }
    }
    return tables;
}

uint64_t TableStore::changes() const
{
    const std::shared_lock lock(this->mutex);
    return this->changeCount;
}

std::vector<ServiceVersion> TableStore::versions() const
{
    const std::shared_lock lock(this->mutex);
    std::vector<ServiceVersion> versions;
    for (const auto &[id, entry] : this->entries) {
        if (entry.version != 0) {
            versions.push_back({ id, entry.version });
        }
    }
    return versions;
}

TableVersion TableStore::seenVersion(ServiceId service) const
{
    const std::shared_lock lock(this->mutex);
    const auto found = this->entries.find(service);
    return found == this->entries.end() ? 0 : std::max(found->second.version, found->second.refusedVersion);
}

uint64_t TableStore::digest() const
{
    const std::shared_lock lock(this->mutex);
    uint64_t digest = 0;
    for (const auto &[id, entry] : this->entries) {
        if (entry.version != 0) {
            digest += mixHash(id, entry.version); // a sum is independent of the order
        }
    }
    return digest;
}

std::optional<TableText> TableStore::text(ServiceId service) const
{
    const std::shared_lock lock(this->mutex);
    const auto found = this->entries.find(service);
    if (found == this->entries.end() || found->second.version == 0) {
        return std::nullopt;
    }
    return TableText{ found->second.service, found->second.version, found->second.text };
}

std::vector<TableState> TableStore::states() const
{
    const std::shared_lock lock(this->mutex);
    std::vector<TableState> states;
    for (const auto &[id, entry] : this->entries) {
        states.push_back({ entry.service, id, entry.version, entry.sinceMs, entry.isDeleted, entry.refusedVersion, entry.faults });
    }
    std::sort(states.begin(), states.end(), [](const TableState &a, const TableState &b) { return a.service < b.service; });
    return states;
}

bool TableStore::hasRejectedVersions() const
{
    const std::shared_lock lock(this->mutex);
    return std::any_of(this->entries.begin(), this->entries.end(), [](const auto &known) { return known.second.refusedVersion != 0; });
}

} // namespace hornbeam
