#include "nodenet.h"

#include "core/coap.h"
#include "core/upstreamtoken.h"
#include "peer/codec.h"

#include <ctime>
#include <fstream>

namespace hornbeam {

namespace {

const Bytes benchKey(32, 7);
constexpr Duration tickInterval = milliseconds(20); // as in hornbeamd
constexpr size_t answerBytes = 100;

size_t kindOf(const PeerMessage &message)
{
    return message.index();
}

const size_t relayKind = kindOf(Relay{});

} // namespace

double threadMicros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    constexpr size_t pageBytes = 4096;
    return resident * pageBytes;
}

uint64_t Traffic::controlBytes() const
{
    uint64_t total = 0;
    for (size_t kind = 0; kind < messageKinds; ++kind) {
        total += kind == relayKind ? 0 : this->bytes.at(kind);
    }
    return total;
}

uint64_t Traffic::relays() const
{
    return this->messages.at(relayKind);
}

std::string zoneName(size_t zone)
{
    return "zone-" + std::to_string(zone);
}

std::string tableText(const std::string &service, uint16_t port, uint32_t firstAddress, size_t targets, size_t zones, uint32_t slots)
{
    std::string rows;
    for (size_t i = 0; i < targets; ++i) {
        const Endpoint endpoint{ static_cast<uint32_t>(firstAddress + i), 5683 };
        rows += (i == 0 ? "" : ",") + std::string(R"({"target":"t)") + std::to_string(i) + R"(","address":")" + toString(endpoint) + R"(","zone":")"
            + zoneName(i % zones) + R"(","slots":)" + std::to_string(slots) + R"(,"connections":100000})";
    }
    return R"({"service":")" + service + R"(","port":)" + std::to_string(port) + R"(,"targets":[)" + rows + "]}";
}

NodeNet::NodeNet(size_t members, uint64_t seed) : sealer({ benchKey })
{
    NodeSettings settings;
    for (size_t i = 0; i < members; ++i) {
        const Endpoint peer{ static_cast<uint32_t>(0x0A000001 + i), 7000 };
        const MemberRecord self{ memberIdOf("member-" + std::to_string(i)), zoneIdOf(zoneName(0)), peer, this->clock.wallMillis(), 0, MemberState::Alive };
        Member member;
        member.id = self.id;
        member.counters = std::make_unique<Counters>();
        member.node = std::make_unique<Node>(settings, self, std::vector<Bytes>{ benchKey }, this->clock, *member.counters, seed + i);
        this->nodes.push_back(std::move(member));
    }
    for (const Member &member : this->nodes) {
        for (size_t i = 0; i < members; ++i) {
            const MemberRecord other = this->nodes[i].node->directory().self();
            if (other.id != member.id) {
                member.node->addSeed(other.id, other.zone, other.peer);
            }
        }
    }
}

void NodeNet::pass(Duration time)
{
    for (Duration done{}; done < time; done += tickInterval) {
        this->clock.advance(tickInterval);
        for (size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->nodes[i].isRunning) {
                continue;
            }
            Actions out;
            const double start = threadMicros();
            this->nodes[i].node->tick(out);
            const double spent = threadMicros() - start;
            this->micros += spent;
            this->tickMicros += spent;
            this->perform(i, out);
        }
        this->deliverAll();
    }
}

void NodeNet::deliver(size_t entry, ServiceId service, const Endpoint &caller, const Bytes &packet)
{
    Actions out;
    const double start = threadMicros();
    this->nodes[entry].node->onCallerPacket(service, caller, packet.data(), packet.size(), out);
    this->micros += threadMicros() - start;
    this->perform(entry, out);
    this->deliverAll();
}

void NodeNet::deliverFromTarget(size_t node, const Endpoint &target, const Bytes &packet)
{
    Actions out;
    const double start = threadMicros();
    this->nodes[node].node->onTargetPacket(target, packet.data(), packet.size(), out);
    this->micros += threadMicros() - start;
    this->perform(node, out);
}

void NodeNet::applyTable(const std::string &service, const std::string &text)
{
    for (size_t i = 0; i < this->nodes.size(); ++i) {
        Actions out;
        this->nodes[i].node->onTable(service, 1, text, out);
        this->perform(i, out);
    }
    this->deliverAll();
}

size_t NodeNet::openFeeds() const
{
    size_t total = 0;
    for (const Member &member : this->nodes) {
        total += member.isRunning ? member.node->feeds().openCount() : 0;
    }
    return total;
}

size_t NodeNet::feedCopies() const
{
    size_t total = 0;
    for (const Member &member : this->nodes) {
        total += member.isRunning ? member.node->feeds().copyCount() : 0;
    }
    return total;
}

void NodeNet::perform(size_t from, const Actions &actions)
{
    this->sendMessages(from, actions.toPeers);
    this->sendMessages(from, actions.toStreams);
    for (const OutgoingPacket &packet : actions.toCallers) {
        ++this->answers;
        this->lastAnswer = packet;
        this->acknowledge(from, packet);
    }
    for (const OutgoingPacket &packet : actions.toTargets) {
        this->answerFor(from, packet);
    }
}

void NodeNet::acknowledge(size_t from, const OutgoingPacket &packet)
{
    const auto message = parseCoap(packet.packet);
    if (!message || message->type != CoapType::Confirmable) {
        return;
    }
    size_t entry = (from + 1) % this->nodes.size(); // the fabric takes the caller's packets to any instance
    while (!this->nodes[entry].isRunning) {
        entry = (entry + 1) % this->nodes.size();
    }
    Actions out;
    const Bytes ack = buildCoap(CoapType::Acknowledgement, CoapCode::Empty, message->messageId, {}, {}, "");
    const double start = threadMicros();
    this->nodes[entry].node->onCallerPacket(packet.service, packet.endpoint, ack.data(), ack.size(), out);
    this->micros += threadMicros() - start;
    this->perform(entry, out);
}

void NodeNet::sendMessages(size_t from, const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &message : messages) {
        const double start = threadMicros();
        const auto peer = this->nodes[from].node->endpointOf(message.peer);
        Bytes datagram = this->sealer.seal(encodeMessage(message.message));
        this->micros += threadMicros() - start;
        if (!peer) {
            continue;
        }
        this->traffic.messages.at(kindOf(message.message)) += 1;
        this->traffic.bytes.at(kindOf(message.message)) += datagram.size();
        this->datagrams.push_back({ from, peer->address - 0x0A000001, std::move(datagram) });
    }
}

void NodeNet::deliverAll()
{
    while (!this->datagrams.empty()) {
        const Datagram datagram = std::move(this->datagrams.front());
        this->datagrams.pop_front();
        if (!this->nodes[datagram.to].isRunning) {
            continue;
        }
        Actions out;
        const double start = threadMicros();
        const auto body = this->sealer.open(datagram.bytes.data(), datagram.bytes.size());
        const auto message = decodeMessage(*body);
        this->nodes[datagram.to].node->onPeerMessage(*message, out);
        this->micros += threadMicros() - start;
        this->perform(datagram.to, out);
    }
}

void NodeNet::answerFor(size_t node, const OutgoingPacket &packet)
{
    const auto request = parseCoap(packet.packet);
    if (!request || !request->isRequest()) {
        return;
    }
    std::vector<CoapOption> options;
    if (request->observe.has_value() && *request->observe == 0) {
        options.push_back({ optionObserve, optionValue(1U) });
        this->subscriptions.push_back({ node, packet.endpoint, request->token });
    }
    if (request->token.at(0) == static_cast<uint8_t>(TokenKind::Probe)) {
        const std::string health = R"({"load":0.1,"busy":0})";
        this->deliverFromTarget(node, packet.endpoint, buildCoap(CoapType::Acknowledgement, CoapCode::Content, request->messageId, request->token, {}, health));
        return;
    }
    const CoapCode code = request->code == static_cast<uint8_t>(CoapCode::Post) ? CoapCode::Changed : CoapCode::Content;
    const Bytes answer = buildCoap(CoapType::Acknowledgement, code, request->messageId, request->token, options, std::string(answerBytes, 'x'));
    this->deliverFromTarget(node, packet.endpoint, answer);
}

} // namespace hornbeam
