#include "membership/memberview.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hornbeam {

namespace {

/** The member with the highest hash, below `upperBound` if `hasUpperBound` is set. Ties go to the lower identifier. */
MemberId memberWithHighestHash(const std::vector<MemberRecord> &members, uint64_t key, uint64_t upperBound, bool hasUpperBound, uint64_t &hash)
{
    MemberId best = 0;
    for (const MemberRecord &member : members) {
        const uint64_t candidate = mixHash(key, member.id);
        if (hasUpperBound && candidate >= upperBound) {
            continue;
        }
        if (best == 0 || candidate > hash) {
            best = member.id;
            hash = candidate;
        }
    }
    return best;
}

/** Score for weighted rendezvous hashing: the probability of the highest score is proportional to the weight. */
double weightedScore(uint64_t hash, double weight)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniformSample = (static_cast<double>(hash >> 11U) + 0.5) * scale;
    return -weight / std::log(uniformSample);
}

} // namespace

MemberView::MemberView(const MemberRecord &self, std::vector<MemberRecord> records, const std::vector<ZoneId> &reachable, uint64_t version)
    : ownRecord(self), members(std::move(records)), versionNumber(version)
{
    for (const MemberRecord &record : this->members) {
        if (!isEligible(record.state)) {
            continue;
        }
        auto it = std::lower_bound(this->zones.begin(), this->zones.end(), record.zone, [](const ZoneView &a, ZoneId b) { return a.zone < b; });
        if (it == this->zones.end() || it->zone != record.zone) {
            const bool isReachable = std::binary_search(reachable.begin(), reachable.end(), record.zone);
            it = this->zones.insert(it, ZoneView{ record.zone, isReachable, {} });
        }
        it->eligible.push_back(record);
    }
}

std::optional<MemberRecord> MemberView::find(MemberId member) const
{
    const auto it = std::lower_bound(this->members.begin(), this->members.end(), member, [](const MemberRecord &a, MemberId b) { return a.id < b; });
    if (it == this->members.end() || it->id != member) {
        return std::nullopt;
    }
    return *it;
}

const ZoneView *MemberView::findZone(ZoneId zone) const
{
    const auto it = std::lower_bound(this->zones.begin(), this->zones.end(), zone, [](const ZoneView &a, ZoneId b) { return a.zone < b; });
    return it == this->zones.end() || it->zone != zone ? nullptr : &*it;
}

std::vector<MemberRecord> MemberView::eligibleIn(ZoneId zone) const
{
    const ZoneView *view = this->findZone(zone);
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
    const ZoneView *view = this->findZone(zone);
    if (view == nullptr || rank >= view->eligible.size()) {
        return 0;
    }
    uint64_t hash = 0;
    MemberId owner = memberWithHighestHash(view->eligible, key, 0, false, hash);
    for (size_t i = 0; i < rank && owner != 0; ++i) {
        const uint64_t upperBound = hash;
        hash = 0;
        owner = memberWithHighestHash(view->eligible, key, upperBound, true, hash);
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
