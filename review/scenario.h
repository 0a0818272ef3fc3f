#pragma once

// What every case starts with.

#include "callers.h"
#include "fleet.h"
#include "store.h"
#include "target.h"

#include <deque>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <vector>

namespace standin {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** What every case starts with. `folder` receives record.txt. */
struct World
{
    World(const std::string &folder, const std::string &program, const std::string &dir, int64_t heartbeatMs = 1200)
        : heartbeatMs(heartbeatMs)
        , record(loop, folder + "/record.txt")
        , store(loop, record, heartbeatMs)
        , fleet(loop, record, store, program, dir)
        , callers(loop, record, fleet, "127.30.0.1")
        , targetPort(freePort())
    {
        const char *trouble = getenv("TROUBLE");
        this->hasTrouble = trouble == nullptr || std::string(trouble) != "0";
        this->record.line("trouble: %s", this->hasTrouble ? "yes" : "no");
    }

    Target &addTarget(const std::string &label, const std::string &id, const std::string &service, int number, int64_t clockAheadMs = 0)
    {
        TargetSpec spec;
        spec.id = id;
        spec.service = service;
        spec.address = { ownIp("127.20.0.1") + static_cast<uint32_t>(number), this->targetPort };
        spec.clockAheadMs = clockAheadMs;
        this->targets.push_back(std::make_unique<Target>(this->loop, this->record, this->store, this->fleet.packetPort, this->heartbeatMs, spec, label));
        return *this->targets.back();
    }

    // Routes: address to service.
    void configure(uint64_t version, const std::vector<std::pair<Address, std::string>> &routes)
    {
        nlohmann::json list = nlohmann::json::array();
        std::set<std::string> services;
        for (const auto &[address, service] : routes) {
            list.push_back({ { "name", "r-" + std::to_string(list.size()) },
                             { "host", hostText(address.host) },
                             { "pathPrefix", "/" + std::to_string(address.port) + "/" },
                             { "kind", "safe" },
                             { "timeoutMs", 4000 },
                             { "targetLatencyMs", 250 },
                             { "priority", 2 },
                             { "service", service },
                             { "maxAttempts", 2 } });
            services.insert(service);
        }
        nlohmann::json described = nlohmann::json::array();
        for (const std::string &service : services) {
            described.push_back({ { "name", service }, { "healthPath", "/health" }, { "maxConnections", 2000 }, { "protocol", "h1" }, { "tls", false } });
        }
        const nlohmann::json limits{ { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
        this->store.write("config", "main",
                          nlohmann::json{ { "version", version }, { "routes", list }, { "services", described }, { "limits", limits } }.dump());
        this->record.line("operator: configuration %llu acknowledged", static_cast<unsigned long long>(version));
    }

    void awaitReady()
    {
        const int64_t end = this->loop.now() + 10000;
        while (!this->fleet.areReady() && this->loop.now() < end) {
            this->loop.runUntil(this->loop.now() + 20);
        }
        if (!this->fleet.areReady()) {
            throw CannotRun("the instances are not ready");
        }
    }

    const int64_t heartbeatMs;
    bool hasTrouble = true;
    Loop loop;
    Record record;
    Store store;
    Fleet fleet;
    Callers callers;
    const uint16_t targetPort;
    std::deque<std::unique_ptr<Target>> targets;
};

// Runs a case. Arguments: the folder for record.txt, the balancer's program, a temporary folder.
inline int runCase(int argc, char **argv, int64_t heartbeatMs, const std::function<int(World &)> &play)
{
    if (argc != 4) {
        fprintf(stderr, "usage: %s FOLDER PROGRAM TEMPORARY_FOLDER\n", argv[0]);
        return couldNotRun;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    srandom(static_cast<unsigned>(steadyMillis()));
    try {
        World world(argv[1], argv[2], argv[3], heartbeatMs);
        const int result = play(world);
        world.record.line("result: %s", result == ruleHeld ? "the rule held" : result == ruleBroken ? "the rule was broken" : "the case couldn't run");
        return result;
    } catch (const CannotRun &problem) {
        fprintf(stderr, "%s\n", problem.what());
        return couldNotRun;
    }
}

} // namespace standin
