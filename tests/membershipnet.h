#pragma once

// Simulates several Membership objects on a manual clock, connected by a queue of encoded messages with latency, loss and partitions.

#include "membership/membership.h"
#include "peer/codec.h"
#include "peer/packetsigner.h"

#include <deque>
#include <functional>
#include <memory>

namespace hornbeam {

class MembershipNet
{
public:
    struct Node
    {
        MemberRecord record;
        Counters counters;
        std::unique_ptr<Membership> membership;
        bool isPaused = false;
        bool isStopped = false;
        Duration delay{ 0 };    // of its link, added to each message from and to it
        uint64_t bytesSent = 0; // sealed datagrams and stream messages, in bytes on the wire
        size_t largestDatagram = 0;
    };

    static constexpr Duration step = milliseconds(10);
    static constexpr Duration networkDelay = milliseconds(2);

    /** Adds an instance with all earlier ones as seeds. */
    size_t add(ZoneId zone)
    {
        const size_t index = this->nodes.size();
        auto node = std::make_unique<Node>();
        node->record.id = mixHash(index, 77);
        node->record.zone = zone;
        node->record.peer = Endpoint{ 0x0A000000U + static_cast<uint32_t>(index), 7000 };
        this->nodes.push_back(std::move(node));
        this->start(index);
        return index;
    }

    /** Adds an instance that only knows the addresses of the given others, not their zones. */
    size_t addWithSeeds(ZoneId zone, const std::vector<size_t> &seeds)
    {
        const size_t index = this->add(zone);
        this->restartWithSeeds(index, seeds);
        return index;
    }
    void restartWithSeeds(size_t index, const std::vector<size_t> &seeds)
    {
        this->create(index);
        for (const size_t seed : seeds) {
            if (seed < this->nodes.size()) {
                this->at(index).addSeed(this->idOf(seed), unknownZone, this->nodes[seed]->record.peer);
            }
        }
    }

    /** Starts or restarts the process of an instance, with all other instances as seeds. */
    void start(size_t index)
    {
        this->create(index);
        const Node &node = *this->nodes[index];
        for (const auto &other : this->nodes) {
            if (other.get() != &node) {
                node.membership->addSeed(other->record.id, other->record.zone, other->record.peer);
            }
        }
    }

    void run(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += step) {
            this->clock.advance(step);
            this->deliver();
            for (size_t i = 0; i < this->nodes.size(); ++i) {
                const bool isDue = (this->clock.now().time_since_epoch() + i * step) % milliseconds(50) == Duration(0);
                if (isDue && this->isRunning(i)) {
                    Actions out;
                    this->nodes[i]->membership->tick(out);
                    this->send(i, out);
                }
            }
        }
    }

    /** Runs until `condition` is true. Returns the elapsed time, at least `timeout` when the condition was not met in time. */
    Duration runUntil(Duration timeout, const std::function<bool()> &condition)
    {
        Duration elapsed{};
        while (elapsed < timeout && !condition()) {
            this->run(milliseconds(50));
            elapsed += milliseconds(50);
        }
        return elapsed;
    }

    bool isRunning(size_t index) const
    {
        return !this->nodes[index]->isStopped && !this->nodes[index]->isPaused;
    }

    Membership &at(size_t index)
    {
        return *this->nodes[index]->membership;
    }

    MemberId idOf(size_t index) const
    {
        return this->nodes[index]->record.id;
    }

    MemberState stateAt(size_t viewer, size_t subject)
    {
        const auto found = this->at(viewer).find(this->idOf(subject));
        return found.has_value() ? found->state : MemberState::Left;
    }

    /** Whether every running member sees exactly `expected` eligible members over all zones. */
    bool allSeeEligible(size_t expected)
    {
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            if (this->isRunning(i) && this->eligibleCountAt(i) != expected) {
                return false;
            }
        }
        return true;
    }

    size_t eligibleCountAt(size_t viewer)
    {
        size_t count = 0;
        for (const MemberRecord &record : this->at(viewer).members()) {
            count += isEligible(record.state) ? 1 : 0;
        }
        return count;
    }

    void send(size_t from, const Actions &out)
    {
        for (const OutgoingMessage &message : out.toPeers) {
            this->transmit(from, message, true);
        }
        for (const OutgoingMessage &message : out.toStreams) {
            this->transmit(from, message, false);
        }
    }

    MembershipSettings settings;
    ManualClock clock;
    std::vector<std::unique_ptr<Node>> nodes;
    std::function<bool(size_t from, size_t to)> isLost = [](size_t, size_t) { return false; };
    std::function<void(size_t to, const RotationReport &)> onRotationReport = [](size_t, const RotationReport &) {};

private:
    void create(size_t index)
    {
        Node &node = *this->nodes[index];
        node.record.incarnation = this->clock.wallMillis();
        node.membership = std::make_unique<Membership>(this->settings, node.record, this->clock, node.counters, index + 1);
        node.isStopped = false;
    }

    struct InFlight
    {
        TimePoint due;
        size_t from = 0;
        size_t to = 0;
        Bytes message;
    };

    void transmit(size_t from, const OutgoingMessage &message, bool isDatagram)
    {
        Node &sender = *this->nodes[from];
        Bytes wire = encodeMessage(message.message);
        sender.bytesSent += wire.size() + packetSignatureBytes;
        if (isDatagram) {
            sender.largestDatagram = std::max(sender.largestDatagram, wire.size() + packetSignatureBytes);
        }
        for (size_t to = 0; to < this->nodes.size(); ++to) {
            if (this->idOf(to) == message.peer && !this->isLost(from, to)) {
                this->queue.push_back(InFlight{ this->clock.now() + networkDelay + sender.delay + this->nodes[to]->delay, from, to, std::move(wire) });
                return;
            }
        }
    }

    void deliver()
    {
        std::deque<InFlight> due;
        due.swap(this->queue);
        for (const InFlight &message : due) {
            if (this->nodes[message.to]->isStopped) {
                continue;
            }
            if (message.due > this->clock.now() || this->nodes[message.to]->isPaused) {
                this->queue.push_back(message); // the kernel buffers messages for a paused process
                continue;
            }
            const auto decoded = decodeMessage(message.message);
            Actions out;
            std::visit([&](const auto &typed) { this->handle(message.to, typed, out); }, *decoded);
            this->send(message.to, out);
        }
    }

    template<typename Message>
    void handle(size_t to, const Message &message, Actions &out)
    {
        if constexpr (requires { this->at(to).onMessage(message, out); }) {
            this->at(to).onMessage(message, out);
        } else if constexpr (std::is_same_v<Message, RotationReport>) {
            this->onRotationReport(to, message);
        }
    }

    std::deque<InFlight> queue;
};

} // namespace hornbeam
