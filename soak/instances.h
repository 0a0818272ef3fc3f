#pragma once

// The balancers: real processes with a proxy to the store each, and the router that spreads callers' packets over those that are ready.

#include "findings.h"
#include "flows/flowpacket.h"
#include "process.h"
#include "storeproxy.h"

#include <atomic>
#include <filesystem>
#include <thread>

namespace hornbeam::soak {

constexpr uint16_t packetPort = 7000;
constexpr uint16_t readinessPort = 8081;
constexpr uint16_t storePort = 8080;

struct Instance
{
    std::string name;
    std::string zone;
    uint32_t address = 0;
    std::string settingsFile;
    std::string logFile;
    std::unique_ptr<StoreProxy> proxy;
    std::unique_ptr<Process> process; // null between two processes
    Disturbance disturbance;
    TimePoint stoppedAt; // SIGTERM was sent; TimePoint{} otherwise
    TimePoint startAt;   // of the next process
    bool isKilled = false;
    bool isCut = false; // its packets reach no target
    std::atomic<bool> isReady{ false };
    std::atomic<uint32_t> misses{ 0 };
    uint64_t starts = 0; // of processes
};

/** Not thread safe: one event loop owns it; a thread of its own asks whether instances are ready. */
class Instances
{
public:
    struct Places
    {
        uint32_t network = 0;      // 127.x.0.0 of the run
        std::string binary;        // of hornbeamd
        std::filesystem::path dir; // for settings and logs
        Endpoint store;
    };

    Instances(boost::asio::io_context &context, const Clock &clock, Findings &findings, Places places, size_t count);
    ~Instances();

    /** Whether all are ready. */
    bool areReady() const;
    /** Starts processes that are due and reports those that ended in a way they should not. */
    void tick();
    /** Ends a process as planned. */
    void stop(Instance &instance);
    void kill(Instance &instance);
    /** Writes the settings anew. */
    void writeSettings(const Instance &instance) const;
    /** The instance that takes a flow's packets. */
    const Instance &route(const FlowKey &flow) const;
    Instance *find(uint32_t address);
    /** Ends all processes; those that don't end in time are reported. */
    void stopAll();

    std::vector<std::unique_ptr<Instance>> all;

private:
    void start(Instance &instance);
    void probe();

    const Clock &clock;
    Findings &findings;
    const Places places;
    std::atomic<bool> isEnding{ false };
    std::thread prober;
};

} // namespace hornbeam::soak
