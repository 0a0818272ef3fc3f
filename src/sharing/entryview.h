#pragma once

// Entries of one kind, read from the store or received from another instance, with the revision of each change. Used to send differences to other instances.

#include "core/storeposition.h"
#include "flows/targetdirectory.h"
#include "peer/messages.h"
#include "sharing/resourceview.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hornbeam {

/** An availability zone whose targets get no new flows. */
struct EvacuationRecord
{
    std::string name;       // of the zone
    StorePosition position; // of the store's object: one that was deleted and written again is a new evacuation

    bool operator==(const EvacuationRecord &) const = default;
};

/** An entry of the store and the position of its last change. */
template<typename Record>
struct StoreEntry
{
    Record record; // has a `name`, unique among the entries of its kind
    StorePosition position;
    TimePoint coldUntil = TimePoint{}; // TimePoint{} if the target is not cold; set by EntryView
};

using TargetEntry = StoreEntry<TargetRecord>;
using EvacuationEntry = StoreEntry<EvacuationRecord>;

/** Entries from one response of the store or of a member: a snapshot or the changes since a revision. */
template<typename Record>
struct EntryUpdate
{
    bool isSnapshot = false; // `updated` holds all entries
    StorePosition from;      // changes after this position; unused for a snapshot
    StorePosition position;  // last one included
    TimePoint requestedAt;   // the store request began no earlier than this
    std::vector<StoreEntry<Record>> updated;
    std::vector<std::string> removed;
};

using TargetUpdate = EntryUpdate<TargetRecord>;
using EvacuationUpdate = EntryUpdate<EvacuationRecord>;

/** Converts between entries and their message form. Thread safe. */
StoreTarget toMessage(const TargetEntry &entry, TimePoint now);
TargetEntry fromMessage(const StoreTarget &target);
StoreEvacuation toMessage(const EvacuationEntry &entry, TimePoint now);
EvacuationEntry fromMessage(const StoreEvacuation &evacuation);

/**
 * A snapshot of a new era comes from a store that was restored from a backup. It brings nothing back that is known to have ended: entries of an earlier process
 * and removed ones are ignored, and a target that drains or has warmed up goes on doing so, until the entry changes in the new era.
 *
 * Not thread safe: one event loop owns it.
 */
template<typename Record>
class EntryView final : public ResourceView
{
public:
    using Entry = StoreEntry<Record>;
    using Update = EntryUpdate<Record>;
    using Changes = StoreEntryChanges<decltype(toMessage(std::declval<const Entry &>(), TimePoint{}))>;

    /** Keeps tombstones of removed entries for `removalRetention`, and entries that a restored store lacks for `restoredRetention`. */
    EntryView(Duration removalRetention, Duration restoredRetention);

    /** Applies an update. Returns the changes it contained that were new, or nothing if changes before it are missing. An update older than the current
     * position contains no new changes. */
    std::optional<Update> update(Update update, TimePoint now);
    /** Changes after `base`, or all entries if it is not set. The position of the result is not set if the history no longer reaches back that far. */
    Changes changesSince(const StorePosition &base, TimePoint now) const;
    /** Whether an entry was added, changed or removed after `base`. */
    bool hasChangedSince(const StorePosition &base) const;
    /** Drops expired tombstones, and removes entries that a restored store still lacks. Returns an update with the removed ones. */
    Update expire(TimePoint now);

    bool isLoaded() const override;
    StorePosition position() const override;
    TimePoint confirmedAt() const override;
    /** The entries by name. */
    const std::map<std::string, Entry> &all() const;

private:
    /** Positions between two snapshots. Entries added and removed in between are unknown, so changes since a position in the gap can't be reported. */
    struct Gap
    {
        StorePosition after;
        StorePosition before;
    };
    struct Tombstone
    {
        StorePosition position;
        TimePoint at;
        uint64_t incarnation = 0; // of what was removed; 0 if unknown
    };

    Update applySnapshot(Update update, bool isRestored, TimePoint now);
    void removeMissing(const std::set<std::string> &names, const StorePosition &position, TimePoint now);
    std::optional<Entry> reconcile(const Entry &entry, TimePoint now) const;
    void add(const Entry &entry);
    bool remove(const std::string &name, const StorePosition &position, TimePoint now);
    void addGap(const StorePosition &after, const StorePosition &before);

    const Duration removalRetention;
    const Duration restoredRetention;
    std::map<std::string, Entry> entries;
    std::map<std::string, Tombstone> tombstones; // by name; never overlaps with `entries`
    StorePosition oldest;                        // history is incomplete before this
    std::vector<Gap> gaps;                       // oldest first
    StorePosition latestChange;
    StorePosition covered;
    StorePosition restored; // first update of the current era, if an earlier one was known: entries up to it may come from the backup
    TimePoint missingSince; // since when entries of an earlier era have been noticed that the restored store lacks; TimePoint{} if none
    TimePoint confirmed;
};

using TargetView = EntryView<TargetRecord>;
using EvacuationView = EntryView<EvacuationRecord>;

} // namespace hornbeam
