#pragma once

// Backends and clients that speak flows, for the cases of the third review.

#include "stage-3.h"

#include <cmath>

using namespace stage;

namespace {

constexpr double heartbeatMs = 1200;
constexpr int queueLength = 12;     // requests that wait at a backend, and new TCP channels that wait to be accepted
constexpr double clientDelayMs = 1; // one way between clients and the rest

std::mt19937_64 randomness{ 48 };

double uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(randomness);
}

/** Lognormal with a spread of 0.5, as the site file states work times. */
double workOf(double mean)
{
    return std::min(6 * mean, mean * std::exp(0.5 * std::normal_distribution<double>(0, 1)(randomness) - 0.125));
}

struct Kind
{
    std::string name;
    Address route;
    std::string service;
    bool isSafe;
    double share; // of a zone's requests
    double workMs;
    size_t answerBytes;
    double limitMs;
    bool isLong; // long flows
    bool isEven = false; // works 0.7 to 1 times workMs
};

struct Client;
struct Flow;

//--- Backends

struct ServerFlow
{
    uint32_t echo = 0;
    uint32_t isn = 0;
    uint32_t clientSeq = 0; // next expected byte
    bool isOpen = false;
    uint32_t sentEnd = 0;
    uint32_t acked = 0;
    std::map<uint32_t, std::string> unacked; // by sequence number
    std::deque<uint32_t> notSent;
    int repeats = 0;
    double repeatAt = 0;
    uint32_t pendingAckAt = 0;
    std::map<uint32_t, std::string> answers;
};

struct World;

struct Backend
{
    World *world = nullptr;
    std::string id;
    uint64_t idNumber = 0;
    std::string service;
    std::string zone;
    Address address;
    uint64_t born = 0;
    size_t slots = 3;
    int udp = -1;
    int tcp = -1;
    size_t busy = 0;
    std::deque<std::function<void()>> queue;
    std::map<std::pair<Address, Address>, ServerFlow> flows; // by client and route
    uint64_t ran = 0, shed = 0, accepted = 0;
    bool isAccepting = true;
    double writeDelay = 900 * uniform(); // after backendsWriteFrom
    uint32_t sender = 0; // instance that sent the last packet
    std::function<void(const Packet &)> onOpening;
    bool isDraining = false;
    bool acceptsAlways = false; // whether or not a slot is free
    bool hasStoppedListening = false; // leaves new channels to the kernel's queue
    int backlog = queueLength;
    bool refusesWhenFull = false; // closes its listener instead of leaving channels waiting

    void begin();
    std::string entry() const;
    void beat();
    void onDatagrams();
    void onPacket(const Packet &packet);
    void request(const std::pair<Address, Address> &key, const std::string &text);
    void run(double ms, std::function<void()> done);
    void endRun();
    void answer(const std::pair<Address, Address> &key, const std::string &head, size_t bytes);
    void sendData(const std::pair<Address, Address> &key, ServerFlow &flow);
    void repeat(const std::pair<Address, Address> &key, uint32_t isn);
    void sendTo(const std::pair<Address, Address> &key, uint8_t flags, uint32_t echo, uint32_t seq, uint32_t ack, const std::string &data);
    void gate();
    void listen();
    void stopListening();
    void acceptChannels();
};

//--- Clients

struct Attempt
{
    uint64_t id = 0;
    const Kind *kind = nullptr;
    double begun = 0;
    int tries = 2;
};

struct Flow
{
    std::pair<Address, Address> key; // client and route
    const Kind *kind = nullptr;
    uint32_t echo = 0;
    uint32_t isn = 0;
    uint32_t nextSeq = 0;
    uint32_t ack = 0; // next expected byte of the backend
    uint32_t backendIsn = 0;
    std::string backend;
    bool isOpen = false;
    bool isDone = false;
    int copies = 0;
    double openedAt = 0;
    double idleSince = 0;
    Attempt attempt; // id 0: idle
    std::string requestData;
    uint32_t requestSeq = 0;
    bool isRequestAcked = true;
    int repeats = 0;
    double repeatAt = 0;
    size_t answerBytes = 0; // of the current answer
    std::map<uint32_t, std::string> early;
    int unackedPackets = 0;
    uint64_t ackTimer = 0;
    double lastSystemReset = 0;
};

struct Client
{
    World *world = nullptr;
    std::string zone;
    Address address; // port: datagramPort
    int udp = -1;
    uint16_t nextPort = 20000;
    std::map<std::pair<Address, Address>, std::shared_ptr<Flow>> flows;
    std::map<const Kind *, std::vector<std::shared_ptr<Flow>>> pool;
};

struct World
{
    explicit World(const std::string &dir, uint32_t net, Record &record)
        : net(net), store(loop, { net + (9U << 8U) + 1, 8169 }), fleet(loop, dir, { net + (9U << 8U) + 1, 8169 }), record(record)
    {
    }
    Loop loop;
    uint32_t net;
    Store store;
    Fleet fleet;
    Record &record;
    std::vector<std::unique_ptr<Backend>> backends;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<Kind> kinds;
    double factor = 1;
    double backendsWriteFrom = 0; // when the first of them reaches the store again after an outage
    std::function<void(const Flow &, const Daemon &)> onNewReset;
    bool isTraffic = true;
    uint64_t nextAttempt = 1;
    uint64_t asked = 0, served = 0, shed = 0, failed = 0, newResets = 0, openResets = 0, backendResets = 0, openResetsWithRequest = 0;
    std::map<uint64_t, int> runs; // of requests that may run once, by attempt

    Backend *find(const std::string &id)
    {
        for (const auto &backend : this->backends) {
            if (backend->id == id) {
                return backend.get();
            }
        }
        return nullptr;
    }
    void toClient(const Packet &packet);
    void fromClient(Client &client, Flow &flow, uint8_t flags, uint32_t seq, uint32_t ack, const std::string &data);
    void onReset(Client &client, const Packet &packet, uint32_t from);
    void onPacket(Client &client, const Packet &packet);
    void ask(Client &client, const Attempt &attempt);
    void open(Client &client, std::shared_ptr<Flow> flow);
    void sendRequest(Client &client, std::shared_ptr<Flow> flow, const Attempt &attempt);
    void repeatRequest(Client &client, std::shared_ptr<Flow> flow, uint64_t attempt);
    void fail(Client &client, std::shared_ptr<Flow> flow, bool mayHaveRun);
    void end(Client &client, std::shared_ptr<Flow> flow);
    void sendAck(Client &client, Flow &flow);
};

void Backend::begin()
{
    this->udp = bindSocket(this->address, SOCK_DGRAM);
    this->listen();
    this->world->loop.add(this->udp, [this] { this->onDatagrams(); });
    this->born = wallMs();
    this->beat();
}

std::string Backend::entry() const
{
    return "{\"service\":\"" + this->service + "\",\"address\":\"" + textOf(this->address) + "\",\"zone\":\"" + this->zone
        + "\",\"version\":\"v1\",\"slots\":" + std::to_string(this->slots) + ",\"state\":\"" + (this->isDraining ? "draining" : "ready")
        + "\",\"warmupLeftMs\":0,\"seqNo\":1,\"born\":" + std::to_string(this->born) + "}";
}

void Backend::beat()
{
    if (this->world->store.isAwayNow() || nowMs() < this->world->backendsWriteFrom + this->writeDelay) {
        this->world->loop.after(20, [this] { this->beat(); });
        return;
    }
    this->world->store.beat(this->id, this->entry());
    this->world->loop.after(heartbeatMs, [this] { this->beat(); });
}

// A health check over TCP occupies a slot, so a channel is accepted when a slot is free, or refused while there is no room for its request.
void Backend::gate()
{
    const bool isFull = this->busy >= this->slots && this->queue.size() >= static_cast<size_t>(queueLength);
    if (this->hasStoppedListening || this->acceptsAlways) {
        return;
    }
    const bool mayAccept = this->refusesWhenFull ? !isFull : this->busy < this->slots && this->queue.empty();
    if (mayAccept == this->isAccepting) {
        return;
    }
    this->isAccepting = mayAccept;
    if (!this->refusesWhenFull) {
        this->world->loop.setReading(this->tcp, mayAccept);
    } else if (mayAccept) {
        this->listen();
    } else {
        this->world->loop.remove(this->tcp);
        ::close(this->tcp);
    }
}

void Backend::stopListening()
{
    this->hasStoppedListening = true;
    this->world->loop.setReading(this->tcp, false);
}

void Backend::listen()
{
    this->tcp = bindSocket(this->address, SOCK_STREAM);
    ::listen(this->tcp, this->backlog);
    this->world->loop.add(this->tcp, [this] { this->acceptChannels(); });
}

void Backend::acceptChannels()
{
    const int peer = ::accept4(this->tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (peer < 0) {
        return;
    }
    ++this->accepted;
    char buffer[512];
    if (::recv(peer, buffer, sizeof(buffer), 0) == 0) { // closed without a request
        ::close(peer);
        return;
    }
    this->world->loop.after(500, [peer] { ::close(peer); });
}

void Backend::onDatagrams()
{
    char buffer[2048];
    for (int i = 0; i < 64; ++i) {
        sockaddr_in from{};
        socklen_t length = sizeof(from);
        const ssize_t size = ::recvfrom(this->udp, buffer, sizeof(buffer), 0, reinterpret_cast<sockaddr *>(&from), &length);
        if (size < 8) {
            return;
        }
        this->sender = ntohl(from.sin_addr.s_addr);
        const uint64_t id = get(buffer, 8);
        Packet packet;
        if ((id == 0 || id == this->idNumber) && parse(buffer + 8, static_cast<size_t>(size) - 8, packet)) {
            if (packet.sum != sumOf(packet)) {
                this->world->record.add("UNASKED: %s got a packet that no client wrote so", this->id.c_str());
                continue;
            }
            this->onPacket(packet);
        }
    }
}

void Backend::sendTo(const std::pair<Address, Address> &key, uint8_t flags, uint32_t echo, uint32_t seq, uint32_t ack, const std::string &data)
{
    Packet packet;
    packet.flags = flags;
    packet.echo = echo;
    packet.seq = seq;
    packet.ack = ack;
    packet.src = key.second;
    packet.dst = key.first;
    packet.data = data;
    const std::string text = write(packet);
    const int fd = this->udp;
    this->world->loop.after(clientDelayMs, [text, fd, host = key.first.host] {
        const sockaddr_in to = toSocket({ host, datagramPort });
        static_cast<void>(::sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to)));
    });
}

void Backend::onPacket(const Packet &packet)
{
    const std::pair<Address, Address> key{ packet.src, packet.dst };
    if ((packet.flags & synFlag) != 0) {
        if (this->onOpening) {
            this->onOpening(packet);
        }
        ServerFlow &flow = this->flows[key];
        if (flow.clientSeq != packet.seq + 1 || flow.isn == 0) {
            flow = ServerFlow{};
            flow.isn = static_cast<uint32_t>(randomness()) | 1U;
            flow.clientSeq = packet.seq + 1;
            flow.sentEnd = flow.isn + 1;
            flow.acked = flow.isn;
        }
        flow.echo = packet.echo;
        this->sendTo(key, synFlag | ackFlag, flow.echo, flow.isn, flow.clientSeq, "");
        return;
    }
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        if ((packet.flags & rstFlag) == 0) {
            this->sendTo(key, rstFlag, packet.echo, packet.ack, packet.seq, "");
        }
        return;
    }
    ServerFlow &flow = found->second;
    if ((packet.flags & rstFlag) != 0) {
        this->flows.erase(found);
        return;
    }
    if (!flow.isOpen && packet.ack != flow.isn + 1) {
        this->sendTo(key, rstFlag, packet.echo, packet.ack, packet.seq, "");
        return;
    }
    flow.isOpen = true;
    flow.echo = packet.echo;
    if (static_cast<int32_t>(packet.ack - flow.acked) > 0) {
        flow.acked = packet.ack;
        flow.repeats = 0;
        std::erase_if(flow.unacked, [&](const auto &entry) { return static_cast<int32_t>(entry.first + entry.second.size() - packet.ack) <= 0; });
        this->sendData(key, flow);
    }
    if ((packet.flags & finFlag) != 0) {
        this->sendTo(key, finFlag | ackFlag, flow.echo, flow.sentEnd, packet.seq + 1, "");
        this->flows.erase(key);
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    if (packet.seq != flow.clientSeq) {
        this->sendTo(key, ackFlag, flow.echo, flow.sentEnd, flow.clientSeq, "");
        return;
    }
    flow.clientSeq += static_cast<uint32_t>(packet.data.size());
    const uint32_t expected = flow.clientSeq;
    const uint32_t isn = flow.isn;
    this->world->loop.after(40, [this, key, expected, isn] { // acknowledges a request that isn't answered soon
        const auto open = this->flows.find(key);
        if (open != this->flows.end() && open->second.isn == isn && open->second.clientSeq == expected) {
            this->sendTo(key, ackFlag, open->second.echo, open->second.sentEnd, expected, "");
        }
    });
    this->request(key, packet.data);
}

void Backend::request(const std::pair<Address, Address> &key, const std::string &text)
{
    unsigned long long id = 0;
    double work = 0;
    unsigned long bytes = 0;
    int isSafe = 0;
    if (std::sscanf(text.c_str(), "REQUEST %llu %lf %lu %d", &id, &work, &bytes, &isSafe) != 4) {
        this->world->record.add("UNASKED: %s got a request that cannot be read", this->id.c_str());
        return;
    }
    if (this->busy >= this->slots && this->queue.size() >= static_cast<size_t>(queueLength)) {
        ++this->shed;
        this->answer(key, "503 X-Not-Executed " + std::to_string(id), 100);
        return;
    }
    auto work_ = [this, key, id, work, bytes, isSafe] {
        ++this->ran;
        if (isSafe == 0 && ++this->world->runs[id] > 1) {
            this->world->record.add("request %llu ran twice", id);
        }
        this->run(work, [this, key, id, bytes] { this->answer(key, "200 " + this->id + " " + std::to_string(id), bytes); });
    };
    if (this->busy < this->slots) {
        work_();
    } else {
        this->queue.push_back(work_);
    }
    this->gate();
}

void Backend::run(double ms, std::function<void()> done)
{
    ++this->busy;
    this->world->loop.after(ms, [this, done = std::move(done)] {
        done();
        --this->busy;
        if (!this->queue.empty()) {
            const auto next = std::move(this->queue.front());
            this->queue.pop_front();
            next();
        }
        this->gate();
    });
}

void Backend::answer(const std::pair<Address, Address> &key, const std::string &head, size_t bytes)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        return;
    }
    ServerFlow &flow = found->second;
    std::string text = head + " " + std::to_string(bytes) + "\n";
    text.resize(std::max(bytes, text.size()), '.');
    for (size_t at = 0; at < text.size(); at += maxData) {
        const std::string part = text.substr(at, maxData);
        flow.answers[flow.sentEnd] = part;
        flow.notSent.push_back(flow.sentEnd);
        flow.sentEnd += static_cast<uint32_t>(part.size());
    }
    this->sendData(key, flow);
    if (this->isDraining) { // closes each flow after its next response
        this->sendTo(key, finFlag | ackFlag, flow.echo, flow.sentEnd, flow.clientSeq, "");
    }
}

void Backend::sendData(const std::pair<Address, Address> &key, ServerFlow &flow)
{
    const bool wasEmpty = flow.unacked.empty();
    while (flow.unacked.size() < 16 && !flow.notSent.empty()) {
        const uint32_t seq = flow.notSent.front();
        flow.notSent.pop_front();
        flow.unacked[seq] = flow.answers[seq];
        this->sendTo(key, ackFlag, flow.echo, seq, flow.clientSeq, flow.answers[seq]);
        flow.answers.erase(seq);
    }
    if (wasEmpty && !flow.unacked.empty()) {
        flow.repeatAt = nowMs() + 200;
        this->repeat(key, flow.isn);
    }
}

void Backend::repeat(const std::pair<Address, Address> &key, uint32_t isn)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || found->second.isn != isn || found->second.unacked.empty()) {
        return;
    }
    ServerFlow &flow = found->second;
    if (nowMs() >= flow.repeatAt) {
        if (++flow.repeats > 8) {
            this->flows.erase(found);
            return;
        }
        this->sendTo(key, ackFlag, flow.echo, flow.unacked.begin()->first, flow.clientSeq, flow.unacked.begin()->second);
        flow.repeatAt = nowMs() + std::min(1600, 200 << flow.repeats);
    }
    this->world->loop.after(std::max(1.0, flow.repeatAt - nowMs()), [this, key, isn] { this->repeat(key, isn); });
}

//--- Clients

void World::fromClient(Client &client, Flow &flow, uint8_t flags, uint32_t seq, uint32_t ack, const std::string &data)
{
    Packet packet;
    packet.flags = flags;
    packet.echo = (flags & synFlag) != 0 ? 0 : flow.echo;
    packet.seq = seq;
    packet.ack = ack;
    packet.src = flow.key.first;
    packet.dst = flow.key.second;
    packet.data = data;
    const std::string text = write(packet);
    const uint64_t hash = (uint64_t{ packet.src.host } << 32U | packet.src.port) * 31 + (uint64_t{ packet.dst.host } << 16U) + packet.dst.port;
    this->loop.after(clientDelayMs, [this, &client, text, hash] {
        const Daemon *daemon = this->fleet.route(client.zone, hash);
        if (daemon != nullptr) {
            const sockaddr_in to = toSocket({ daemon->host, datagramPort });
            static_cast<void>(::sendto(client.udp, text.data(), text.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to)));
        }
    });
}

void World::ask(Client &client, const Attempt &attempt)
{
    std::vector<std::shared_ptr<Flow>> &pool = client.pool[attempt.kind];
    while (!pool.empty()) {
        std::shared_ptr<Flow> flow = pool.back();
        pool.pop_back();
        if (!flow->isDone && nowMs() - flow->openedAt < 50'000) {
            this->sendRequest(client, flow, attempt);
            return;
        }
    }
    auto flow = std::make_shared<Flow>();
    flow->kind = attempt.kind;
    client.nextPort = client.nextPort < 60000 ? client.nextPort + 1 : 20000;
    flow->key = { { client.address.host, client.nextPort }, attempt.kind->route };
    flow->isn = static_cast<uint32_t>(randomness());
    flow->nextSeq = flow->isn + 1;
    flow->attempt = attempt;
    flow->openedAt = nowMs();
    client.flows[flow->key] = flow;
    this->open(client, flow);
}

void World::open(Client &client, std::shared_ptr<Flow> flow)
{
    if (flow->isOpen || flow->isDone) {
        return;
    }
    if (flow->copies == 3) {
        this->fail(client, flow, false);
        return;
    }
    this->fromClient(client, *flow, synFlag, flow->isn, static_cast<uint32_t>(flow->copies++), "");
    const double until = flow->copies == 1 ? 200 : flow->copies == 2 ? 400 : 800;
    this->loop.after(until, [this, &client, flow] { this->open(client, flow); });
}

void World::sendRequest(Client &client, std::shared_ptr<Flow> flow, const Attempt &attempt)
{
    flow->attempt = attempt;
    char text[128];
    std::snprintf(text, sizeof(text), "REQUEST %llu %.1f %zu %d ", static_cast<unsigned long long>(attempt.id), attempt.kind->isEven ? attempt.kind->workMs * (0.7 + 0.3 * uniform()) : workOf(attempt.kind->workMs),
                  attempt.kind->answerBytes, attempt.kind->isSafe ? 1 : 0);
    flow->requestData = text;
    flow->requestData.resize(attempt.kind->isSafe ? 120 : 900, ' ');
    flow->requestSeq = flow->nextSeq;
    flow->nextSeq += static_cast<uint32_t>(flow->requestData.size());
    flow->isRequestAcked = false;
    flow->repeats = 0;
    flow->answerBytes = 0;
    flow->repeatAt = nowMs();
    this->repeatRequest(client, flow, attempt.id);
    this->loop.after(std::max(1.0, attempt.begun + attempt.kind->limitMs - nowMs()), [this, &client, flow, id = attempt.id] {
        if (!flow->isDone && flow->attempt.id == id) {
            this->fromClient(client, *flow, rstFlag, flow->nextSeq, flow->ack, "");
            this->fail(client, flow, true);
        }
    });
}

void World::repeatRequest(Client &client, std::shared_ptr<Flow> flow, uint64_t attempt)
{
    if (flow->isDone || flow->isRequestAcked || flow->attempt.id != attempt) {
        return;
    }
    this->fromClient(client, *flow, ackFlag, flow->requestSeq, flow->ack, flow->requestData);
    const double wait = std::min(1600, 200 << flow->repeats++);
    this->loop.after(wait, [this, &client, flow, attempt] { this->repeatRequest(client, flow, attempt); });
}

void World::fail(Client &client, std::shared_ptr<Flow> flow, bool mayHaveRun)
{
    const Attempt attempt = flow->attempt;
    this->end(client, flow);
    if (attempt.id == 0) {
        return;
    }
    const bool mayRetry = attempt.tries > 0 && (attempt.kind->isSafe || !mayHaveRun) && nowMs() - attempt.begun < attempt.kind->limitMs;
    if (!mayRetry) {
        ++this->failed;
        return;
    }
    Attempt next = attempt;
    next.id = this->nextAttempt++;
    --next.tries;
    this->loop.after(50 + 100 * uniform(), [this, &client, next] { this->ask(client, next); });
}

void World::end(Client &client, std::shared_ptr<Flow> flow)
{
    flow->isDone = true;
    flow->attempt = {};
    client.flows.erase(flow->key);
    std::erase(client.pool[flow->kind], flow);
}

void World::sendAck(Client &client, Flow &flow)
{
    flow.unackedPackets = 0;
    this->fromClient(client, flow, ackFlag, flow.nextSeq, flow.ack, "");
}

void World::onReset(Client &client, const Packet &packet, uint32_t from)
{
    const auto found = client.flows.find({ packet.dst, packet.src });
    if (found == client.flows.end()) {
        return;
    }
    const std::shared_ptr<Flow> flow = found->second;
    const Daemon *sender = packet.sum == 0 ? this->fleet.findHost(from) : nullptr;
    const bool isInWindow = static_cast<uint32_t>(packet.seq - flow->ack + 76'800) <= 153'600;
    if (flow->isOpen && !isInWindow) {
        return;
    }
    if (sender == nullptr) {
        ++this->backendResets;
    } else if (!flow->isOpen) {
        ++this->newResets;
        if (this->onNewReset) {
            this->onNewReset(*flow, *sender);
        }
    } else {
        const Backend *backend = this->find(flow->backend);
        const auto held = backend->flows.find(flow->key);
        // idle for longer than idleTimeoutMs, or older than flowMaxS: the rule doesn't count them
        const bool isExcused = (flow->attempt.id == 0 && nowMs() - flow->idleSince > 15'000) || nowMs() - flow->openedAt > 60'000;
        if (held != backend->flows.end() && held->second.isOpen && !isExcused) {
            ++this->openResets;
            this->openResetsWithRequest += flow->attempt.id != 0 ? 1 : 0;
            this->record.add("FLOW: %s reset the open flow %s -> %s (%s) at %s, which lives and holds it; request waiting: %llu%s", sender->name.c_str(),
                             textOf(flow->key.first).c_str(), textOf(flow->key.second).c_str(), flow->kind->name.c_str(), flow->backend.c_str(),
                             static_cast<unsigned long long>(flow->attempt.id),
                             flow->attempt.id != 0 && !flow->kind->isSafe ? " (may run once, so it is lost)" : "");
        }
    }
    this->fail(client, flow, flow->isOpen);
}

void World::onPacket(Client &client, const Packet &packet)
{
    const auto found = client.flows.find({ packet.dst, packet.src });
    if (found == client.flows.end()) {
        return;
    }
    const std::shared_ptr<Flow> flow = found->second;
    if (packet.sum != sumOf(packet)) {
        this->record.add("MIXED: a client got a packet that its sender didn't write so");
        return;
    }
    if ((packet.flags & synFlag) != 0) {
        if (flow->isOpen) {
            if (packet.seq == flow->backendIsn) {
                this->sendAck(client, *flow);
            }
            return;
        }
        flow->isOpen = true;
        flow->backendIsn = packet.seq;
        flow->ack = packet.seq + 1;
        flow->echo = packet.echo;
        for (const auto &backend : this->backends) {
            const auto held = backend->flows.find(flow->key);
            if (held != backend->flows.end() && held->second.isn == packet.seq) {
                flow->backend = backend->id;
            }
        }
        this->sendAck(client, *flow);
        this->sendRequest(client, flow, flow->attempt);
        return;
    }
    if (!flow->isOpen) {
        return;
    }
    flow->echo = packet.echo;
    if (static_cast<int32_t>(packet.ack - flow->nextSeq) >= 0) {
        flow->isRequestAcked = true;
    }
    if ((packet.flags & finFlag) != 0 && packet.seq == flow->ack && flow->attempt.id == 0) {
        this->fromClient(client, *flow, finFlag | ackFlag, flow->nextSeq, flow->ack + 1, "");
        this->end(client, flow);
        return;
    }
    if (packet.data.empty()) {
        return;
    }
    flow->early[packet.seq] = packet.data;
    while (!flow->early.empty() && static_cast<int32_t>(flow->early.begin()->first - flow->ack) < 0) {
        flow->early.erase(flow->early.begin());
        flow->unackedPackets = 2; // a copy
    }
    while (flow->early.contains(flow->ack)) {
        const std::string part = flow->early[flow->ack];
        flow->early.erase(flow->ack);
        if (flow->answerBytes == 0 && flow->attempt.id != 0) {
            unsigned long long id = 0;
            const bool isShed = part.starts_with("503");
            const size_t at = isShed ? part.find("Executed ") + 9 : part.find(' ', 4) + 1;
            id = std::strtoull(part.c_str() + at, nullptr, 10);
            if (id != flow->attempt.id) {
                this->record.add("MIXED: attempt %llu got the answer to %llu", static_cast<unsigned long long>(flow->attempt.id), id);
            }
        }
        flow->ack += static_cast<uint32_t>(part.size());
        flow->answerBytes += part.size();
        ++flow->unackedPackets;
        const bool isShed = part.starts_with("503");
        const size_t whole = isShed ? 100 : flow->kind->answerBytes;
        if (flow->attempt.id != 0 && flow->answerBytes >= whole) {
            const Attempt attempt = flow->attempt;
            flow->attempt = {};
            flow->answerBytes = 0;
            flow->isRequestAcked = true;
            flow->idleSince = nowMs();
            this->served += isShed ? 0 : 1;
            this->shed += isShed ? 1 : 0;
            if (!flow->kind->isLong) {
                this->fromClient(client, *flow, finFlag | ackFlag, flow->nextSeq, flow->ack, "");
                this->end(client, flow);
            } else {
                client.pool[flow->kind].push_back(flow);
            }
            if (isShed && attempt.tries > 0) { // it has not run
                Attempt next = attempt;
                next.id = this->nextAttempt++;
                --next.tries;
                this->loop.after(50 + 100 * uniform(), [this, &client, next] { this->ask(client, next); });
            }
        }
    }
    if (flow->unackedPackets >= 2) {
        this->sendAck(client, *flow);
    } else if (flow->unackedPackets == 1) {
        this->loop.after(40, [this, &client, flow] {
            if (flow->unackedPackets > 0 && !flow->isDone) {
                this->sendAck(client, *flow);
            }
        });
    }
}

Client &addClient(World &w, const std::string &zone, uint32_t host)
{
    auto client = std::make_unique<Client>();
    client->world = &w;
    client->zone = zone;
    client->address = { host, datagramPort };
    client->udp = bindSocket(client->address, SOCK_DGRAM);
    w.loop.add(client->udp, [&w, client = client.get()] {
        char buffer[2048];
        for (int n = 0; n < 64; ++n) {
            sockaddr_in from{};
            socklen_t length = sizeof(from);
            const ssize_t size = ::recvfrom(client->udp, buffer, sizeof(buffer), 0, reinterpret_cast<sockaddr *>(&from), &length);
            if (size < 0) {
                return;
            }
            Packet packet;
            if (!parse(buffer, static_cast<size_t>(size), packet)) {
                w.record.add("MIXED: a client got bytes that are no packet");
                continue;
            }
            w.loop.after(0, [&w, client, packet, host = ntohl(from.sin_addr.s_addr)] {
                (packet.flags & rstFlag) != 0 ? w.onReset(*client, packet, host) : w.onPacket(*client, packet);
            });
        }
    });
    w.clients.push_back(std::move(client));
    return *w.clients.back();
}

Backend &addBackend(World &w, uint32_t number, const std::string &service, const std::string &zone)
{
    auto backend = std::make_unique<Backend>();
    char id[16];
    std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(number * 0x9E3779B1U));
    backend->world = &w;
    backend->id = id;
    backend->idNumber = std::strtoull(id + 2, nullptr, 16);
    backend->service = service;
    backend->zone = zone;
    backend->address = { w.net + (8U << 8U) + number, 8080 };
    w.backends.push_back(std::move(backend));
    return *w.backends.back();
}

/** Writes the first configuration: a route for each kind of request. */
void configure(World &w, int version = 7)
{
    std::string routes;
    std::set<std::string> names;
    for (const Kind &kind : w.kinds) {
        routes += (routes.empty() ? "" : ",") + std::string("{\"name\":\"r-") + kind.name + "\",\"host\":\"" + textOf(kind.route.host) + "\",\"pathPrefix\":\"/"
            + std::to_string(kind.route.port) + "/\",\"kind\":\"" + (kind.isLong ? (kind.isSafe ? "safe" : "unsafe") : "download")
            + "\",\"timeoutMs\":" + std::to_string(static_cast<int>(kind.limitMs)) + ",\"targetLatencyMs\":" + (kind.isSafe ? (kind.isLong ? "250" : "500") : "300")
            + ",\"priority\":" + (kind.isSafe ? "2" : "1") + ",\"service\":\"" + kind.service + "\",\"maxAttempts\":2}";
        names.insert(kind.service);
    }
    std::string services;
    for (const std::string &name : names) {
        services += (services.empty() ? "" : ",") + std::string("{\"name\":\"") + name
            + "\",\"healthPath\":\"/health\",\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}";
    }
    w.store.put("config", "main",
                "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[" + services
                    + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
}

/** Starts all instances and waits until the routers use them. */
void startFleet(World &w)
{
    for (const auto &daemon : w.fleet.all) {
        w.fleet.start(*daemon);
    }
    w.fleet.beginProbes();
    w.loop.runFor(6000);
    for (const auto &daemon : w.fleet.all) {
        if (!daemon->inRotation) {
            std::fprintf(stderr, "%s is not ready\n", daemon->name.c_str());
            std::exit(2);
        }
    }
}

/** A run's folder and network, from the environment: TROUBLE, SEED, RECORD, KEEP. */
struct Run
{
    Run() : record(std::getenv("RECORD") != nullptr ? std::getenv("RECORD") : "record.txt")
    {
        ::signal(SIGPIPE, SIG_IGN);
        if (std::getenv("SEED") != nullptr) {
            randomness.seed(std::strtoull(std::getenv("SEED"), nullptr, 10));
        }
        if (::mkdtemp(this->dir) == nullptr) {
            std::exit(2);
        }
        const char *trouble = std::getenv("TROUBLE");
        this->isTroubled = trouble == nullptr || std::string(trouble) != "0";
        this->world = std::make_unique<World>(this->dir, 0x7F000000U + ((20U + static_cast<uint32_t>(::getpid()) % 200U) << 16U), this->record);
    }
    ~Run()
    {
        this->world.reset();
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->dir, ignored);
        } else {
            std::printf("%s\n", this->dir);
        }
    }
    char dir[32] = "/tmp/review-XXXXXX";
    Record record;
    bool isTroubled = true;
    std::unique_ptr<World> world;
};

} // namespace
