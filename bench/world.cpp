#include "world.h"

#include <algorithm>

namespace hornbeam::bench {

namespace {

constexpr uint32_t instanceNet = 0x0A000000; // 10.0.0.0
constexpr uint32_t targetNet = 0x0A010000;
constexpr uint32_t callerNet = 0x0A020000;
constexpr uint16_t peerPort = 5700;
constexpr uint16_t targetPort = 7000;
constexpr milliseconds platformInterval(200);
constexpr seconds instancesInterval(5);
constexpr milliseconds lastMessagesWait(100);
constexpr milliseconds drainPoll(20);
constexpr size_t waitingPackets = 2000; // room in the sockets of a frozen instance
constexpr size_t seedsInSettings = 3;
constexpr std::array<std::string_view, 4> kindNames{ "read", "order", "brochure", "feed" };

} // namespace

World::World(const WorldSettings &settings)
    : settings(settings), queue(this->clock), random(settings.seed), store(this->queue, settings.platform), events(this->clock)
{
    this->store.ignoresConditions = settings.wiring.ignoreConditions;
}

World::~World() = default;

//--- Building

void World::addService(const std::string &service, uint16_t port, Preference preference, uint32_t queueLimit)
{
    TableDocument document;
    document.table.name = service;
    document.table.port = port;
    document.table.preference = preference;
    document.table.queueLimit = queueLimit;
    this->store.put(tableKey(service), writeTable(document), PutCondition{});
    this->serviceNames.push_back(service);
}

void World::addTarget(const std::string &service, const std::string &zone, TargetOptions options, uint32_t weight)
{
    options.service = service;
    options.listen = Endpoint{ targetNet + this->nextAddress++, targetPort };
    this->startTargetProcess(options, zone);
    const PlatformReply read = this->store.get(tableKey(service));
    TableDocument document = *parseTable(read.objects.at(0).value, read.version).document;
    TargetRow row;
    row.name = options.name;
    row.endpoint = options.listen;
    row.zoneName = zone;
    row.weight = weight;
    row.slots = options.slots;
    row.connections = options.connections;
    document.table.rows.push_back(row);
    this->store.put(tableKey(service), writeTable(document), PutCondition{});
}

void World::addInstance(const std::string &name, const std::string &zone)
{
    const Endpoint peer{ instanceNet + this->nextAddress++, peerPort };
    Instance &instance = this->startProcess(name, zone, peer, this->clock.wallMillis());
    if (!this->isStarted) {
        instance.inFabric = true;
    }
}

void World::addCallers(const std::string &service, CallerKind kind, size_t count, Duration think)
{
    for (size_t i = 0; i < count; ++i) {
        CallerSettings caller;
        caller.name = service + "-" + std::string(kindNames.at(static_cast<size_t>(kind))) + std::to_string(this->callers.size());
        caller.kind = kind;
        caller.service = service;
        caller.endpoint = Endpoint{ callerNet + static_cast<uint32_t>(this->callers.size()), 40000 };
        caller.think = think;
        this->callers.push_back(
            std::make_unique<WorldCaller>(caller, static_cast<CallerPort &>(*this), this->queue, this->clock, this->book, this->events, this->random()));
        this->callersByEndpoint[caller.endpoint] = this->callers.back().get();
        this->callers.back()->begin();
    }
}

void World::endCallers(const std::string &service, CallerKind kind)
{
    for (const auto &caller : this->callers) {
        if (caller->settings().service == service && caller->settings().kind == kind) {
            caller->end();
        }
    }
}

//--- Time

void World::run(Duration span)
{
    this->isStarted = true;
    this->queue.run(span);
}

bool World::runUntil(Duration most, const std::function<bool()> &condition)
{
    const TimePoint end = this->clock.now() + most;
    while (!condition()) {
        if (this->clock.now() >= end) {
            return false;
        }
        this->run(this->settings.tickInterval);
    }
    return true;
}

//--- Instances

Instance &World::startProcess(const std::string &name, const std::string &zone, const Endpoint &peer, Incarnation incarnation)
{
    this->instances.push_back(std::make_unique<Instance>());
    Instance &made = *this->instances.back();
    made.name = name;
    made.zone = zone;
    made.id = memberIdOf(name);
    made.peer = peer;
    made.targetSide = Endpoint{ peer.address, this->nextPort++ };
    MemberRecord self;
    self.id = made.id;
    self.zone = zoneIdOf(zone);
    self.peer = peer;
    self.incarnation = incarnation;
    made.node = std::make_unique<Node>(this->settings.node, self, std::vector<Bytes>{ Bytes(32, 7) }, this->clock, made.counters, this->random());
    made.platform = std::make_unique<WorldPlatformClient>(
        this->store, this->queue, [this, &made] { return this->isCut(made.zone, "platform"); },
        [this, &made](std::function<void()> work) { this->runIn(made, std::move(work)); });
    made.watcher =
        std::make_unique<ObjectWatcher>(*made.platform, this->clock, this->random(), std::string(tablePrefix), [this, &made](const ObjectReadResult &read) {
            for (const PlatformObject &object : read.objects) {
                Actions out;
                made.node->onTable(object.key.substr(tablePrefix.size()), object.version, object.value, out);
                this->perform(made, out);
            }
        });
    // a process's settings name a few instances
    size_t seeds = 0;
    for (const auto &[endpoint, other] : this->instancesByPeer) {
        if (other->name != name && seeds++ < seedsInSettings) {
            made.node->addSeed(other->id, zoneIdOf(other->zone), other->peer);
        }
    }
    this->instancesByPeer[peer] = &made;
    this->instancesByTarget[made.targetSide] = &made;
    this->store.updateInstance({ name, zone, toString(peer), "live" }, true, !this->isStarted);
    this->updateFabric(made, true);
    this->events.add("instances", "start " + name);
    this->scheduleTick(made, Duration(static_cast<Duration::rep>(this->random() % static_cast<uint64_t>(this->settings.tickInterval.count()))));
    this->tickPlatform(made);
    this->readInstances(made);
    return made;
}

void World::scheduleTick(Instance &instance, Duration delay)
{
    this->queue.add(delay, [this, &instance] {
        if (instance.state == ProcessState::Running) {
            this->tick(instance);
        }
    });
}

void World::tick(Instance &instance)
{
    Actions out;
    instance.node->tick(out);
    this->perform(instance, out);
    this->checkVersions(instance);
    if (instance.node->state() != NodeState::Drained) {
        this->scheduleTick(instance, this->settings.tickInterval);
        return;
    }
    Actions last;
    instance.node->endDrain(last);
    this->perform(instance, last);
    this->events.add("instances", "drained " + instance.name);
    this->queue.add(lastMessagesWait, [this, &instance] {
        if (instance.state != ProcessState::Ended) {
            instance.state = ProcessState::Ended;
            this->store.updateInstance({ instance.name, instance.zone, "", "" }, false, false);
        }
    });
}

void World::tickPlatform(Instance &instance)
{
    if (instance.state == ProcessState::Ended) {
        return;
    }
    if (instance.state == ProcessState::Running) {
        instance.watcher->tick(instance.node->tableSync().isWatcher());
    }
    this->queue.add(platformInterval, [this, &instance] { this->tickPlatform(instance); });
}

void World::readInstances(Instance &instance)
{
    if (instance.state == ProcessState::Ended) {
        return;
    }
    instance.platform->instances([&instance](const PlatformReply &reply) {
        for (const PlatformInstance &listed : reply.instances) {
            Endpoint peer;
            if (listed.state == "live" && listed.name != instance.name && parseEndpoint(listed.address, peer)) {
                instance.node->addSeed(memberIdOf(listed.name), zoneIdOf(listed.zone), peer);
            }
        }
    });
    this->queue.add(instancesInterval, [this, &instance] { this->readInstances(instance); });
}

void World::checkVersions(Instance &instance)
{
    const uint64_t changes = instance.node->tables().changes();
    if (changes == instance.seenTableChanges) {
        return;
    }
    instance.seenTableChanges = changes;
    for (const ServiceVersion &version : instance.node->tables().versions()) {
        TableVersion &seen = instance.inForce[version.service];
        if (version.version < seen) {
            ++this->book.versionFalls;
        }
        seen = version.version;
        this->events.add("tables", instance.name + " has version " + std::to_string(version.version) + " of " + std::to_string(version.service));
    }
}

void World::updateFabric(Instance &instance, bool inFabric)
{
    this->queue.add(this->settings.fabricLag, [&instance, inFabric] { instance.inFabric = inFabric && instance.state == ProcessState::Running; });
}

/** Runs work in a process: at once, when it wakes, or never. */
void World::runIn(Instance &instance, std::function<void()> work)
{
    if (instance.state == ProcessState::Running) {
        work();
    } else if (instance.state == ProcessState::Frozen && instance.waiting.size() < waitingPackets) {
        instance.waiting.push_back(std::move(work));
    }
}

void World::killInstance(const std::string &name)
{
    Instance &instance = *this->instance(name);
    instance.state = ProcessState::Ended;
    this->events.add("instances", "kill " + name);
    this->updateFabric(instance, false);
    this->store.updateInstance({ name, instance.zone, "", "" }, false, false);
}

void World::freezeInstance(const std::string &name)
{
    Instance &instance = *this->instance(name);
    instance.state = ProcessState::Frozen;
    this->events.add("instances", "freeze " + name);
    this->updateFabric(instance, false);
}

void World::wakeInstance(const std::string &name)
{
    Instance &instance = *this->instance(name);
    instance.state = ProcessState::Running;
    this->events.add("instances", "wake " + name);
    // what waited in its sockets comes before its timers: the harder order
    std::vector<std::function<void()>> waiting;
    std::swap(waiting, instance.waiting);
    for (const auto &work : waiting) {
        work();
    }
    this->scheduleTick(instance, Duration::zero());
    this->updateFabric(instance, true);
}

void World::stopInstance(const std::string &name)
{
    Instance &instance = *this->instance(name);
    this->events.add("instances", "stop " + name);
    this->updateFabric(instance, false);
    this->store.updateInstance({ name, instance.zone, toString(instance.peer), "leaving" }, true, false);
    Actions out;
    instance.node->beginDrain(out);
    this->perform(instance, out);
}

void World::startInstance(const std::string &name)
{
    const Instance &last = *this->instance(name);
    const std::string zone = last.zone;
    const Endpoint peer = last.peer;
    const Incarnation kept = last.node->directory().self().incarnation;
    this->startProcess(name, zone, peer, this->settings.wiring.keepIncarnation ? kept : this->clock.wallMillis());
}

Instance *World::instance(const std::string &name) const
{
    const auto found = std::find_if(this->instances.rbegin(), this->instances.rend(), [&](const auto &one) { return one->name == name; });
    return found == this->instances.rend() ? nullptr : found->get();
}

std::vector<Instance *> World::runningInstances() const
{
    std::vector<Instance *> running;
    for (const auto &one : this->instances) {
        if (one->state == ProcessState::Running) {
            running.push_back(one.get());
        }
    }
    return running;
}

//--- Targets

void World::startTargetProcess(const TargetOptions &options, const std::string &zone)
{
    this->targetProcesses.push_back(std::make_unique<Target>());
    Target &made = *this->targetProcesses.back();
    made.zone = zone;
    made.options = options;
    made.queue = &this->queue;
    made.onSend = [this, &made](const Endpoint &to, const Bytes &packet) { this->onTargetSend(made, to, packet); };
    made.onRun = [this, &made](const std::string &identity) {
        OrderEntry &order = this->book.orders[identity];
        ++order.executions;
        this->events.add(order.flow, "target " + made.options.name + " runs " + identity);
    };
    made.model = std::make_unique<TargetModel>(options, this->clock, made);
    made.model->begin();
    this->targetsByEndpoint[options.listen] = &made;
}

void World::killTarget(const std::string &name)
{
    this->target(name)->isRunning = false;
}

void World::startTarget(const std::string &name)
{
    const Target &last = *this->target(name);
    const TargetOptions options = last.model->tunables();
    const std::string zone = last.zone;
    this->startTargetProcess(options, zone);
}

void World::replaceTarget(const std::string &name, const std::string &service, const std::string &newName)
{
    Target &last = *this->target(name);
    last.isRunning = false;
    TargetOptions options = last.model->tunables();
    options.name = newName;
    options.service = service;
    this->startTargetProcess(options, last.zone);
}

void World::drainTarget(const std::string &name)
{
    Target &target = *this->target(name);
    if (this->settings.wiring.ignoreTargetDrains) {
        target.model->tunables().lie = HealthLie::AlwaysUp;
    }
    target.model->beginDrain();
    this->checkDrained(target);
}

void World::checkDrained(Target &target)
{
    if (target.model->isDrained()) {
        target.isRunning = false;
    } else {
        this->queue.add(drainPoll, [this, &target] { this->checkDrained(target); });
    }
}

Target *World::target(const std::string &name) const
{
    const auto found = std::find_if(this->targetProcesses.rbegin(), this->targetProcesses.rend(), [&](const auto &one) { return one->options.name == name; });
    return found == this->targetProcesses.rend() ? nullptr : found->get();
}

const std::vector<std::unique_ptr<Target>> &World::targets() const
{
    return this->targetProcesses;
}

//--- State

WorldPlatform &World::platform()
{
    return this->store;
}

const Ledger &World::ledger() const
{
    return this->book;
}

Trace &World::trace()
{
    return this->events;
}

const Clock &World::time() const
{
    return this->clock;
}

WorldSettings &World::rates()
{
    return this->settings;
}

} // namespace hornbeam::bench
