#pragma once

// Allocates request slots and feed slots (connections) of targets. Rendezvous hashing assigns each (service, zone) to one instance of the zone,
// which is its allocator. Metrics and log lines call this role "keeper", and its slots "places".
//
// The epoch of a new term is the wall clock at takeover, or one more than the latest epoch known to this instance or to a reporting holder. The low
// bits are taken from the allocator's identifier, so that epochs are unique without consensus. After a takeover, the allocator queries all eligible
// members of all reachable zones. It grants nothing until each of them has reported its slots or is gone, or settings.rebuildWait has passed. A holder
// that has reported ignores grants of earlier allocators. A holder that sees a different allocator in its membership view also reports without being
// queried; this covers leaving members, which are not eligible. The query goes to all zones, since the silence of a holder in another zone would
// otherwise be taken as holding no slots, and a takeover costs only one small datagram per member and direction.
//
// Overbooking: the slots in use at a target exceed its limit by at most those held by members that had not reported when the rebuild ended: members
// that were silent for rebuildWait, partitioned, leaving while their unsolicited report was lost, unknown to the allocator, or wrongly declared dead.
// These slots were within the limit of the earlier allocator that granted them, so each such allocator adds at most one limit. When all members have
// reported, there is no overbooking.

#include "slots/serviceallocator.h"

#include <mutex>

namespace hornbeam {

/** Totals over all services that this instance allocates. */
struct AllocatorLoad
{
    size_t services = 0;
    size_t requestSlots = 0; // in use
    size_t feedSlots = 0;    // in use
    size_t queued = 0;       // slot requests waiting for a free slot
};

/** All methods are thread safe: one mutex guards the state, and no callbacks are invoked. */
class SlotAllocator
{
public:
    /** Precondition: the arguments outlive the allocator. */
    SlotAllocator(const SlotAllocatorSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters);

    /** Grants, queues or refuses a slot. A retransmitted request gets the same grant again. A request meant for another allocator is refused with
     * KeeperUnreachable. */
    void onSlotRequest(const SlotRequest &slotRequest, Actions &out);
    /** Releases a slot or cancels a queued request. */
    void onSlotRelease(const SlotRelease &release, Actions &out);
    /** Handles the query of another instance that claims to be the allocator of a service in this zone. Call in addition to SlotClient::onHeldQuery. */
    void onHeldQuery(const HeldSlotsQuery &query, Actions &out);
    /** Applies a member's report of the slots that it holds. */
    void onHeldReport(const HeldSlotsReport &report, Actions &out);
    /** Handles the answer to a health probe; packets with any other token are ignored. */
    void onTargetPacket(const Endpoint &from, const Bytes &packet, const CoapMessage &message, Actions &out);
    /** Performs periodic work. To be called every 50 ms or less. */
    void tick(Actions &out);
    /** Totals over all services that this instance allocates. */
    AllocatorLoad load() const;
    /** The state as text, for debugging. */
    std::string dump() const;

private:
    ServiceAllocator *allocatorFor(ServiceId service, ZoneId zone, Actions &out);
    void updateRoles(Actions &out);
    bool hasJoined();

    const SlotAllocatorSettings settings;
    const AllocatorContext context;
    mutable std::mutex mutex;
    std::map<ServiceId, std::unique_ptr<ServiceAllocator>> allocators;
    std::map<ServiceId, uint64_t> lastEpochs;
    uint64_t probeNumber;
    uint64_t viewVersion = 0;
    uint64_t tableChanges = 0;
    bool hasAssignedRoles = false;
    TimePoint startedAt;
    bool isJoined = false;
};

} // namespace hornbeam
