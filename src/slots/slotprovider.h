#pragma once

// Interface through which requests and feeds acquire slots at targets: request slots, or feed slots (connections).

#include "core/clock.h"
#include "peer/actions.h"

namespace hornbeam {

/** Parameters for acquiring a slot. `request` is unique within this instance; the highest bit is set for feeds. */
struct AcquireParams
{
    uint64_t request = 0;
    ServiceId service = 0;
    SlotKind kind = SlotKind::Request;
    uint64_t flow = 0;               // input of weighted rendezvous hashing, which selects the preferred target
    Duration queueTimeout{};         // longest wait for a free slot
    TargetId avoid = 0;              // target whose attempt just failed, 0 for none
    Duration firstResponseTimeout{}; // longest wait for the first answer of an allocator, used when greater than queueTimeout
};

struct GrantedSlot
{
    uint64_t request = 0;
    ServiceId service = 0;
    ZoneId zone = 0;
    TargetId target = 0;
    Endpoint endpoint;
};

/** Receives the result of acquireSlot. Called without any lock of src/slots held, on the thread that handles the message or tick. */
class SlotListener
{
public:
    virtual ~SlotListener() = default;
    /** The slot is held until SlotProvider::releaseSlot. */
    virtual void slotGranted(const GrantedSlot &slot, Actions &out) = 0;
    /** No slot is held. `retryAfter` is a hint for the caller; zero when there is none. */
    virtual void slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out) = 0;
};

/** Acquires and releases slots. All methods are thread safe. */
class SlotProvider
{
public:
    virtual ~SlotProvider() = default;
    /** Sets the listeners for request slots and for feed slots. Precondition: called once, before any other method; both outlive the client. */
    virtual void setListeners(SlotListener &, SlotListener &)
    {
    }
    /** Requests a slot. The listener is called exactly once, after this call has returned, unless releaseSlot is called first. */
    virtual void acquireSlot(const AcquireParams &params, Actions &out) = 0;
    /** Releases a slot, or cancels a pending request (outcome Cancelled). Unknown requests are ignored. */
    virtual void releaseSlot(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out) = 0;
    /** Performs periodic work. To be called every 50 ms or less. */
    virtual void tick(Actions &)
    {
    }
};

} // namespace hornbeam
