#include "instances.h"

#include "core/jsonfields.h"
#include "store/httpget.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace hornbeam::soak {

namespace {
constexpr milliseconds restartDelay(300);
constexpr milliseconds probeInterval(250);
constexpr milliseconds probeTimeout(200);
constexpr uint32_t missesToLeave = 2; // the routers' rule
constexpr uint32_t instanceNet = 1 << 8;
constexpr uint32_t proxyNet = 2 << 8;
}

Instances::Instances(boost::asio::io_context &context, const Clock &clock, Findings &findings, Places places, size_t count)
    : clock(clock), findings(findings), places(std::move(places))
{
    for (uint32_t i = 1; i <= count; ++i) {
        auto instance = std::make_unique<Instance>();
        instance->name = "instance-" + std::to_string(i);
        instance->zone = i % 2 == 0 ? "zone-2" : "zone-1";
        instance->address = this->places.network + instanceNet + i;
        instance->settingsFile = this->places.dir / (instance->name + ".json");
        instance->logFile = this->places.dir / (instance->name + ".log");
        instance->proxy = std::make_unique<StoreProxy>(context, Endpoint{ this->places.network + proxyNet + i, storePort }, this->places.store);
        this->writeSettings(*instance);
        this->start(*instance);
        this->all.push_back(std::move(instance));
    }
    this->prober = std::thread([this] { this->probe(); });
}

Instances::~Instances()
{
    this->isEnding = true;
    this->prober.join();
}

void Instances::writeSettings(const Instance &instance) const
{
    // a deployment may give its figures as fractions
    const auto bound = [](Duration duration) { return durationToJson(duration + std::chrono::microseconds(500)); };
    const std::string host = toString({ instance.address, 0 });
    nlohmann::json settings{
        { "name", instance.name }, { "zone", instance.zone }, { "address", host.substr(0, host.find(':')) },
        { "peer_port", 7946 },     { "metrics_port", 9464 },  { "platform", toString({ instance.address - instanceNet + proxyNet, storePort }) }
    };
    settings["flows"] = { { "packet_address", toString({ instance.address, packetPort }) },
                          { "readiness_address", toString({ instance.address, readinessPort }) },
                          { "drain_bound_ms", bound(drainBound) },
                          { "change_bound_ms", bound(changeBound) },
                          { "evacuation_bound_ms", bound(evacuationBound) },
                          { "stability_ms", bound(stability) },
                          { "warmup_excess", warmupExcess },
                          { "warmup_slack", warmupSlack } };
    const std::string fresh = instance.settingsFile + ".new";
    std::ofstream(fresh) << settings;
    std::filesystem::rename(fresh, instance.settingsFile);
}

void Instances::start(Instance &instance)
{
    instance.process = std::make_unique<Process>(std::vector<std::string>{ this->places.binary, "--settings", instance.settingsFile }, instance.logFile);
    instance.stoppedAt = TimePoint{};
    instance.isKilled = false;
    ++instance.starts;
}

bool Instances::areReady() const
{
    return std::all_of(this->all.begin(), this->all.end(), [](const auto &instance) { return instance->isReady.load(); });
}

void Instances::tick()
{
    const TimePoint now = this->clock.now();
    for (const auto &instance : this->all) {
        if (instance->process == nullptr) {
            if (now >= instance->startAt) {
                this->start(*instance);
            }
            continue;
        }
        const bool isStopping = instance->stoppedAt != TimePoint{};
        const std::optional<int> end = instance->process->poll();
        if (end.has_value()) {
            if (!instance->isKilled && (!isStopping || *end != 0)) {
                this->findings.add(now, instance->name + " ended with " + std::to_string(*end));
            }
            instance->process.reset();
            instance->startAt = now + restartDelay;
        } else if (isStopping && !instance->isKilled && now - instance->stoppedAt > graceBound) {
            this->findings.add(now, instance->name + " did not end in time after SIGTERM");
            this->kill(*instance);
        }
    }
}

void Instances::stop(Instance &instance)
{
    if (instance.process != nullptr && instance.stoppedAt == TimePoint{} && !instance.isKilled) {
        instance.stoppedAt = this->clock.now();
        instance.process->signal(SIGTERM);
    }
}

void Instances::kill(Instance &instance)
{
    if (instance.process != nullptr) {
        instance.isKilled = true;
        instance.process->signal(SIGKILL);
    }
}

// rendezvous hashing: when an instance leaves, only its flows move
const Instance &Instances::route(const FlowKey &flow) const
{
    const Instance *best = nullptr;
    uint64_t bestHash = 0;
    const bool isAnyReady = std::any_of(this->all.begin(), this->all.end(), [](const auto &instance) { return instance->isReady.load(); });
    for (const auto &instance : this->all) {
        const uint64_t hash = mixHash(std::hash<FlowKey>()(flow), instance->address);
        if ((instance->isReady || !isAnyReady) && (best == nullptr || hash > bestHash)) {
            best = instance.get();
            bestHash = hash;
        }
    }
    return *best;
}

Instance *Instances::find(uint32_t address)
{
    for (const auto &instance : this->all) {
        if (instance->address == address) {
            return instance.get();
        }
    }
    return nullptr;
}

void Instances::stopAll()
{
    for (const auto &instance : this->all) {
        if (instance->process != nullptr) {
            if (instance->process->residentKb() > memoryBoundKb) {
                this->findings.add(this->clock.now(), instance->name + " uses " + std::to_string(instance->process->residentKb()) + " KB");
            }
            this->stop(*instance);
        }
    }
    const TimePoint begun = this->clock.now();
    for (const auto &instance : this->all) {
        while (instance->process != nullptr && !instance->process->poll().has_value() && this->clock.now() - begun < graceBound) {
            std::this_thread::sleep_for(milliseconds(10));
        }
        if (instance->process != nullptr && instance->process->poll() != 0 && !instance->isKilled) {
            this->findings.add(this->clock.now(), instance->name + " did not end well at the end of the run");
        }
        instance->process.reset();
    }
}

void Instances::probe()
{
    while (!this->isEnding) {
        for (const auto &instance : this->all) {
            if (this->isEnding) {
                return;
            }
            if (httpGet({ instance->address, readinessPort }, "/ready", probeTimeout).has_value()) {
                instance->misses = 0;
                instance->isReady = true;
            } else if (++instance->misses >= missesToLeave) {
                instance->isReady = false;
            }
        }
        std::this_thread::sleep_for(probeInterval);
    }
}

} // namespace hornbeam::soak
