#pragma once

// Targets and callers of three availability zones, and the instances between them (zoneinstances.h).
//
// Sections: callers | targets

#include "targetmodel.h"
#include "zoneinstances.h"

#include <random>

namespace hornbeam {
inline namespace parts_world {

struct WorldSettings
{
    FlowSettings flows;
    size_t instances = 4; // of a zone
    size_t targets = 12;  // of a zone, with 2 slots each
};

/** What became of the requests of a zone's callers since the last run() began. */
struct ZoneResults
{
    size_t requests = 0;                       // of flows with one request
    size_t inTime = 0;                         // answered within the latency target
    size_t refused = 0;                        // flows that were reset before they opened
    size_t undecided = 0;                      // opening packets that were neither forwarded nor reset
    size_t broken = 0;                         // open flows that were reset, or a packet of which was not forwarded to their target
    std::array<size_t, worldZones> openings{}; // opening packets sent to targets of each zone

    double inTimeShare() const
    {
        return this->requests == 0 ? 1 : static_cast<double>(this->inTime) / static_cast<double>(this->requests);
    }
    double openingShare(size_t zone) const
    {
        const size_t all = this->openings[0] + this->openings[1] + this->openings[2];
        return all == 0 ? 0 : static_cast<double>(this->openings[zone]) / static_cast<double>(all);
    }
};

class PartsWorld
{
public:
    static constexpr double serviceSeconds = 0.04; // mean; 50 requests a second and target at most
    static constexpr Duration latencyTarget = milliseconds(400);
    static constexpr Duration callerDelay = milliseconds(3);

    explicit PartsWorld(const WorldSettings &settings)
        : settings(settings), instances(settings.flows, settings.instances, this->loop, this->links, [this](const FlowReset &reset) { this->reset(reset); })
    {
        for (size_t zone = 0; zone < worldZones; ++zone) {
            for (size_t i = 0; i < settings.targets; ++i) {
                TargetModel &target = this->targets.emplace_back();
                target.record = makeTarget(std::string(1, static_cast<char>('a' + zone)) + std::to_string(i), zoneIds[zone]);
                target.zone = zone;
            }
            this->arrive(zone);
        }
        this->instances.start(this->configuration(), this->records());
    }
    PartsWorld(const PartsWorld &) = delete;
    PartsWorld &operator=(const PartsWorld &) = delete;

    /** Lets time pass; resets the results first. */
    void run(Duration time)
    {
        this->results = {};
        for (TargetModel &target : this->targets) {
            target.results = {};
        }
        this->loop.run(time);
    }
    /** Sets the load of a zone's callers with one flow per request; 1 fills the slots of all targets that a zone has at first. */
    void setDemand(size_t zone, double demand)
    {
        this->rates[zone] = demand * static_cast<double>(this->settings.targets * TargetModel::slots) / serviceSeconds;
    }
    /** Opens flows of a zone's callers that stay open and send a request every 200 ms. */
    void openPool(size_t zone, size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            this->loop.at(milliseconds(i * 5), [this, zone] { this->open(zone, true); });
        }
    }
    void evacuate(const std::set<size_t> &zones)
    {
        std::set<ZoneId> identifiers;
        for (const size_t zone : zones) {
            identifiers.insert(zoneIds[zone]);
        }
        this->instances.evacuate(identifiers);
    }
    /** Cuts a zone from the two others. The members know it from `detection` on. */
    void cut(size_t zone, Duration detection = seconds(1))
    {
        this->links.cutZone = zone;
        this->loop.at(detection, [this, zone] { this->instances.setUnreachable(zone); });
    }
    /** Ends the cut. The members know it from `detection` on. */
    void heal(Duration detection = seconds(1))
    {
        this->cut(worldZones, detection);
    }
    /** Lists `count` targets of a zone; the others drain. */
    void list(size_t zone, size_t count)
    {
        size_t listed = 0;
        for (TargetModel &target : this->targets) {
            if (target.zone == zone) {
                target.isListed = listed++ < count;
            }
        }
        this->instances.list(this->records());
    }
    /** Makes the last `count` targets of each zone cold. */
    void cool(size_t count, Duration remaining)
    {
        for (size_t i = 0; i < this->targets.size(); ++i) {
            const bool isCold = i % this->settings.targets >= this->settings.targets - count;
            this->targets[i].record.remainingWarmupMs = isCold ? static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(remaining).count()) : 0;
        }
        this->instances.list(this->records());
    }
    /** Sets the opening packets a second of a cold target, by a new configuration. */
    void setWarmupRate(uint32_t perSecond)
    {
        this->warmupRatePerMille = perSecond * 1000;
        ++this->version;
        this->instances.configure(this->configuration());
    }
    /** Mean time that requests waited in the queues of the targets. */
    double waitingSeconds() const
    {
        double sum = 0;
        size_t processed = 0;
        for (const TargetModel &target : this->targets) {
            sum += target.results.waitingSeconds;
            processed += target.results.processed;
        }
        return processed == 0 ? 0 : sum / static_cast<double>(processed);
    }

    std::vector<TargetModel> targets;
    std::array<ZoneResults, worldZones> results;

private:
    struct Flow
    {
        FlowKey key;
        size_t zone = 0;
        size_t instance = 0;
        TargetPtr target; // once open
        bool isPooled = false;
        bool hasEnded = false;
        TimePoint startedAt;
        uint32_t sequence = 1001;
        uint32_t acknowledged = 5000;
        uint32_t answers = 0;
    };
    using FlowPtr = std::shared_ptr<Flow>;

    TimePoint now() const
    {
        return this->loop.clock.now();
    }
    Duration exponential(double mean)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(this->random)));
    }
    RouteConfiguration configuration() const
    {
        RouteConfiguration configuration = makeConfiguration(this->version);
        configuration.routes[0].latencyTarget = latencyTarget;
        configuration.warmups["booking"] = { this->warmupRatePerMille, seconds(30) };
        return configuration;
    }
    std::vector<TargetRecord> records() const
    {
        std::vector<TargetRecord> records;
        for (const TargetModel &target : this->targets) {
            records.push_back(target.record);
            records.back().isDraining = !target.isListed;
        }
        return records;
    }

    //--- Callers

    void arrive(size_t zone)
    {
        const double rate = this->rates[zone];
        if (rate > 0) {
            this->open(zone, false);
        }
        this->loop.at(rate > 0 ? this->exponential(1 / rate) : milliseconds(10), [this, zone] { this->arrive(zone); });
    }
    void open(size_t zone, bool isPooled)
    {
        const auto flow = std::make_shared<Flow>();
        ++this->flowCount;
        flow->key = { { 0x64400000U + (this->flowCount >> 15U), static_cast<uint16_t>(this->flowCount & 0x7FFFU) }, feedAddress };
        flow->zone = zone;
        flow->instance = this->random();
        flow->isPooled = isPooled;
        this->flows[flow->key.caller.key()] = flow;
        flow->startedAt = this->now();
        this->results[zone].requests += isPooled ? 0 : 1;
        this->sendOpening(flow, 0);
        this->loop.at(milliseconds(200), [this, flow] { this->sendOpening(flow, 1); });
        this->loop.at(milliseconds(600), [this, flow] { this->sendOpening(flow, 2); });
    }
    void sendOpening(const FlowPtr &flow, uint32_t copy)
    {
        if (flow->target != nullptr || flow->hasEnded) {
            return;
        }
        FlowPacket packet;
        packet.flow = flow->key;
        packet.sequence = 1000;
        packet.acknowledged = copy;
        packet.isOpening = true;
        const PacketDecision decision = this->forward(*flow, packet);
        if (decision.kind == PacketDecision::Kind::Reset) {
            flow->hasEnded = true;
            ++this->results[flow->zone].refused;
        } else if (decision.kind == PacketDecision::Kind::Drop) {
            ++this->results[flow->zone].undecided;
        } else {
            this->deliverOpening(flow, decision.target);
        }
    }
    void sendRequest(const FlowPtr &flow)
    {
        FlowPacket packet = this->packetOf(*flow);
        packet.contentBytes = 100;
        flow->sequence += 100;
        if (this->forwardOpen(flow, packet)) {
            this->deliverRequest(flow);
        }
    }
    void receiveAnswer(const FlowPtr &flow, uint32_t bytes)
    {
        if (flow->hasEnded) {
            return;
        }
        flow->acknowledged += bytes;
        const uint32_t number = ++flow->answers;
        if (flow->isPooled) {
            this->loop.at(milliseconds(40), [this, flow] { this->forwardOpen(flow, this->packetOf(*flow)); });
            this->loop.at(milliseconds(200), [this, flow, number] {
                if (flow->answers == number) {
                    this->sendRequest(flow);
                }
            });
            return;
        }
        const bool isInTime = bytes > errorBytes && this->now() - flow->startedAt <= latencyTarget;
        this->results[flow->zone].inTime += isInTime ? 1 : 0;
        FlowPacket packet = this->packetOf(*flow);
        packet.isClosing = true;
        this->forwardOpen(flow, packet);
        flow->hasEnded = true;
    }
    static FlowPacket packetOf(const Flow &flow)
    {
        FlowPacket packet;
        packet.flow = flow.key;
        packet.token = flow.target->token;
        packet.sequence = flow.sequence;
        packet.acknowledged = flow.acknowledged;
        return packet;
    }
    bool forwardOpen(const FlowPtr &flow, const FlowPacket &packet)
    {
        if (flow->hasEnded) {
            return false;
        }
        const PacketDecision decision = this->forward(*flow, packet);
        const bool isForwarded = decision.kind == PacketDecision::Kind::Forward && decision.token == packet.token;
        if (!isForwarded) {
            flow->hasEnded = true;
            this->countBroken(*flow);
        }
        return isForwarded;
    }
    // Flows between zones that are cut from each other can't stay.
    void countBroken(const Flow &flow)
    {
        const bool isConnected = this->links.isConnected(flow.zone, this->modelOf(*flow.target).zone);
        this->results[flow.zone].broken += isConnected ? 1 : 0;
    }
    PacketDecision forward(const Flow &flow, const FlowPacket &packet)
    {
        return this->instances.forward(flow.zone, flow.instance, packet);
    }
    void reset(const FlowReset &reset)
    {
        const FlowPtr flow = this->flows[reset.flow.caller.key()].lock();
        if (flow == nullptr || flow->hasEnded) {
            return;
        }
        flow->hasEnded = true;
        if (flow->target == nullptr) {
            ++this->results[flow->zone].refused;
        } else {
            this->countBroken(*flow);
        }
    }

    //--- Targets

    TargetModel &modelOf(const Target &target)
    {
        return *std::find_if(this->targets.begin(), this->targets.end(), [&](const TargetModel &model) { return model.record.name == target.record.name; });
    }
    void deliverOpening(const FlowPtr &flow, const TargetPtr &target)
    {
        TargetModel &model = this->modelOf(*target);
        ++this->results[flow->zone].openings[model.zone];
        model.addOpening(this->now());
        if (!this->links.isConnected(flow->zone, model.zone)) {
            return;
        }
        this->loop.at(2 * ZoneLinks::delayBetween(flow->zone, model.zone) + callerDelay, [this, flow, target] {
            if (flow->target == nullptr && !flow->hasEnded && this->links.isConnected(flow->zone, this->modelOf(*target).zone)) {
                flow->target = target;
                this->sendRequest(flow);
            }
        });
    }
    void deliverRequest(const FlowPtr &flow)
    {
        TargetModel &model = this->modelOf(*flow->target);
        this->loop.at(ZoneLinks::delayBetween(flow->zone, model.zone), [this, flow, &model] {
            if (!this->links.isConnected(flow->zone, model.zone)) {
                return;
            }
            if (model.busy < TargetModel::slots) {
                this->process(flow, model);
            } else if (model.queue.size() < TargetModel::queueLimit) {
                model.queue.emplace_back([this, flow, &model, since = this->now()] {
                    model.results.waitingSeconds += std::chrono::duration<double>(this->now() - since).count();
                    this->process(flow, model);
                });
            } else {
                this->answer(flow, model, errorBytes);
            }
        });
    }
    void process(const FlowPtr &flow, TargetModel &model)
    {
        ++model.busy;
        ++model.results.processed;
        this->loop.at(this->exponential(serviceSeconds), [this, flow, &model] {
            --model.busy;
            this->answer(flow, model, answerBytes);
            if (!model.queue.empty()) {
                const auto next = std::move(model.queue.front());
                model.queue.pop_front();
                next();
            }
        });
    }
    void answer(const FlowPtr &flow, const TargetModel &model, uint32_t bytes)
    {
        this->loop.at(ZoneLinks::delayBetween(flow->zone, model.zone) + callerDelay, [this, flow, &model, bytes] {
            if (this->links.isConnected(flow->zone, model.zone)) {
                this->receiveAnswer(flow, bytes);
            }
        });
    }

    static constexpr uint32_t answerBytes = 700;
    static constexpr uint32_t errorBytes = 150;

    const WorldSettings settings;
    EventLoop loop;
    ZoneLinks links;
    ZoneInstances instances;
    std::minstd_rand random{ 7 };
    std::array<double, worldZones> rates{};
    std::optional<uint32_t> warmupRatePerMille;
    uint64_t version = 1;                          // of the configuration
    std::map<uint64_t, std::weak_ptr<Flow>> flows; // by caller
    uint32_t flowCount = 0;
};

} // namespace parts_world
} // namespace hornbeam
