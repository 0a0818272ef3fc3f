#include "slots/askqueue.h"

#include <algorithm>

namespace hornbeam {

WaitingAsk *AskQueue::find(const PlaceKey &key)
{
    const auto found = std::find_if(this->waiting.begin(), this->waiting.end(), [&key](const WaitingAsk &entry) { return entry.key() == key; });
    return found == this->waiting.end() ? nullptr : &*found;
}

bool AskQueue::hasRoom(MemberId asker, size_t limit) const
{
    if (this->waiting.size() >= limit) {
        return false;
    }
    if (this->waiting.size() < limit / 2) {
        return true;
    }
    std::set<MemberId> askers{ asker };
    size_t own = 0;
    for (const WaitingAsk &entry : this->waiting) {
        askers.insert(entry.ask.asker);
        own += entry.ask.asker == asker ? 1 : 0;
    }
    return own < std::max<size_t>(1, limit / askers.size());
}

void AskQueue::add(const SlotAsk &ask, TimePoint now)
{
    this->waiting.push_back({ ask, now + milliseconds(ask.deadlineMs) });
}

void AskQueue::remove(const PlaceKey &key)
{
    this->waiting.remove_if([&key](const WaitingAsk &entry) { return entry.key() == key; });
}

size_t AskQueue::size(PlaceKind kind) const
{
    return static_cast<size_t>(std::count_if(this->waiting.begin(), this->waiting.end(), [kind](const WaitingAsk &entry) { return entry.ask.kind == kind; }));
}

} // namespace hornbeam
