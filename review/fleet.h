#pragma once

// The balancer's processes, and a stand-in of the routers that select one for each flow.

#include "record.h"
#include "store.h"
#include "target.h"

#include <deque>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace standin {

struct Instance
{
    std::string name;
    uint32_t host = 0;
    std::string settingsFile;
    std::string logFile;
    pid_t pid = -1;
    bool isReady = false;
    bool isRemoved = false; // no longer in the routers' list
    int misses = 2;
};

/** Starts the balancer's processes and selects one for each flow, as the platform's routers do. */
class Fleet
{
public:
    Fleet(Loop &loop, Record &record, Store &store, const std::string &program, const std::string &dir)
        : packetPort(freePort()), loop(loop), record(record), store(store), program(program), dir(dir), storePort(freePort())
    {
        do {
            this->readyPort = freePort();
        } while (this->readyPort == this->packetPort);
        do {
            this->metricsPort = freePort();
        } while (this->metricsPort == this->packetPort || this->metricsPort == this->readyPort);
        do {
            this->peerPort = freePort();
        } while (this->peerPort == this->packetPort || this->peerPort == this->readyPort || this->peerPort == this->metricsPort);
    }
    ~Fleet()
    {
        for (Instance &instance : this->instances) {
            this->kill(instance);
        }
    }

    Instance &add(const std::string &name, const std::string &zone, const char *host, int64_t heartbeatMs)
    {
        Instance instance;
        instance.name = name;
        instance.host = ownIp(host);
        instance.settingsFile = this->dir + "/" + name + ".json";
        instance.logFile = this->dir + "/" + name + ".log";
        const Address storeAddress{ ownIp("127.40.0.1") + static_cast<uint32_t>(this->instances.size()), this->storePort };
        this->store.listen(name, storeAddress);
        // rendered from deploy/settings.template.json
        std::ofstream(instance.settingsFile) << nlohmann::json{ { "name", name },
                                                                { "zone", zone },
                                                                { "address", hostText(instance.host) },
                                                                { "metrics_port", this->metricsPort },
                                                                { "peer_port", this->peerPort },
                                                                { "platform", text(storeAddress) },
                                                                { "flows",
                                                                  { { "packet_address", text({ instance.host, this->packetPort }) },
                                                                    { "readiness_address", text({ instance.host, this->readyPort }) },
                                                                    { "target_heartbeat_ms", heartbeatMs },
                                                                    { "drain_bound_ms", 3000 },
                                                                    { "change_bound_ms", 3000 },
                                                                    { "stability_ms", 4000 },
                                                                    { "first_start", true },
                                                                    { "seed_hosts", nlohmann::json::array() } } } };
        this->instances.push_back(instance);
        this->start(this->instances.back());
        const size_t index = this->instances.size() - 1;
        this->loop.every(500, [this, index] {
            this->probe(this->instances[index]);
            return true;
        });
        return this->instances.back();
    }

    void start(Instance &instance)
    {
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, also if that is killed
            const int log = open(instance.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            execl(this->program.c_str(), this->program.c_str(), "--settings", instance.settingsFile.c_str(), nullptr);
            _exit(127);
        }
        instance.pid = pid;
        this->record.line("instance %s: started", instance.name.c_str());
    }

    void terminate(Instance &instance)
    {
        ::kill(instance.pid, SIGTERM);
        this->record.line("instance %s: SIGTERM", instance.name.c_str());
    }

    void kill(Instance &instance)
    {
        if (instance.pid > 0) {
            ::kill(instance.pid, SIGKILL);
            waitpid(instance.pid, nullptr, 0);
            instance.pid = -1;
        }
    }

    // Whether a process has ended by itself or at a signal; reaps it.
    bool hasEnded(Instance &instance)
    {
        if (instance.pid > 0 && waitpid(instance.pid, nullptr, WNOHANG) == instance.pid) {
            instance.pid = -1;
            this->record.line("instance %s: process ended", instance.name.c_str());
        }
        return instance.pid <= 0;
    }

    bool areReady() const
    {
        return std::all_of(this->instances.begin(), this->instances.end(), [](const Instance &instance) { return instance.isReady; });
    }

    // Rendezvous hashing over the ready instances; over all if fewer than half are ready.
    const Instance &route(const FlowId &flow) const
    {
        size_t ready = 0;
        size_t listed = 0;
        for (const Instance &instance : this->instances) {
            ready += instance.isReady && !instance.isRemoved ? 1 : 0;
            listed += instance.isRemoved ? 0 : 1;
        }
        const bool usesAll = ready * 2 < listed;
        const Instance *best = nullptr;
        uint64_t bestHash = 0;
        for (const Instance &instance : this->instances) {
            if (instance.isRemoved || (!usesAll && !instance.isReady)) {
                continue;
            }
            uint64_t hash = 0x9e3779b97f4a7c15ULL;
            for (const uint64_t part : { uint64_t{ flow.caller.host }, uint64_t{ flow.caller.port }, uint64_t{ flow.service.host },
                                         uint64_t{ flow.service.port }, uint64_t{ instance.host } }) {
                hash = (hash ^ part) * 0xff51afd7ed558ccdULL;
                hash ^= hash >> 32;
            }
            if (best == nullptr || hash > bestHash) {
                best = &instance;
                bestHash = hash;
            }
        }
        return *best;
    }

    const uint16_t packetPort;
    std::deque<Instance> instances;

private:
    void probe(Instance &instance)
    {
        struct Probe
        {
            int fd = -1;
            bool isWritten = false;
            bool isDone = false;
        };
        auto probe = std::make_shared<Probe>();
        probe->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const sockaddr_in to = native({ instance.host, this->readyPort });
        connect(probe->fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
        const auto finish = [this, probe, &instance](bool isOk) {
            if (probe->isDone) {
                return;
            }
            probe->isDone = true;
            this->loop.unwatch(probe->fd);
            close(probe->fd);
            instance.misses = isOk ? 0 : instance.misses + 1;
            const bool isReady = instance.misses < 2;
            if (isReady != instance.isReady) {
                instance.isReady = isReady;
                this->record.line("router: instance %s is %s rotation", instance.name.c_str(), isReady ? "in" : "out of");
            }
        };
        this->loop.watch(probe->fd, POLLOUT, [this, probe, finish](short events) {
            if (!probe->isWritten && (events & POLLERR) == 0) {
                probe->isWritten = true;
                const std::string request = "GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
                ::send(probe->fd, request.data(), request.size(), MSG_NOSIGNAL);
                this->loop.watch(probe->fd, POLLIN, [probe, finish](short) {
                    char buffer[512];
                    const ssize_t count = recv(probe->fd, buffer, sizeof(buffer), 0);
                    finish(count > 12 && std::string(buffer, 12) == "HTTP/1.1 200");
                });
                return;
            }
            finish(false);
        });
        this->loop.after(400, [finish] { finish(false); });
    }

    Loop &loop;
    Record &record;
    Store &store;
    const std::string program;
    const std::string dir;
    const uint16_t storePort;
    uint16_t readyPort = 0;
    uint16_t metricsPort = 0;
    uint16_t peerPort = 0;
};

} // namespace standin
