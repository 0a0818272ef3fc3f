#include "balancing/memberbudgetshares.h"

#include <algorithm>

namespace hornbeam {

namespace {
bool hasTwoThirds(size_t part, size_t whole)
{
    return part * 3 >= whole * 2;
}
}

MemberBudgetShares::MemberBudgetShares(const BudgetShareSettings &settings, const MemberRecord &self, TimePoint now)
    : settings(settings), self(self.id), zone(self.zone), settledFrom(now + settings.settlingTime), updatedAt(now)
{
}

void MemberBudgetShares::setMembers(const std::vector<MemberRecord> &members, const SeedContact &contact, TimePoint now)
{
    std::set<MemberId> nowLive;
    std::map<MemberId, Incarnation> nowIncarnations;
    for (const MemberRecord &member : members) {
        if (member.zone != this->zone) {
            continue;
        }
        if (isEligible(member.state)) {
            nowLive.insert(member.id);
            nowIncarnations[member.id] = member.incarnation;
            this->known[member.id] = now;
        } else if (member.state == MemberState::Dead) {
            this->known.try_emplace(member.id, now);
        } else {
            this->known.erase(member.id); // it has announced that it ends
        }
    }
    std::erase_if(this->known, [&](const auto &entry) { return now - entry.second >= this->settings.memberRetention; });
    const bool isChanged = nowLive != this->live || nowIncarnations != this->incarnations;
    if (isChanged || now - this->updatedAt > this->settings.maxUpdateGap) {
        this->settledFrom = now + this->settings.settlingTime;
        this->ranks.clear();
    }
    this->live = std::move(nowLive);
    this->incarnations = std::move(nowIncarnations);
    this->hasMetSeeds = hasTwoThirds(contact.met, contact.seeds);
    this->updatedAt = now;
}

bool MemberBudgetShares::isSettled(TimePoint now) const
{
    const bool isCurrent = now - this->updatedAt <= this->settings.maxUpdateGap;
    return isCurrent && now >= this->settledFrom && this->hasMetSeeds && this->live.contains(this->self) && hasTwoThirds(this->live.size(), this->known.size());
}

uint32_t MemberBudgetShares::shareOf(uint64_t key, uint32_t total, TimePoint now) const
{
    const uint32_t divided = total / this->settings.concurrentViews;
    if (divided == 0 || !this->isSettled(now)) {
        return 0;
    }
    const auto holders = static_cast<uint32_t>(std::min<size_t>({ this->settings.holdersPerKey, this->live.size(), divided }));
    const size_t rank = this->rankOf(key);
    return rank >= holders ? 0 : divided / holders + (rank < divided % holders ? 1 : 0);
}

size_t MemberBudgetShares::liveMembers() const
{
    return this->live.size();
}

size_t MemberBudgetShares::knownMembers() const
{
    return this->known.size();
}

size_t MemberBudgetShares::rankOf(uint64_t key) const
{
    const auto [cached, isNew] = this->ranks.try_emplace(key, 0);
    if (isNew) {
        const uint64_t own = mixHash(key, this->self);
        cached->second = static_cast<size_t>(std::count_if(this->live.begin(), this->live.end(), [&](MemberId member) { return mixHash(key, member) > own; }));
    }
    return cached->second;
}

} // namespace hornbeam
