#pragma once

// Target entries read from the store or received from another instance, with the revision of each change. Used to send differences to other instances.

#include "flows/targetdirectory.h"
#include "peer/messages.h"

#include <map>
#include <optional>

namespace hornbeam {

/** An entry of the store and the revision of its last change. */
struct TargetEntry
{
    TargetRecord record;
    uint64_t revision = 0;
    TimePoint coldUntil = TimePoint{}; // TimePoint{} if the target is not cold; set by TargetView
};

/** Targets from one response of the store or of a member: a snapshot or the changes since a revision. */
struct TargetUpdate
{
    bool isSnapshot = false; // `updated` holds all targets
    uint64_t from = 0;       // changes after this revision; unused for a snapshot
    uint64_t revision = 0;   // last revision included
    TimePoint requestedAt;   // the store request began no earlier than this
    std::vector<TargetEntry> updated;
    std::vector<std::string> removed;
};

/** Not thread safe: one event loop owns it. */
class TargetView
{
public:
    /** Keeps tombstones of removed targets for `removalRetention`. */
    explicit TargetView(Duration removalRetention);

    /** Applies an update. Returns the changes it contained that were new, or nothing if changes before it are missing. An update older than the current
     * revision contains no new changes. */
    std::optional<TargetUpdate> update(TargetUpdate update, TimePoint now);
    /** Changes after `revision`, or all entries for revision 0. The revision of the result is 0 if the history no longer reaches back that far. */
    StoreTargetChanges changesSince(uint64_t revision, TimePoint now) const;
    /** Whether an entry was added, changed or removed after `revision`. */
    bool hasChangedSince(uint64_t revision) const;
    /** Drops expired tombstones. */
    void expire(TimePoint now);

    bool isLoaded() const;
    uint64_t revision() const;
    /** The start time of the latest store request that this data reflects; TimePoint{} before the first update. */
    TimePoint confirmedAt() const;

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

    TargetUpdate applySnapshot(TargetUpdate update, TimePoint now);
    void add(const TargetEntry &entry);
    bool remove(const std::string &name, uint64_t revision, TimePoint now);
    void addGap(uint64_t after, uint64_t before);

    const Duration removalRetention;
    std::map<std::string, TargetEntry> entries;
    std::map<std::string, Tombstone> tombstones; // by name; never overlaps with `entries`
    uint64_t oldestRevision = 0;                 // history is incomplete before this revision
    std::vector<Gap> gaps;                       // oldest first
    uint64_t latestChange = 0;                   // revision of the latest change
    uint64_t coveredRevision = 0;
    TimePoint confirmed;
};

/** Converts between entries and their message form. Thread safe. */
StoreTarget toMessage(const TargetEntry &entry, TimePoint now);
TargetEntry fromMessage(const StoreTarget &target);

} // namespace hornbeam
