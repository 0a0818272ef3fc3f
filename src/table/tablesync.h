#pragma once

// Spreads table versions among the members without the platform. A watcher tells its zone and one member of each other zone; whoever
// learns of a newer version pulls the text over a stream. Digests on the members' probes find what was lost.

#include "core/clock.h"
#include "core/counters.h"
#include "peer/actions.h"
#include "peer/directory.h"
#include "table/tablestore.h"

#include <map>
#include <mutex>

namespace hornbeam {

struct TableSyncSettings
{
    Duration exchangeInterval = seconds(1);      // between two exchanges of recent versions with members whose digest differs
    Duration fullExchangeInterval = seconds(10); // between two exchanges of all versions, when recent ones did not mend the difference
    Duration pullTimeout = seconds(2);           // after which a text is asked for again
    size_t exchangesPerTick = 2;                 // members, 1 to 16
    size_t recentVersions = 24;                  // versions in one datagram, 1 to 32
};

/** All methods are thread safe. */
class TableSync
{
public:
    /** Precondition: all references outlive this object. */
    TableSync(TableStore &store, const MemberDirectory &directory, const Clock &clock, Counters &counters, const TableSyncSettings &settings = {});

    /** Another member's versions: pulls the newer ones, and answers with those that are newer here. */
    void onMessage(const TableVersions &message, Actions &out);
    /** Another member asks for texts. */
    void onMessage(const TablePull &message, Actions &out);
    /** A text arrived. Applies it; passes it on in the own zone when it came from another zone. */
    void onMessage(const TableText &message, Actions &out);

    /** After the platform's watch put versions in force here: tells the zone's members and one of each other zone in reach. */
    void onLocalChange(const std::vector<ServiceId> &changed, Actions &out);

    /** Exchanges versions with members whose digest differs from the own one. Call it about once a second, also with an empty list. */
    void tick(const std::vector<MemberId> &differing, Actions &out);

    /** Whether this instance holds the platform's watch for its zone (the first two members by rendezvous hashing do). */
    bool isWatcher() const;
    /** Whether this instance writes its zone's status object. */
    bool isReporter() const;
    /** The member that writes it; 0 when there is none. */
    MemberId reporter() const;

private:
    struct Pull
    {
        TableVersion version = 0;
        MemberId peer = 0;
        TimePoint since;
    };

    void addRecent(ServiceId service);
    void notifyZone(ZoneId zone, const TableVersions &notice, Actions &out) const;
    TableVersions makeVersionsNotice(const std::vector<ServiceId> &services) const;
    void pullNewer(const TableVersions &message, Actions &out);
    void replyWithNewer(const TableVersions &message, Actions &out) const;
    void exchange(MemberId peer, Actions &out);
    bool isOwnerAtRank(size_t rank) const;

    TableStore &store;
    const MemberDirectory &directory;
    const Clock &clock;
    Counters &counters;
    const TableSyncSettings settings;
    mutable std::mutex mutex;
    std::map<ServiceId, Pull> pulls;                  // texts asked for that did not arrive yet
    std::vector<ServiceId> recent;                    // services in the order in which they changed, newest last
    std::map<MemberId, TimePoint> lastRecentExchange; // when recent versions were last exchanged with a member
    std::map<MemberId, TimePoint> lastFullExchange;   // when all versions were last exchanged with a member
    TimePoint lastExchange;
    size_t nextPeer = 0; // which differing member comes next
};

} // namespace hornbeam
