// Sections: start | packets | store | timers | stop

#include "apps/flowdaemon.h"

#include "apps/evacuatedzones.h"
#include "apps/flowlog.h"
#include "apps/flowpages.h"
#include "apps/flowstore.h"
#include "apps/placementpage.h"
#include "apps/storereadersettings.h"
#include "flows/flowforwarder.h"
#include "platform/packetheader.h"
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
constexpr milliseconds pauseThreshold(500);   // a longer interval between ticks means that the process was suspended
constexpr uint64_t timingSampleInterval = 16; // reading the clock twice takes about as long as forwarding a packet
constexpr const char *readinessPath = "/ready";

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

class FlowDaemon::Impl final : public StoreObserver
{
public:
    Impl(const DaemonSettings &settings, const std::vector<Bytes> &keys, std::string settingsPath)
        : settings(settings)
        , settingsPath(std::move(settingsPath))
        , log(STDOUT_FILENO, this->clock)
        , flowLog(this->log, this->clock)
        , seed(std::random_device()())
        , evacuations(this->clock, [this](const std::string &event, const nlohmann::ordered_json &fields) { this->logEvent(event, fields); })
        , forwarder(makeFlowSettings(*settings.flows), zoneIdOf(settings.zone), this->seed, this->clock, this->flowLog)
        , packets(this->context, settings.flows->packets, false)
        , readiness(this->context, settings.flows->readiness)
        , metrics(this->context, Endpoint{ settings.address, settings.metricsPort })
        , store(this->context, settings, keys, this->clock, this->seed, *this,
                [this](const std::string &event, const nlohmann::ordered_json &fields) { this->logEvent(event, fields); })
        , signals(this->context, SIGTERM, SIGINT)
        , reloadSignal(this->context, SIGHUP)
        , tickTimer(this->context)
        , stopTimer(this->context)
    {
        this->forwarder.setZoneLoads(&this->store.zoneLoads());
        this->forwarder.setBudgetShares(this->store.budgetShares());
        this->forwarder.setAnswerQueries(&this->store.answerQueries());
        this->store.answerQueries().setSource(&this->forwarder);
    }

    int run()
    {
        if (!this->open()) {
            return 1;
        }
        this->logEvent("started",
                       { { "instance", this->settings.name },
                         { "zone", this->settings.zone },
                         { "packets", toString(this->settings.flows->packets) },
                         { "store", toString(this->settings.platform) },
                         { "version", HORNBEAM_VERSION } });
        this->logUnguaranteedBounds();
        this->settingsTime = this->readSettingsTime();
        this->awaitStop();
        this->awaitReload();
        this->tick();
        this->context.run();
        this->logEvent("stopped", { { "instance", this->settings.name }, { "flows", this->forwarder.flowCount() } });
        this->log.flush();
        return 0;
    }

private:
    //--- Start

    bool open()
    {
        bool isBound = true;
        for (const std::string &error : { this->packets.error(), this->readiness.error(), this->metrics.error(), this->store.error() }) {
            if (!error.empty()) {
                this->logEvent("start_failed", { { "problem", error } });
                isBound = false;
            }
        }
        this->log.flush();
        if (!isBound) {
            return false;
        }
        this->readiness.addCheck(readinessPath, [this] { return this->isReady(); });
        this->readiness.beginAccept();
        this->metrics.addPage("/metrics", [this] { return this->metricsText(); });
        this->metrics.addPage("/targets", [this] { return targetsPage(this->forwarder, this->clock.now()); });
        this->metrics.addPage("/routes", [this] { return routesPage(this->forwarder); });
        this->metrics.addPage("/flows", [this] { return flowsPage(this->forwarder, this->clock.now()); });
        this->metrics.addQueryPage("/explain", [this](const PageParameters &parameters) { return placementPage(this->forwarder, parameters); });
        this->metrics.addPage("/members", [this] { return this->store.membersPage(); });
        this->metrics.beginAccept();
        this->store.beginReceive();
        return true;
    }

    // Bounds that are shorter than failing store calls allow are kept as long as calls succeed.
    void logUnguaranteedBounds()
    {
        const Duration guaranteed = makeStoreReaderSettings(*this->settings.flows).shortestGuaranteedBound;
        const std::pair<const char *, Duration> bounds[] = { { "drain_bound_ms", this->settings.flows->drainBound },
                                                             { "change_bound_ms", this->settings.flows->changeBound },
                                                             { "evacuation_bound_ms", this->settings.flows->evacuationBound.value_or(guaranteed) } };
        for (const auto &[setting, bound] : bounds) {
            if (bound < guaranteed) {
                this->logEvent("bound_not_guaranteed",
                               { { "setting", setting },
                                 { "bound_ms", std::chrono::duration_cast<milliseconds>(bound).count() },
                                 { "guaranteed_ms", std::chrono::duration_cast<milliseconds>(guaranteed).count() } });
            }
        }
    }

    bool isReady() const
    {
        return this->forwarder.isReady() && !this->isStopping && !(this->settings.flows->canLeaveRotation && this->store.isOutOfRotation());
    }

    void logEvent(const std::string &event, const nlohmann::ordered_json &fields)
    {
        if (this->log.admits(event)) {
            this->log.add(event, fields);
        }
    }

    //--- Packets

    // Packets that arrive during the initial read of the store stay in the socket buffer: callers retransmit a lost packet only after 200 ms or more.
    void beginReceiveWhenReady()
    {
        const bool canReceive = this->forwarder.isReady() || this->clock.now() - this->startedAt >= this->settings.flows->initialReadTimeout;
        if (this->isReceiving || !canReceive) {
            return;
        }
        this->isReceiving = true;
        this->packets.beginReceive([this](const Endpoint &, const uint8_t *data, size_t size) { this->onPacket(data, size); });
    }

    // Handles a packet, and measures the forwarding time of one in `timingSampleInterval` packets.
    void onPacket(const uint8_t *data, size_t size)
    {
        if (++this->packetCount % timingSampleInterval != 0) {
            this->forward(data, size);
            return;
        }
        const TimePoint start = this->clock.now();
        this->forward(data, size);
        this->forwardingTimes.add(this->clock.now() - start);
    }

    void forward(const uint8_t *data, size_t size)
    {
        const std::optional<FlowPacket> packet = parsePacket(data, size);
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
                            [this, target = check.target](ConnectionResult result) { this->onCheckCompleted(target, result); });
        }
        if (actions.needsTargets) {
            this->store.readNow(StoreResource::Targets);
        }
    }

    void onCheckCompleted(const TargetPtr &target, ConnectionResult result)
    {
        FlowActions actions;
        this->forwarder.endCheck(target, outcomeOf(result), actions);
        this->perform(actions);
    }

    //--- Store

    void onTargetUpdate(const TargetUpdate &update, MemberId) override
    {
        std::vector<TargetRecord> records;
        for (const TargetEntry &entry : update.updated) {
            records.push_back(entry.record);
        }
        FlowActions actions;
        if (update.isSnapshot) {
            this->forwarder.onTargets(records, update.requestedAt, actions);
        } else {
            this->forwarder.onTargetChanges(records, update.removed, update.requestedAt, actions);
        }
        this->perform(actions);
        this->beginReceiveWhenReady();
        this->store.setUrgent(this->forwarder.targetDirectory().hasMissing());
    }

    void onEvacuationUpdate(const EvacuationUpdate &update, MemberId source) override
    {
        this->forwarder.flowCounters().add(FlowCounter::EvacuationsBegun, this->evacuations.apply(update, source));
        this->forwarder.onEvacuations(this->evacuations.zones());
        this->beginReceiveWhenReady();
    }

    void onConfigurationUpdate(const RouteConfiguration &configuration, const StorePosition &position, TimePoint requestedAt, MemberId source) override
    {
        const uint64_t previousVersion = this->forwarder.routeTable().version();
        FlowActions actions;
        const RouteTable::Update update = this->forwarder.onConfiguration(configuration, actions);
        this->perform(actions);
        if (update == RouteTable::Update::Applied) {
            this->logEvent("configuration_applied",
                           { { "version", configuration.version },
                             { "before", previousVersion },
                             { "era", position.era },
                             { "revision", position.revision },
                             { "source", source == 0 ? "store" : "member" },
                             { "age_ms", std::chrono::duration_cast<milliseconds>(this->clock.now() - requestedAt).count() },
                             { "routes", this->forwarder.routeTable().size() } });
        } else if (update == RouteTable::Update::Older) {
            this->logEvent("configuration_ignored",
                           { { "version", configuration.version }, { "in_force", previousVersion }, { "problem", "older than the version in force" } });
        }
        this->beginReceiveWhenReady();
    }

    void onConfigurationConfirmed(TimePoint requestedAt) override
    {
        this->forwarder.onConfigurationConfirmed(requestedAt);
        this->beginReceiveWhenReady();
    }

    void onStoreReadNeeded(StoreResource resource) override
    {
        this->store.readNow(resource);
    }

    void onSourceChanged(MemberId before, MemberId source, std::string_view reason) override
    {
        this->logEvent("store_source", { { "before", before }, { "source", source }, { "reason", reason } });
    }

    //--- Timers

    void tick()
    {
        const TimePoint now = this->clock.now();
        if (this->lastTick != TimePoint{} && now - this->lastTick > pauseThreshold) {
            this->logEvent("paused", { { "for_ms", std::chrono::duration_cast<milliseconds>(now - this->lastTick).count() } });
        }
        const LoadSample load = this->measureLoad(now);
        this->lastTick = now;
        this->forwarder.setInstanceCounts(this->store.liveInstances(), this->store.liveZoneInstances());
        FlowActions actions;
        this->forwarder.tick(actions);
        this->store.setSharesNeeded(this->forwarder.coldTargets().limitedInOwnZone > 0);
        this->perform(actions);
        this->store.setOwnLoad(this->forwarder.ownLoad());
        this->store.tick(load);
        this->forwarder.onReportedLoad(this->store.reportedLoad());
        this->beginReceiveWhenReady();
        if (this->settings.flows->evacuationBound.has_value() && this->forwarder.isReady() && !this->forwarder.evacuationRule().isLoaded()) {
            this->evacuations.logUnknown();
        }
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

    // What happened since the previous tick.
    LoadSample measureLoad(TimePoint now)
    {
        const SocketLoad socket = this->packets.load();
        const uint64_t forwarded = this->forwarder.flowCounters().value(FlowCounter::PacketsForwarded);
        LoadSample load;
        load.tickDelay = this->lastTick == TimePoint{} ? Duration{ 0 } : std::max<Duration>(now - this->lastTick - tickInterval, Duration{ 0 });
        load.isBacklogged = socket.received > this->lastSocketLoad.received && socket.drained == this->lastSocketLoad.drained;
        load.packetsSent = static_cast<uint32_t>(forwarded - this->lastForwarded);
        load.sendsRefused = static_cast<uint32_t>(socket.sendsRefused - this->lastSocketLoad.sendsRefused);
        this->lastSocketLoad = socket;
        this->lastForwarded = forwarded;
        return load;
    }

    std::filesystem::file_time_type readSettingsTime() const
    {
        std::error_code ignored; // the file may be in the middle of a replacement; the next poll reads the time again
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
            this->logEvent("settings_kept",
                           { { "reason", reason }, { "problem", checked.faults.empty() ? "the settings have no flows" : toString(checked.faults.front()) } });
            return;
        }
        const LoadedKeys keys = loadKeys(checked.settings->keyFiles);
        if (!keys.faults.empty()) {
            this->logEvent("keys_kept", { { "reason", reason }, { "problem", toString(keys.faults.front()) } });
        } else if (!keys.keys.empty()) {
            this->store.updateKeys(keys.keys);
        }
        const bool isEndpointChanged = checked.settings->platform != this->settings.platform;
        this->settings.platform = checked.settings->platform;
        this->store.setEndpoint(this->settings.platform);
        this->logEvent("settings_reloaded", { { "reason", reason }, { "store", toString(this->settings.platform) }, { "store_changed", isEndpointChanged } });
    }

    std::string metricsText() const
    {
        return this->forwarder.flowCounters().text() + flowGauges(this->forwarder, this->isReady(), this->clock.now())
            + this->forwarder.answerTimes().text("hornbeam_flow_answer_seconds") + this->forwardingTimes.text("hornbeam_flow_forwarding_seconds")
            + this->store.metricsText() + "hornbeam_log_lines_left_out_total " + std::to_string(this->log.droppedLines()) + "\n";
    }

    //--- Stop

    void awaitStop()
    {
        this->signals.async_wait([this](const boost::system::error_code &failure, int signal) {
            if (failure) {
                return;
            }
            if (this->isStopping) {
                this->logEvent("stop_hurried", { { "signal", signal } });
                this->context.stop();
                return;
            }
            this->isStopping = true; // fails the readiness check; packets that still arrive are forwarded
            const auto delay = std::chrono::duration_cast<milliseconds>(this->settings.flows->shutdownDelay);
            this->logEvent("stopping", { { "signal", signal }, { "linger_ms", delay.count() }, { "flows", this->forwarder.flowCount() } });
            this->store.beginLeave();
            this->stopTimer.expires_after(delay);
            this->stopTimer.async_wait([this](const boost::system::error_code &) {
                this->store.endLeave();
                this->context.stop();
            });
            this->awaitStop();
        });
    }

    DaemonSettings settings;
    const std::string settingsPath;
    SystemClock clock;
    EventLog log;
    FlowLog flowLog;
    const uint64_t seed;
    EvacuatedZones evacuations;
    FlowForwarder forwarder;

    boost::asio::io_context context{ 1 };
    UdpSocket packets;
    MetricsServer readiness;
    MetricsServer metrics;
    FlowStore store;
    boost::asio::signal_set signals;
    boost::asio::signal_set reloadSignal;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer stopTimer;
    Bytes datagram; // reused send buffer
    uint64_t packetCount = 0;
    Histogram forwardingTimes;
    const TimePoint startedAt = this->clock.now();
    bool isReceiving = false;
    bool isStopping = false;
    std::filesystem::file_time_type settingsTime;
    TimePoint nextSettingsPoll;
    TimePoint lastTick;
    SocketLoad lastSocketLoad; // as of the previous tick, like the next one
    uint64_t lastForwarded = 0;
};

FlowDaemon::FlowDaemon(const DaemonSettings &settings, const std::vector<Bytes> &keys, const std::string &settingsPath)
    : impl(std::make_unique<Impl>(settings, keys, settingsPath))
{
}

FlowDaemon::~FlowDaemon() = default;

int FlowDaemon::run()
{
    return this->impl->run();
}

} // namespace hornbeam
