#pragma once

// Stand-in of the clients.

#include "fleet.h"
#include "packets.h"
#include "record.h"

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace standin {

struct CallerFlow
{
    enum class State { Opening, Open, Failed, Closed };
    FlowId id;
    State state = State::Opening;
    uint32_t ownSeq = 0;
    uint32_t peerNext = 0;
    uint32_t lastAck = 0;
    uint32_t echo = 0;
    int64_t openedAt = -1;
    std::string instance; // that took the first packet
    std::string unacked;  // request without an acknowledgement
    uint32_t unackedSeq = 0;
    std::string attempt;              // of the request in progress
    std::function<void(bool)> onOpen; // false: the attempt ended
    std::function<void(const std::string &)> onAnswer;
    std::function<void(bool isFromTarget)> onReset; // of an open flow
};
using CallerFlowPtr = std::shared_ptr<CallerFlow>;

/** A host with callers: one socket, a port of its own for each flow. */
class Callers
{
public:
    Callers(Loop &loop, Record &record, Fleet &fleet, const char *host) : loop(loop), record(record), fleet(fleet), host(ownIp(host))
    {
        this->fd = bindSocket(SOCK_DGRAM, { this->host, fleet.packetPort });
        this->loop.watch(this->fd, POLLIN, [this](short) { this->receive(); });
    }

    CallerFlowPtr open(const Address &service, std::function<void(bool)> onOpen)
    {
        auto flow = std::make_shared<CallerFlow>();
        flow->id = { { this->host, this->nextPort++ }, service };
        flow->ownSeq = static_cast<uint32_t>(random());
        flow->onOpen = std::move(onOpen);
        flow->instance = this->fleet.route(flow->id).name;
        this->flows[flow->id] = flow;
        this->sendOpening(flow, 0);
        this->loop.after(200, [this, flow] { this->sendOpening(flow, 1); });
        this->loop.after(600, [this, flow] { this->sendOpening(flow, 2); });
        this->loop.after(1400, [flow] {
            if (flow->state == CallerFlow::State::Opening) {
                flow->state = CallerFlow::State::Failed;
                flow->onOpen(false);
            }
        });
        return flow;
    }

    // Precondition: the flow is open and has no request in progress.
    void request(const CallerFlowPtr &flow, const std::string &attempt, int64_t workMs, std::function<void(const std::string &)> onAnswer)
    {
        flow->attempt = attempt;
        flow->onAnswer = std::move(onAnswer);
        flow->unacked = "GET /" + attempt + "/" + std::to_string(workMs) + " HTTP/1.1\r\nHost: service\r\nX-Attempt-Id: " + attempt + "\r\n\r\n";
        flow->unackedSeq = flow->ownSeq;
        flow->ownSeq += flow->unacked.size();
        this->record.line("caller: request %s sent on flow %u", attempt.c_str(), flow->id.caller.port);
        this->sendRequest(flow, 200);
    }

    void close(const CallerFlowPtr &flow)
    {
        if (flow->state == CallerFlow::State::Open) {
            flow->state = CallerFlow::State::Closed;
            this->send(flow, flagAck | flagFin, flow->ownSeq, flow->peerNext, "");
        }
    }

private:
    void send(const CallerFlowPtr &flow, uint8_t flags, uint32_t seq, uint32_t ack, const std::string &data)
    {
        Packet packet;
        packet.from = flow->id.caller;
        packet.to = flow->id.service;
        packet.flags = flags;
        packet.seq = seq;
        packet.ack = ack;
        packet.echo = (flags & flagSyn) != 0 ? 0 : flow->echo;
        packet.data = data;
        packet.sum = keyedSum(packet);
        if ((flags & flagSyn) == 0) {
            flow->lastAck = ack;
        }
        const Bytes bytes = encode(packet);
        const sockaddr_in to = native({ this->fleet.route(flow->id).host, this->fleet.packetPort });
        sendto(this->fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    }

    void sendOpening(const CallerFlowPtr &flow, uint32_t copy)
    {
        if (flow->state == CallerFlow::State::Opening) {
            this->send(flow, flagSyn, flow->ownSeq, copy, "");
        }
    }

    void sendRequest(const CallerFlowPtr &flow, int64_t timeout)
    {
        if (flow->unacked.empty() || flow->state != CallerFlow::State::Open) {
            return;
        }
        this->send(flow, flagAck, flow->unackedSeq, flow->peerNext, flow->unacked);
        this->loop.after(timeout, [this, flow, timeout, seq = flow->unackedSeq] {
            if (flow->unackedSeq == seq) {
                this->sendRequest(flow, std::min<int64_t>(timeout * 2, 1600));
            }
        });
    }

    void receive()
    {
        uint8_t buffer[2048];
        for (int i = 0; i < 64; ++i) {
            const ssize_t size = recv(this->fd, buffer, sizeof(buffer), 0);
            if (size < 0) {
                return;
            }
            Packet packet;
            if (!decode(buffer, static_cast<size_t>(size), packet)) {
                this->record.line("caller: malformed packet");
                continue;
            }
            const auto found = this->flows.find({ packet.to, packet.from });
            if (found != this->flows.end()) {
                this->handle(found->second, packet);
            }
        }
    }

    void handle(const CallerFlowPtr &flow, const Packet &packet)
    {
        const bool isGenuine = packet.sum == keyedSum(packet);
        if ((packet.flags & flagReset) != 0) {
            this->handleReset(flow, packet, isGenuine);
            return;
        }
        if (!isGenuine) {
            this->record.line("caller: forged packet on flow %u", flow->id.caller.port);
            return;
        }
        if ((packet.flags & flagSyn) != 0) {
            if (flow->state == CallerFlow::State::Opening) {
                flow->state = CallerFlow::State::Open;
                flow->openedAt = this->loop.now();
                flow->ownSeq += 1;
                flow->peerNext = packet.seq + 1;
                flow->echo = packet.echo;
                this->send(flow, flagAck, flow->ownSeq, flow->peerNext, "");
                flow->onOpen(true);
            }
            return; // the SYN+ACK of another target is ignored
        }
        if (flow->state != CallerFlow::State::Open) {
            return;
        }
        flow->echo = packet.echo;
        if (!flow->unacked.empty() && packet.ack == flow->unackedSeq + flow->unacked.size()) {
            flow->unacked.clear();
        }
        if ((packet.flags & flagFin) != 0) {
            flow->state = CallerFlow::State::Closed;
            this->send(flow, flagAck | flagFin, flow->ownSeq, packet.seq + 1, "");
            return;
        }
        if (packet.data.empty()) {
            return;
        }
        const bool isNew = packet.seq == flow->peerNext;
        flow->peerNext += isNew ? packet.data.size() : 0;
        this->send(flow, flagAck, flow->ownSeq, flow->peerNext, "");
        if (isNew && flow->onAnswer) {
            const auto onAnswer = std::move(flow->onAnswer);
            flow->onAnswer = nullptr;
            this->record.line("caller: request %s answered: %s", flow->attempt.c_str(), packet.data.substr(packet.data.rfind('\n') + 1).c_str());
            onAnswer(packet.data);
        }
    }

    void handleReset(const CallerFlowPtr &flow, const Packet &packet, bool isGenuine)
    {
        if (flow->state == CallerFlow::State::Opening) {
            flow->state = CallerFlow::State::Failed;
            flow->onOpen(false);
            return;
        }
        const auto distance = static_cast<int32_t>(packet.seq - flow->lastAck);
        if (flow->state != CallerFlow::State::Open || std::abs(distance) > 76800) {
            return;
        }
        flow->state = CallerFlow::State::Failed;
        this->record.line("caller: flow %u reset by %s%s%s", flow->id.caller.port, isGenuine ? "its target" : "the system",
                          flow->onAnswer ? ", request in progress: " : "", flow->onAnswer ? flow->attempt.c_str() : "");
        if (flow->onReset) {
            flow->onReset(isGenuine);
        }
    }

    Loop &loop;
    Record &record;
    Fleet &fleet;
    const uint32_t host;
    int fd = -1;
    uint16_t nextPort = 20000;
    std::map<FlowId, CallerFlowPtr> flows;
};

} // namespace standin
