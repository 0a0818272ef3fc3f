#pragma once

// A model of a service's targets in three availability zones: callers of each zone, instances that decide alone from delayed and noisy values, and queues of
// requests that move as a fluid. No network, no single flows.

#include "balancing/zoneshares.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace hornbeam {
inline namespace zone_model {

struct ModelZone
{
    double demand = 0;       // requests of the zone's callers per slot of a zone with `fullSlots` and service time; 1 fills the slots
    uint32_t slots = 80;     // of usable targets
    double slowness = 1;     // factor of the service time
    bool isReachable = true; // from other zones
};

struct ZoneModel
{
    static constexpr size_t zoneCount = 3;
    static constexpr uint32_t fullSlots = 80;
    static constexpr double serviceSeconds = 0.034;
    static constexpr double queuePerSlot = 5; // requests in service and waiting; further ones are refused
    static constexpr double tickSeconds = 0.002;
    static constexpr size_t reportTicks = 400; // age of other zones' values: 0.8 s

    explicit ZoneModel(size_t instances, double noise = 0.1, uint64_t seed = 1) : noise(noise), random(seed)
    {
        for (size_t zone = 0; zone < zoneCount; ++zone) {
            this->decisions.emplace_back(instances, ZoneShares(this->settings));
        }
    }

    /** Runs for a time with the present zones, and resets the results first. */
    void run(double seconds)
    {
        this->inTime.fill(0);
        this->total.fill(0);
        this->lowest.fill(1);
        this->highest.fill(0);
        this->highestUse.fill(0);
        const auto ticks = static_cast<size_t>(std::lround(seconds / tickSeconds));
        for (size_t i = 0; i < ticks; ++i) {
            this->tick();
        }
    }
    double share(size_t zone) const
    {
        if (!this->isEnabled) {
            return 0;
        }
        double sum = 0;
        for (const ZoneShares &decision : this->decisions[zone]) {
            sum += decision.leavingShare();
        }
        return sum / static_cast<double>(this->decisions[zone].size());
    }
    double shareTo(size_t zone, size_t destination) const
    {
        if (!this->isEnabled) {
            return 0;
        }
        double sum = 0;
        for (const ZoneShares &decision : this->decisions[zone]) {
            for (const ZoneShare &other : decision.destinations()) {
                sum += other.zone == destination + 1 ? other.share : 0;
            }
        }
        return sum / static_cast<double>(this->decisions[zone].size());
    }
    /** Share of a zone's requests that was served within 300 ms since the last run() began. */
    double served(size_t zone) const
    {
        return this->inTime[zone] / this->total[zone];
    }
    /** Outstanding requests per slot. */
    double useOf(size_t zone) const
    {
        return this->zones[zone].slots == 0 ? 0 : this->queued(zone) / this->zones[zone].slots;
    }

    std::array<ModelZone, zoneCount> zones;
    std::array<double, zoneCount> lowest{};  // share that left since the last run() began
    std::array<double, zoneCount> highest{}; // the same
    std::array<double, zoneCount> highestUse{};
    ZoneShareSettings settings;
    double delaySeconds = 0.0098; // round trip between zones
    bool isEnabled = true;        // otherwise all flows stay in their zone

private:
    struct Snapshot
    {
        std::array<ZoneState, zoneCount> states;
    };

    double queued(size_t to) const
    {
        return this->queues[0][to] + this->queues[1][to] + this->queues[2][to];
    }
    double responseSeconds(size_t zone) const
    {
        const double use = this->zones[zone].slots == 0 ? queuePerSlot : this->queued(zone) / this->zones[zone].slots;
        return serviceSeconds * this->zones[zone].slowness * std::max(1.0, use);
    }
    double noisy(double value)
    {
        return std::max(0.0, value * std::normal_distribution<double>(1, this->noise)(this->random));
    }

    void tick()
    {
        Snapshot now;
        for (size_t zone = 0; zone < zoneCount; ++zone) {
            const double waiting = this->responseSeconds(zone) - serviceSeconds;
            now.states[zone] = { static_cast<ZoneId>(zone + 1),
                                 true,
                                 true,
                                 this->zones[zone].slots,
                                 this->queues[zone][zone],
                                 std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waiting)),
                                 Duration{ 0 },
                                 this->share(zone) };
        }
        this->history.push_back(now);
        if (this->history.size() > reportTicks) {
            this->history.pop_front();
        }
        for (size_t zone = 0; zone < zoneCount; ++zone) {
            for (size_t instance = 0; instance < this->decisions[zone].size(); ++instance) {
                if ((this->ticks + instance) % updateTicks == 0) {
                    this->update(zone, this->decisions[zone][instance]);
                }
            }
        }
        this->moveRequests();
        ++this->ticks;
    }

    void update(size_t zone, ZoneShares &decision)
    {
        ServiceZones service;
        service.bytesPerRequest = 1400;
        service.requestsPerSecond = this->noisy(this->zones[zone].demand * fullSlots / serviceSeconds);
        service.serviceTime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(serviceSeconds));
        for (size_t other = 0; other < zoneCount; ++other) {
            ZoneState state = this->history.front().states[other];
            state.slots = this->zones[other].slots;
            state.waiting = std::chrono::duration_cast<Duration>(this->noisy(1) * state.waiting);
            state.outstanding = this->noisy(state.outstanding);
            if (other == zone) {
                service.own = state;
                continue;
            }
            const bool isReachable = this->zones[other].isReachable && this->zones[zone].isReachable;
            state.isReachable = isReachable;
            state.isReported = isReachable;
            state.delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->delaySeconds));
            const double left = this->noisy(this->queues[zone][other]);
            state.outstanding += left;
            service.others.push_back(state);
        }
        decision.update(service);
    }

    void moveRequests()
    {
        for (size_t from = 0; from < zoneCount; ++from) {
            this->lowest[from] = std::min(this->lowest[from], this->share(from));
            this->highest[from] = std::max(this->highest[from], this->share(from));
            this->highestUse[from] = std::max(this->highestUse[from], this->useOf(from));
            const double arrivals = this->zones[from].demand * fullSlots / serviceSeconds * tickSeconds;
            this->total[from] += arrivals;
            for (size_t to = 0; to < zoneCount; ++to) {
                const double part = arrivals * (to == from ? 1 - this->share(from) : this->shareTo(from, to));
                const bool isReachable = from == to || (this->zones[from].isReachable && this->zones[to].isReachable);
                const double free = std::max(0.0, queuePerSlot * this->zones[to].slots - this->queued(to));
                const double accepted = isReachable ? std::min(part, free) : 0;
                this->queues[from][to] += accepted;
                const double seconds = this->responseSeconds(to) + (to == from ? 0 : this->delaySeconds);
                this->inTime[from] += seconds <= latencySeconds ? accepted : 0;
            }
        }
        for (size_t to = 0; to < zoneCount; ++to) {
            const double all = this->queued(to);
            const double done = std::min<double>(all, this->zones[to].slots) * tickSeconds / (serviceSeconds * this->zones[to].slowness);
            for (size_t from = 0; from < zoneCount && all > 0; ++from) {
                this->queues[from][to] -= done / all * this->queues[from][to];
            }
        }
    }

    static constexpr double latencySeconds = 0.3;
    static constexpr size_t updateTicks = 125; // 250 ms
    const double noise;
    std::mt19937_64 random;
    std::vector<std::deque<ZoneShares>> decisions; // by zone and instance
    std::array<std::array<double, zoneCount>, zoneCount> queues{};
    std::array<double, zoneCount> inTime{};
    std::array<double, zoneCount> total{};
    std::deque<Snapshot> history;
    size_t ticks = 0;
};

} // namespace zone_model
} // namespace hornbeam
