#pragma once

// Keeps the places of one service in the own zone, for one term.
//
// Sections: asks | releases | rebuild | targets

#include "core/coap.h"
#include "core/counters.h"
#include "peer/actions.h"
#include "slots/askqueue.h"
#include "slots/choice.h"
#include "slots/rebuild.h"
#include "slots/targetstate.h"

#include <memory>

namespace hornbeam {

struct KeeperLoad;

struct KeeperContext
{
    const KeeperSettings &settings;
    const MemberDirectory &directory;
    const TableSource &tables;
    const Clock &clock;
    Counters &counters;
};

/** Not thread safe: the keeper's mutex guards it. */
class ServiceKeeper
{
public:
    /** Takes over with `epoch` and asks the members what they hold. */
    ServiceKeeper(const KeeperContext &context, ServiceId service, uint64_t epoch, Actions &out);

    //--- Asks
    void onSlotAsk(const SlotAsk &ask, Actions &out);

    //--- Releases
    void onSlotRelease(const SlotRelease &release, Actions &out);

    //--- Rebuild
    void onHeldReport(const HeldReport &report, Actions &out);
    /** Another instance keeps this service with a later epoch: grants nothing until all members have reported anew. */
    void onHeldQuery(const HeldQuery &query, Actions &out);
    /** Refuses all waiting asks, so that the askers turn to the new keeper. */
    void endKeeping(Actions &out);
    uint64_t term() const
    {
        return this->epoch;
    }

    //--- Targets
    void onProbeAnswer(TargetId target, uint64_t number, const Endpoint &from, const Bytes &packet, const CoapMessage &message);
    /** Reclaims, checks, serves the queue, sends notices and probes. `probeNumber` is raised with each probe. */
    void tick(uint64_t &probeNumber, Actions &out);
    /** The target whose probe carries a number; 0 when there is none. */
    TargetId findProbe(uint64_t number) const;
    /** Adds what is in use and waits here. */
    void addLoad(KeeperLoad &load) const;
    std::string dump() const;

private:
    using Table = std::shared_ptr<const ServiceTable>;

    void serveAsk(const SlotAsk &ask, Actions &out);
    void queueAsk(const SlotAsk &ask, const ServiceTable &table, Actions &out);
    void serveQueue(Actions &out);
    bool tryGrant(const SlotAsk &ask, const ServiceTable &table, Actions &out);
    void sendGrant(const SlotAsk &ask, const TargetRow &row, Actions &out);
    void refuse(const SlotAsk &ask, Reason reason, Actions &out);
    Duration estimatedWait(PlaceKind kind, const ServiceTable &table);
    std::vector<Candidate> candidates(const ServiceTable &table, PlaceKind kind, TargetId avoid);
    Candidate candidateOf(const TargetRow &row, PlaceKind kind, bool isLastResort);
    bool takesWork(const TargetRow *row) const;
    bool hasTargets(const ServiceTable &table) const;

    void beginRebuild(Actions &out);
    void supersede(uint64_t laterEpoch);
    void endRebuild(Actions &out);
    void updateRebuild(Actions &out);
    void sendQueries(Actions &out);
    std::vector<MemberRecord> possibleHolders() const;
    void applyAbsent(const HeldReport &report);
    void applyPlaces(const HeldReport &report);
    void reclaimGone();
    void sendAudits(Actions &out);

    void updateTargets(const Table &table);
    bool mayEject() const;
    void updateNotices(const Table &table, Actions &out);
    void sendNotice(TargetId target, TargetState &state, bool isFirst, const TargetNotice &notice, Actions &out);
    void sendProbes(const ServiceTable &table, uint64_t &probeNumber, Actions &out);
    ZoneId zone() const
    {
        return this->self.zone;
    }

    const KeeperContext &context;
    const ServiceId service;
    const MemberRecord self;
    uint64_t epoch;
    bool isRebuilding = false;
    Rebuild rebuild;
    TimePoint rebuildBegan;
    std::optional<TimePoint> restartAt; // when to rebuild once more
    TimePoint nextQueryAt;
    TimePoint nextAuditAt;
    uint64_t viewVersion = 0;
    PlaceBook book;
    AskQueue queue;
    std::map<TargetId, TargetState> targets;
    Duration meanHolding{}; // of request slots; zero while nothing is measured
};

} // namespace hornbeam
