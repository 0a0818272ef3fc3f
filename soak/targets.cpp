// Sections: life | packets in | answers

#include "targets.h"

#include "flowwire.h"
#include "platform/packetheader.h"

#include <boost/asio/io_context.hpp>
#include <cstring>

namespace hornbeam::soak {

namespace {
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

constexpr uint16_t targetPort = 9000;
constexpr milliseconds oneWay(1);
constexpr milliseconds workTime(15);
constexpr uint32_t lostOfThousand = 2; // datagrams
}

//--- Life

Targets::Targets(boost::asio::io_context &context, const Clock &clock, Findings &findings, TargetHooks hooks)
    : context(context), clock(clock), findings(findings), hooks(std::move(hooks))
{
}

SoakTarget &Targets::add(const std::string &service, const std::string &zone, const Endpoint &address)
{
    auto target = std::make_unique<SoakTarget>();
    const auto number = static_cast<uint32_t>(this->targets.size() + 1);
    constexpr uint64_t spread = 0x9E3779B1; // names of 8 hexadecimal digits that share no prefix
    char name[16];
    std::snprintf(name, sizeof(name), "i-%08x", static_cast<uint32_t>(number * spread));
    target->record.name = name;
    target->record.service = service;
    target->record.zone = zone == "zone-1" ? 1 : 2;
    target->record.deliveryId = deliveryIdOf(name);
    target->record.incarnation = ++this->incarnations;
    target->record.slots = 2;
    target->record.address = address.address != 0 ? address : Endpoint{ this->network + number, targetPort };
    const auto host = boost::asio::ip::address_v4(target->record.address.address);
    target->packets = std::make_unique<udp::socket>(this->context, udp::endpoint(host, targetPort));
    target->checks = std::make_unique<tcp::acceptor>(this->context, tcp::endpoint(host, targetPort));
    target->coldUntil = this->findings.start == TimePoint{} ? TimePoint{} : this->clock.now() + warmupTime;
    SoakTarget &added = *target;
    this->targets.push_back(std::move(target));
    this->receive(added);
    this->acceptChecks(added);
    return added;
}

void Targets::end(SoakTarget &target)
{
    target.packets.reset();
    target.checks.reset();
    target.flows.clear();
}

std::vector<SoakTarget *> Targets::living(const std::string &service)
{
    std::vector<SoakTarget *> found;
    for (const auto &target : this->targets) {
        if (target->isAlive() && (service.empty() || target->record.service == service)) {
            found.push_back(target.get());
        }
    }
    return found;
}

SoakTarget *Targets::find(const std::string &name)
{
    for (const auto &target : this->targets) {
        if (target->record.name == name) {
            return target.get();
        }
    }
    return nullptr;
}

void Targets::acceptChecks(SoakTarget &target)
{
    target.checks->async_accept([this, &target](const error_code &error, const tcp::socket &) {
        if (!error && target.checks != nullptr) {
            this->acceptChecks(target);
        }
    });
}

//--- Packets in

void Targets::receive(SoakTarget &target)
{
    target.packets->async_receive_from(boost::asio::buffer(target.buffer), target.sender, [this, &target](const error_code &error, size_t size) {
        if (!target.isAlive() || error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            this->onDatagram(target, size);
        }
        if (target.isAlive()) {
            this->receive(target);
        }
    });
}

void Targets::onDatagram(SoakTarget &target, size_t size)
{
    const TimePoint now = this->clock.now();
    const uint32_t instance = target.sender.address().to_v4().to_uint();
    if (target.isFrozen || this->hooks.isCut(instance, target) || this->random() % 1000 < lostOfThousand) {
        return;
    }
    uint64_t delivery = 0;
    for (size_t i = 0; i < deliveryIdBytes && i < size; ++i) {
        delivery = delivery << 8U | target.buffer[i];
    }
    const uint8_t *data = target.buffer.data() + deliveryIdBytes;
    const std::optional<FlowPacket> packet = size < deliveryIdBytes ? std::nullopt : parsePacket(data, size - deliveryIdBytes);
    if (!packet.has_value() || !standins::isUnchanged(data, size - deliveryIdBytes)) {
        this->findings.add(now, "target " + target.record.name + " got a packet that no caller wrote so");
        return;
    }
    if (delivery != 0 && delivery != target.record.deliveryId) {
        return; // meant for an earlier process at this address
    }
    if (packet->isOpening) {
        this->onOpening(target, *packet);
    } else {
        this->onPacket(target, *packet, data + packetHeaderBytes);
    }
}

void Targets::onOpening(SoakTarget &target, const FlowPacket &packet)
{
    const TimePoint now = this->clock.now();
    const uint32_t instance = target.sender.address().to_v4().to_uint();
    const bool isInTouch = this->hooks.isInTouch(instance, now);
    if (isInTouch && this->hooks.isEvacuatedForLong(zoneNameOf(target.record), now)) {
        this->findings.add(now,
                           "target " + target.record.name + " got a new flow from " + toString({ instance, 0 }) + " too long after its zone was evacuated");
    }
    if (this->hooks.takeProbe(packet.flow, target, instance)) {
        return;
    }
    this->checkWarmup(target, now);
    const Route *route = this->hooks.findRoute(packet.flow.service);
    if (route == nullptr || route->shares.front().service != target.record.service) {
        this->findings.add(now, "target " + target.record.name + " of " + target.record.service + " got a new flow of another service's route");
        return;
    }
    if (isInTouch && target.refusesSince != TimePoint{} && now - target.refusesSince > drainBound) {
        this->findings.add(now, "target " + target.record.name + " got a new flow too long after the store knew that it drains");
    }
    if (isInTouch && this->hooks.isDroppedForLong(packet.flow.service, now)) {
        this->findings.add(now, "a new flow was placed on route " + route->name + " too long after it was dropped");
    }
    SoakTarget::Flow &flow = target.flows[packet.flow];
    if (flow.callerSequence != packet.sequence) {
        flow = { packet.sequence, static_cast<uint32_t>(this->random()), packet.sequence + 1, false };
    }
    this->send(oneWay, { packet.flow, packet.token, flow.sequence, packet.sequence + 1, target.record.name, true, false, false });
}

void Targets::checkWarmup(SoakTarget &target, TimePoint now)
{
    target.openings.push_back(now);
    while (now - target.openings.front() >= seconds(1)) {
        target.openings.pop_front();
    }
    if (now < target.coldUntil && target.openings.size() > warmupLimit) {
        this->findings.add(now, "cold target " + target.record.name + " got " + std::to_string(target.openings.size()) + " opening packets in a second");
    }
    this->coldOpenings += now < target.coldUntil ? 1 : 0;
}

void Targets::onPacket(SoakTarget &target, const FlowPacket &packet, const uint8_t *content)
{
    const auto found = target.flows.find(packet.flow);
    if (found == target.flows.end() || (!found->second.isOpen && packet.acknowledged != found->second.sequence + 1)) {
        this->send(oneWay, { packet.flow, packet.token, packet.acknowledged, 0, target.record.name, false, true, false });
        return;
    }
    SoakTarget::Flow &flow = found->second;
    this->opened += flow.isOpen ? 0 : 1;
    flow.isOpen = true;
    if (packet.isClosing) {
        target.flows.erase(found);
        return;
    }
    if (packet.contentBytes == requestBytes) {
        this->runRequest(target, packet, flow, content);
    }
}

void Targets::runRequest(SoakTarget &target, const FlowPacket &packet, SoakTarget::Flow &flow, const uint8_t *content)
{
    const bool isNew = packet.sequence == flow.expected;
    if (!isNew && static_cast<int32_t>(packet.sequence - flow.expected) > 0) {
        return; // an earlier one is missing
    }
    if (isNew) {
        uint64_t request = 0;
        std::memcpy(&request, content, sizeof(request));
        const Route *route = this->hooks.findRoute(packet.flow.service);
        if (route != nullptr && route->kind == RequestKind::NonIdempotent && !this->once.insert(request).second) {
            this->findings.add(this->clock.now(), "request " + std::to_string(request) + " ran twice");
        }
        ++this->ran;
        flow.expected += requestBytes;
    }
    const uint32_t number = (packet.sequence - flow.callerSequence - 1) / requestBytes;
    Answer answer{ packet.flow, packet.token, 0, packet.sequence + packet.contentBytes, target.record.name };
    answer.sequence = static_cast<uint32_t>(flow.sequence + 1 + number * answerBytes);
    answer.hasContent = true;
    answer.isLast = target.record.isDraining;
    this->send(isNew ? workTime : Duration(oneWay), std::move(answer));
}

//--- Answers

void Targets::send(Duration delay, Answer answer)
{
    this->due.emplace(this->clock.now() + delay, std::move(answer));
}

void Targets::tick()
{
    const TimePoint now = this->clock.now();
    while (!this->due.empty() && this->due.begin()->first <= now) {
        const Answer answer = std::move(this->due.begin()->second);
        this->due.erase(this->due.begin());
        const SoakTarget *target = this->find(answer.target);
        if (target->isAlive() && !target->isFrozen && this->random() % 1000 >= lostOfThousand) {
            this->hooks.answer(answer);
        }
    }
}

} // namespace hornbeam::soak
