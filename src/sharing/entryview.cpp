#include "sharing/entryview.h"

#include <algorithm>
#include <set>
#include <type_traits>

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

uint32_t remainingWarmup(const TargetEntry &entry, TimePoint now)
{
    return static_cast<uint32_t>(std::max<int64_t>(0, std::chrono::ceil<milliseconds>(entry.coldUntil - now).count()));
}

uint64_t incarnationOf(const TargetEntry &entry)
{
    return entry.record.incarnation;
}

uint64_t incarnationOf(const EvacuationEntry &entry)
{
    return entry.position.revision; // an object that is written again is a new evacuation
}

// What is current of a target whose entry may come from a backup.
TargetEntry merge(const TargetEntry &entry, const TargetEntry &known, TimePoint now)
{
    if (entry.record.incarnation > known.record.incarnation) {
        return entry;
    }
    TargetEntry current = entry.record.incarnation == known.record.incarnation ? entry : known;
    current.record.isDraining = entry.record.isDraining || known.record.isDraining;
    current.coldUntil = known.coldUntil;
    current.record.remainingWarmupMs = remainingWarmup(current, now);
    return current;
}

EvacuationEntry merge(const EvacuationEntry &entry, const EvacuationEntry &, TimePoint)
{
    return entry;
}

// Whether entries that a restored store lacks are kept for a while. TargetDirectory does this for targets, for any reason for which they are missing.
template<typename Record>
constexpr bool areMissingKept = std::is_same_v<Record, EvacuationRecord>;
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
    target.remainingWarmupMs = remainingWarmup(entry, now);
    target.revision = entry.position.revision;
    target.era = entry.position.era;
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
    entry.position = { target.era, target.revision };
    return entry;
}

StoreEvacuation toMessage(const EvacuationEntry &entry, TimePoint)
{
    return { entry.record.name, entry.record.position.revision, entry.record.position.era };
}

EvacuationEntry fromMessage(const StoreEvacuation &evacuation)
{
    const StorePosition position{ evacuation.era, evacuation.revision };
    return { { evacuation.zone, position }, position };
}

template<typename Record>
EntryView<Record>::EntryView(Duration removalRetention, Duration restoredRetention) : removalRetention(removalRetention), restoredRetention(restoredRetention)
{
}

template<typename Record>
auto EntryView<Record>::update(Update update, TimePoint now) -> std::optional<Update>
{
    if (!update.isSnapshot && (!this->isLoaded() || update.from > this->covered)) {
        return std::nullopt;
    }
    if (update.position < this->covered) {
        return Update{ false, this->covered, this->covered, TimePoint{}, {}, {} };
    }
    const bool isRestored = this->covered.isSet() && update.position.era > this->covered.era;
    if (isRestored) {
        this->restored = update.position;
        this->missingSince = TimePoint{};
    }
    this->confirmed = std::max(this->confirmed, update.requestedAt);
    for (Entry &entry : update.updated) {
        setColdUntil(entry, now);
    }
    if (update.isSnapshot) {
        return this->applySnapshot(std::move(update), isRestored, now);
    }
    std::erase_if(update.updated, [&](const Entry &entry) {
        const auto known = this->entries.find(entry.record.name);
        return known != this->entries.end() && (known->second.position >= entry.position || isSame(known->second, entry, now));
    });
    for (const Entry &entry : update.updated) {
        this->add(entry);
    }
    std::erase_if(update.removed, [&](const std::string &name) { return !this->remove(name, update.position, now); });
    this->covered = update.position;
    return update;
}

template<typename Record>
auto EntryView<Record>::applySnapshot(Update update, bool isRestored, TimePoint now) -> Update
{
    std::vector<Entry> reconciled;
    std::set<std::string> names;
    for (const Entry &read : update.updated) {
        const std::optional<Entry> entry = this->reconcile(read, now);
        if (!entry.has_value()) {
            continue;
        }
        names.insert(entry->record.name);
        reconciled.push_back(*entry);
        const auto known = this->entries.find(entry->record.name);
        if (known == this->entries.end() || !isSame(known->second, *entry, now)) {
            this->add(*entry);
        }
    }
    if (!isRestored || !areMissingKept<Record>) {
        this->removeMissing(names, update.position, now);
    } else {
        for (const auto &[name, known] : this->entries) {
            if (!names.contains(name)) {
                reconciled.push_back(known);
            }
        }
    }
    if (this->covered.isSet()) {
        this->addGap(this->covered, update.position);
    } else {
        this->oldest = update.position;
    }
    this->covered = update.position;
    update.updated = std::move(reconciled);
    return update;
}

// Returns what is known to be current of an entry in a snapshot, or nothing if it stands for something that has ended.
template<typename Record>
auto EntryView<Record>::reconcile(const Entry &entry, TimePoint now) const -> std::optional<Entry>
{
    if (entry.position > this->restored) {
        return entry;
    }
    const auto tombstone = this->tombstones.find(entry.record.name);
    if (tombstone != this->tombstones.end() && incarnationOf(entry) <= tombstone->second.incarnation) {
        return std::nullopt;
    }
    const auto known = this->entries.find(entry.record.name);
    return known == this->entries.end() ? entry : merge(entry, known->second, now);
}

template<typename Record>
void EntryView<Record>::removeMissing(const std::set<std::string> &names, const StorePosition &position, TimePoint now)
{
    std::vector<std::string> missingNames;
    for (const auto &[name, known] : this->entries) {
        if (!names.contains(name)) {
            missingNames.push_back(name);
        }
    }
    for (const std::string &name : missingNames) {
        this->remove(name, position, now);
    }
}

template<typename Record>
void EntryView<Record>::add(const Entry &entry)
{
    this->entries[entry.record.name] = entry;
    this->tombstones.erase(entry.record.name);
    this->latestChange = std::max(this->latestChange, entry.position);
}

// Also keeps tombstones for unknown names: another member may have read the entry before it was removed.
template<typename Record>
bool EntryView<Record>::remove(const std::string &name, const StorePosition &position, TimePoint now)
{
    Tombstone &tombstone = this->tombstones[name];
    const auto known = this->entries.find(name);
    const bool isKnown = known != this->entries.end();
    tombstone = { std::max(tombstone.position, position), now, isKnown ? incarnationOf(known->second) : tombstone.incarnation };
    this->latestChange = std::max(this->latestChange, position);
    if (isKnown) {
        this->entries.erase(known);
    }
    return isKnown;
}

template<typename Record>
void EntryView<Record>::addGap(const StorePosition &after, const StorePosition &before)
{
    if (before.era == after.era && before.revision - after.revision < 2) {
        return; // no revision in between
    }
    this->gaps.push_back({ after, before });
    if (this->gaps.size() > maxGaps) {
        this->oldest = std::max(this->oldest, this->gaps.front().before);
        this->gaps.erase(this->gaps.begin());
    }
}

template<typename Record>
auto EntryView<Record>::changesSince(const StorePosition &base, TimePoint now) const -> Changes
{
    Changes changes;
    const bool isInGap = std::any_of(this->gaps.begin(), this->gaps.end(), [&](const Gap &gap) { return gap.after < base && base < gap.before; });
    const bool isAvailable = this->isLoaded() && (!base.isSet() || (base >= this->oldest && !isInGap));
    if (!isAvailable) {
        return changes;
    }
    changes.setFrom(base);
    changes.setPosition(this->covered);
    // rounded up: the reported age must never be less than the actual age
    changes.ageMs = static_cast<uint32_t>(std::chrono::ceil<milliseconds>(now - this->confirmed).count());
    for (const auto &[name, known] : this->entries) {
        if (known.position > base || !base.isSet()) {
            changes.updated.push_back(toMessage(known, now));
        }
    }
    for (const auto &[name, tombstone] : this->tombstones) {
        if (base.isSet() && tombstone.position > base) {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

template<typename Record>
bool EntryView<Record>::hasChangedSince(const StorePosition &base) const
{
    return this->latestChange > base;
}

template<typename Record>
auto EntryView<Record>::expire(TimePoint now) -> Update
{
    std::erase_if(this->tombstones, [&](const auto &tombstone) {
        if (now - tombstone.second.at < this->removalRetention) {
            return false;
        }
        this->oldest = std::max(this->oldest, tombstone.second.position);
        return true;
    });
    Update update{ false, this->covered, this->covered, TimePoint{}, {}, {} };
    if (!areMissingKept<Record>) {
        return update;
    }
    for (const auto &[name, known] : this->entries) {
        if (known.position.era < this->covered.era) {
            update.removed.push_back(name);
        }
    }
    if (update.removed.empty()) {
        return update;
    }
    if (this->missingSince == TimePoint{}) {
        this->missingSince = now;
    }
    if (now - this->missingSince < this->restoredRetention) {
        update.removed.clear();
    }
    for (const std::string &name : update.removed) {
        this->remove(name, this->covered, now);
    }
    return update;
}

template<typename Record>
bool EntryView<Record>::isLoaded() const
{
    return this->covered.isSet();
}

template<typename Record>
StorePosition EntryView<Record>::position() const
{
    return this->covered;
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
