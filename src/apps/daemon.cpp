// Sections: start | packets in | packets out | timers | keys | stop

#include "daemon.h"

#include "metricspage.h"
#include "node/node.h"
#include "peerlink.h"
#include "platformloop.h"
#include "servicesockets.h"
#include "statelog.h"
#include "transport/metricsserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <random>
#include <thread>

namespace hornbeam {

namespace {

constexpr milliseconds tickInterval(20);
constexpr seconds logInterval(1);
constexpr milliseconds leaveNoticeDelay(100); // time to send the leave notice before the event loop stops

Endpoint peerEndpoint(const DaemonSettings &settings)
{
    return Endpoint{ settings.address, settings.peerPort };
}

MemberRecord makeSelfRecord(const DaemonSettings &settings, const Clock &clock)
{
    MemberRecord self;
    self.id = memberIdOf(settings.name);
    self.zone = zoneIdOf(settings.zone);
    self.peer = peerEndpoint(settings);
    self.incarnation = clock.wallMillis();
    return self;
}

} // namespace

class Daemon::Impl
{
public:
    Impl(const DaemonSettings &settings, const std::vector<Bytes> &keys)
        : settings(settings)
        , node(settings.parts, makeSelfRecord(settings, this->clock), keys, this->clock, this->counters, std::random_device()())
        , context(static_cast<int>(settings.workers))
        , services(this->context, settings.address, settings.workers,
                   [this](ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size) { this->onCallerPacket(service, caller, data, size); })
        , peers(
              this->context, peerEndpoint(settings), settings.workers, keys, this->counters,
              [this](const PeerMessage &message) { this->onPeerMessage(message); }, [this](MemberId member) { return this->node.endpointOf(member); })
        , metrics(this->context, Endpoint{ settings.address, settings.metricsPort })
        , signals(this->context, SIGTERM, SIGINT)
        , tickTimer(this->context)
        , exitTimer(this->context)
        , reloadSignal(this->context, SIGHUP)
        , stateLog(this->node, this->counters)
        , platform(this->settings, this->node, this->clock, this->counters, [this](const Actions &actions) { this->perform(actions); })
    {
    }

    int run()
    {
        if (!this->open()) {
            return 1;
        }
        for (const PeerSeed &seed : this->settings.seeds) {
            this->node.addSeed(memberIdOf(seed.name), zoneIdOf(seed.zone), seed.peer);
        }
        LOG(INFO) << "state=serving instance=" << this->settings.name << " zone=" << this->settings.zone << " peer=" << toString(peerEndpoint(this->settings))
                  << " workers=" << this->settings.workers;
        this->awaitSignal();
        this->awaitReload();
        this->tick();
        std::vector<std::thread> threads;
        for (size_t i = 1; i < this->settings.workers; ++i) {
            threads.emplace_back([this] { this->context.run(); });
        }
        threads.emplace_back([this] { this->platform.run(); });
        this->context.run();
        this->platform.stop();
        for (std::thread &thread : threads) {
            thread.join();
        }
        LOG(INFO) << "state=stopped instance=" << this->settings.name << " exit_code=" << this->exitCode;
        return this->exitCode;
    }

private:
    //--- Start

    bool open()
    {
        bool isBound = this->openTargetSockets(Endpoint{ this->settings.address, 0 });
        for (const std::string &error : { this->peers.error(), this->metrics.error() }) {
            if (!error.empty()) {
                LOG(ERROR) << error;
                isBound = false;
            }
        }
        if (!isBound) {
            return false;
        }
        for (const auto &socket : this->targetSockets) {
            socket->beginReceive([this](const Endpoint &from, const uint8_t *data, size_t size) { this->onTargetPacket(from, data, size); });
        }
        this->peers.beginReceive();
        this->metrics.addPage("/metrics", [this] { return metricsPage(this->node, this->counters, this->platform.isReachable()); });
        this->metrics.addPage("/state", [this] { return this->node.dump(); });
        this->metrics.beginAccept();
        return true;
    }

    /** Opens one socket per worker, all on the same address. If the port is 0, the first socket gets a free one and the others use the same. */
    bool openTargetSockets(Endpoint local)
    {
        for (size_t i = 0; i < this->settings.workers; ++i) {
            auto socket = std::make_unique<UdpSocket>(this->context, local, true);
            if (!socket->error().empty()) {
                LOG(ERROR) << socket->error();
                return false;
            }
            local.port = socket->local().port;
            this->targetSockets.push_back(std::move(socket));
        }
        return true;
    }

    //--- Packets in

    void onCallerPacket(ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size)
    {
        Actions out;
        this->node.onCallerPacket(service, caller, data, size, out);
        this->perform(out);
    }

    void onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size)
    {
        Actions out;
        this->node.onTargetPacket(target, data, size, out);
        this->perform(out);
    }

    void onPeerMessage(const PeerMessage &message)
    {
        Actions out;
        this->node.onPeerMessage(message, out);
        this->perform(out);
    }

    //--- Packets out

    void perform(const Actions &actions)
    {
        for (const OutgoingPacket &packet : actions.toCallers) {
            this->services.send(packet.service, packet.endpoint, packet.packet);
        }
        for (const OutgoingPacket &packet : actions.toTargets) {
            this->targetSockets.front()->send(packet.endpoint, packet.packet);
        }
        this->peers.send(actions);
    }

    //--- Timers

    void tick()
    {
        Actions out;
        this->node.tick(out);
        this->perform(out);
        this->updateServices();
        if (this->clock.now() >= this->nextStateLog) {
            this->nextStateLog = this->clock.now() + logInterval;
            this->stateLog.update(this->platform.isReachable());
        }
        if (this->node.state() == NodeState::Drained) {
            this->endDrain();
            return;
        }
        this->tickTimer.expires_after(tickInterval);
        this->tickTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                this->tick();
            }
        });
    }

    void updateServices()
    {
        const uint64_t changes = this->node.tables().changes();
        if (changes == this->appliedTableChanges) {
            return;
        }
        this->appliedTableChanges = changes;
        for (const std::string &failure : this->services.update(this->node.tables().all())) {
            LOG(ERROR) << failure;
        }
    }

    //--- Keys

    /** Reloads the key files on SIGHUP, so that keys can be rotated without a restart. */
    void awaitReload()
    {
        this->reloadSignal.async_wait([this](const boost::system::error_code &failure, int) {
            if (!failure) {
                this->reloadKeys();
                this->awaitReload();
            }
        });
    }

    void reloadKeys()
    {
        const LoadedKeys loaded = loadKeys(this->settings.keyFiles);
        for (const Fault &fault : loaded.faults) {
            LOG(ERROR) << "keys=kept fault=\"" << toString(fault) << "\"";
        }
        if (!loaded.faults.empty()) {
            return;
        }
        this->peers.updateKeys(loaded.keys);
        this->node.updateKeys(loaded.keys);
        LOG(INFO) << "keys=reloaded count=" << loaded.keys.size();
    }

    //--- Stop

    void awaitSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code &failure, int) {
            if (failure) {
                return;
            }
            if (this->node.state() != NodeState::Serving) {
                LOG(WARNING) << "state=killed reason=second_signal";
                this->exitCode = 1;
                this->context.stop();
                return;
            }
            LOG(INFO) << "state=draining limit_seconds=" << this->settings.drainSeconds;
            Actions out;
            this->node.beginDrain(out);
            this->perform(out);
            this->awaitSignal();
        });
    }

    void endDrain()
    {
        Actions out;
        this->node.endDrain(out);
        this->perform(out);
        this->exitTimer.expires_after(leaveNoticeDelay);
        this->exitTimer.async_wait([this](const boost::system::error_code &) { this->context.stop(); });
    }

    const DaemonSettings settings;
    SystemClock clock;
    Counters counters;
    Node node;

    // workers
    boost::asio::io_context context;
    std::vector<std::unique_ptr<UdpSocket>> targetSockets;
    ServiceSockets services;
    PeerLink peers;
    MetricsServer metrics;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer exitTimer;
    boost::asio::signal_set reloadSignal;
    StateLog stateLog; // only used by tick()
    TimePoint nextStateLog;
    uint64_t appliedTableChanges = ~0ULL; // only used by tick()
    std::atomic<int> exitCode{ 0 };
    PlatformLoop platform; // runs on its own thread
};

Daemon::Daemon(const DaemonSettings &settings, const std::vector<Bytes> &keys) : impl(std::make_unique<Impl>(settings, keys))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return this->impl->run();
}

} // namespace hornbeam
