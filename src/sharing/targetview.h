#pragma once

// What the store has told of the targets, by itself or through another instance, with the revision of each change, so that it can be told on.

#include "flows/targetdirectory.h"
#include "peer/messages.h"

#include <map>
#include <optional>

namespace hornbeam {

/** An entry of the store, and the revision of its last change. */
struct TargetEntry
{
    TargetRecord record;
    uint64_t revision = 0;
};

/** One answer about the targets. */
struct TargetUpdate
{
    bool isSnapshot = false; // `updated` are all targets
    uint64_t from = 0;       // the changes are those after this revision, unless whole
    uint64_t revision = 0;   // up to here
    TimePoint requestedAt;   // the store was asked no earlier
    std::vector<TargetEntry> updated;
    std::vector<std::string> removed;
};

/** Not thread safe: one event loop owns it. */
class TargetView
{
public:
    /** Removed targets are remembered for `removalRetention`. */
    explicit TargetView(Duration removalRetention);

    /** Takes an answer. Returns the part of it that is new; nothing when changes before it are missing. An older answer than one taken before has nothing new.
     */
    std::optional<TargetUpdate> update(TargetUpdate news, TimePoint now);
    /** What changed after `revision`, or everything for revision 0; its revision is 0 when that is not known any more. */
    StoreTargetChanges changesSince(uint64_t revision, TimePoint now) const;
    /** Whether an entry was added, changed or removed after `revision`. */
    bool hasChangedSince(uint64_t revision) const;
    /** Forgets old removals. */
    void expire(TimePoint now);

    bool isLoaded() const;
    uint64_t revision() const;
    /** The latest time at which the store was asked what is known here; TimePoint{} before the first answer. */
    TimePoint confirmedAt() const;

private:
    struct Known
    {
        TargetEntry entry;
        TimePoint readAt; // of its remaining warm-up time
    };
    /** Entries that came and went between two whole answers are not known: what changed since a revision within a gap can't be told. */
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

    static bool isWarmupProgress(const Known &known, const TargetEntry &entry, TimePoint now);
    TargetUpdate applySnapshot(TargetUpdate news, TimePoint now);
    void add(const TargetEntry &entry, TimePoint now);
    bool remove(const std::string &name, uint64_t revision, TimePoint now);
    void addGap(uint64_t after, uint64_t before);

    const Duration removalRetention;
    std::map<std::string, Known> entries;
    std::map<std::string, Tombstone> tombstones; // of names that are no entries
    uint64_t oldestRevision = 0;                 // what changed before is not known in full
    std::vector<Gap> gaps;                       // oldest first
    uint64_t latestChange = 0;                   // revision of the latest change
    uint64_t coveredRevision = 0;
    TimePoint confirmed;
};

/** A target as it stands in messages, and back. Thread safe. */
StoreTarget toMessage(const TargetEntry &entry, Duration sinceRead);
TargetEntry fromMessage(const StoreTarget &target);

} // namespace hornbeam
