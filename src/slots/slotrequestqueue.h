#pragma once

// Asks that wait for a place at one keeper, first come first served. Admission refuses whoever can't be served in time, so the order
// needs no deadlines; earliest-deadline-first would prefer under overload those that are about to miss theirs.

#include "slots/granttable.h"

#include <list>

namespace hornbeam {

struct QueuedSlotRequest
{
    SlotAsk slotRequest;
    TimePoint deadline;

    GrantKey key() const
    {
        return { this->slotRequest.asker, this->slotRequest.incarnation, this->slotRequest.request };
    }
};

/** Not thread safe: the keeper's mutex guards it. */
class SlotRequestQueue
{
public:
    /** The waiting ask of a key, or nothing. */
    QueuedSlotRequest *find(const GrantKey &key);
    /** Whether one more ask of `asker` fits: the queue has room, and past its half nobody takes more than an equal share. */
    bool hasRoom(MemberId requester, size_t limit) const;
    void add(const SlotAsk &slotRequest, TimePoint now);
    void remove(const GrantKey &key);
    size_t size(PlaceKind kind) const;
    /** The asks in order; the keeper erases those it has dealt with. */
    std::list<QueuedSlotRequest> waiting;
};

} // namespace hornbeam
