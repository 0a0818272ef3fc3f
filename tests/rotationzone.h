#pragma once

// A zone of instances with membership, rotation policy and overload detection, on a simulated network.

#include "apps/overloadrotation.h"
#include "membershipnet.h"

#include <array>
#include <set>

namespace hornbeam {
inline namespace rotation_zone {

struct RotationZoneFixture
{
    static constexpr size_t count = 28;

    /** `others`: members of a second zone, which are never overloaded. */
    explicit RotationZoneFixture(size_t others = 0)
    {
        this->net.settings.probeInterval = milliseconds(200);
        this->net.settings.probeTimeout = milliseconds(120);
        for (size_t i = 0; i < count; ++i) {
            this->net.add(1);
            this->startRotation(i);
        }
        for (size_t i = 0; i < others; ++i) {
            this->net.add(2);
        }
        this->net.onRotationReport = [this](size_t to, const RotationReport &report) { this->rotations[to]->onMessage(report); };
        this->run(seconds(8));
    }
    void run(Duration time)
    {
        for (Duration passed{ 0 }; passed < time; passed += milliseconds(50)) {
            this->net.run(milliseconds(50));
            for (size_t i = 0; i < count; ++i) {
                if (!this->net.isRunning(i)) {
                    continue;
                }
                const TimePoint now = this->net.clock.now();
                LoadSample sample;
                sample.tickDelay = now - this->lastRuns[i] - milliseconds(50);
                this->lastRuns[i] = now;
                this->rotations[i]->addSample(sample);
                this->policies[i]->update(this->net.at(i).members(), this->net.at(i).zoneContacts(), now);
                Actions out;
                this->rotations[i]->update(this->net.at(i), *this->policies[i], out);
                this->net.send(i, out);
            }
            this->mostOut = std::max(this->mostOut, this->out().size());
        }
    }
    std::set<size_t> out() const
    {
        std::set<size_t> indexes;
        for (size_t i = 0; i < count; ++i) {
            if (!this->net.nodes[i]->isStopped && this->rotations[i]->isOut()) {
                indexes.insert(i);
            }
        }
        return indexes;
    }
    void setDelay(size_t slow, Duration delay)
    {
        for (size_t i = 0; i < slow; ++i) {
            this->net.nodes[i]->delay = delay;
        }
    }
    /** Starts the process of an instance again that has stopped. */
    void restart(size_t index)
    {
        this->net.start(index);
        this->startRotation(index);
    }

    MembershipNet net;
    Counters counters;
    std::array<std::unique_ptr<RotationPolicy>, count> policies;
    std::array<std::unique_ptr<OverloadRotation>, count> rotations;
    std::array<TimePoint, count> lastRuns{};
    std::set<std::string> events;
    size_t mostOut = 0; // at a time

private:
    void startRotation(size_t index)
    {
        this->lastRuns[index] = this->net.clock.now();
        this->policies[index] = std::make_unique<RotationPolicy>(RotationSettings{}, 1);
        this->rotations[index] = std::make_unique<OverloadRotation>(FlowServiceSettings{}, this->net.at(index).self(), this->net.clock, this->counters,
                                                                    [this](const std::string &event, const auto &) { this->events.insert(event); });
    }
};

} // namespace rotation_zone
} // namespace hornbeam
