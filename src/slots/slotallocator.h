#pragma once

// The keeper role: hands out the places of every (service, own zone) that rendezvous hashing gives to this instance.
//
// A new term's epoch is the wall clock at takeover, or one more than the latest epoch that this instance or a reporting holder knows, with bits of the
// keeper's identifier below it; no agreement is needed. A new keeper queries all eligible members of all reachable zones and grants nothing until each has
// reported or is gone, or settings.rebuildWait has passed. A holder that has reported ignores grants of earlier keepers. A holder that sees the keeper change
// also reports unasked, which covers leaving members, that no list names. The query goes to all zones since one takeover costs one small datagram for each
// member and way, while silence of a foreign holder would otherwise be taken for empty hands.
//
// Overbooking: places in use at a target exceed its limit by at most those held by members that the keeper had no report of when its rebuild
// ended: silent for rebuildWait, cut off, leaving with the unasked report lost, not known to it, or wrongly declared dead. They were within the limits
// of the earlier keeper that granted them, so each such earlier keeper adds at most one limit. When all have reported, it is zero.

#include "slots/serviceallocator.h"

#include <mutex>

namespace hornbeam {

/** Sums over all services that an instance keeps. */
struct AllocatorLoad
{
    size_t services = 0;
    size_t requestSlots = 0; // in use
    size_t feedSlots = 0;    // in use
    size_t queued = 0;       // asks that wait for a place
};

/** All methods are thread safe; one mutex guards the state, and nothing is called upward. */
class SlotAllocator
{
public:
    /** Precondition: the arguments outlive the keeper. */
    SlotAllocator(const SlotAllocatorSettings &settings, const MemberDirectory &directory, const TableSource &tables, const Clock &clock, Counters &counters);

    /** Grants, queues or refuses. A repeated ask gets the same grant again. An ask for another keeper is refused with KeeperUnreachable. */
    void onSlotRequest(const SlotAsk &slotRequest, Actions &out);
    /** Frees a place or withdraws a waiting ask. */
    void onSlotRelease(const SlotRelease &release, Actions &out);
    /** Hears that another instance keeps a service of this zone; to be called besides SlotClient::onHeldQuery. */
    void onHeldQuery(const HeldQuery &query, Actions &out);
    /** Takes in what a member holds. */
    void onHeldReport(const HeldReport &report, Actions &out);
    /** Takes in an answer to a probe; packets with another token are ignored. */
    void onTargetPacket(const Endpoint &from, const Bytes &packet, const CoapMessage &message, Actions &out);
    /** Does what is due. To be called every 50 ms or less. */
    void tick(Actions &out);
    /** Sums over what is kept. */
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
