#pragma once

// Fixtures of the flow forwarding tests: a forwarder with a manual clock, callers' packets, targets and routes.

#include "flows/flowforwarder.h"

#include <string>
#include <vector>

namespace hornbeam {
inline namespace flow_fakes {

/** Records the forwarder's notifications. */
class FakeFlowObserver final : public FlowObserver
{
public:
    std::vector<ResetReason> resets;
    std::vector<DropReason> drops;
    std::vector<AdmissionVerdict> rejections;
    std::vector<CandidateStatus> restrictions;
    std::vector<std::pair<uint64_t, uint64_t>> repeatedOpenings; // the version that chose the target, and the one in force
    std::vector<std::string> silent;                             // names of targets, in the order in which they were marked silent

    void onPlaced(const FlowState & /*state*/, const Route & /*route*/, const PlacementInputs & /*inputs*/) override
    {
    }
    void onOpeningRepeated(const FlowState &state, const Route & /*route*/, uint64_t version) override
    {
        this->repeatedOpenings.emplace_back(state.placedByVersion, version);
    }
    void onNotAdmitted(const FlowReset & /*reset*/, const Route & /*route*/, const Target & /*target*/, const AdmissionVerdict &verdict) override
    {
        this->resets.push_back(ResetReason::Overloaded);
        this->rejections.push_back(verdict);
    }
    void onRestricted(const FlowReset & /*reset*/, ResetReason reason, const Route & /*route*/, const Placement &placement) override
    {
        this->resets.push_back(reason);
        this->restrictions.push_back(placement.restriction);
    }
    void onReset(const FlowReset & /*reset*/, ResetReason reason, const FlowState * /*state*/) override
    {
        this->resets.push_back(reason);
    }
    void onDropped(const FlowPacket & /*packet*/, DropReason reason) override
    {
        this->drops.push_back(reason);
    }
    void onTargetChange(const TargetChange & /*change*/) override
    {
    }
    void onTargetHealth(const Target &target, CheckOutcome /*outcome*/) override
    {
        if (target.isSilent()) {
            this->silent.push_back(target.record.name);
        }
    }
};

inline const ZoneId localZone = zoneIdOf("here");
inline const ZoneId remoteZone = zoneIdOf("there");
inline const Endpoint feedAddress{ 0xC6120001, 443 };
inline const Endpoint orderAddress{ 0xC6120002, 443 };

inline TargetRecord makeTarget(const std::string &name, ZoneId zone = localZone, const std::string &service = "booking", uint64_t incarnation = 1)
{
    TargetRecord record;
    record.name = name;
    record.service = service;
    record.zone = zone;
    record.incarnation = incarnation;
    record.address = { 0x0A010000U + static_cast<uint32_t>(hashName(name) & 0xFFFFU), 8080 };
    record.slots = 2;
    return record;
}

inline RouteConfiguration makeConfiguration(uint64_t version)
{
    RouteConfiguration configuration;
    configuration.version = version;
    configuration.idleTimeout = seconds(15);
    configuration.routes.push_back({ "feed", feedAddress, RequestKind::Idempotent, milliseconds(120), milliseconds(800), { { "booking", 1 } } });
    configuration.routes.push_back({ "order", orderAddress, RequestKind::NonIdempotent, milliseconds(150), milliseconds(1000), { { "booking", 1 } } });
    return configuration;
}

/** A forwarder of one instance, with its clock and observer. */
struct ForwarderFixture
{
    explicit ForwarderFixture(FlowSettings settings = {}) : forwarder(settings, localZone, 1, clock, observer)
    {
    }

    /** Loads a configuration and targets. */
    void load(const std::vector<TargetRecord> &targets, uint64_t version = 1)
    {
        this->forwarder.onConfiguration(makeConfiguration(version), this->actions);
        this->forwarder.onConfigurationConfirmed(this->clock.now());
        this->list(targets);
    }
    void list(const std::vector<TargetRecord> &targets)
    {
        this->forwarder.onTargets(targets, this->clock.now(), this->actions);
    }
    /** Advances the clock in ticks of 20 ms and collects the forwarder's actions. */
    void run(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(20)) {
            this->clock.advance(milliseconds(20));
            this->forwarder.tick(this->actions);
        }
    }
    static FlowKey flow(uint16_t port, const Endpoint &service = feedAddress)
    {
        return { { 0x64400007, port }, service };
    }
    PacketDecision open(uint16_t port, const Endpoint &service = feedAddress, uint32_t sequence = 1000)
    {
        FlowPacket packet;
        packet.flow = flow(port, service);
        packet.sequence = sequence;
        packet.isOpening = true;
        return this->forwarder.onPacket(packet, this->actions);
    }
    PacketDecision send(uint16_t port, RoutingToken token, uint32_t sequence, uint32_t acknowledged, uint16_t bytes, const Endpoint &service = feedAddress)
    {
        FlowPacket packet;
        packet.flow = flow(port, service);
        packet.token = token;
        packet.sequence = sequence;
        packet.acknowledged = acknowledged;
        packet.contentBytes = bytes;
        return this->forwarder.onPacket(packet, this->actions);
    }
    /** Opens a flow and acknowledges the target's answer to the opening packet. Returns the decision for the opening packet. */
    PacketDecision establish(uint16_t port, const Endpoint &service = feedAddress)
    {
        const PacketDecision opened = this->open(port, service);
        this->clock.advance(milliseconds(6));
        this->send(port, opened.token, 1001, 5000, 0, service);
        return opened;
    }
    void close(uint16_t port, RoutingToken token, const Endpoint &service = feedAddress)
    {
        FlowPacket packet;
        packet.flow = flow(port, service);
        packet.token = token;
        packet.sequence = 1001;
        packet.acknowledged = 5000;
        packet.isClosing = true;
        this->forwarder.onPacket(packet, this->actions);
    }
    /** Sends a request that is answered after `took`. */
    void exchange(uint16_t port, RoutingToken token, uint32_t number, Duration took, const Endpoint &service = feedAddress)
    {
        this->send(port, token, 1001 + number * 100, 5000 + number * 100, 100, service);
        this->clock.advance(took);
        this->send(port, token, 1101 + number * 100, 5100 + number * 100, 0, service);
    }
    /** Ends all requested checks with `outcome`, except those of the target `except`, which connect. Returns the number of checks. */
    size_t endChecks(CheckOutcome outcome, const std::string &except = "")
    {
        size_t count = 0;
        while (!this->actions.checks.empty()) {
            const TargetPtr target = this->actions.checks.front().target;
            this->actions.checks.erase(this->actions.checks.begin());
            this->forwarder.endCheck(target, target->record.name == except ? CheckOutcome::Connected : outcome, this->actions);
            ++count;
        }
        return count;
    }
    uint64_t resets(ResetReason reason) const
    {
        return this->forwarder.flowCounters().value(reason);
    }
    uint64_t drops(DropReason reason) const
    {
        return this->forwarder.flowCounters().value(reason);
    }

    ManualClock clock;
    FakeFlowObserver observer;
    FlowForwarder forwarder;
    FlowActions actions;
};

} // namespace flow_fakes
} // namespace hornbeam
