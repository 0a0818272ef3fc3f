#pragma once

// FIFO queue of slot requests that wait for a free slot. Admission control rejects requests that can't be served before their deadline, so the
// queue isn't sorted by deadline. Under overload, earliest-deadline-first would favor the requests that are about to miss their deadline.

#include "slots/granttable.h"

#include <list>

namespace hornbeam {

struct QueuedSlotRequest
{
    SlotRequest slotRequest;
    TimePoint deadline;

    GrantKey key() const
    {
        return { this->slotRequest.requester, this->slotRequest.incarnation, this->slotRequest.request };
    }
};

/** Not thread safe: guarded by the mutex of SlotAllocator. */
class SlotRequestQueue
{
public:
    /** The queued request with this key, or null. */
    QueuedSlotRequest *find(const GrantKey &key);
    /** Whether another request of `requester` fits: the queue isn't full, and once it is half full, no requester may exceed an equal share. */
    bool hasRoom(MemberId requester, size_t limit) const;
    void add(const SlotRequest &slotRequest, TimePoint now);
    void remove(const GrantKey &key);
    size_t size(SlotKind kind) const;
    /** Requests in arrival order. ServiceAllocator erases those that it has answered. */
    std::list<QueuedSlotRequest> waiting;
};

} // namespace hornbeam
