#pragma once

// How requests and feeds obtain a place at a target: a request slot or a connection place.

#include "core/clock.h"
#include "peer/actions.h"

namespace hornbeam {

/** A wish for a place. `request` is unique at this instance; those for feeds have the highest bit set. */
struct AcquireParams
{
    uint64_t request = 0;
    ServiceId service = 0;
    PlaceKind kind = PlaceKind::Request;
    uint64_t flow = 0;               // prefers the target that weighted rendezvous hashing gives this flow
    Duration queueTimeout{};         // how long it may wait for a place
    TargetId avoid = 0;              // a target that just failed it; 0 for none
    Duration firstResponseTimeout{}; // how long it may wait for a keeper's first answer, when that is longer
};

struct GrantedSlot
{
    uint64_t request = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    TargetId target = 0;
    Endpoint endpoint;
};

/** Hears what became of a wish. Called with no lock of the slots package held; from the thread that handled the message or tick. */
class SlotListener
{
public:
    virtual ~SlotListener() = default;
    /** The place is held until SlotProvider::releaseSlot. */
    virtual void slotGranted(const GrantedSlot &slot, Actions &out) = 0;
    /** Nothing is held. `retryAfter` is a hint for the caller; zero when there is none. */
    virtual void slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out) = 0;
};

/** Obtains places. All methods are thread safe. */
class SlotProvider
{
public:
    virtual ~SlotProvider() = default;
    /** Sets who hears of request slots and of feed places. Precondition: called once, before any other method; both outlive the client. */
    virtual void setListeners(SlotListener &, SlotListener &)
    {
    }
    /** Asks for a place; the listener hears of exactly one outcome, not before this call returns, unless releaseSlot comes first. */
    virtual void acquireSlot(const AcquireParams &params, Actions &out) = 0;
    /** Gives a place back, or withdraws a wish (outcome Cancelled). Unknown requests are ignored. */
    virtual void releaseSlot(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out) = 0;
    /** Does what is due. To be called every 50 ms or less. */
    virtual void tick(Actions &)
    {
    }
};

} // namespace hornbeam
