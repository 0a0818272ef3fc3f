// Sections: set-up | packets | the run

#include "run.h"

#include "flowwire.h"
#include "platform/packetheader.h"
#include "steps.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

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
constexpr milliseconds probeInterval(200); // of each probed route at each instance

class Run
{
public:
    explicit Run(const RunSettings &settings)
        : settings(settings)
        , network(0x7F000000U + ((10U + static_cast<uint32_t>(::getpid()) % 240U) << 16U))
        , store{ this->network + storeNet + 1, storePort }
        , storeProcess(std::vector<std::string>{ settings.binaries + "/standins-platform", "--listen", toString(this->store) }, settings.dir / "store.log")
        , probes(this->clock, this->findings, this->probeHooks())
        , operators(this->clock, this->findings, this->probes, this->store, settings.seed)
        , targets(this->context, this->clock, this->findings, this->targetHooks())
        , callers(this->clock, this->findings, this->targets, this->callerHooks(), settings.seed)
        , timers(this->clock)
        , tickTimer(this->context)
        , signals(this->context, SIGINT, SIGTERM)
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
        return { this->findings.lines, this->callers.answered, this->callers.failed, this->callers.resets, this->targets.opened, this->targets.coldOpenings };
    }

private:
    //--- Set-up

    void setUp()
    {
        this->targets.network = this->network + targetNet;
        this->operators.awaitStore(startPatience);
        for (const char *zone : { "zone-1", "zone-2" }) {
            for (const char *service : { "booking", "booking", "booking", "catalogue", "catalogue" }) {
                this->operators.list(this->targets.add(service, zone, {}));
            }
        }
        for (size_t i = 0; i < probedServices; ++i) {
            for (const char *zone : { "zone-1", "zone-2" }) { // one may be evacuated
                this->operators.list(this->targets.add(probedServiceName(i), zone, {}));
            }
        }
        this->operators.addRoute("feed", RequestKind::Idempotent, "booking");
        this->operators.addRoute("order", RequestKind::NonIdempotent, "booking");
        this->operators.addRoute("documents", RequestKind::Idempotent, "catalogue");
        this->operators.writeConfiguration();
        for (uint32_t i = 1; i <= 4; ++i) {
            const uint32_t address = this->network + callerNet + i;
            this->callers.addresses.push_back(address);
            this->callerSockets.push_back(std::make_unique<CallerSocket>(this->context, address));
            this->receiveReset(*this->callerSockets.back());
        }
        const Instances::Places places{ this->network, this->settings.binaries + "/hornbeamd", this->settings.dir, this->store };
        this->instances = std::make_unique<Instances>(this->context, this->clock, this->findings, places, this->settings.instances);
        const RunParts parts{ this->clock,   this->findings, this->timers,    this->storeProcess, *this->instances,
                              this->targets, this->probes,   this->operators, this->disturbed };
        this->steps = std::make_unique<Steps>(parts);
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

    TargetHooks targetHooks()
    {
        TargetHooks hooks;
        hooks.isCut = [this](uint32_t address, const SoakTarget &) { return this->instances->find(address)->isCut; };
        hooks.isInTouch = [this](uint32_t address, TimePoint now) { return this->isInTouch(address, now); };
        hooks.findRoute = [this](const Endpoint &address) { return this->operators.findRoute(address); };
        hooks.isDroppedForLong = [this](const Endpoint &address, TimePoint now) { return this->operators.isDroppedForLong(address, now); };
        hooks.isEvacuatedForLong = [this](const std::string &zone, TimePoint now) { return this->operators.isEvacuatedForLong(zone, now); };
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
        hooks.isCalm = [this](TimePoint since, TimePoint) { return this->disturbed.any.isCalm(since); };
        hooks.isInTouch = [this](uint32_t address, TimePoint now) { return this->isInTouch(address, now); };
        hooks.pick = [this](RequestKind kind, std::minstd_rand &random) { return this->operators.pickRoute(kind, random); };
        hooks.isDropped = [this](const Endpoint &address) { return this->operators.isDropped(address); };
        return hooks;
    }

    bool isInTouch(uint32_t address, TimePoint now)
    {
        return this->instances->find(address)->disturbance.isCalm(now) && this->disturbed.store.isCalm(now);
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
            if (!instance->isReady) {
                continue;
            }
            for (const FlowPacket &packet : this->probes.nextPackets(caller.address)) {
                error_code ignored; // a lost probe is one less
                caller.socket.send_to(boost::asio::buffer(standins::writeCallerPacket(packet, {})),
                                      udp::endpoint(boost::asio::ip::address_v4(instance->address), packetPort), 0, ignored);
            }
        }
    }

    //--- The run

    void tick()
    {
        const TimePoint now = this->clock.now();
        const Duration elapsed = now - this->findings.start;
        while (this->nextStep < this->settings.plan.size() && elapsed >= this->settings.plan[this->nextStep].at) {
            this->steps->begin(this->settings.plan[this->nextStep++]);
        }
        this->timers.tick();
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
        this->tickTimer.expires_after(tickInterval);
        this->tickTimer.async_wait([this](const error_code &error) {
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
    std::unique_ptr<Instances> instances;
    RouteProbes probes;
    Operators operators;
    Targets targets;
    Callers callers;
    std::vector<std::unique_ptr<CallerSocket>> callerSockets;
    Timers timers;
    WorldDisturbance disturbed;
    std::unique_ptr<Steps> steps;
    boost::asio::steady_timer tickTimer;
    boost::asio::signal_set signals;
    TimePoint nextProbes;
    size_t nextStep = 0;
};

} // namespace

RunResult playRun(const RunSettings &settings)
{
    return Run(settings).play();
}

} // namespace hornbeam::soak
