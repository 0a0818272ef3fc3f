#pragma once

// Fake implementations of the interfaces used by the decision code.

#include "peer/directory.h"
#include "slots/slotprovider.h"
#include "table/servicetable.h"

#include <map>

namespace hornbeam {
inline namespace request_fakes {

/** Members as set by a test. Ownership ranks are the eligible members in identifier order. */
class FakeDirectory final : public MemberDirectory
{
public:
    MemberRecord own;
    std::map<MemberId, MemberRecord> members;
    std::vector<ZoneId> zones;

    MemberRecord self() const override
    {
        return this->own;
    }
    std::optional<MemberRecord> find(MemberId member) const override
    {
        if (member == this->own.id) {
            return this->own;
        }
        const auto found = this->members.find(member);
        return found == this->members.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const override
    {
        std::map<MemberId, MemberRecord> all = this->members;
        all[this->own.id] = this->own;
        std::vector<MemberRecord> eligible;
        for (const auto &[id, member] : all) {
            if (member.zone == zone && (member.state == MemberState::Alive || member.state == MemberState::Suspect)) {
                eligible.push_back(member);
            }
        }
        return eligible;
    }
    std::vector<ZoneId> reachableZones() const override
    {
        return this->zones;
    }
    MemberId ownerIn(ZoneId zone, uint64_t /*key*/, size_t rank) const override
    {
        const auto eligible = this->eligibleIn(zone);
        return rank < eligible.size() ? eligible[rank].id : 0;
    }
    MemberId flowOwner(uint64_t flow) const override
    {
        return this->zones.empty() ? 0 : this->ownerIn(this->zones.front(), flow, 0);
    }
    uint64_t viewVersion() const override
    {
        return 1;
    }
};

class FakeTables final : public TableSource
{
public:
    std::map<ServiceId, std::shared_ptr<const ServiceTable>> tables;

    std::shared_ptr<const ServiceTable> find(ServiceId service) const override
    {
        const auto found = this->tables.find(service);
        return found == this->tables.end() ? nullptr : found->second;
    }
    std::vector<std::shared_ptr<const ServiceTable>> all() const override
    {
        std::vector<std::shared_ptr<const ServiceTable>> list;
        for (const auto &[id, table] : this->tables) {
            list.push_back(table);
        }
        return list;
    }
    uint64_t changes() const override
    {
        return this->tables.size();
    }
};

/** Records all requests for slots and all releases; the test decides the outcome of each request. */
class FakeSlotProvider final : public SlotProvider
{
public:
    std::vector<AcquireParams> pendingRequests;             // neither released nor taken by the test
    std::vector<std::pair<uint64_t, SlotOutcome>> releases; // in order of arrival

    void acquireSlot(const AcquireParams &params, Actions & /*out*/) override
    {
        this->pendingRequests.push_back(params);
    }
    void releaseSlot(uint64_t request, SlotOutcome outcome, Duration /*latency*/, Actions & /*out*/) override
    {
        std::erase_if(this->pendingRequests, [request](const AcquireParams &params) { return params.request == request; });
        this->releases.emplace_back(request, outcome);
    }
    AcquireParams takePendingRequest()
    {
        const AcquireParams params = this->pendingRequests.at(0);
        this->pendingRequests.erase(this->pendingRequests.begin());
        return params;
    }
};

} // namespace request_fakes
} // namespace hornbeam
