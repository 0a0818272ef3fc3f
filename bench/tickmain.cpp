// bench-tick: processor time of an instance's timer, without traffic and with requests outstanding, on a manual clock.

#include "flows/flowforwarder.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <iostream>

using namespace hornbeam;

namespace {

constexpr Duration tickInterval = milliseconds(20);
constexpr size_t zoneCount = 3;
constexpr uint32_t requestBytes = 200;
constexpr uint32_t responseBytes = 300;

class NoObserver final : public FlowObserver
{
public:
    void onPlaced(const FlowState & /*state*/, const Route & /*route*/, const PlacementInputs & /*inputs*/) override
    {
    }
    void onOpeningRepeated(const FlowState & /*state*/, const Route & /*route*/, uint64_t /*version*/) override
    {
    }
    void onNotAdmitted(const FlowReset & /*reset*/, const Route & /*route*/, const Target & /*target*/, const AdmissionVerdict & /*verdict*/) override
    {
    }
    void onRestricted(const FlowReset & /*reset*/, ResetReason /*reason*/, const Route & /*route*/, const Placement & /*placement*/) override
    {
    }
    void onReset(const FlowReset & /*reset*/, ResetReason /*reason*/, const FlowState * /*state*/) override
    {
    }
    void onDropped(const FlowPacket & /*packet*/, DropReason /*reason*/) override
    {
    }
    void onTargetChange(const TargetChange & /*change*/) override
    {
    }
    void onTargetHealth(const Target & /*target*/, CheckOutcome /*outcome*/) override
    {
    }
};

/** All instances, evenly in three zones. */
class Members final : public MemberDirectory
{
public:
    explicit Members(size_t count) : members(count)
    {
        for (size_t i = 0; i < count; ++i) {
            this->members[i].id = i + 1;
            this->members[i].zone = static_cast<ZoneId>(1 + i % zoneCount);
        }
    }
    MemberRecord self() const override
    {
        return this->members.front();
    }
    std::optional<MemberRecord> find(MemberId member) const override
    {
        return member == 0 || member > this->members.size() ? std::nullopt : std::optional(this->members[member - 1]);
    }
    std::vector<MemberRecord> eligibleIn(ZoneId zone) const override
    {
        std::vector<MemberRecord> found;
        std::copy_if(this->members.begin(), this->members.end(), std::back_inserter(found), [zone](const MemberRecord &record) { return record.zone == zone; });
        return found;
    }
    std::vector<ZoneId> reachableZones() const override
    {
        return { 1, 2, 3 };
    }
    MemberId ownerIn(ZoneId /*zone*/, uint64_t /*key*/, size_t /*rank*/) const override
    {
        return 0;
    }
    MemberId flowOwner(uint64_t /*flow*/) const override
    {
        return 0;
    }
    uint64_t viewVersion() const override
    {
        return 1;
    }

private:
    std::vector<MemberRecord> members;
};

/** One instance among many, with a main service that has four fifths of the targets, and a second one. */
class Instance
{
public:
    Instance(uint32_t targets, size_t instances)
        : members(instances), loads({}, this->members, this->clock, 1), forwarder(FlowSettings{}, this->members.self().zone, 1, this->clock, this->observer)
    {
        RouteConfiguration configuration;
        configuration.version = 1;
        for (const char *service : { "main", "second" }) {
            const Endpoint address{ 0xC6120001 + static_cast<uint32_t>(configuration.routes.size()), 443 };
            configuration.routes.push_back({ service, address, RequestKind::Idempotent, milliseconds(300), seconds(1), { { service, 1 } } });
        }
        this->forwarder.onConfiguration(configuration, this->actions);
        std::vector<TargetRecord> records;
        for (uint32_t i = 0; i < targets; ++i) {
            TargetRecord record;
            record.name = "i-" + std::to_string(i);
            record.service = i % 5 == 0 ? "second" : "main";
            record.zone = static_cast<ZoneId>(1 + i % zoneCount);
            record.deliveryId = i;
            record.address = { 0x0A000000 + i, 8080 };
            record.slots = 2;
            records.push_back(record);
        }
        this->forwarder.onTargets(records, this->clock.now(), this->actions);
        this->forwarder.setZoneLoads(&this->loads);
        this->forwarder.setInstanceCounts(instances, instances / zoneCount);
    }

    /** Opens flows on the main service. */
    void open(uint32_t flows)
    {
        for (uint32_t caller = 0; caller < flows; ++caller) {
            FlowPacket packet = packetOf(caller);
            packet.isOpening = true;
            packet.sequence = 999;
            this->tokens.push_back(this->forwarder.onPacket(packet, this->actions).token);
            this->reported.targets[this->tokens.back()] = 1;
        }
        this->reported.reports = flows > 0 ? 10 : 0;
        this->reported.members = static_cast<double>(this->reported.reports);
    }
    /** Mean time of a tick in microseconds; each flow has a request outstanding, and those of the previous tick have been answered. */
    double measure(uint32_t ticks)
    {
        std::chrono::nanoseconds spent{ 0 };
        for (uint32_t tick = 0; tick < ticks; ++tick) {
            this->clock.advance(tickInterval);
            for (uint32_t caller = 0; caller < this->tokens.size(); ++caller) {
                FlowPacket packet = packetOf(caller);
                packet.token = this->tokens[caller];
                packet.sequence = 1000 + tick * requestBytes;
                packet.acknowledged = 1000 + tick * responseBytes;
                packet.contentBytes = requestBytes;
                this->forwarder.onPacket(packet, this->actions);
            }
            this->actions = {};
            const auto begun = std::chrono::steady_clock::now();
            this->forwarder.tick(this->actions);
            const OwnLoad load = this->forwarder.ownLoad();
            this->forwarder.onReportedLoad(this->reported);
            spent += std::chrono::steady_clock::now() - begun;
            this->outstanding = load.targets.size();
        }
        return std::chrono::duration<double, std::micro>(spent).count() / ticks;
    }
    size_t targetsWithRequests() const
    {
        return this->outstanding;
    }

private:
    static FlowPacket packetOf(uint32_t caller)
    {
        FlowPacket packet;
        packet.flow.caller = { 0x64400000 + caller, 1024 };
        packet.flow.service = { 0xC6120001, 443 };
        return packet;
    }

    ManualClock clock;
    NoObserver observer;
    Members members;
    ZoneLoads loads;
    FlowForwarder forwarder;
    FlowActions actions;
    std::vector<RoutingToken> tokens;
    ReportedLoad reported;
    size_t outstanding = 0;
};

} // namespace

int main(int argc, char **argv)
{
    uint32_t targets = 3000;
    uint32_t instances = 300;
    uint32_t flows = 20;
    uint32_t ticks = 5000;
    CLI::App app("bench-tick: processor time of an instance's timer");
    app.add_option("--targets", targets, "targets of the two services")->check(CLI::Range(1, 100'000));
    app.add_option("--instances", instances, "instances in three zones")->check(CLI::Range(3, 10'000));
    app.add_option("--flows", flows, "flows with an outstanding request in the second run")->check(CLI::Range(1, 10'000));
    app.add_option("--ticks", ticks, "ticks of each run")->check(CLI::Range(1, 10'000'000));
    CLI11_PARSE(app, argc, argv);
    Instance instance(targets, instances);
    const double idle = instance.measure(ticks);
    instance.open(flows);
    const double busy = instance.measure(ticks);
    constexpr double microsPerTick = 20'000;
    constexpr double percent = 100;
    std::cout << "idle_tick_us=" << idle << " idle_core_percent=" << idle / microsPerTick * percent << " busy_tick_us=" << busy
              << " busy_core_percent=" << busy / microsPerTick * percent << " targets_with_requests=" << instance.targetsWithRequests() << "\n";
    return 0;
}
