// Sections: start | packets | store | timers | stop

#include "apps/flowdaemon.h"

#include "apps/flowlog.h"
#include "apps/flowpages.h"
#include "apps/storereading.h"
#include "flows/flowforwarder.h"
#include "platform/flowobjects.h"
#include "platform/packethead.h"
#include "platform/platformclient.h"
#include "store/objectwatcher.h"
#include "transport/connectioncheck.h"
#include "transport/metricsserver.h"
#include "transport/udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

namespace hornbeam {

namespace {

constexpr milliseconds tickInterval(20);
constexpr seconds settingsPollInterval(1);
constexpr milliseconds stopLinger(1800);    // routers notice within 2 probes of 500 ms each that no packets may come
constexpr milliseconds startPatience(1000); // packets wait this long for the first answers of the store; callers give up after 0.8 s or more
constexpr milliseconds pauseBound(500);     // a later tick means that this process stood still
constexpr uint64_t timedShare = 16;         // reading the clock twice costs about as much as forwarding
constexpr const char *readinessPath = "/ready";

PlatformSettings storeSettings(const DaemonSettings &settings)
{
    PlatformSettings store;
    store.endpoint = settings.platform;
    store.callTimeout = storeReadingOf(*settings.flows).silence;
    return store;
}

CheckOutcome outcomeOf(ConnectionResult result)
{
    switch (result) {
    case ConnectionResult::Connected:
        return CheckOutcome::Connected;
    case ConnectionResult::Refused:
        return CheckOutcome::Refused;
    case ConnectionResult::TimedOut:
        break;
    }
    return CheckOutcome::TimedOut;
}

} // namespace

class FlowDaemon::Impl
{
public:
    Impl(const DaemonSettings &settings, std::string settingsPath)
        : settings(settings)
        , settingsPath(std::move(settingsPath))
        , log(STDOUT_FILENO, this->clock)
        , flowLog(this->log, this->clock)
        , seed(std::random_device()())
        , forwarder(withFreshness(*settings.flows), zoneIdOf(settings.zone), this->seed, this->clock, this->flowLog)
        , packets(this->context, settings.flows->packets, false)
        , readiness(this->context, settings.flows->readiness)
        , metrics(this->context, Endpoint{ settings.address, settings.metricsPort })
        , client(this->context, this->storeCounters, storeSettings(settings))
        , targets(
              this->client, this->clock, this->seed, std::string(targetPrefix), [this](const ObjectsRead &read) { this->onTargets(read); },
              storeReadingOf(*settings.flows).targets)
        , configurations(
              this->client, this->clock, this->seed + 1, std::string(configurationPrefix), [this](const ObjectsRead &read) { this->onConfigurations(read); },
              storeReadingOf(*settings.flows).configurations)
        , signals(this->context, SIGTERM, SIGINT)
        , reloadSignal(this->context, SIGHUP)
        , tickTimer(this->context)
        , stopTimer(this->context)
    {
    }

    int run()
    {
        if (!this->open()) {
            return 1;
        }
        this->note("started",
                   { { "instance", this->settings.name },
                     { "zone", this->settings.zone },
                     { "packets", toString(this->settings.flows->packets) },
                     { "store", toString(this->settings.platform) },
                     { "version", HORNBEAM_VERSION } });
        this->targets.setFailureCallback([this](const PlatformReply &reply) { this->onStoreFailure("targets", reply); });
        this->configurations.setFailureCallback([this](const PlatformReply &reply) { this->onStoreFailure("configuration", reply); });
        this->settingsTime = this->readSettingsTime();
        this->awaitStop();
        this->awaitReload();
        this->tick();
        this->context.run();
        this->note("stopped", { { "instance", this->settings.name }, { "flows", this->forwarder.flowCount() } });
        this->log.flush();
        return 0;
    }

private:
    //--- Start

    bool open()
    {
        bool isGood = true;
        for (const std::string &error : { this->packets.error(), this->readiness.error(), this->metrics.error() }) {
            if (!error.empty()) {
                this->note("start_failed", { { "problem", error } });
                isGood = false;
            }
        }
        this->log.flush();
        if (!isGood) {
            return false;
        }
        this->readiness.addCheck(readinessPath, [this] { return this->isReady(); });
        this->readiness.beginAccept();
        this->metrics.addPage("/metrics", [this] { return this->metricsText(); });
        this->metrics.addPage("/targets", [this] { return targetsPage(this->forwarder, this->clock.now()); });
        this->metrics.addPage("/routes", [this] { return routesPage(this->forwarder); });
        this->metrics.addPage("/flows", [this] { return flowsPage(this->forwarder, this->clock.now()); });
        this->metrics.beginAccept();
        return true;
    }

    bool isReady() const
    {
        return this->forwarder.isReady() && !this->isStopping;
    }

    void note(const std::string &event, const nlohmann::ordered_json &fields)
    {
        if (this->log.admits(event)) {
            this->log.add(event, fields);
        }
    }

    //--- Packets

    // callers repeat a lost packet after 200 ms or more: those that arrive while the store is first read wait in the socket
    void beginPackets()
    {
        const bool isDue = this->forwarder.isReady() || this->clock.now() - this->startedAt >= startPatience;
        if (this->isReceiving || !isDue) {
            return;
        }
        this->isReceiving = true;
        this->packets.beginReceive([this](const Endpoint &, const uint8_t *data, size_t size) { this->onPacket(data, size); });
    }

    // from reading a packet to sending it on; the time of one packet in `timedShare` is taken
    void onPacket(const uint8_t *data, size_t size)
    {
        if (++this->packetCount % timedShare != 0) {
            this->forward(data, size);
            return;
        }
        const TimePoint begun = this->clock.now();
        this->forward(data, size);
        this->forwardingTimes.add(this->clock.now() - begun);
    }

    void forward(const uint8_t *data, size_t size)
    {
        const std::optional<FlowPacket> packet = readPacket(data, size);
        if (!packet.has_value()) {
            this->forwarder.flowCounters().add(DropReason::Malformed);
            return;
        }
        FlowActions actions;
        const PacketDecision decision = this->forwarder.onPacket(*packet, actions);
        if (decision.kind == PacketDecision::Kind::Forward) {
            const TargetRecord &record = decision.target->record;
            writeDelivery(data, size, record.deliveryId, decision.token, this->datagram);
            this->send(record.address);
        } else if (decision.kind == PacketDecision::Kind::Reset) {
            this->sendReset(decision.reset);
        }
        this->perform(actions);
    }

    void send(const Endpoint &to)
    {
        if (!this->packets.send(to, this->datagram)) {
            this->forwarder.flowCounters().add(FlowCounter::SendsRefused);
        }
    }

    void sendReset(const FlowReset &reset)
    {
        writeReset(reset, this->datagram);
        this->send({ reset.flow.caller.address, this->settings.flows->packets.port });
    }

    void perform(const FlowActions &actions)
    {
        for (const FlowReset &reset : actions.resets) {
            this->sendReset(reset);
        }
        for (const ConnectionCheck &check : actions.checks) {
            checkConnection(this->context, check.target->record.address, check.timeout,
                            [this, target = check.target](ConnectionResult result) { this->onChecked(target, result); });
        }
        if (actions.wantsTargets) {
            this->targets.callNow();
        }
    }

    void onChecked(const TargetPtr &target, ConnectionResult result)
    {
        FlowActions actions;
        this->forwarder.endCheck(target, outcomeOf(result), actions);
        this->perform(actions);
    }

    //--- Store

    void onTargets(const ObjectsRead &read)
    {
        this->noteStoreAnswer("targets", this->targetsLost);
        std::vector<TargetRecord> records;
        std::vector<std::string> removed;
        for (const PlatformObject &object : read.objects) {
            const TargetRead target = object.isDeleted ? TargetRead{} : readTarget(object);
            if (target.record.has_value()) {
                records.push_back(*target.record);
                continue;
            }
            removed.push_back(object.key.substr(targetPrefix.size()));
            if (!object.isDeleted) {
                this->note("target_ignored", { { "target", removed.back() }, { "revision", object.version }, { "problem", target.problem } });
            }
        }
        FlowActions actions;
        if (read.isWhole) {
            this->forwarder.onTargets(records, read.asked, actions);
        } else {
            this->forwarder.onTargetChanges(records, removed, read.asked, actions);
        }
        this->perform(actions);
        this->beginPackets();
        this->targets.setHurry(this->forwarder.targetDirectory().hasMissing());
    }

    void onConfigurations(const ObjectsRead &read)
    {
        this->noteStoreAnswer("configuration", this->configurationLost);
        for (const PlatformObject &object : read.objects) {
            if (object.key == configurationKey && !object.isDeleted) {
                this->onConfiguration(object);
            }
        }
        this->forwarder.onConfigurationConfirmed(this->clock.now());
        this->beginPackets();
    }

    void onConfiguration(const PlatformObject &object)
    {
        const ConfigurationRead read = readConfiguration(object);
        const uint64_t inForce = this->forwarder.routeTable().version();
        if (!read.configuration.has_value()) {
            this->note("configuration_ignored", { { "revision", object.version }, { "in_force", inForce }, { "problem", read.problem } });
            return;
        }
        FlowActions actions;
        const RouteTable::Update update = this->forwarder.onConfiguration(*read.configuration, actions);
        this->perform(actions);
        if (update == RouteTable::Update::Applied) {
            this->note("configuration_applied",
                       { { "version", read.configuration->version },
                         { "before", inForce },
                         { "revision", object.version },
                         { "routes", this->forwarder.routeTable().size() } });
        } else if (update == RouteTable::Update::Older) {
            this->note("configuration_ignored", { { "version", read.configuration->version }, { "in_force", inForce }, { "problem", "an older version" } });
        }
    }

    void onStoreFailure(const char *what, const PlatformReply &reply)
    {
        bool &isLost = std::string_view(what) == "targets" ? this->targetsLost : this->configurationLost;
        isLost = true;
        this->note("store_lost", { { "reading", what }, { "outcome", nameOf(reply.outcome) }, { "problem", reply.problem } });
    }

    void noteStoreAnswer(const char *what, bool &isLost)
    {
        if (isLost) {
            isLost = false;
            this->note("store_regained", { { "reading", what } });
        }
    }

    //--- Timers

    void tick()
    {
        const TimePoint now = this->clock.now();
        if (this->lastTick != TimePoint{} && now - this->lastTick > pauseBound) {
            this->note("paused", { { "for_ms", std::chrono::duration_cast<milliseconds>(now - this->lastTick).count() } });
        }
        this->lastTick = now;
        FlowActions actions;
        this->forwarder.tick(actions);
        this->perform(actions);
        this->targets.tick(true);
        this->configurations.tick(true);
        this->beginPackets();
        if (now >= this->nextSettingsPoll) {
            this->nextSettingsPoll = now + settingsPollInterval;
            this->pollSettings();
        }
        this->log.flush();
        this->tickTimer.expires_after(tickInterval);
        this->tickTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                this->tick();
            }
        });
    }

    std::filesystem::file_time_type readSettingsTime() const
    {
        std::error_code ignored; // a file that is being replaced is looked at again at the next poll
        return std::filesystem::last_write_time(this->settingsPath, ignored);
    }

    void pollSettings()
    {
        const auto time = this->readSettingsTime();
        if (time != this->settingsTime) {
            this->reload("file_changed");
        }
    }

    void awaitReload()
    {
        this->reloadSignal.async_wait([this](const boost::system::error_code &failure, int) {
            if (!failure) {
                this->reload("signal");
                this->awaitReload();
            }
        });
    }

    void reload(const char *reason)
    {
        this->settingsTime = this->readSettingsTime();
        const CheckedSettings checked = loadSettings(this->settingsPath);
        if (!checked.settings.has_value() || !checked.settings->flows.has_value()) {
            this->note("settings_kept", { { "reason", reason }, { "problem", checked.faults.empty() ? "no flows" : toString(checked.faults.front()) } });
            return;
        }
        const bool isMoved = checked.settings->platform != this->settings.platform;
        this->settings.platform = checked.settings->platform;
        this->client.setEndpoint(this->settings.platform);
        this->note("settings_reloaded", { { "reason", reason }, { "store", toString(this->settings.platform) }, { "store_changed", isMoved } });
    }

    std::string metricsText() const
    {
        return this->forwarder.flowCounters().text() + flowGauges(this->forwarder, this->isReady(), this->clock.now())
            + this->forwarder.answerTimes().text("hornbeam_flow_answer_seconds") + this->forwardingTimes.text("hornbeam_flow_forwarding_seconds")
            + this->storeCounters.text() + "hornbeam_log_lines_left_out_total " + std::to_string(this->log.leftOut()) + "\n";
    }

    //--- Stop

    void awaitStop()
    {
        this->signals.async_wait([this](const boost::system::error_code &failure, int signal) {
            if (failure) {
                return;
            }
            if (this->isStopping) {
                this->note("stop_hurried", { { "signal", signal } });
                this->context.stop();
                return;
            }
            this->isStopping = true; // routers are told first; packets that still come are forwarded
            this->note("stopping", { { "signal", signal }, { "linger_ms", stopLinger.count() }, { "flows", this->forwarder.flowCount() } });
            this->stopTimer.expires_after(stopLinger);
            this->stopTimer.async_wait([this](const boost::system::error_code &) { this->context.stop(); });
            this->awaitStop();
        });
    }

    DaemonSettings settings;
    const std::string settingsPath;
    SystemClock clock;
    EventLog log;
    FlowLog flowLog;
    const uint64_t seed;
    FlowForwarder forwarder;
    Counters storeCounters;

    boost::asio::io_context context{ 1 };
    UdpSocket packets;
    MetricsServer readiness;
    MetricsServer metrics;
    PlatformClient client;
    ObjectWatcher targets;
    ObjectWatcher configurations;
    boost::asio::signal_set signals;
    boost::asio::signal_set reloadSignal;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer stopTimer;
    Bytes datagram; // the one being sent
    uint64_t packetCount = 0;
    Histogram forwardingTimes;
    const TimePoint startedAt = this->clock.now();
    bool isReceiving = false;
    bool isStopping = false;
    bool targetsLost = false;
    bool configurationLost = false;
    std::filesystem::file_time_type settingsTime;
    TimePoint nextSettingsPoll;
    TimePoint lastTick;
};

FlowDaemon::FlowDaemon(const DaemonSettings &settings, const std::string &settingsPath) : impl(std::make_unique<Impl>(settings, settingsPath))
{
}

FlowDaemon::~FlowDaemon() = default;

int FlowDaemon::run()
{
    return this->impl->run();
}

} // namespace hornbeam
