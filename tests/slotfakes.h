#pragma once

// Fakes for tests of src/slots: a member directory, tables, listeners, and instances connected by a network that the test controls.

#include "slots/slotallocator.h"
#include "slots/slotclient.h"

#include <algorithm>
#include <deque>

namespace hornbeam {
inline namespace slot_fakes {

constexpr ServiceId fakeService = 7;

class FakeDirectory final : public MemberDirectory
{
public:
    explicit FakeDirectory(const MemberRecord &selfRecord) : selfRecord(selfRecord)
    {
    }
    MemberRecord self() const override
    {
        return this->selfRecord;
    }
    std::optional<MemberRecord> find(MemberId member) const override
    {
        const auto found = this->members.find(member);
        return found == this->members.end() ? std::nullopt : std::optional(found->second);
    }
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const override
    {
        std::vector<MemberRecord> eligible;
        for (const auto &[id, record] : this->members) {
            if (record.zone == zone && record.state <= MemberState::Suspect) {
                eligible.push_back(record);
            }
        }
        return eligible;
    }
    std::vector<ZoneId> reachableZones() const override
    {
        std::set<ZoneId> zones;
        for (const auto &[id, record] : this->members) {
            if (record.state <= MemberState::Suspect) {
                zones.insert(record.zone);
            }
        }
        return { zones.begin(), zones.end() };
    }
    /** The owner set by the test, or the eligible member with the lowest identifier. */
    MemberId ownerIn(ZoneId zone, uint64_t, size_t) const override
    {
        const auto eligible = this->eligibleIn(zone);
        const auto set = this->owners.find(zone);
        return set != this->owners.end() ? set->second : (eligible.empty() ? 0 : eligible.front().id);
    }
    MemberId flowOwner(uint64_t) const override
    {
        return 0;
    }
    uint64_t viewVersion() const override
    {
        return this->version;
    }
    void updateMember(const MemberRecord &record)
    {
        this->members[record.id] = record;
        ++this->version;
    }
    void updateOwner(ZoneId zone, MemberId owner)
    {
        this->owners[zone] = owner;
        ++this->version;
    }

private:
    MemberRecord selfRecord;
    std::map<MemberId, MemberRecord> members;
    std::map<ZoneId, MemberId> owners;
    uint64_t version = 1;
};

class FakeTables final : public TableSource
{
public:
    std::shared_ptr<const ServiceTable> find(ServiceId service) const override
    {
        return this->table != nullptr && service == this->table->id ? this->table : nullptr;
    }
    std::vector<std::shared_ptr<const ServiceTable>> all() const override
    {
        return this->table == nullptr ? std::vector<std::shared_ptr<const ServiceTable>>{} : std::vector{ this->table };
    }
    uint64_t changes() const override
    {
        return this->table == nullptr ? 0 : this->table->version;
    }
    /** Edits a copy of the table and makes it the current one. */
    template<typename Edit>
    void update(Edit edit)
    {
        auto changed = this->table == nullptr ? std::make_shared<ServiceTable>() : std::make_shared<ServiceTable>(*this->table);
        changed->id = fakeService;
        ++changed->version;
        edit(*changed);
        this->table = changed;
    }

private:
    std::shared_ptr<const ServiceTable> table;
};

inline TargetRow fakeRow(TargetId id, ZoneId zone, uint32_t slots, uint32_t connections)
{
    TargetRow row;
    row.id = id;
    row.zone = zone;
    row.endpoint = { 0x7F000001, static_cast<uint16_t>(6000 + id) };
    row.slots = slots;
    row.connections = connections;
    return row;
}

/** Records all outcomes. */
class FakeListener final : public SlotListener
{
public:
    void slotGranted(const GrantedSlot &slot, Actions &) override
    {
        ++this->outcomes[slot.request];
        this->grantedSlots[slot.request] = slot;
    }
    void slotRefused(uint64_t request, Reason reason, Duration, Actions &) override
    {
        ++this->outcomes[request];
        this->refusals[request] = reason;
    }
    std::map<uint64_t, int> outcomes;
    std::map<uint64_t, GrantedSlot> grantedSlots;
    std::map<uint64_t, Reason> refusals;
};

/** One instance: an allocator and a client with their own membership view. */
struct FakeInstance
{
    FakeInstance(const MemberRecord &selfRecord, const FakeTables &tables, const Clock &clock, const SlotAllocatorSettings &settings)
        : directory(selfRecord), allocator(settings, directory, tables, clock, counters), client({}, directory, tables, clock, counters)
    {
        this->client.setListeners(this->listener, this->listener);
    }
    FakeDirectory directory;
    Counters counters;
    FakeListener listener;
    SlotAllocator allocator;
    SlotClient client;
    bool isAlive = true;

    void receive(const PeerMessage &message, Actions &out)
    {
        if (const auto *slotRequest = std::get_if<SlotRequest>(&message)) {
            this->allocator.onSlotRequest(*slotRequest, out);
        } else if (const auto *release = std::get_if<SlotRelease>(&message)) {
            this->allocator.onSlotRelease(*release, out);
        } else if (const auto *report = std::get_if<HeldSlotsReport>(&message)) {
            this->allocator.onHeldReport(*report, out);
        } else if (const auto *query = std::get_if<HeldSlotsQuery>(&message)) {
            this->allocator.onHeldQuery(*query, out);
            this->client.onHeldQuery(*query, out);
        } else if (const auto *grant = std::get_if<SlotGrant>(&message)) {
            this->client.onSlotGrant(*grant, out);
        } else if (const auto *refusal = std::get_if<SlotRefusal>(&message)) {
            this->client.onSlotRefusal(*refusal, out);
        }
    }
};

/** Instances with identifiers 1, 2, ... and the messages in flight between them. */
class FakeCluster
{
public:
    /** Creates one instance per element of `zones`. */
    explicit FakeCluster(const std::vector<ZoneId> &zones, const SlotAllocatorSettings &settings = {})
    {
        for (size_t i = 0; i < zones.size(); ++i) {
            MemberRecord record;
            record.id = i + 1;
            record.zone = zones[i];
            record.incarnation = 1;
            this->records.push_back(record);
            this->instances.push_back(std::make_unique<FakeInstance>(record, this->tables, this->clock, settings));
        }
        for (const auto &instance : this->instances) {
            for (const MemberRecord &record : this->records) {
                instance->directory.updateMember(record);
            }
        }
        this->clock.advance(settings.joinWait); // so that all instances count as joined
    }
    FakeInstance &at(MemberId member)
    {
        return *this->instances.at(member - 1);
    }
    void acquire(MemberId member, uint64_t request, SlotKind kind = SlotKind::Request, Duration queueTimeout = seconds(2), uint64_t flow = 0)
    {
        Actions out;
        this->at(member).client.acquireSlot({ request, fakeService, kind, flow, queueTimeout, 0 }, out);
        this->send(out);
    }
    void release(MemberId member, uint64_t request, SlotOutcome outcome = SlotOutcome::Answered)
    {
        Actions out;
        this->at(member).client.releaseSlot(request, outcome, {}, out);
        this->at(member).listener.grantedSlots.erase(request);
        this->send(out);
    }
    void send(Actions &out)
    {
        for (auto &message : out.toPeers) {
            this->network.push_back(std::move(message));
        }
        for (auto &packet : out.toTargets) {
            this->probes.push_back(std::move(packet));
        }
        if (this->probes.size() > 100) {
            this->probes.clear();
        }
    }
    /** Delivers the in-flight message at `index`; with `isDuplicated`, a copy stays in flight. */
    void deliver(size_t index, bool isDuplicated = false)
    {
        const OutgoingMessage message = this->network.at(index);
        if (!isDuplicated) {
            this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(index));
        }
        Actions out;
        if (this->at(message.peer).isAlive) {
            this->at(message.peer).receive(message.message, out);
        }
        this->send(out);
    }
    void deliverAll()
    {
        while (!this->network.empty()) {
            this->deliver(0);
        }
    }
    void tick(Duration step = milliseconds(50))
    {
        this->clock.advance(step);
        for (const auto &instance : this->instances) {
            Actions out;
            if (instance->isAlive) {
                instance->allocator.tick(out);
                instance->client.tick(out);
            }
            this->send(out);
        }
    }
    /** Advances time in steps of 50 ms with a lossless network. */
    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += milliseconds(50)) {
            this->tick();
            this->deliverAll();
        }
    }
    void kill(MemberId member)
    {
        this->at(member).isAlive = false;
        this->records.at(member - 1).state = MemberState::Dead;
    }
    /** Updates the record of `subject` in the view of `member`. */
    void syncRecord(MemberId member, MemberId subject)
    {
        this->at(member).directory.updateMember(this->records.at(subject - 1));
    }
    /** Number of slots of a target held by live instances. */
    size_t used(TargetId target) const
    {
        size_t count = 0;
        for (const auto &instance : this->instances) {
            for (const auto &[request, slot] : instance->listener.grantedSlots) {
                count += instance->isAlive && slot.target == target ? 1 : 0;
            }
        }
        return count;
    }

    ManualClock clock;
    FakeTables tables;
    std::vector<MemberRecord> records;
    std::vector<std::unique_ptr<FakeInstance>> instances;
    std::deque<OutgoingMessage> network;
    std::deque<OutgoingPacket> probes;
};

} // namespace slot_fakes
} // namespace hornbeam
