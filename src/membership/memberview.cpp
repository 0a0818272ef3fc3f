#include "membership/memberview.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hornbeam {

namespace {

/** The member with the highest hash below `below`; a tie goes to the lower identifier. */
MemberId highestBelow(const std::vector<MemberRecord> &members, uint64_t key, uint64_t below, bool bounded, uint64_t &hash)
{
    MemberId best = 0;
    for (const MemberRecord &member : members) {
        const uint64_t candidate = mixHash(key, member.id);
        if (bounded && candidate >= below) {
            continue;
        }
        if (best == 0 || candidate > hash) {
            best = member.id;
            hash = candidate;
        }
    }
    return best;
}

/** Score of weighted rendezvous hashing: the highest one wins with a chance in proportion to its weight. */
double weightedScore(uint64_t hash, double weight)
{
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * unit;
    return -weight / std::log(uniform);
}

} // namespace

MemberView::MemberView(const MemberRecord &self, std::vector<MemberRecord> records, const std::vector<ZoneId> &reachable, uint64_t version)
    : own(self), members(std::move(records)), number(version)
{
    for (const MemberRecord &record : this->members) {
        if (!isEligible(record.state)) {
            continue;
        }
        auto at = std::lower_bound(this->zones.begin(), this->zones.end(), record.zone, [](const ZoneView &a, ZoneId b) { return a.zone < b; });
        if (at == this->zones.end() || at->zone != record.zone) {
            const bool heard = std::binary_search(reachable.begin(), reachable.end(), record.zone);
            at = this->zones.insert(at, ZoneView{ record.zone, heard, {} });
        }
        at->eligible.push_back(record);
    }
}

std::optional<MemberRecord> MemberView::find(MemberId member) const
{
    const auto at = std::lower_bound(this->members.begin(), this->members.end(), member, [](const MemberRecord &a, MemberId b) { return a.id < b; });
    if (at == this->members.end() || at->id != member) {
        return std::nullopt;
    }
    return *at;
}

const ZoneView *MemberView::zoneView(ZoneId zone) const
{
    const auto at = std::lower_bound(this->zones.begin(), this->zones.end(), zone, [](const ZoneView &a, ZoneId b) { return a.zone < b; });
    return at == this->zones.end() || at->zone != zone ? nullptr : &*at;
}

std::vector<MemberRecord> MemberView::eligibleIn(ZoneId zone) const
{
    const ZoneView *view = this->zoneView(zone);
    return view == nullptr ? std::vector<MemberRecord>() : view->eligible;
}

std::vector<ZoneId> MemberView::reachableZones() const
{
    std::vector<ZoneId> found;
    for (const ZoneView &view : this->zones) {
        if (view.reachable) {
            found.push_back(view.zone);
        }
    }
    return found;
}

MemberId MemberView::ownerIn(ZoneId zone, uint64_t key, size_t rank) const
{
    const ZoneView *view = this->zoneView(zone);
    if (view == nullptr || rank >= view->eligible.size()) {
        return 0;
    }
    uint64_t hash = 0;
    MemberId owner = highestBelow(view->eligible, key, 0, false, hash);
    for (size_t i = 0; i < rank && owner != 0; ++i) {
        const uint64_t below = hash;
        hash = 0;
        owner = highestBelow(view->eligible, key, below, true, hash);
    }
    return owner;
}

MemberId MemberView::flowOwner(uint64_t flow) const
{
    const ZoneView *best = nullptr;
    double bestScore = 0;
    for (const ZoneView &view : this->zones) {
        if (!view.reachable) {
            continue;
        }
        const double score = weightedScore(mixHash(flow, view.zone), static_cast<double>(view.eligible.size()));
        if (best == nullptr || score > bestScore) {
            best = &view;
            bestScore = score;
        }
    }
    return best == nullptr ? 0 : this->ownerIn(best->zone, flow, 0);
}

} // namespace hornbeam
