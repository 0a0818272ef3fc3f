#include "slots/slotrequestqueue.h"

#include <algorithm>

namespace hornbeam {

QueuedSlotRequest *SlotRequestQueue::find(const GrantKey &key)
{
    const auto found = std::find_if(this->waiting.begin(), this->waiting.end(), [&key](const QueuedSlotRequest &entry) { return entry.key() == key; });
    return found == this->waiting.end() ? nullptr : &*found;
}

bool SlotRequestQueue::hasRoom(MemberId requester, size_t limit) const
{
    if (this->waiting.size() >= limit) {
        return false;
    }
    if (this->waiting.size() < limit / 2) {
        return true;
    }
    std::set<MemberId> requesters{ requester };
    size_t own = 0;
    for (const QueuedSlotRequest &entry : this->waiting) {
        requesters.insert(entry.slotRequest.requester);
        own += entry.slotRequest.requester == requester ? 1 : 0;
    }
    return own < std::max<size_t>(1, limit / requesters.size());
}

void SlotRequestQueue::add(const SlotRequest &slotRequest, TimePoint now)
{
    this->waiting.push_back({ slotRequest, now + milliseconds(slotRequest.deadlineMs) });
}

void SlotRequestQueue::remove(const GrantKey &key)
{
    this->waiting.remove_if([&key](const QueuedSlotRequest &entry) { return entry.key() == key; });
}

size_t SlotRequestQueue::size(SlotKind kind) const
{
    return static_cast<size_t>(
        std::count_if(this->waiting.begin(), this->waiting.end(), [kind](const QueuedSlotRequest &entry) { return entry.slotRequest.kind == kind; }));
}

} // namespace hornbeam
