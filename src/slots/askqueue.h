#pragma once

// Asks that wait for a place at one keeper, first come first served. Admission refuses whoever can't be served in time, so the order
// needs no deadlines; earliest-deadline-first would prefer under overload those that are about to miss theirs.

#include "slots/placebook.h"

#include <list>

namespace hornbeam {

struct WaitingAsk
{
    SlotAsk ask;
    TimePoint deadline;

    PlaceKey key() const
    {
        return { this->ask.asker, this->ask.incarnation, this->ask.request };
    }
};

/** Not thread safe: the keeper's mutex guards it. */
class AskQueue
{
public:
    /** The waiting ask of a key, or nothing. */
    WaitingAsk *find(const PlaceKey &key);
    /** Whether one more ask of `asker` fits: the queue has room, and past its half nobody takes more than an equal share. */
    bool hasRoom(MemberId asker, size_t limit) const;
    void add(const SlotAsk &ask, TimePoint now);
    void remove(const PlaceKey &key);
    size_t size(PlaceKind kind) const;
    /** The asks in order; the keeper erases those it has dealt with. */
    std::list<WaitingAsk> waiting;
};

} // namespace hornbeam
