#pragma once

// Entries of one kind, read from the store or received from another instance, with the revision of each change. Used to send differences to other instances.

#include "flows/targetdirectory.h"
#include "peer/messages.h"
#include "sharing/resourceview.h"

#include <map>
#include <optional>
#include <utility>

namespace hornbeam {

/** An availability zone whose targets get no new flows. */
struct EvacuationRecord
{
    std::string name;      // of the zone
    uint64_t revision = 0; // of the store's object: one that was deleted and written again is a new evacuation

    bool operator==(const EvacuationRecord &) const = default;
};

/** An entry of the store and the revision of its last change. */
template<typename Record>
struct StoreEntry
{
    Record record; // has a `name`, unique among the entries of its kind
    uint64_t revision = 0;
    TimePoint coldUntil = TimePoint{}; // TimePoint{} if the target is not cold; set by EntryView
};

using TargetEntry = StoreEntry<TargetRecord>;
using EvacuationEntry = StoreEntry<EvacuationRecord>;

/** Entries from one response of the store or of a member: a snapshot or the changes since a revision. */
template<typename Record>
struct EntryUpdate
{
    bool isSnapshot = false; // `updated` holds all entries
    uint64_t from = 0;       // changes after this revision; unused for a snapshot
    uint64_t revision = 0;   // last revision included
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

/** Not thread safe: one event loop owns it. */
template<typename Record>
class EntryView final : public ResourceView
{
public:
    using Entry = StoreEntry<Record>;
    using Update = EntryUpdate<Record>;
    using Changes = StoreEntryChanges<decltype(toMessage(std::declval<const Entry &>(), TimePoint{}))>;

    /** Keeps tombstones of removed entries for `removalRetention`. */
    explicit EntryView(Duration removalRetention);

    /** Applies an update. Returns the changes it contained that were new, or nothing if changes before it are missing. An update older than the current
     * revision contains no new changes. */
    std::optional<Update> update(Update update, TimePoint now);
    /** Changes after `revision`, or all entries for revision 0. The revision of the result is 0 if the history no longer reaches back that far. */
    Changes changesSince(uint64_t revision, TimePoint now) const;
    /** Whether an entry was added, changed or removed after `revision`. */
    bool hasChangedSince(uint64_t revision) const;
    /** Drops expired tombstones. */
    void expire(TimePoint now);

    bool isLoaded() const override;
    uint64_t revision() const override;
    TimePoint confirmedAt() const override;
    /** The entries by name. */
    const std::map<std::string, Entry> &all() const;

private:
    /** Revisions between two snapshots. Entries added and removed in between are unknown, so changes since a revision in the gap can't be reported. */
    struct Gap
    {
        uint64_t after = 0;
        uint64_t before = 0;
    };
    struct Tombstone
    {
        uint64_t revision = 0;
        TimePoint at;
    };

    Update applySnapshot(Update update, TimePoint now);
    void add(const Entry &entry);
    bool remove(const std::string &name, uint64_t revision, TimePoint now);
    void addGap(uint64_t after, uint64_t before);

    const Duration removalRetention;
    std::map<std::string, Entry> entries;
    std::map<std::string, Tombstone> tombstones; // by name; never overlaps with `entries`
    uint64_t oldestRevision = 0;                 // history is incomplete before this revision
    std::vector<Gap> gaps;                       // oldest first
    uint64_t latestChange = 0;                   // revision of the latest change
    uint64_t coveredRevision = 0;
    TimePoint confirmed;
};

using TargetView = EntryView<TargetRecord>;
using EvacuationView = EntryView<EvacuationRecord>;

} // namespace hornbeam
