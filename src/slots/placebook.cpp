#include "slots/placebook.h"

#include <algorithm>

namespace hornbeam {

uint32_t &PlaceBook::count(TargetId target, PlaceKind kind)
{
    Usage &entry = this->usage[target];
    return kind == PlaceKind::Request ? entry.requests : entry.feeds;
}

const BookedPlace *PlaceBook::find(const PlaceKey &key) const
{
    const auto found = this->places.find(key);
    return found == this->places.end() ? nullptr : &found->second;
}

void PlaceBook::add(const PlaceKey &key, const BookedPlace &place)
{
    this->remove(key);
    this->places.emplace(key, place);
    ++this->count(place.target, place.kind);
}

bool PlaceBook::remove(const PlaceKey &key)
{
    const auto found = this->places.find(key);
    if (found == this->places.end()) {
        return false;
    }
    const TargetId target = found->second.target;
    --this->count(target, found->second.kind);
    this->places.erase(found);
    if (this->usage[target].requests == 0 && this->usage[target].feeds == 0) {
        this->usage.erase(target);
    }
    return true;
}

void PlaceBook::updateChecked(const PlaceKey &key, TimePoint now)
{
    this->places.at(key).checkedAt = now;
}

void PlaceBook::updateConfirmed(const PlaceKey &key, TimePoint now, uint64_t epoch)
{
    BookedPlace &place = this->places.at(key);
    place.checkedAt = now;
    place.epoch = std::max(place.epoch, epoch);
}

uint32_t PlaceBook::used(TargetId target, PlaceKind kind) const
{
    const auto found = this->usage.find(target);
    if (found == this->usage.end()) {
        return 0;
    }
    return kind == PlaceKind::Request ? found->second.requests : found->second.feeds;
}

std::set<MemberId> PlaceBook::feedHolders(TargetId target) const
{
    std::set<MemberId> holders;
    if (this->used(target, PlaceKind::Feed) == 0) {
        return holders;
    }
    for (const auto &[key, place] : this->places) {
        if (place.target == target && place.kind == PlaceKind::Feed) {
            holders.insert(key.holder);
        }
    }
    return holders;
}

void PlaceBook::addRelease(const PlaceKey &key, TargetId target, TimePoint expires, size_t most)
{
    const bool added = this->releases.emplace(key, Release{ target, expires }).second;
    if (!added) {
        return; // the first one expires soon enough, and its place in the order stays right
    }
    this->releaseOrder.push_back(key);
    if (this->releaseOrder.size() > most) {
        this->removeOldest();
    }
}

bool PlaceBook::isReleased(const PlaceKey &key) const
{
    return this->releases.contains(key);
}

bool PlaceBook::isReleased(const PlaceKey &key, TargetId target) const
{
    const auto found = this->releases.find(key);
    return found != this->releases.end() && (found->second.target == target || found->second.target == 0);
}

void PlaceBook::removeExpired(TimePoint now)
{
    while (!this->releaseOrder.empty() && this->releases.at(this->releaseOrder.front()).expires <= now) {
        this->removeOldest();
    }
}

void PlaceBook::removeOldest()
{
    this->releases.erase(this->releaseOrder.front());
    this->releaseOrder.pop_front();
}

} // namespace hornbeam
