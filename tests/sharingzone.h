#pragma once

// A zone whose instances share store reads, in steady state, for the tests of sharing.

#include "flowfakes.h"
#include "sharingnetwork.h"

#include <string>

namespace hornbeam {
inline namespace sharing_zone {

constexpr size_t nodeCount = 20;
constexpr size_t noNode = ~size_t{ 0 };

inline TargetRecord draining(const std::string &name)
{
    TargetRecord record = makeTarget(name);
    record.isDraining = true;
    return record;
}

inline RouteConfiguration withRoutes(uint64_t version, size_t count)
{
    RouteConfiguration configuration = makeConfiguration(version);
    for (size_t i = 0; i < count; ++i) {
        configuration.routes.push_back({ "extra-" + std::to_string(i),
                                         { 0xC6130000U + static_cast<uint32_t>(i), 443 },
                                         RequestKind::Idempotent,
                                         seconds(1),
                                         seconds(2),
                                         { { "booking", 1 } } });
    }
    return configuration;
}

/** A zone in steady state: targets and a configuration are loaded, and one member reads the store. */
struct Zone : SharingNetwork
{
    explicit Zone(size_t count = nodeCount, const FlowServiceSettings &flows = {}) : SharingNetwork(count, flows)
    {
        for (size_t i = 0; i < 30; ++i) {
            this->store.put(makeTarget("target-" + std::to_string(i)), this->clock.now());
        }
        this->store.configure(makeConfiguration(1), this->clock.now());
        this->run(seconds(4));
    }
    Node &at(size_t index)
    {
        return *this->nodes[index];
    }
    /** Drains a target; returns the time until all running nodes other than `except` know it. */
    Duration drain(const std::string &name, size_t except = noNode)
    {
        this->store.put(draining(name), this->clock.now());
        return this->runUntil(seconds(30), [&] { return this->allKnowDraining(name, except); });
    }
    uint64_t sum(Counter counter) const
    {
        uint64_t total = 0;
        for (const auto &node : this->nodes) {
            total += node->counters.value(counter);
        }
        return total;
    }
};

} // namespace sharing_zone
} // namespace hornbeam
