#include "slots/granttable.h"

#include <algorithm>

namespace hornbeam {

uint32_t &GrantTable::count(TargetId target, SlotKind kind)
{
    Usage &entry = this->usage[target];
    return kind == SlotKind::Request ? entry.requests : entry.feeds;
}

const GrantRecord *GrantTable::find(const GrantKey &key) const
{
    const auto found = this->grants.find(key);
    return found == this->grants.end() ? nullptr : &found->second;
}

void GrantTable::add(const GrantKey &key, const GrantRecord &grant)
{
    this->remove(key);
    this->grants.emplace(key, grant);
    ++this->count(grant.target, grant.kind);
}

bool GrantTable::remove(const GrantKey &key)
{
    const auto found = this->grants.find(key);
    if (found == this->grants.end()) {
        return false;
    }
    const TargetId target = found->second.target;
    --this->count(target, found->second.kind);
    this->grants.erase(found);
    if (this->usage[target].requests == 0 && this->usage[target].feeds == 0) {
        this->usage.erase(target);
    }
    return true;
}

void GrantTable::markChecked(const GrantKey &key, TimePoint now)
{
    this->grants.at(key).checkedAt = now;
}

void GrantTable::markConfirmed(const GrantKey &key, TimePoint now, uint64_t epoch)
{
    GrantRecord &grant = this->grants.at(key);
    grant.checkedAt = now;
    grant.epoch = std::max(grant.epoch, epoch);
}

uint32_t GrantTable::used(TargetId target, SlotKind kind) const
{
    const auto found = this->usage.find(target);
    if (found == this->usage.end()) {
        return 0;
    }
    return kind == SlotKind::Request ? found->second.requests : found->second.feeds;
}

std::set<MemberId> GrantTable::feedHolders(TargetId target) const
{
    std::set<MemberId> holders;
    if (this->used(target, SlotKind::Feed) == 0) {
        return holders;
    }
    for (const auto &[key, grant] : this->grants) {
        if (grant.target == target && grant.kind == SlotKind::Feed) {
            holders.insert(key.holder);
        }
    }
    return holders;
}

void GrantTable::addRelease(const GrantKey &key, TargetId target, TimePoint expires, size_t maxReleases)
{
    const bool added = this->releases.emplace(key, Release{ target, expires }).second;
    if (!added) {
        return; // keep the first expiry, so that releaseOrder stays sorted by expiry
    }
    this->releaseOrder.push_back(key);
    if (this->releaseOrder.size() > maxReleases) {
        this->removeOldest();
    }
}

bool GrantTable::isReleased(const GrantKey &key) const
{
    return this->releases.contains(key);
}

bool GrantTable::isReleased(const GrantKey &key, TargetId target) const
{
    const auto found = this->releases.find(key);
    return found != this->releases.end() && (found->second.target == target || found->second.target == 0);
}

void GrantTable::removeExpired(TimePoint now)
{
    while (!this->releaseOrder.empty() && this->releases.at(this->releaseOrder.front()).expires <= now) {
        this->removeOldest();
    }
}

void GrantTable::removeOldest()
{
    this->releases.erase(this->releaseOrder.front());
    this->releaseOrder.pop_front();
}

} // namespace hornbeam
