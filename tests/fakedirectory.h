#pragma once

// A member directory with members set explicitly by the test.

#include "peer/directory.h"

#include <algorithm>

namespace hornbeam {
inline namespace table_fakes {

class FakeDirectory final : public MemberDirectory
{
public:
    MemberRecord selfRecord;
    std::vector<MemberRecord> members; // of all zones, including this member
    std::vector<ZoneId> unreachableZones;

    MemberRecord self() const override
    {
        return this->selfRecord;
    }
    std::optional<MemberRecord> find(MemberId member) const override
    {
        const auto found = std::find_if(this->members.begin(), this->members.end(), [&](const MemberRecord &record) { return record.id == member; });
        return found == this->members.end() ? std::nullopt : std::optional(*found);
    }
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const override
    {
        std::vector<MemberRecord> found;
        std::copy_if(this->members.begin(), this->members.end(), std::back_inserter(found), [&](const MemberRecord &record) { return record.zone == zone; });
        return found;
    }
    std::vector<ZoneId> reachableZones() const override
    {
        std::vector<ZoneId> zones;
        for (const MemberRecord &record : this->members) {
            const bool isUnreachable = std::find(this->unreachableZones.begin(), this->unreachableZones.end(), record.zone) != this->unreachableZones.end();
            if (!isUnreachable && std::find(zones.begin(), zones.end(), record.zone) == zones.end()) {
                zones.push_back(record.zone);
            }
        }
        std::sort(zones.begin(), zones.end());
        return zones;
    }
    MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const override
    {
        std::vector<MemberRecord> owners = this->eligibleIn(zone);
        std::sort(owners.begin(), owners.end(), [&](const MemberRecord &a, const MemberRecord &b) { return mixHash(key, a.id) > mixHash(key, b.id); });
        return rank < owners.size() ? owners[rank].id : 0;
    }
    MemberId flowOwner(uint64_t) const override
    {
        return this->selfRecord.id;
    }
    uint64_t viewVersion() const override
    {
        return 1;
    }
};

} // namespace table_fakes
} // namespace hornbeam
