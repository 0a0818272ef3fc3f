#pragma once

// Distributes table versions among the members without the platform. A watcher notifies its zone and one member of each other zone; a member
// that learns of a newer version pulls the text over a stream. Digests in the membership probes detect lost notifications.

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
    Duration exchangeInterval = seconds(1);      // between exchanges of recent versions with members whose digest differs
    Duration fullExchangeInterval = seconds(10); // between exchanges of all versions, if recent ones did not resolve the difference
    Duration pullTimeout = seconds(2);           // after which an unanswered pull may be repeated
    size_t exchangesPerTick = 2;                 // members per tick, 1 to 16
    size_t recentVersions = 24;                  // versions per datagram, 1 to 32
};

/** All methods are thread safe. */
class TableSync
{
public:
    /** Precondition: all references outlive this object. */
    TableSync(TableStore &store, const MemberDirectory &directory, const Clock &clock, Counters &counters, const TableSyncSettings &settings = {});

    /** Handles another member's versions: pulls those that are newer there and replies with those that are newer here. */
    void onMessage(const TableVersions &message, Actions &out);
    /** Sends the requested texts to another member. */
    void onMessage(const TablePull &message, Actions &out);
    /** Applies a received text. If it came from another zone, notifies the own zone of the new version. */
    void onMessage(const TableText &message, Actions &out);

    /** Called after the platform watch put versions in force here. Notifies the zone's members and one member of each other reachable zone. */
    void onLocalChange(const std::vector<ServiceId> &changed, Actions &out);

    /** Exchanges versions with members whose digest differs from the local one. Call about once per second, even with an empty list. */
    void tick(const std::vector<MemberId> &differing, Actions &out);

    /** Whether this instance watches the platform for its zone. The first two members by rendezvous hashing do. */
    bool isWatcher() const;
    /** Whether this instance writes its zone's status object. */
    bool isReporter() const;
    /** The member that writes the zone's status object; 0 if there is none. */
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
    std::map<ServiceId, Pull> pulls;                  // pulls without a response yet
    std::vector<ServiceId> recent;                    // services in order of change, newest last
    std::map<MemberId, TimePoint> lastRecentExchange; // time of the last exchange of recent versions, per member
    std::map<MemberId, TimePoint> lastFullExchange;   // time of the last exchange of all versions, per member
    TimePoint lastExchange;
    size_t nextPeer = 0; // round-robin position in the list of differing members
};

} // namespace hornbeam
