#pragma once

// Stand-in of a backend process.

#include "packets.h"
#include "record.h"
#include "store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace standin {

struct FlowId
{
    Address caller;
    Address service;

    bool operator<(const FlowId &other) const
    {
        return std::pair(this->caller, this->service) < std::pair(other.caller, other.service);
    }
};

struct TargetSpec
{
    std::string id; // hex digits
    std::string service;
    Address address;
    std::string zone = "zone-1";
    uint32_t slots = 3;
    int64_t clockAheadMs = 0; // of its host at its start
};

/** One process of a backend. Requests are "GET /ATTEMPT/WORKMS" in one packet; the response holds the id of the process and the attempt. */
class Target
{
public:
    Target(Loop &loop, Record &record, Store &store, uint16_t callerPort, int64_t heartbeatMs, const TargetSpec &spec, const std::string &label)
        : spec(spec)
        , label(label)
        , bornAt(loop.now())
        , loop(loop)
        , record(record)
        , store(store)
        , callerPort(callerPort)
        , born(wallMillis() + spec.clockAheadMs)
        , life(std::make_shared<bool>(true))
    {
        this->packets = bindSocket(SOCK_DGRAM, spec.address);
        this->loop.watch(this->packets, POLLIN, [this](short) { this->receive(); });
        this->listen();
        this->beat();
        this->loop.every(heartbeatMs, [this, alive = this->life] {
            if (*alive) {
                this->beat();
            }
            return *alive;
        });
        this->record.line("target %s: process started, id %s, born %lld", label.c_str(), spec.id.c_str(), static_cast<long long>(this->born));
    }
    ~Target()
    {
        this->stop();
    }

    // Reports that it drains. The return is the store's acknowledgement.
    void drain()
    {
        this->isDraining = true;
        this->beat();
        this->drainAckedAt = this->loop.now();
        this->record.line("target %s: reported draining, acknowledged by the store", this->label.c_str());
    }
    // Stops accepting TCP connections and flows; open flows are served on.
    void endListen()
    {
        if (this->listener >= 0) {
            this->loop.unwatch(this->listener);
            close(this->listener);
            this->listener = -1;
            this->record.line("target %s: stopped listening, %zu flows, %zu requests at work or queued", this->label.c_str(), this->openFlows(),
                              this->working + this->queue.size());
        }
    }
    // Ends the process. `isCrash`: without a word to the store.
    void stop(bool isCrash = false)
    {
        if (!*this->life) {
            return;
        }
        *this->life = false;
        this->endListen();
        this->loop.unwatch(this->packets);
        close(this->packets);
        if (!isCrash) {
            this->store.remove("servers", this->spec.id);
        }
        this->record.line("target %s: process %s", this->label.c_str(), isCrash ? "crashed" : "ended, entry removed");
    }
    void beat()
    {
        this->store.write("servers", this->spec.id, this->entry());
    }
    std::string entry()
    {
        return nlohmann::json{
            { "service", this->spec.service },
            { "address", text(this->spec.address) },
            { "zone", this->spec.zone },
            { "version", "v1" },
            { "slots", this->spec.slots },
            { "state", this->isDraining ? "draining" : "ready" },
            { "warmupLeftMs", 0 },
            { "seqNo", ++this->beats },
            { "born", this->born }
        }.dump();
    }
    bool isAlive() const
    {
        return *this->life;
    }
    bool holds(const FlowId &id) const
    {
        const auto found = this->flows.find(id);
        return *this->life && found != this->flows.end() && found->second.isOpen;
    }
    size_t openFlows() const
    {
        size_t count = 0;
        for (const auto &[id, flow] : this->flows) {
            count += flow.isOpen && !flow.isClosed ? 1 : 0;
        }
        return count;
    }

    const TargetSpec spec;
    const std::string label;
    const int64_t bornAt;
    int64_t drainAckedAt = -1;
    std::function<void(const FlowId &)> onOpening;                         // an opening packet was accepted
    std::function<void(const FlowId &)> onOpen;                            // the caller's end of the handshake arrived
    std::function<void(const FlowId &, const std::string &attempt)> onRun; // a request began to run

private:
    static constexpr size_t maxQueue = 12;

    struct Flow
    {
        Address service;
        uint32_t echo = 0;
        uint32_t ownSeq = 0;   // of the next byte to send
        uint32_t ownStart = 0; // of the SYN+ACK
        uint32_t peerNext = 0; // next byte expected
        bool isOpen = false;
        bool isClosed = false;
        std::string unacked; // response without an acknowledgement
        uint32_t unackedSeq = 0;
        uint32_t repeats = 0;
    };
    struct Job
    {
        FlowId flow;
        std::string attempt;
        int64_t workMs = 0;
    };

    void listen()
    {
        this->listener = bindSocket(SOCK_STREAM, this->spec.address);
        this->loop.watch(this->listener, POLLIN, [this](short) {
            const int client = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (client >= 0) { // health checks of this product only connect
                this->loop.after(20, [client] { close(client); });
            }
        });
    }

    void send(const FlowId &id, uint8_t flags, uint32_t seq, uint32_t ack, uint32_t echo, const std::string &data)
    {
        Packet packet;
        packet.from = id.service;
        packet.to = id.caller;
        packet.flags = flags;
        packet.seq = seq;
        packet.ack = ack;
        packet.echo = echo;
        packet.data = data;
        packet.sum = keyedSum(packet);
        const Bytes bytes = encode(packet);
        const sockaddr_in to = native({ id.caller.host, this->callerPort });
        sendto(this->packets, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    }

    void receive()
    {
        uint8_t buffer[2048];
        for (int i = 0; i < 64; ++i) {
            const ssize_t size = recv(this->packets, buffer, sizeof(buffer), 0);
            if (size < 0) {
                return;
            }
            Packet packet;
            if (size < 8 || !decode(buffer + 8, static_cast<size_t>(size) - 8, packet)) {
                this->record.line("target %s: malformed datagram", this->label.c_str());
                continue;
            }
            const uint64_t id = get(buffer, 8);
            if (id != 0 && id != strtoull(this->spec.id.c_str(), nullptr, 16)) {
                continue; // for another process
            }
            if (packet.sum != keyedSum(packet)) {
                this->record.line("target %s: forged packet", this->label.c_str());
                continue;
            }
            this->handle(packet);
        }
    }

    void handle(const Packet &packet)
    {
        const FlowId id{ packet.from, packet.to };
        if ((packet.flags & flagSyn) != 0) {
            this->handleOpening(id, packet);
            return;
        }
        const auto found = this->flows.find(id);
        if (found == this->flows.end()) {
            if ((packet.flags & flagReset) == 0) {
                this->send(id, flagReset, packet.ack, packet.seq, packet.echo, "");
            }
            return;
        }
        Flow &flow = found->second;
        flow.echo = packet.echo;
        if ((packet.flags & flagReset) != 0) {
            this->flows.erase(found);
            return;
        }
        if (!flow.isOpen) {
            if (packet.ack != flow.ownStart + 1) {
                return;
            }
            flow.isOpen = true;
            if (this->onOpen) {
                this->onOpen(id);
            }
        }
        if (!flow.unacked.empty() && packet.ack == flow.unackedSeq + flow.unacked.size()) {
            flow.unacked.clear();
            if (this->isDraining) { // closes each flow after its next response
                this->send(id, flagAck | flagFin, flow.ownSeq, flow.peerNext, flow.echo, "");
            }
        }
        if ((packet.flags & flagFin) != 0) {
            flow.isClosed = true;
            this->send(id, flagAck | flagFin, flow.ownSeq, packet.seq + 1, flow.echo, "");
            return;
        }
        if (packet.data.empty()) {
            return;
        }
        if (packet.seq == flow.peerNext) {
            flow.peerNext += packet.data.size();
            this->beginRequest(id, packet.data);
        }
        this->send(id, flagAck, flow.ownSeq, flow.peerNext, flow.echo, "");
    }

    void handleOpening(const FlowId &id, const Packet &packet)
    {
        if (this->listener < 0) {
            this->send(id, flagReset, 0, packet.seq, packet.echo, "");
            return;
        }
        auto [found, isNew] = this->flows.try_emplace(id);
        Flow &flow = found->second;
        flow.echo = packet.echo;
        if (isNew) {
            flow.ownStart = static_cast<uint32_t>(random());
            flow.ownSeq = flow.ownStart + 1;
            flow.peerNext = packet.seq + 1;
            if (this->onOpening) {
                this->onOpening(id);
            }
        }
        this->send(id, flagSyn | flagAck, flow.ownStart, packet.seq + 1, flow.echo, "");
    }

    void beginRequest(const FlowId &id, const std::string &data)
    {
        char attempt[64] = "";
        long workMs = 0;
        if (sscanf(data.c_str(), "GET /%63[^/]/%ld HTTP/1.1", attempt, &workMs) != 2) {
            return;
        }
        if (this->queue.size() >= maxQueue) {
            this->respond(id, "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        this->queue.push_back({ id, attempt, workMs });
        this->runQueue();
    }

    void runQueue()
    {
        while (this->working < this->spec.slots && !this->queue.empty()) {
            const Job job = this->queue.front();
            this->queue.pop_front();
            ++this->working;
            this->record.line("target %s: request %s runs, service %s", this->label.c_str(), job.attempt.c_str(), this->spec.service.c_str());
            if (this->onRun) {
                this->onRun(job.flow, job.attempt);
            }
            this->loop.after(job.workMs, [this, job, alive = this->life] {
                if (*alive) {
                    --this->working;
                    const std::string body = this->label + " " + job.attempt;
                    this->respond(job.flow, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                    this->runQueue();
                }
            });
        }
    }

    void respond(const FlowId &id, const std::string &response)
    {
        const auto found = this->flows.find(id);
        if (found == this->flows.end()) {
            return;
        }
        Flow &flow = found->second;
        flow.unacked = response;
        flow.unackedSeq = flow.ownSeq;
        flow.ownSeq += response.size();
        flow.repeats = 0;
        this->sendResponse(id, 200);
    }

    void sendResponse(const FlowId &id, int64_t timeout)
    {
        const auto found = this->flows.find(id);
        if (found == this->flows.end() || found->second.unacked.empty() || found->second.repeats > 8) {
            return;
        }
        Flow &flow = found->second;
        ++flow.repeats;
        this->send(id, flagAck, flow.unackedSeq, flow.peerNext, flow.echo, flow.unacked);
        this->loop.after(timeout, [this, id, timeout, alive = this->life] {
            if (*alive) {
                this->sendResponse(id, std::min<int64_t>(timeout * 2, 1600));
            }
        });
    }

    Loop &loop;
    Record &record;
    Store &store;
    const uint16_t callerPort;
    const int64_t born;
    std::shared_ptr<bool> life;
    int packets = -1;
    int listener = -1;
    bool isDraining = false;
    uint64_t beats = 0;
    size_t working = 0;
    std::map<FlowId, Flow> flows;
    std::deque<Job> queue;
};

} // namespace standin
