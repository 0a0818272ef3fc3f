// Sections: set-up | the operators | steps | the run

#include "run.h"

#include "flowwire.h"
#include "oddentry.h"
#include "platform/blockingplatform.h"
#include "platform/flowobjects.h"
#include "platform/packetheader.h"
#include "platform/platformcodec.h"
#include "routeprobes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>

namespace hornbeam::soak {

namespace {
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

constexpr uint32_t callerNet = 3 << 8;
constexpr uint32_t storeNet = 4 << 8;
constexpr uint32_t targetNet = 8 << 8;
constexpr milliseconds tickInterval(5);
constexpr seconds startPatience(15);
constexpr size_t leastTargets = 3;         // of a service that stay in use
constexpr milliseconds entryLapse(2500);   // after a crash, until the store removes the entry
constexpr milliseconds addressReuse(2000); // after a crash, until another service's target has the address
constexpr milliseconds shortAbsence(1000); // of an entry after the store's return
constexpr milliseconds longAbsence(6000);  // of an entry whose writes are lost
constexpr milliseconds storeDelay(300);
constexpr milliseconds rollGap(700);
constexpr milliseconds stormGap(330);
constexpr int stormChanges = 5;
constexpr milliseconds probeInterval(200); // of each probed route at each instance
constexpr uint16_t firstProbePort = 1024;
constexpr uint16_t lastProbePort = 19999; // callers' ports are above
constexpr uint32_t refusedShare = 3;      // one in so many instances
constexpr milliseconds leaveAfter(8000);  // a drained target stays for the drain bound and, at times, for seconds more

struct RouteLife
{
    Route route;
    TimePoint acknowledged; // by the store
    TimePoint dropped;      // the same; TimePoint{} while it is in force
};

class Run
{
public:
    explicit Run(const RunSettings &settings)
        : settings(settings)
        , network(0x7F000000U + ((10U + static_cast<uint32_t>(::getpid()) % 240U) << 16U))
        , store{ this->network + storeNet + 1, storePort }
        , storeProcess(std::vector<std::string>{ settings.binaries + "/standins-platform", "--listen", toString(this->store) }, settings.dir / "store.log")
        , operators(this->store, seconds(3))
        , probes(this->clock, this->findings, this->probeHooks())
        , targets(this->context, this->clock, this->findings, this->targetHooks())
        , callers(this->clock, this->findings, this->targets, this->callerHooks(), settings.seed)
        , timer(this->context)
        , signals(this->context, SIGINT, SIGTERM)
        , random(settings.seed)
    {
    }

    RunResult play()
    {
        this->setUp();
        this->findings.start = this->clock.now();
        this->signals.async_wait([this](const error_code &error, int) {
            if (!error) {
                this->findings.add(this->clock.now(), "the soak was interrupted");
                this->context.stop(); // its processes are ended below
            }
        });
        this->tick();
        this->context.run();
        this->instances->stopAll();
        return { this->findings.lines, this->callers.answered, this->callers.failed, this->callers.resets, this->targets.opened };
    }

private:
    //--- Set-up

    void setUp()
    {
        this->targets.network = this->network + targetNet;
        this->awaitStore();
        for (const char *zone : { "zone-1", "zone-2" }) {
            for (const char *service : { "booking", "booking", "booking", "catalogue", "catalogue" }) {
                this->list(this->targets.add(service, zone, {}));
            }
        }
        for (size_t i = 0; i < probedServices; ++i) {
            this->list(this->targets.add(probedServiceName(i), i % 2 == 0 ? "zone-1" : "zone-2", {}));
        }
        this->addRoute("feed", RequestKind::Idempotent, "booking");
        this->addRoute("order", RequestKind::NonIdempotent, "booking");
        this->addRoute("documents", RequestKind::Idempotent, "catalogue");
        this->writeConfiguration();
        for (uint32_t i = 1; i <= 4; ++i) {
            const uint32_t address = this->network + callerNet + i;
            this->callers.addresses.push_back(address);
            this->callerSockets.push_back(std::make_unique<CallerSocket>(this->context, address));
            this->receiveReset(*this->callerSockets.back());
        }
        const Instances::Places places{ this->network, this->settings.binaries + "/hornbeamd", this->settings.dir, this->store };
        this->instances = std::make_unique<Instances>(this->context, this->clock, this->findings, places, this->settings.instances);
        const TimePoint begun = this->clock.now();
        while (!this->instances->areReady() && this->clock.now() - begun < startPatience) {
            this->context.run_for(milliseconds(10)); // the proxies carry the first reads
            this->context.restart();
        }
        if (!this->instances->areReady()) {
            this->findings.start = begun;
            this->findings.add(this->clock.now(), "not all instances became ready");
        }
    }

    void awaitStore()
    {
        const TimePoint begun = this->clock.now();
        while (!this->operators.list(std::string(targetPrefix)).isOk() && this->clock.now() - begun < startPatience) {
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    TargetHooks targetHooks()
    {
        TargetHooks hooks;
        hooks.isCut = [this](uint32_t address, const SoakTarget &) { return this->instances->find(address)->isCut; };
        hooks.isInTouch = [this](uint32_t address, TimePoint now) { return this->isInTouch(address, now); };
        hooks.findRoute = [this](const Endpoint &address) { return this->findRoute(address); };
        hooks.isDroppedForLong = [this](const Endpoint &address, TimePoint now) {
            const RouteLife *life = this->findLife(address);
            return life != nullptr && life->dropped != TimePoint{} && now - life->dropped > changeBound;
        };
        hooks.answer = [this](const Answer &answer) { this->callers.onAnswer(answer); };
        hooks.takeProbe = [this](const FlowKey &flow, const SoakTarget &target, uint32_t instance) {
            const bool isProbe = this->probes.isProbed(flow.service);
            if (isProbe) {
                this->probes.onOpening(flow.service, target.record.service, instance);
            }
            return isProbe;
        };
        return hooks;
    }

    RouteProbes::Hooks probeHooks()
    {
        RouteProbes::Hooks hooks;
        hooks.isInTouch = [this](uint32_t address, TimePoint now) { return this->isInTouch(address, now); };
        hooks.processOf = [this](uint32_t address) { return this->instances->find(address)->starts; };
        return hooks;
    }

    CallerHooks callerHooks()
    {
        CallerHooks hooks;
        hooks.send = [this](const FlowKey &flow, const Bytes &packet) { this->sendThroughRouter(flow, packet); };
        hooks.isCalm = [this](TimePoint since, TimePoint) { return this->world.isCalm(since); };
        hooks.isInTouch = [this](uint32_t address, TimePoint now) { return this->isInTouch(address, now); };
        hooks.pick = [this](RequestKind kind, std::minstd_rand &random) { return this->pickRoute(kind, random); };
        hooks.isDropped = [this](const Endpoint &address) { return this->findLife(address)->dropped != TimePoint{}; };
        return hooks;
    }

    bool isInTouch(uint32_t address, TimePoint now)
    {
        return this->instances->find(address)->disturbance.isCalm(now) && this->storeLife.isCalm(now);
    }

    struct CallerSocket
    {
        CallerSocket(boost::asio::io_context &context, uint32_t address)
            : address(address), socket(context, udp::endpoint(boost::asio::ip::address_v4(address), packetPort))
        {
        }
        const uint32_t address;
        udp::socket socket; // resets of instances arrive at it
        udp::endpoint sender;
        std::array<uint8_t, 2048> buffer{};
    };

    void receiveReset(CallerSocket &caller)
    {
        caller.socket.async_receive_from(boost::asio::buffer(caller.buffer), caller.sender, [this, &caller](const error_code &error, size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            const std::optional<FlowPacket> packet = error ? std::nullopt : parsePacket(caller.buffer.data(), size);
            if (packet.has_value() && packet->isReset) {
                const FlowKey flow{ packet->flow.service, packet->flow.caller }; // it goes the other way
                if (this->probes.isProbed(flow.service)) {
                    this->probes.onReset(flow.service, caller.sender.address().to_v4().to_uint());
                }
                this->callers.onReset(flow, packet->sequence, caller.sender.address().to_v4().to_uint());
            } else if (!error) {
                this->findings.add(this->clock.now(), "a caller got a packet of an instance that is no reset");
            }
            this->receiveReset(caller);
        });
    }

    void sendThroughRouter(const FlowKey &flow, const Bytes &packet)
    {
        const Instance &instance = this->instances->route(flow);
        for (const auto &caller : this->callerSockets) {
            if (caller->address == flow.caller.address) {
                error_code ignored; // a lost datagram is repeated
                caller->socket.send_to(boost::asio::buffer(packet), udp::endpoint(boost::asio::ip::address_v4(instance.address), packetPort), 0, ignored);
            }
        }
    }

    // Opens a flow of each probed route at each instance that routers use.
    void sendProbes()
    {
        const TimePoint now = this->clock.now();
        if (now < this->nextProbes) {
            return;
        }
        this->nextProbes = now + probeInterval;
        CallerSocket &caller = *this->callerSockets.front();
        for (const auto &instance : this->instances->all) {
            for (const Endpoint &route : this->probes.addresses()) {
                this->probePort = this->probePort < lastProbePort ? this->probePort + 1 : firstProbePort;
                FlowPacket packet;
                packet.flow = { { caller.address, this->probePort }, route };
                packet.sequence = static_cast<uint32_t>(++this->probeCount);
                packet.isOpening = true;
                error_code ignored; // a lost probe is one less
                if (instance->isReady) {
                    caller.socket.send_to(boost::asio::buffer(standins::writeCallerPacket(packet, {})),
                                          udp::endpoint(boost::asio::ip::address_v4(instance->address), packetPort), 0, ignored);
                }
            }
        }
    }

    //--- The operators

    // writes wait while the store stands still, since they block
    void write(std::function<void()> change)
    {
        this->writes.push_back(std::move(change));
        while (!this->isStorePaused && !this->writes.empty()) {
            const std::function<void()> next = std::move(this->writes.front());
            this->writes.pop_front();
            next();
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        const PlatformReply reply = this->operators.put(key, value, {});
        if (!reply.isOk()) {
            this->findings.add(this->clock.now(), "the store's stand-in did not take " + key + ": " + reply.problem);
        }
    }

    void remove(const std::string &key)
    {
        this->call(boost::beast::http::verb::delete_, objectPath(key), "");
    }

    void call(boost::beast::http::verb verb, const std::string &path, const std::string &body)
    {
        namespace http = boost::beast::http;
        boost::asio::io_context own;
        boost::beast::tcp_stream stream(own);
        stream.connect(tcp::endpoint(boost::asio::ip::address_v4(this->store.address), this->store.port));
        http::request<http::string_body> request(verb, path, 11, body);
        request.prepare_payload();
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(stream, buffer, response);
    }

    // leaves an entry of another writer in the store for a while
    void leaveOddEntry(const Step &step)
    {
        const std::string key = std::string(targetPrefix) + "0dd" + std::to_string(this->oddEntries++);
        this->write([this, key, text = standins::oddEntry(step.subject)] { this->call(boost::beast::http::verb::put, "/raw/" + key, text); });
        this->later(step.lasts, [this, key] { this->write([this, key] { this->remove(key); }); });
    }

    void list(SoakTarget &target)
    {
        target.isListed = true;
        this->write([this, &target] { this->put(std::string(targetPrefix) + target.record.name, standins::writeTarget(target.record)); });
    }

    void unlist(SoakTarget &target, bool isGone)
    {
        target.isListed = false;
        this->write([this, &target, isGone] {
            this->remove(std::string(targetPrefix) + target.record.name);
            if (isGone && target.refusesSince == TimePoint{}) {
                target.refusesSince = this->clock.now();
            }
        });
    }

    const RouteLife *findLife(const Endpoint &address) const
    {
        for (const RouteLife &life : this->routes) {
            if (life.route.address == address) {
                return &life;
            }
        }
        return nullptr;
    }

    const Route *findRoute(const Endpoint &address) const
    {
        const RouteLife *life = this->findLife(address);
        return life == nullptr ? nullptr : &life->route;
    }

    const Route *pickRoute(RequestKind kind, std::minstd_rand &choice) const
    {
        std::vector<const Route *> fit;
        for (const RouteLife &life : this->routes) {
            const bool isInForce = life.acknowledged != TimePoint{} && this->clock.now() - life.acknowledged > changeBound;
            const bool isFirst = life.route.address.port <= 3; // those of the first configuration are in force from the start
            if (life.route.kind == kind && life.dropped == TimePoint{} && (isInForce || isFirst)) {
                fit.push_back(&life.route);
            }
        }
        return fit.empty() ? nullptr : fit[choice() % fit.size()];
    }

    void addRoute(const std::string &name, RequestKind kind, const std::string &service)
    {
        RouteLife life;
        constexpr uint32_t routeAddress = 0xC6120001; // 198.18.0.1, kept for tests of networks
        life.route = { name, { routeAddress, static_cast<uint16_t>(this->routes.size() + 1) }, kind, milliseconds(200), seconds(2), { { service, 1 } } };
        this->routes.push_back(std::move(life));
    }

    void writeConfiguration()
    {
        this->write([this] {
            RouteConfiguration configuration;
            this->version += 1 + this->random() % 5;
            configuration.version = this->version;
            configuration.idleTimeout = seconds(15);
            for (const RouteLife &life : this->routes) {
                if (life.dropped == TimePoint{} && !this->isDropping(life)) {
                    configuration.routes.push_back(life.route);
                }
            }
            for (Route &route : this->probes.routesFor(this->version)) {
                configuration.routes.push_back(std::move(route));
            }
            this->put(std::string(configurationKey), standins::writeConfiguration(configuration));
            this->probes.onAcknowledged();
            const TimePoint now = this->clock.now();
            for (RouteLife &life : this->routes) {
                if (this->isDropping(life) && life.dropped == TimePoint{}) {
                    life.dropped = now;
                } else if (life.acknowledged == TimePoint{}) {
                    life.acknowledged = now;
                }
            }
        });
    }

    bool isDropping(const RouteLife &life) const
    {
        return this->dropping.contains(life.route.name);
    }

    //--- Steps

    void later(Duration delay, std::function<void()> action)
    {
        this->due.emplace(this->clock.now() + delay, std::move(action));
    }

    void disturb(Disturbance &part, Duration lasts)
    {
        part.begin(this->clock.now());
        this->later(lasts, [this, &part] { part.end(this->clock.now()); });
    }

    void begin(const Step &step)
    {
        if (!isPlanned(step.kind)) {
            this->disturb(this->world, step.lasts);
        }
        std::vector<std::unique_ptr<Instance>> &all = this->instances->all;
        Instance &instance = *all[step.subject % all.size()];
        switch (step.kind) {
        case StepKind::RestartInstance:
            this->instances->stop(instance);
            break;
        case StepKind::RollInstances:
            for (size_t i = 0; i < all.size(); ++i) {
                this->later(i * rollGap, [this, &rolled = *all[i]] { this->instances->stop(rolled); });
            }
            break;
        case StepKind::ReloadSettings:
            this->instances->writeSettings(instance);
            if (step.subject % 2 == 0 && instance.process != nullptr && instance.isReady) { // a process that starts has no handler yet
                instance.process->signal(SIGHUP);
            }
            break;
        case StepKind::AddRoute:
            this->addRoute("extra-" + std::to_string(this->routes.size()), step.subject % 2 == 0 ? RequestKind::Idempotent : RequestKind::NonIdempotent,
                           "booking");
            this->writeConfiguration();
            break;
        case StepKind::DropRoute:
            this->dropRoute(step.subject);
            break;
        case StepKind::ChangeStorm:
            for (int i = 0; i < stormChanges; ++i) {
                this->later(i * stormGap, [this] { this->writeConfiguration(); });
            }
            break;
        case StepKind::OddEntry:
            this->leaveOddEntry(step);
            break;
        case StepKind::MoveRoute:
            this->moveRoute(step.subject);
            break;
        case StepKind::ReplaceTarget:
        case StepKind::CrashTarget:
        case StepKind::FreezeTarget:
        case StepKind::LapseEntry:
        case StepKind::LoseWrites:
            this->beginTargetStep(step);
            break;
        case StepKind::KillInstance:
            this->killInstance(instance);
            break;
        case StepKind::KillHalf:
            for (size_t i = 0; i < all.size(); i += 2) {
                this->killInstance(*all[i]);
            }
            break;
        case StepKind::PauseInstance:
            this->pauseInstance(instance, step.lasts);
            break;
        case StepKind::CutLink:
            this->disturb(instance.disturbance, step.lasts);
            instance.isCut = true;
            this->later(step.lasts, [&instance] { instance.isCut = false; });
            break;
        default:
            this->beginStoreStep(step, instance);
            break;
        }
    }

    void moveRoute(uint32_t subject)
    {
        this->probes.move(subject);
        this->writeConfiguration();
    }

    void dropRoute(uint32_t subject)
    {
        std::vector<RouteLife *> extra;
        for (RouteLife &life : this->routes) {
            if (life.route.name.starts_with("extra") && life.dropped == TimePoint{}) {
                extra.push_back(&life);
            }
        }
        if (!extra.empty()) {
            this->dropping.insert(extra[subject % extra.size()]->route.name);
            this->writeConfiguration();
        }
    }

    void killInstance(Instance &instance)
    {
        this->disturb(instance.disturbance, seconds(1)); // until the next process reads the store
        this->instances->kill(instance);
    }

    void pauseInstance(Instance &instance, Duration lasts)
    {
        if (instance.process == nullptr || instance.stoppedAt != TimePoint{} || instance.isKilled) {
            return;
        }
        this->disturb(instance.disturbance, lasts);
        instance.process->signal(SIGSTOP);
        this->later(lasts, [&instance, paused = instance.process.get()] {
            if (instance.process.get() == paused) {
                paused->signal(SIGCONT);
            }
        });
    }

    void beginStoreStep(const Step &step, Instance &instance)
    {
        if (step.kind == StepKind::SilenceStore || step.kind == StepKind::ResetStore) {
            this->disturb(instance.disturbance, step.lasts);
            this->setProxies({ &instance }, step.kind == StepKind::SilenceStore ? ProxyMode::Silent : ProxyMode::Reset, step.lasts);
            return;
        }
        if (step.kind == StepKind::RefuseStore) {
            this->refuseStore(step);
            return;
        }
        this->disturb(this->storeLife, step.lasts);
        if (step.kind == StepKind::PauseStore) {
            this->storeProcess.signal(SIGSTOP);
            this->isStorePaused = true;
            this->later(step.lasts, [this] {
                this->storeProcess.signal(SIGCONT);
                this->isStorePaused = false;
                this->write([] {});
            });
            return;
        }
        this->setProxies(this->allInstances(), step.kind == StepKind::DelayStore ? ProxyMode::Delay : ProxyMode::Silent, step.lasts);
    }

    // The configuration changes as the store serves them again.
    void refuseStore(const Step &step)
    {
        std::vector<Instance *> refused;
        for (size_t i = step.subject % refusedShare; i < this->instances->all.size(); i += refusedShare) {
            refused.push_back(this->instances->all[i].get());
            this->disturb(refused.back()->disturbance, step.lasts);
        }
        this->setProxies(refused, step.subject / refusedShare % 2 == 0 ? ProxyMode::Busy : ProxyMode::Many, step.lasts);
        this->later(step.lasts, [this, subject = step.subject] { this->moveRoute(subject); });
    }

    std::vector<Instance *> allInstances()
    {
        std::vector<Instance *> all;
        for (const auto &instance : this->instances->all) {
            all.push_back(instance.get());
        }
        return all;
    }

    void setProxies(const std::vector<Instance *> &which, ProxyMode mode, Duration lasts)
    {
        for (Instance *instance : which) {
            instance->proxy->setMode(mode, storeDelay);
            this->later(lasts, [instance] { instance->proxy->setMode(ProxyMode::Pass); });
        }
    }

    void beginTargetStep(const Step &step)
    {
        const char *service = step.subject % 3 == 0 ? "catalogue" : "booking";
        std::vector<SoakTarget *> usable;
        for (SoakTarget *target : this->targets.living(service)) {
            if (target->isListed && !target->isFrozen && !target->record.isDraining) {
                usable.push_back(target);
            }
        }
        if (usable.size() <= leastTargets) {
            return;
        }
        SoakTarget &target = *usable[step.subject % usable.size()];
        const std::string zone = target.record.zone == 1 ? "zone-1" : "zone-2";
        if (step.kind == StepKind::ReplaceTarget) {
            this->replaceTarget(target, zone);
            return;
        }
        if (step.kind == StepKind::FreezeTarget) {
            this->disturb(target.disturbance, step.lasts);
            target.isFrozen = true;
            this->later(step.lasts, [&target] { target.isFrozen = false; });
            return;
        }
        if (step.kind == StepKind::LapseEntry) {
            this->disturb(this->storeLife, step.lasts);
            this->setProxies(this->allInstances(), ProxyMode::Reset, step.lasts);
            this->unlist(target, false);
            this->later(step.lasts + shortAbsence, [this, &target] { this->list(target); });
            return;
        }
        if (step.kind == StepKind::LoseWrites) {
            this->unlist(target, false);
            this->later(longAbsence, [this, &target] { this->list(target); });
            return;
        }
        this->crashTarget(target, zone);
    }

    void replaceTarget(SoakTarget &target, const std::string &zone)
    {
        this->list(this->targets.add(target.record.service, zone, {}));
        target.record.isDraining = true;
        this->write([this, &target] {
            this->put(std::string(targetPrefix) + target.record.name, standins::writeTarget(target.record));
            target.refusesSince = this->clock.now();
            this->later(leaveAfter, [this, &target] {
                this->unlist(target, true);
                this->targets.end(target);
            });
        });
    }

    void crashTarget(SoakTarget &target, const std::string &zone)
    {
        this->disturb(target.disturbance, entryLapse);
        this->disturb(this->world, entryLapse);
        this->targets.end(target);
        this->later(entryLapse, [this, &target] { this->unlist(target, true); });
        this->later(addressReuse, [this, &target] {
            const char *other = target.record.service == "booking" ? "catalogue" : "booking";
            this->list(this->targets.add(other, "zone-1", target.record.address));
        });
        this->later(entryLapse, [this, service = target.record.service, zone] { this->list(this->targets.add(service, zone, {})); });
    }

    //--- The run

    void tick()
    {
        const TimePoint now = this->clock.now();
        const Duration elapsed = now - this->findings.start;
        while (this->nextStep < this->settings.plan.size() && elapsed >= this->settings.plan[this->nextStep].at) {
            this->begin(this->settings.plan[this->nextStep++]);
        }
        while (!this->due.empty() && this->due.begin()->first <= now) {
            const std::function<void()> action = std::move(this->due.begin()->second);
            this->due.erase(this->due.begin());
            action();
        }
        this->instances->tick();
        this->targets.tick();
        this->callers.tick(elapsed < this->settings.length);
        if (elapsed < this->settings.length) {
            this->sendProbes();
        }
        constexpr seconds ending(4); // for the requests that are under way
        if (elapsed >= this->settings.length + ending) {
            this->context.stop();
            return;
        }
        this->timer.expires_after(tickInterval);
        this->timer.async_wait([this](const error_code &error) {
            if (!error) {
                this->tick();
            }
        });
    }

    const RunSettings &settings;
    const uint32_t network;
    const Endpoint store;
    SystemClock clock;
    boost::asio::io_context context{ 1 };
    Findings findings;
    Process storeProcess;
    BlockingPlatform operators;
    std::unique_ptr<Instances> instances;
    RouteProbes probes;
    Targets targets;
    Callers callers;
    std::vector<std::unique_ptr<CallerSocket>> callerSockets;
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;
    std::minstd_rand random;
    std::deque<RouteLife> routes; // also dropped ones
    std::set<std::string> dropping;
    uint64_t version = 0;
    uint64_t probeCount = 0;
    uint16_t probePort = firstProbePort;
    TimePoint nextProbes;
    std::deque<std::function<void()>> writes;
    std::multimap<TimePoint, std::function<void()>> due;
    size_t nextStep = 0;
    uint32_t oddEntries = 0; // left so far
    Disturbance world;       // any fault
    Disturbance storeLife;
    bool isStorePaused = false;
};

} // namespace

RunResult playRun(const RunSettings &settings)
{
    return Run(settings).play();
}

} // namespace hornbeam::soak
