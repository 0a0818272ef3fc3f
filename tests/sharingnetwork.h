#pragma once

// Simulates the instances of one zone that share store reads, on a manual clock: real watchers, an in-memory store, and encoded messages between nodes.

#include "peer/codec.h"
#include "sharingnode.h"

#include <deque>
#include <functional>
#include <memory>

namespace hornbeam {

class SharingNetwork
{
public:
    using Node = SharingNode;

    static constexpr Duration step = milliseconds(10);
    static constexpr Duration delay = milliseconds(2);

    explicit SharingNetwork(size_t count, FlowServiceSettings flows = {}) : flows(std::move(flows))
    {
        for (size_t i = 0; i < count; ++i) {
            this->nodes.push_back(std::make_unique<Node>());
            MemberRecord record;
            record.id = mixHash(i, 99);
            record.zone = 1;
            record.incarnation = 1;
            this->nodes.back()->directory.selfRecord = record;
            this->members.push_back(record);
        }
        for (size_t i = 0; i < count; ++i) {
            this->start(i);
        }
    }

    /** Starts or restarts the process of an instance. */
    void start(size_t index)
    {
        Node &node = *this->nodes[index];
        if (node.store != nullptr) {
            node.store->abandonCalls();
            ++node.directory.selfRecord.incarnation;
        }
        node.isStopped = false;
        node.targets.clear();
        node.configuration = {};
        node.configurationConfirmed = {};
        node.store = std::make_unique<FakeStoreClient>(this->store, this->clock, this->reading, this->storeLatency);
        node.evacuated.clear();
        SharingSettings sharing = this->reading.sharing;
        sharing.readsEvacuations = sharing.readsEvacuations && node.readsEvacuations;
        node.sharing = std::make_unique<SharedStoreReader>(sharing, node.directory, this->clock, node.counters, node);
        const auto watch = [&](StoreResource resource, std::string_view prefix, const WatcherSettings &settings, ObjectWatcher::ObjectsCallback onObjects) {
            auto &watcher = node.watchers[static_cast<size_t>(resource)];
            watcher = std::make_unique<ObjectWatcher>(*node.store, this->clock, index, std::string(prefix), std::move(onObjects), settings);
            watcher->setFailureCallback([&node, resource](const PlatformReply &) {
                if (resource != StoreResource::Evacuations) {
                    node.sharing->onStoreFailure();
                }
            });
        };
        watch(StoreResource::Targets, targetKeyPrefix, this->reading.targets, [this, &node](const ObjectReadResult &read) { this->onTargets(node, read); });
        watch(StoreResource::Configuration, configurationKeyPrefix, this->reading.configurations,
              [this, &node](const ObjectReadResult &read) { this->onConfigurations(node, read); });
        watch(StoreResource::Evacuations, evacuationPrefix, this->reading.evacuations,
              [this, &node](const ObjectReadResult &read) { this->onEvacuations(node, read); });
        this->updateMembers();
    }
    /** Stops the process. The other nodes' directories still list it. */
    void stop(size_t index)
    {
        this->nodes[index]->isStopped = true;
        this->nodes[index]->store->abandonCalls();
    }
    /** Updates all directories to the running instances. */
    void updateMembers()
    {
        for (const auto &node : this->nodes) {
            node->directory.members.clear();
            for (const auto &other : this->nodes) {
                if (!other->isStopped) {
                    node->directory.members.push_back(other->directory.selfRecord);
                }
            }
        }
    }

    void run(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += step) {
            this->clock.advance(step);
            this->deliver();
            for (size_t i = 0; i < this->nodes.size(); ++i) {
                Node &node = *this->nodes[i];
                if (node.isStopped || node.isFrozen) {
                    node.store->receive();
                    continue;
                }
                node.store->tick();
                Actions out;
                node.sharing->tick(out);
                this->send(i, out);
                for (const StoreResource resource : storeResources) {
                    if (node.sharing->isRead(resource)) {
                        node.watchers[static_cast<size_t>(resource)]->tick(node.sharing->isReader(resource));
                    }
                }
            }
            if (this->afterStep) {
                this->afterStep();
            }
        }
    }
    /** Runs until `condition` is true; returns the elapsed time, or at least `bound` if it never was. */
    Duration runUntil(Duration bound, const std::function<bool()> &condition)
    {
        Duration elapsed{};
        while (elapsed < bound && !condition()) {
            this->run(step);
            elapsed += step;
        }
        return elapsed;
    }

    /** Index of the source of the first running node that has one; the number of nodes if there is none. */
    size_t reader() const
    {
        for (const auto &node : this->nodes) {
            for (size_t i = 0; !node->isStopped && i < this->nodes.size(); ++i) {
                if (this->nodes[i]->directory.selfRecord.id == node->sharing->source()) {
                    return i;
                }
            }
        }
        return this->nodes.size();
    }
    /** Whether all running instances except `except` and those without the setting know exactly the store's evacuations. */
    bool allKnowEvacuations(size_t except = ~size_t{ 0 }) const
    {
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            const Node &node = *this->nodes[i];
            if (i != except && !node.isStopped && !node.isFrozen && node.readsEvacuations && node.evacuated != this->store.evacuations) {
                return false;
            }
        }
        return true;
    }
    /** Whether all running instances except `except` know that a target is draining. */
    bool allKnowDraining(const std::string &name, size_t except = ~size_t{ 0 }) const
    {
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            const Node &node = *this->nodes[i];
            const auto found = node.targets.find(name);
            if (i != except && !node.isStopped && !node.isFrozen && (found == node.targets.end() || !found->second.isDraining)) {
                return false;
            }
        }
        return true;
    }
    bool allHaveVersion(uint64_t version) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [&](const auto &node) { return node->isStopped || node->isFrozen || node->configuration.version == version; });
    }
    size_t calls() const
    {
        size_t sum = 0;
        for (const auto &node : this->nodes) {
            sum += node->store->calls;
        }
        return sum;
    }
    /** Whether each instance knows every change that the store had acknowledged before the instance's `confirmedAt()`, so that no age is understated. */
    bool ageBoundsHold() const
    {
        for (const auto &node : this->nodes) {
            const TimePoint targetsAsked = node->sharing->targetView().confirmedAt();
            const TimePoint configurationAsked = node->sharing->configurationView().confirmedAt();
            const EvacuationView &evacuations = node->sharing->evacuationView();
            for (const SharedStore::Change &change : this->store.changes) {
                const bool isTarget = change.prefix == targetKeyPrefix;
                if (change.prefix == evacuationPrefix && change.at < evacuations.confirmedAt() && evacuations.position().revision < change.revision) {
                    return false;
                }
                if (isTarget && change.at < targetsAsked && node->sharing->targetView().position().revision < change.revision) {
                    return false;
                }
                const bool isUnknown = node->configuration.version < change.configuration.version;
                if (change.prefix == configurationKeyPrefix && isUnknown && (change.at < configurationAsked || change.at < node->configurationConfirmed)) {
                    return false;
                }
            }
        }
        return true;
    }

    FlowServiceSettings flows;
    StoreReaderSettings reading = makeStoreReaderSettings(flows);
    ManualClock clock;
    SharedStore store;
    Duration storeLatency = milliseconds(4);
    std::vector<MemberRecord> members;
    std::vector<std::unique_ptr<Node>> nodes;
    std::function<bool(size_t from, size_t to)> isLost = [](size_t, size_t) { return false; };
    std::function<Duration()> extraDelay = [] { return Duration{ 0 }; };
    std::function<void()> afterStep;

private:
    struct InFlight
    {
        TimePoint due;
        size_t to = 0;
        Bytes message;
    };

    void onTargets(Node &node, const ObjectReadResult &read)
    {
        TargetUpdate update{ read.isSnapshot, { read.era, read.from }, { read.era, read.revision }, read.requestedAt, {}, {} };
        for (const PlatformObject &object : read.objects) {
            const std::string name = object.key.substr(targetKeyPrefix.size());
            const auto found = this->store.targets.find(name);
            if (found != this->store.targets.end()) {
                update.updated.push_back({ found->second.first, { read.era, found->second.second } });
            } else {
                update.removed.push_back(name);
            }
        }
        Actions out;
        node.sharing->onStoreTargets(std::move(update), out);
        this->send(this->indexOf(node), out);
    }
    void onEvacuations(Node &node, const ObjectReadResult &read)
    {
        std::vector<IgnoredEntry> ignored;
        Actions out;
        node.sharing->onStoreEvacuations(makeEvacuationUpdate(read, ignored), out);
        this->send(this->indexOf(node), out);
    }
    void onConfigurations(Node &node, const ObjectReadResult &read)
    {
        Actions out;
        if (!read.objects.empty() && !this->store.isConfigurationUsable) {
            node.sharing->onStoreConfigurationUnusable({ read.era, this->store.configurationRevision });
        } else if (!read.objects.empty()) {
            node.sharing->onStoreConfiguration(this->store.configuration, { read.era, this->store.configurationRevision }, read.requestedAt, out);
        }
        node.sharing->onStoreConfigurationConfirmed(read.requestedAt);
        this->send(this->indexOf(node), out);
    }
    size_t indexOf(const Node &node) const
    {
        size_t index = 0;
        while (this->nodes[index].get() != &node) {
            ++index;
        }
        return index;
    }
    void send(size_t from, const Actions &out)
    {
        for (const auto *queue : { &out.toPeers, &out.toStreams }) {
            for (const OutgoingMessage &message : *queue) {
                this->transmit(from, message, queue == &out.toPeers);
            }
        }
    }
    void transmit(size_t from, const OutgoingMessage &message, bool isDatagram)
    {
        Bytes wire = encodeMessage(message.message);
        if (isDatagram) {
            this->nodes[from]->largestDatagram = std::max(this->nodes[from]->largestDatagram, wire.size());
        }
        for (size_t to = 0; to < this->nodes.size(); ++to) {
            if (this->nodes[to]->directory.selfRecord.id == message.peer && !this->isLost(from, to)) {
                this->queue.push_back({ this->clock.now() + delay + this->extraDelay(), to, std::move(wire) });
                return;
            }
        }
    }
    void deliver()
    {
        std::deque<InFlight> due;
        due.swap(this->queue);
        for (InFlight &message : due) {
            Node &node = *this->nodes[message.to];
            if (node.isStopped) {
                continue;
            }
            if (message.due > this->clock.now() || node.isFrozen) {
                this->queue.push_back(std::move(message)); // the kernel buffers messages for a frozen process
                continue;
            }
            Actions out;
            std::visit(
                [&](const auto &typed) {
                    if constexpr (requires { node.sharing->onMessage(typed, out); }) {
                        node.sharing->onMessage(typed, out);
                    }
                },
                *decodeMessage(message.message));
            this->send(message.to, out);
        }
    }

    std::deque<InFlight> queue;
};

} // namespace hornbeam
