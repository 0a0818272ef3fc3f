#include "sharing/entryview.h"

#include <algorithm>
#include <set>

namespace hornbeam {

namespace {
constexpr size_t maxGaps = 16;
// An entry states the remaining warm-up time as of its last write, and is read up to this much later. Only larger differences are changes.
constexpr Duration warmupTolerance = seconds(2);

bool isSame(const TargetEntry &known, const TargetEntry &entry, TimePoint now)
{
    TargetRecord record = entry.record;
    record.remainingWarmupMs = known.record.remainingWarmupMs;
    const Duration shift = std::max(now, known.coldUntil) - std::max(now, entry.coldUntil);
    return record == known.record && shift <= warmupTolerance && -shift <= warmupTolerance;
}

bool isSame(const EvacuationEntry &known, const EvacuationEntry &entry, TimePoint)
{
    return known.record == entry.record;
}

void setColdUntil(TargetEntry &entry, TimePoint now)
{
    entry.coldUntil = entry.record.remainingWarmupMs == 0 ? TimePoint{} : now + milliseconds(entry.record.remainingWarmupMs);
}

void setColdUntil(EvacuationEntry &, TimePoint)
{
}
}

StoreTarget toMessage(const TargetEntry &entry, TimePoint now)
{
    const TargetRecord &record = entry.record;
    StoreTarget target;
    target.name = record.name;
    target.service = record.service;
    target.address = record.address;
    target.zone = record.zone;
    target.deliveryId = record.deliveryId;
    target.incarnation = record.incarnation;
    target.slots = record.slots;
    target.isDraining = record.isDraining;
    target.remainingWarmupMs = static_cast<uint32_t>(std::max<int64_t>(0, std::chrono::ceil<milliseconds>(entry.coldUntil - now).count()));
    target.revision = entry.revision;
    return target;
}

TargetEntry fromMessage(const StoreTarget &target)
{
    TargetEntry entry;
    entry.record.name = target.name;
    entry.record.service = target.service;
    entry.record.address = target.address;
    entry.record.zone = target.zone;
    entry.record.deliveryId = target.deliveryId;
    entry.record.incarnation = target.incarnation;
    entry.record.slots = std::max(1U, target.slots);
    entry.record.isDraining = target.isDraining;
    entry.record.remainingWarmupMs = target.remainingWarmupMs;
    entry.revision = target.revision;
    return entry;
}

StoreEvacuation toMessage(const EvacuationEntry &entry, TimePoint)
{
    return { entry.record.name, entry.record.revision };
}

EvacuationEntry fromMessage(const StoreEvacuation &evacuation)
{
    return { { evacuation.zone, evacuation.revision }, evacuation.revision };
}

template<typename Record>
EntryView<Record>::EntryView(Duration removalRetention) : removalRetention(removalRetention)
{
}

template<typename Record>
auto EntryView<Record>::update(Update update, TimePoint now) -> std::optional<Update>
{
    if (!update.isSnapshot && (!this->isLoaded() || update.from > this->coveredRevision)) {
        return std::nullopt;
    }
    if (update.revision < this->coveredRevision) {
        return Update{ false, this->coveredRevision, this->coveredRevision, TimePoint{}, {}, {} };
    }
    this->confirmed = std::max(this->confirmed, update.requestedAt);
    for (Entry &entry : update.updated) {
        setColdUntil(entry, now);
    }
    if (update.isSnapshot) {
        return this->applySnapshot(std::move(update), now);
    }
    std::erase_if(update.updated, [&](const Entry &entry) {
        const auto known = this->entries.find(entry.record.name);
        return known != this->entries.end() && (known->second.revision >= entry.revision || isSame(known->second, entry, now));
    });
    for (const Entry &entry : update.updated) {
        this->add(entry);
    }
    std::erase_if(update.removed, [&](const std::string &name) { return !this->remove(name, update.revision, now); });
    this->coveredRevision = update.revision;
    return update;
}

template<typename Record>
auto EntryView<Record>::applySnapshot(Update update, TimePoint now) -> Update
{
    std::set<std::string> names;
    for (const Entry &entry : update.updated) {
        names.insert(entry.record.name);
        const auto known = this->entries.find(entry.record.name);
        if (known == this->entries.end() || !isSame(known->second, entry, now)) {
            this->add(entry);
        }
    }
    std::vector<std::string> missingNames;
    for (const auto &[name, known] : this->entries) {
        if (!names.contains(name)) {
            missingNames.push_back(name);
        }
    }
    for (const std::string &name : missingNames) {
        this->remove(name, update.revision, now);
    }
    if (this->coveredRevision == 0) {
        this->oldestRevision = update.revision;
    } else {
        this->addGap(this->coveredRevision, update.revision);
    }
    this->coveredRevision = update.revision;
    return update;
}

template<typename Record>
void EntryView<Record>::add(const Entry &entry)
{
    this->entries[entry.record.name] = entry;
    this->tombstones.erase(entry.record.name);
    this->latestChange = std::max(this->latestChange, entry.revision);
}

// Also keeps tombstones for unknown names: another member may have read the entry before it was removed.
template<typename Record>
bool EntryView<Record>::remove(const std::string &name, uint64_t revision, TimePoint now)
{
    Tombstone &tombstone = this->tombstones[name];
    tombstone = { std::max(tombstone.revision, revision), now };
    this->latestChange = std::max(this->latestChange, revision);
    return this->entries.erase(name) > 0;
}

template<typename Record>
void EntryView<Record>::addGap(uint64_t after, uint64_t before)
{
    if (before - after < 2) {
        return; // no revision in between
    }
    this->gaps.push_back({ after, before });
    if (this->gaps.size() > maxGaps) {
        this->oldestRevision = std::max(this->oldestRevision, this->gaps.front().before);
        this->gaps.erase(this->gaps.begin());
    }
}

template<typename Record>
auto EntryView<Record>::changesSince(uint64_t revision, TimePoint now) const -> Changes
{
    Changes changes;
    const bool isInGap = std::any_of(this->gaps.begin(), this->gaps.end(), [&](const Gap &gap) { return gap.after < revision && revision < gap.before; });
    const bool isAvailable = this->isLoaded() && (revision == 0 || (revision >= this->oldestRevision && !isInGap));
    if (!isAvailable) {
        return changes;
    }
    changes.from = revision;
    changes.revision = this->coveredRevision;
    // rounded up: the reported age must never be less than the actual age
    changes.ageMs = static_cast<uint32_t>(std::chrono::ceil<milliseconds>(now - this->confirmed).count());
    for (const auto &[name, known] : this->entries) {
        if (known.revision > revision) {
            changes.updated.push_back(toMessage(known, now));
        }
    }
    for (const auto &[name, tombstone] : this->tombstones) {
        if (revision != 0 && tombstone.revision > revision) {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

template<typename Record>
bool EntryView<Record>::hasChangedSince(uint64_t revision) const
{
    return this->latestChange > revision;
}

template<typename Record>
void EntryView<Record>::expire(TimePoint now)
{
    std::erase_if(this->tombstones, [&](const auto &tombstone) {
        if (now - tombstone.second.at < this->removalRetention) {
            return false;
        }
        this->oldestRevision = std::max(this->oldestRevision, tombstone.second.revision);
        return true;
    });
}

template<typename Record>
bool EntryView<Record>::isLoaded() const
{
    return this->coveredRevision != 0;
}

template<typename Record>
uint64_t EntryView<Record>::revision() const
{
    return this->coveredRevision;
}

template<typename Record>
TimePoint EntryView<Record>::confirmedAt() const
{
    return this->confirmed;
}

template<typename Record>
auto EntryView<Record>::all() const -> const std::map<std::string, Entry> &
{
    return this->entries;
}

template class EntryView<TargetRecord>;
template class EntryView<EvacuationRecord>;

} // namespace hornbeam
