#pragma once

// Acquires slots from allocators for this instance's requests and feeds, and reports held slots to allocators.
//
// Sections: acquiring and releasing | answers | reports | periodic work

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

/** All methods are thread safe; one mutex guards the state, and listeners are called without it held. */
class SlotClient final : public SlotProvider
{
public:
    /** Precondition: the arguments outlive the client. */
    SlotClient(const SlotClientSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters);

    /** Sets the listeners for request slots and for feed slots. Precondition: called before any other method; both outlive the client. */
    void setListeners(SlotListener &requests, SlotListener &feeds) override;

    //--- Acquiring and releasing
    void acquireSlot(const AcquireParams &params, Actions &out) override;
    void releaseSlot(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out) override;

    //--- Answers
    /** Accepts a grant. A grant of an earlier epoch is ignored, an unexpected one is released. */
    void onSlotGrant(const SlotGrant &grant, Actions &out);
    /** Tries another zone, queues the request, or reports the refusal to the listener. */
    void onSlotRefusal(const SlotRefusal &refusal, Actions &out);

    //--- Reports
    /** Reports all held slots, or for an audit the queried slots that are not held. */
    void onHeldQuery(const HeldSlotsQuery &query, Actions &out);

    //--- Periodic work
    /** Retransmits slot requests, times out pending requests, reports to new allocators. To be called every 50 ms or less. */
    void tick(Actions &out) override;
    /** Number of slots held. */
    size_t heldCount() const;

private:
    struct PendingRequest
    {
        AcquireParams params;
        TimePoint deadline;              // after the first answer of an allocator
        TimePoint firstResponseDeadline; // before the first answer
        TimePoint nextSendAt;
        uint32_t unansweredCount = 0;     // unanswered slot requests to the current zone
        std::vector<ZoneId> untriedZones; // zones not yet tried without queueing; the next one is last
        ZoneId zone = 0;                  // the current zone
        MemberId allocator = 0;           // the current allocator
        bool isQueueing = false;
        bool isRefused = false;       // reported to the listener at the next tick
        bool isAnswered = false;      // any allocator has answered
        bool isLastUnanswered = true; // no answer to the last slot request
        Reason reason = Reason::KeeperUnreachable;
        uint32_t retryAfterMs = 0;
        ZoneId queueZone = 0; // the zone whose refusal had the shortest retryAfterMs
        uint32_t queueWaitMs = UINT32_MAX;
    };
    struct HeldEntry
    {
        GrantedSlot slot;
        SlotKind kind = SlotKind::Request;
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
        MemberId allocator = 0; // according to the member directory
        size_t held = 0;        // slots held of this service and zone
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
    /** Tries the next zone for a refused request, then queueing. Returns false when no option is left. */
    bool tryNextZone(PendingRequest &pending, const SlotRefusal &refusal, Actions &out);
    void sendReport(const AllocatorKey &key, AllocatorTerm &term, MemberId allocator, bool recomputeParts, Actions &out);
    /** Reports the held slot to an allocator that granted another one for the same request. */
    void sendCorrection(MemberId allocator, const HeldEntry &entry, Actions &out);
    void sendAuditReport(const HeldSlotsQuery &query, uint64_t epoch, Actions &out);
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
