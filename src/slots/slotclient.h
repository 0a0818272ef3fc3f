#pragma once

// Obtains places from keepers on behalf of this instance's requests and feeds, and tells keepers which ones are held.
//
// Sections: wishes | answers | reports | periodic work

#include "core/counters.h"
#include "peer/directory.h"
#include "slots/settings.h"
#include "slots/slotprovider.h"
#include "table/servicetable.h"

#include <map>
#include <mutex>
#include <tuple>
#include <unordered_map>

namespace hornbeam {

constexpr uint64_t feedRequestBit = 1ULL << 63; // set in the request numbers of feeds

/** All methods are thread safe; one mutex guards the state, and listeners are called after it is released. */
class SlotClient final : public SlotProvider
{
public:
    /** Precondition: the arguments outlive the client. */
    SlotClient(const SlotClientSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters);

    /** Sets who hears of request slots and of feed places. Precondition: called before any other method; both outlive the client. */
    void setListeners(SlotListener &requests, SlotListener &feeds) override;

    //--- Wishes
    void acquireSlot(const AcquireParams &params, Actions &out) override;
    void releaseSlot(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out) override;

    //--- Answers
    /** Takes a grant; one of an earlier epoch is ignored, one that nobody waits for is given back. */
    void onSlotGrant(const SlotGrant &grant, Actions &out);
    /** Tries another zone, queues, or refuses the wish. */
    void onSlotRefusal(const SlotRefusal &refusal, Actions &out);

    //--- Reports
    /** Reports all places, or those of the query that are not held. */
    void onHeldQuery(const HeldQuery &query, Actions &out);

    //--- Periodic work
    /** Repeats asks, ends wishes whose patience is over, reports to new keepers. To be called every 50 ms or less. */
    void tick(Actions &out) override;
    /** Places held now. */
    size_t heldCount() const;

private:
    struct PendingRequest
    {
        AcquireParams params;
        TimePoint deadline;              // once a keeper has answered
        TimePoint firstResponseDeadline; // before that
        TimePoint nextSendAt;
        uint32_t unansweredCount = 0;     // without an answer, of the zone asked now
        std::vector<ZoneId> untriedZones; // zones not yet asked without queueing, the next one last
        ZoneId zone = 0;                  // the zone asked now
        MemberId allocator = 0;           // the instance asked now
        bool isQueueing = false;
        bool isRefused = false;       // ends at the next tick
        bool isAnswered = false;      // some keeper has answered
        bool isLastUnanswered = true; // the last ask has had no answer at all
        Reason reason = Reason::KeeperUnreachable;
        uint32_t retryAfterMs = 0;
        ZoneId queueZone = 0; // the zone whose refusal promised the shortest wait
        uint32_t queueWaitMs = UINT32_MAX;
    };
    struct HeldEntry
    {
        GrantedSlot slot;
        PlaceKind kind = PlaceKind::Request;
    };
    struct AllocatorKey
    {
        ServiceId service = 0;
        ZoneId zone = 0;

        bool operator<(const AllocatorKey &other) const
        {
            return std::tie(this->service, this->zone) < std::tie(other.service, other.zone);
        }
    };
    struct AllocatorTerm
    {
        uint64_t epoch = 0;
        uint16_t parts = 0;     // of the report of this epoch; 0 before the first
        MemberId allocator = 0; // as the directory names it
        size_t held = 0;        // places held of it
    };
    struct FailedRequest
    {
        uint64_t request = 0;
        Reason reason = Reason::None;
        Duration retryAfter{};
    };

    SlotListener &listenerOf(uint64_t request) const;
    PendingRequest makePendingRequest(const AcquireParams &params, const ServiceTable &table) const;
    std::vector<ZoneId> overflowZones(const AcquireParams &params, const ServiceTable &table) const;
    MemberId allocatorOf(ServiceId service, ZoneId zone) const;
    bool isSuspect(MemberId member) const;
    void sendSlotRequest(PendingRequest &pending, Actions &out);
    void sendRelease(const GrantedSlot &slot, SlotOutcome outcome, Duration latency, Actions &out);
    void cancelRequest(const PendingRequest &pending, Actions &out);
    bool acceptGrant(const SlotGrant &grant, Actions &out);
    void handleStaleGrant(PendingRequest &pending, const SlotGrant &grant, AllocatorTerm &term, Actions &out);
    void retryRequest(PendingRequest &pending, Actions &out);
    /** Moves a refused wish on. Returns false when there is nothing left to try. */
    bool tryNextZone(PendingRequest &pending, const SlotRefusal &refusal, Actions &out);
    void sendReport(const AllocatorKey &key, AllocatorTerm &term, MemberId allocator, bool recomputeParts, Actions &out);
    /** Tells a keeper that granted another place for the same request which one is held. */
    void sendCorrection(MemberId allocator, const HeldEntry &entry, Actions &out);
    void sendAuditReport(const HeldQuery &query, uint64_t epoch, Actions &out);
    void updatePendingRequest(PendingRequest &pending, bool viewChanged, std::vector<FailedRequest> &refused, Actions &out);
    void reportToNewAllocators(Actions &out);
    void notifyRefused(const std::vector<FailedRequest> &refused, Actions &out);

    const SlotClientSettings settings;
    const MemberDirectory &directory;
    const TableSource &tables;
    const Clock &clock;
    Counters &counters;
    const MemberRecord self;
    SlotListener *requestListener = nullptr;
    SlotListener *feedListener = nullptr;
    mutable std::mutex mutex;
    std::unordered_map<uint64_t, PendingRequest> pendingRequests;
    std::map<uint64_t, HeldEntry> held;
    std::map<AllocatorKey, AllocatorTerm> terms;
    uint64_t viewVersion = 0;
};

} // namespace hornbeam
