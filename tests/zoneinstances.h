#pragma once

// Instances of three availability zones in one loop on a paused clock: the real forwarders with zone routing, load reports and warm-up budgets, and a network
// between zones that can be cut.

#include "balancing/memberbudgetshares.h"
#include "fakedirectory.h"
#include "flowfakes.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hornbeam {
inline namespace zone_instances {

constexpr size_t worldZones = 3;
inline const std::array<ZoneId, worldZones> zoneIds{ zoneIdOf("a"), zoneIdOf("b"), zoneIdOf("c") };

/** Events on a paused clock. */
class EventLoop
{
public:
    void at(Duration delay, std::function<void()> action)
    {
        this->events.emplace(this->clock.now() + delay, std::move(action));
    }
    void run(Duration time)
    {
        const TimePoint end = this->clock.now() + time;
        while (!this->events.empty() && this->events.begin()->first <= end) {
            const auto next = this->events.begin();
            this->clock.advance(next->first - this->clock.now());
            const auto action = std::move(next->second);
            this->events.erase(next);
            action();
        }
        this->clock.advance(end - this->clock.now());
    }

    ManualClock clock;

private:
    std::multimap<TimePoint, std::function<void()>> events;
};

/** Links between zones. */
struct ZoneLinks
{
    static Duration delayBetween(size_t from, size_t to)
    {
        return from == to ? milliseconds(1) : milliseconds(5);
    }
    bool isConnected(size_t from, size_t to) const
    {
        return from == to || (from != this->cutZone && to != this->cutZone);
    }
    size_t cutZone = worldZones; // none
};

class ZoneInstances
{
public:
    using ResetFunction = std::function<void(const FlowReset &reset)>;

    /** Precondition: the loop and the links outlive this object. */
    ZoneInstances(const FlowSettings &settings, size_t instancesPerZone, EventLoop &loop, const ZoneLinks &links, ResetFunction onReset)
        : settings(settings), perZone(instancesPerZone), loop(loop), links(links), onReset(std::move(onReset))
    {
        for (size_t i = 0; i < worldZones * this->perZone; ++i) {
            this->instances.push_back(std::make_unique<Instance>());
            this->instances[i]->zone = i / this->perZone;
        }
    }
    ZoneInstances(const ZoneInstances &) = delete;
    ZoneInstances &operator=(const ZoneInstances &) = delete;

    /** Starts all instances with the first configuration and target list. */
    void start(const RouteConfiguration &configuration, const std::vector<TargetRecord> &targets)
    {
        for (size_t i = 0; i < this->instances.size(); ++i) {
            this->start(i);
        }
        this->configure(configuration);
        this->list(targets);
        this->evacuate({});
        for (size_t i = 0; i < this->instances.size(); ++i) {
            this->loop.at(milliseconds(1 + i % 20), [this, i] { this->tick(*this->instances[i]); });
        }
    }
    void configure(const RouteConfiguration &configuration)
    {
        for (const auto &instance : this->instances) {
            FlowActions out;
            instance->forwarder->onConfiguration(configuration, out);
        }
    }
    void list(const std::vector<TargetRecord> &targets)
    {
        for (const auto &instance : this->instances) {
            FlowActions out;
            instance->forwarder->onConfigurationConfirmed(this->loop.clock.now());
            instance->forwarder->onTargets(targets, this->loop.clock.now(), out);
            this->carryOut(*instance, out);
        }
    }
    void evacuate(const std::set<ZoneId> &zones)
    {
        for (const auto &instance : this->instances) {
            instance->forwarder->onEvacuations(zones);
        }
    }
    /** The members learn that `zone` is cut from the others; `worldZones`: that none is. */
    void setUnreachable(size_t zone)
    {
        for (const auto &instance : this->instances) {
            instance->directory.unreachableZones.clear();
            for (size_t other = 0; other < worldZones; ++other) {
                if (other != instance->zone && (other == zone || instance->zone == zone)) {
                    instance->directory.unreachableZones.push_back(zoneIds[other]);
                }
            }
        }
    }
    /** Passes a packet of a caller to an instance of its zone. */
    PacketDecision forward(size_t zone, size_t index, const FlowPacket &packet)
    {
        Instance &instance = *this->instances[zone * this->perZone + index % this->perZone];
        FlowActions out;
        PacketDecision decision = instance.forwarder->onPacket(packet, out);
        this->carryOut(instance, out);
        return decision;
    }

private:
    struct Instance
    {
        size_t zone = 0;
        FakeDirectory directory;
        FakeFlowObserver observer;
        std::unique_ptr<FlowForwarder> forwarder;
        std::unique_ptr<ZoneLoads> zoneLoads;
        std::unique_ptr<LoadReports> loadReports;
        std::unique_ptr<MemberBudgetShares> budget;
    };

    void start(size_t index)
    {
        Instance &instance = *this->instances[index];
        for (size_t i = 0; i < this->instances.size(); ++i) {
            MemberRecord record;
            record.id = i + 1;
            record.zone = zoneIds[this->instances[i]->zone];
            record.incarnation = 1;
            instance.directory.members.push_back(record);
        }
        const ManualClock &clock = this->loop.clock;
        instance.directory.selfRecord = instance.directory.members[index];
        instance.forwarder = std::make_unique<FlowForwarder>(this->settings, zoneIds[instance.zone], index + 1, clock, instance.observer);
        instance.zoneLoads = std::make_unique<ZoneLoads>(ZoneLoadSettings{}, instance.directory, clock, index + 1);
        instance.loadReports = std::make_unique<LoadReports>(this->settings.reports, instance.directory, clock);
        instance.budget = std::make_unique<MemberBudgetShares>(BudgetShareSettings{}, instance.directory.selfRecord, clock.now());
        instance.forwarder->setZoneLoads(instance.zoneLoads.get());
        instance.forwarder->setBudgetShares(*instance.budget);
        instance.forwarder->setInstanceCounts(this->instances.size(), this->perZone);
    }
    void tick(Instance &instance)
    {
        instance.budget->setMembers(instance.directory.members, { 3, 3 }, this->loop.clock.now());
        FlowActions out;
        instance.forwarder->tick(out);
        this->carryOut(instance, out);
        Actions messages;
        instance.zoneLoads->tick(messages);
        instance.loadReports->tick(instance.forwarder->ownLoad(), messages);
        instance.forwarder->onReportedLoad(instance.loadReports->reported());
        this->send(instance, messages);
        this->loop.at(milliseconds(20), [this, &instance] { this->tick(instance); });
    }
    void send(const Instance &from, const Actions &messages)
    {
        for (const OutgoingMessage &message : messages.toPeers) {
            Instance &to = *this->instances[message.peer - 1];
            if (!this->links.isConnected(from.zone, to.zone)) {
                continue;
            }
            this->loop.at(ZoneLinks::delayBetween(from.zone, to.zone), [this, &to, content = message.message] {
                Actions out;
                if (const auto *zoneLoad = std::get_if<ZoneLoad>(&content)) {
                    to.zoneLoads->onMessage(*zoneLoad, out);
                } else if (const auto *loadReport = std::get_if<LoadReport>(&content)) {
                    to.loadReports->onMessage(*loadReport);
                }
                this->send(to, out);
            });
        }
    }
    void carryOut(Instance &instance, const FlowActions &out)
    {
        for (const ConnectionCheck &check : out.checks) {
            const auto zone = static_cast<size_t>(std::find(zoneIds.begin(), zoneIds.end(), check.target->record.zone) - zoneIds.begin());
            const bool isConnected = this->links.isConnected(instance.zone, zone);
            const Duration time = isConnected ? 2 * ZoneLinks::delayBetween(instance.zone, zone) : check.timeout;
            this->loop.at(time, [this, &instance, isConnected, target = check.target] {
                FlowActions next;
                instance.forwarder->endCheck(target, isConnected ? CheckOutcome::Connected : CheckOutcome::TimedOut, next);
                this->carryOut(instance, next);
            });
        }
        for (const FlowReset &reset : out.resets) {
            this->onReset(reset);
        }
    }

    const FlowSettings settings;
    const size_t perZone;
    EventLoop &loop;
    const ZoneLinks &links;
    const ResetFunction onReset;
    std::vector<std::unique_ptr<Instance>> instances;
};

} // namespace zone_instances
} // namespace hornbeam
