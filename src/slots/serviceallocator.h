#pragma once

// Allocates the slots of one service in this instance's zone, for one term.
//
// Sections: slot requests | releases | rebuild | targets

#include "core/coap.h"
#include "core/counters.h"
#include "peer/actions.h"
#include "slots/rebuildprogress.h"
#include "slots/slotrequestqueue.h"
#include "slots/targetchoice.h"
#include "slots/targetstate.h"

#include <memory>

namespace hornbeam {

struct AllocatorLoad;

struct AllocatorContext
{
    const SlotAllocatorSettings &settings;
    const MemberDirectory &directory;
    const TableSource &tables;
    const Clock &clock;
    Counters &counters;
};

/** Not thread safe: guarded by the mutex of SlotAllocator. */
class ServiceAllocator
{
public:
    /** Starts a term with `epoch` and queries the members for the slots that they hold. */
    ServiceAllocator(const AllocatorContext &context, ServiceId service, uint64_t epoch, Actions &out);

    //--- Slot requests
    void onSlotRequest(const SlotRequest &slotRequest, Actions &out);

    //--- Releases
    void onSlotRelease(const SlotRelease &release, Actions &out);

    //--- Rebuild
    void onHeldReport(const HeldSlotsReport &report, Actions &out);
    /** Handles the query of another allocator. If its epoch is later, nothing is granted until all members have reported again. */
    void onHeldQuery(const HeldSlotsQuery &query, Actions &out);
    /** Refuses all queued requests, so that the clients turn to the new allocator. */
    void endTerm(Actions &out);
    uint64_t currentEpoch() const
    {
        return this->epoch;
    }

    //--- Targets
    void onProbeAnswer(TargetId target, uint64_t number, const Endpoint &from, const Bytes &packet, const CoapMessage &message);
    /** Reclaims slots, audits grants, serves the queue, sends notices and probes. `probeNumber` is incremented for each probe. */
    void tick(uint64_t &probeNumber, Actions &out);
    /** The target with an outstanding probe of this number; 0 when there is none. */
    TargetId findProbe(uint64_t number) const;
    /** Adds the slots in use and the queued requests of this service to `load`. */
    void addLoad(AllocatorLoad &load) const;
    std::string dump() const;

private:
    using Table = std::shared_ptr<const ServiceTable>;

    void serveRequest(const SlotRequest &slotRequest, Actions &out);
    void enqueueRequest(const SlotRequest &slotRequest, const ServiceTable &table, Actions &out);
    void serveQueue(Actions &out);
    bool tryGrant(const SlotRequest &slotRequest, const ServiceTable &table, Actions &out);
    void sendGrant(const SlotRequest &slotRequest, const TargetRow &row, Actions &out);
    void refuse(const SlotRequest &slotRequest, Reason reason, Actions &out);
    Duration estimatedWait(SlotKind kind, const ServiceTable &table);
    std::vector<Candidate> candidates(const ServiceTable &table, SlotKind kind, TargetId avoid);
    Candidate makeCandidate(const TargetRow &row, SlotKind kind, bool isLastResort);
    bool isEligible(const TargetRow *row) const;
    bool hasEligibleTargets(const ServiceTable &table) const;

    void beginRebuild(Actions &out);
    void supersede(uint64_t laterEpoch);
    void endRebuild(Actions &out);
    void updateRebuild(Actions &out);
    void sendQueries(Actions &out);
    std::vector<MemberRecord> possibleHolders() const;
    void removeAbsent(const HeldSlotsReport &report);
    void applyHeldSlots(const HeldSlotsReport &report);
    void reclaimFromEndedProcesses();
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

    const AllocatorContext &context;
    const ServiceId service;
    const MemberRecord self;
    uint64_t epoch;
    bool isRebuilding = false;
    RebuildProgress rebuild;
    TimePoint rebuildBegan;
    std::optional<TimePoint> restartRebuildAt; // when the next rebuild begins
    TimePoint nextQueryAt;
    TimePoint nextAuditAt;
    uint64_t viewVersion = 0;
    GrantTable grants;
    SlotRequestQueue queue;
    std::map<TargetId, TargetState> targets;
    Duration meanHoldTime{}; // of request slots; zero before the first measurement
};

} // namespace hornbeam
