#include "daemon.h"

#include "node/node.h"
#include "peer/codec.h"
#include "peer/seal.h"
#include "platform/platformclient.h"
#include "platform/statusreporter.h"
#include "platform/tablewatcher.h"
#include "servicesockets.h"
#include "transport/metricsserver.h"
#include "transport/streams.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <random>
#include <thread>

namespace hornbeam {

namespace {

constexpr milliseconds tickInterval(20);
constexpr milliseconds platformInterval(200);
constexpr seconds instancesInterval(5);
constexpr milliseconds lastMessagesWait(100); // for the notice that this instance has left

Endpoint peerEndpoint(const DaemonSettings &settings)
{
    return Endpoint{ settings.address, settings.peerPort };
}

MemberRecord selfRecord(const DaemonSettings &settings, const Clock &clock)
{
    MemberRecord self;
    self.id = memberIdOf(settings.name);
    self.zone = zoneIdOf(settings.zone);
    self.peer = peerEndpoint(settings);
    self.incarnation = clock.wallMillis();
    return self;
}

NodeSettings nodeSettings(const DaemonSettings &settings)
{
    NodeSettings node;
    node.drainLimit = seconds(settings.drainSeconds);
    return node;
}

bool isRelay(const PeerMessage &message)
{
    return std::holds_alternative<Relay>(message);
}

} // namespace

class Daemon::Impl
{
public:
    Impl(const DaemonSettings &settings, const std::vector<Bytes> &keys)
        : settings(settings)
        , sealer(keys)
        , node(nodeSettings(settings), selfRecord(settings, this->clock), keys, this->clock, this->counters, std::random_device()())
        , context(static_cast<int>(settings.workers))
        , services(this->context, settings.address, settings.workers,
                   [this](ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size) { this->onCallerPacket(service, caller, data, size); })
        , streamServer(this->context, peerEndpoint(settings), StreamServerSettings{}, this->sealer, this->counters,
                       [this](const PeerMessage &message) {
                           this->counters.add(Counter::StreamMessages);
                           this->onPeerMessage(message);
                       })
        , streamClient(this->context, StreamClientSettings{}, this->sealer, this->counters)
        , metrics(this->context, Endpoint{ settings.address, settings.metricsPort })
        , signals(this->context, SIGTERM, SIGINT)
        , tickTimer(this->context)
        , exitTimer(this->context)
        , platform(this->platformContext, this->counters, PlatformSettings{ settings.platform })
        , tableWatcher(this->platform, this->clock, std::random_device()(), [this](const std::vector<PlatformObject> &objects) { this->onTables(objects); })
        , statusReporter(this->platform, this->clock)
        , platformTimer(this->platformContext)
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
        this->tick();
        this->tickPlatform();
        std::vector<std::thread> threads;
        for (size_t i = 1; i < this->settings.workers; ++i) {
            threads.emplace_back([this] { this->context.run(); });
        }
        threads.emplace_back([this] { this->platformContext.run(); });
        this->context.run();
        this->platformContext.stop();
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
        bool good = this->openSockets(this->peerSockets, peerEndpoint(this->settings));
        good = good && this->openSockets(this->targetSockets, Endpoint{ this->settings.address, 0 });
        for (const std::string &error : { this->streamServer.error(), this->metrics.error() }) {
            if (!error.empty()) {
                LOG(ERROR) << error;
                good = false;
            }
        }
        if (!good) {
            return false;
        }
        for (const auto &socket : this->peerSockets) {
            socket->beginReceive([this](const Endpoint &, const uint8_t *data, size_t size) { this->onPeerDatagram(data, size); });
        }
        for (const auto &socket : this->targetSockets) {
            socket->beginReceive([this](const Endpoint &from, const uint8_t *data, size_t size) { this->onTargetPacket(from, data, size); });
        }
        this->streamServer.beginAccept();
        this->metrics.addPage("/metrics", [this] { return this->metricsText(); });
        this->metrics.addPage("/state", [this] { return this->node.dump(); });
        this->metrics.beginAccept();
        return true;
    }

    /** Opens a socket for each worker on one address; the first one finds the port when it is 0. */
    bool openSockets(std::vector<std::unique_ptr<UdpSocket>> &sockets, Endpoint local)
    {
        for (size_t i = 0; i < this->settings.workers; ++i) {
            auto socket = std::make_unique<UdpSocket>(this->context, local, true);
            if (!socket->error().empty()) {
                LOG(ERROR) << socket->error();
                return false;
            }
            local.port = socket->local().port;
            sockets.push_back(std::move(socket));
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

    void onPeerDatagram(const uint8_t *data, size_t size)
    {
        this->counters.add(Counter::PacketsFromPeers);
        const auto body = this->sealer.open(data, size);
        const auto message = body ? decodeMessage(*body) : std::nullopt;
        if (!message) {
            this->counters.add(Counter::PeerPacketsRejected);
            return;
        }
        this->onPeerMessage(*message);
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
        for (const PacketOut &packet : actions.toCallers) {
            this->services.send(packet.service, packet.endpoint, packet.packet);
        }
        for (const PacketOut &packet : actions.toTargets) {
            this->targetSockets.front()->send(packet.endpoint, packet.packet);
        }
        for (const MessageOut &message : actions.toPeers) {
            this->sendDatagram(message);
        }
        for (const MessageOut &message : actions.toStreams) {
            if (const auto peer = this->node.endpointOf(message.peer)) {
                this->streamClient.send(*peer, message.message);
            }
        }
    }

    void sendDatagram(const MessageOut &message)
    {
        const auto peer = this->node.endpointOf(message.peer);
        if (!peer) {
            return;
        }
        const Bytes datagram = this->sealer.seal(encodeMessage(message.message));
        const bool relay = isRelay(message.message);
        this->counters.add(relay ? Counter::RelayBytesSent : Counter::ControlBytesSent, datagram.size());
        this->counters.add(Counter::RelaysSent, relay ? 1 : 0);
        this->peerSockets.front()->send(*peer, datagram);
    }

    //--- Timers

    void tick()
    {
        Actions out;
        this->node.tick(out);
        this->perform(out);
        this->updateServices();
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
        if (changes == this->seenTableChanges) {
            return;
        }
        this->seenTableChanges = changes;
        for (const std::string &failure : this->services.update(this->node.tables().all())) {
            LOG(ERROR) << failure;
        }
        for (const TableState &state : this->node.tables().states()) {
            LOG(INFO) << "table=" << state.service << " version_in_force=" << state.version << " refused_version=" << state.refusedVersion;
        }
    }

    //--- Platform

    void tickPlatform()
    {
        this->tableWatcher.tick(this->node.tableSync().isWatcher());
        this->statusReporter.tick(this->node.tableSync().isReporter(), this->zoneStatus());
        if (this->clock.now() >= this->nextInstances) {
            this->nextInstances = this->clock.now() + instancesInterval;
            this->platform.instances([this](const PlatformReply &reply) { this->onInstances(reply); });
        }
        this->platformTimer.expires_after(platformInterval);
        this->platformTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                this->tickPlatform();
            }
        });
    }

    void onTables(const std::vector<PlatformObject> &objects)
    {
        for (const PlatformObject &object : objects) {
            Actions out;
            this->node.onTable(object.key.substr(tablePrefix.size()), object.version, object.value, out);
            this->perform(out);
        }
    }

    void onInstances(const PlatformReply &reply)
    {
        for (const PlatformInstance &instance : reply.instances) {
            Endpoint peer;
            if (instance.state == "live" && parseEndpoint(instance.address, peer)) {
                this->node.addSeed(memberIdOf(instance.name), zoneIdOf(instance.zone), peer);
            }
        }
    }

    ZoneStatus zoneStatus() const
    {
        ZoneStatus status;
        status.zone = this->settings.zone;
        status.reporter = this->settings.name;
        const TableAgreement agreement = this->node.tableAgreement();
        status.members = agreement.members;
        status.agreeing = agreement.agreeing;
        for (const Endpoint &laggard : agreement.laggards) {
            status.laggards.push_back(toString(laggard));
        }
        for (const TableState &state : this->node.tables().states()) {
            status.services.push_back({ state.service, state.version });
            if (state.refusedVersion > state.version) {
                status.refused.push_back(state.service);
            }
        }
        return status;
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
        this->exitTimer.expires_after(lastMessagesWait);
        this->exitTimer.async_wait([this](const boost::system::error_code &) { this->context.stop(); });
    }

    //--- Pages

    std::string metricsText() const
    {
        std::string text = this->counters.text();
        text += "hornbeam_requests_in_progress " + std::to_string(this->node.requests().inProgress()) + "\n";
        text += "hornbeam_record_bytes " + std::to_string(this->node.requests().recordBytes()) + "\n";
        text += "hornbeam_feeds_open " + std::to_string(this->node.feeds().open()) + "\n";
        text += "hornbeam_feed_copies " + std::to_string(this->node.feeds().copies()) + "\n";
        for (const TableState &state : this->node.tables().states()) {
            text += "hornbeam_table_version{service=\"" + state.service + "\"} " + std::to_string(state.version) + "\n";
        }
        return text;
    }

    const DaemonSettings settings;
    SystemClock clock;
    Counters counters;
    PacketSealer sealer;
    Node node;

    // workers
    boost::asio::io_context context;
    std::vector<std::unique_ptr<UdpSocket>> peerSockets;
    std::vector<std::unique_ptr<UdpSocket>> targetSockets;
    ServiceSockets services;
    StreamServer streamServer;
    StreamClient streamClient;
    MetricsServer metrics;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer exitTimer;
    uint64_t seenTableChanges = ~0ULL; // only the tick reads and writes it
    std::atomic<int> exitCode{ 0 };

    // one thread of its own: the platform client is not thread safe
    boost::asio::io_context platformContext{ 1 };
    PlatformClient platform;
    TableWatcher tableWatcher;
    StatusReporter statusReporter;
    boost::asio::steady_timer platformTimer;
    TimePoint nextInstances;
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
