// Sections: requests | packets out | packets in

#include "callers.h"

#include "flowwire.h"

#include <array>
#include <cstring>

namespace hornbeam::soak {

namespace {
constexpr std::array<milliseconds, 2> openingCopies{ milliseconds(200), milliseconds(600) }; // after the first opening packet
constexpr milliseconds openingPatience(1400);
constexpr milliseconds firstRepeat(200);
constexpr milliseconds longestRepeat(1600);
constexpr seconds requestPatience(3);
constexpr seconds longestFlow(12);
}

//--- Requests

Callers::Callers(const Clock &clock, Findings &findings, Targets &targets, CallerHooks hooks, uint64_t seed)
    : clock(clock), findings(findings), targets(targets), hooks(std::move(hooks)), random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void Callers::tick(bool isOpening)
{
    for (auto flow = this->flows.begin(); flow != this->flows.end();) {
        this->tickFlow(*flow);
        if (!flow->isDone) {
            ++flow;
            continue;
        }
        this->byKey.erase(flow->key);
        flow = this->flows.erase(flow);
    }
    while (isOpening && this->flows.size() < this->wanted) {
        const RequestKind kind = this->random() % 3 == 0 ? RequestKind::NonIdempotent : RequestKind::Idempotent;
        const Route *route = this->hooks.pick(kind, this->random);
        if (route == nullptr) {
            return;
        }
        this->open(route, 2);
    }
}

void Callers::open(const Route *route, uint32_t tries)
{
    Flow &flow = this->flows.emplace_back();
    constexpr uint16_t firstPort = 20000;
    this->nextPort = this->nextPort < UINT16_MAX ? this->nextPort + 1 : firstPort;
    flow.key = { { this->addresses[this->random() % this->addresses.size()], this->nextPort }, route->address };
    flow.route = route;
    flow.begun = this->clock.now();
    flow.sequence = static_cast<uint32_t>(this->random());
    flow.requestsLeft = 1 + this->random() % 30;
    flow.tries = tries;
    this->byKey[flow.key] = &flow;
    this->sendOpening(flow);
}

void Callers::tickFlow(Flow &flow)
{
    const TimePoint now = this->clock.now();
    if (!flow.isOpen) {
        if (now - flow.begun >= openingPatience) {
            this->fail(flow, "never opened");
        } else if (flow.copies <= openingCopies.size() && now >= flow.nextRepeat) {
            this->sendOpening(flow);
        }
        return;
    }
    if (flow.isWaiting && now - flow.requestedAt >= requestPatience) {
        this->fail(flow, "was not answered");
    } else if (flow.isWaiting && now >= flow.nextRepeat) {
        this->sendRequest(flow);
    } else if (!flow.isWaiting && now >= flow.nextRequest) {
        if (flow.requestsLeft == 0 || now - flow.begun >= longestFlow) {
            this->sendBare(flow, true);
            flow.isDone = true;
            return;
        }
        flow.isWaiting = true;
        flow.requestedAt = now;
        flow.repeatWait = firstRepeat;
        this->sendRequest(flow);
    }
}

void Callers::fail(Flow &flow, const char *how)
{
    const TimePoint now = this->clock.now();
    ++this->failed;
    flow.isDone = true;
    const TimePoint since = flow.isOpen ? flow.requestedAt : flow.begun;
    const bool mayRepeat = !flow.isOpen || flow.route->kind == RequestKind::Idempotent;
    if (flow.tries > 0 && mayRepeat && !this->hooks.isDropped(flow.key.service)) {
        this->open(flow.route, flow.tries - 1);
        return;
    }
    if (this->hooks.isCalm(since, now) && !this->hooks.isDropped(flow.key.service)) {
        this->findings.add(now,
                           "a request of " + toString(flow.key.caller) + " on " + flow.route->name + " " + how + " although nothing was disturbed, target "
                               + flow.target);
    }
}

//--- Packets out

void Callers::sendOpening(Flow &flow)
{
    const TimePoint now = this->clock.now();
    flow.nextRepeat = flow.copies < openingCopies.size() ? flow.begun + openingCopies[flow.copies] : now + openingPatience;
    FlowPacket packet;
    packet.flow = flow.key;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.copies++;
    packet.isOpening = true;
    this->hooks.send(flow.key, standins::writeCallerPacket(packet, {}));
}

void Callers::sendRequest(Flow &flow)
{
    flow.nextRepeat = this->clock.now() + flow.repeatWait;
    flow.repeatWait = std::min<Duration>(longestRepeat, flow.repeatWait * 2);
    FlowPacket packet;
    packet.flow = flow.key;
    packet.token = flow.token;
    packet.sequence = flow.sequence + 1 + flow.requestsDone * requestBytes;
    packet.acknowledged = flow.acknowledged;
    Bytes content(requestBytes);
    const uint64_t request = mixHash(flow.key.caller.key(), mixHash(flow.sequence, flow.requestsDone));
    std::memcpy(content.data(), &request, sizeof(request));
    this->hooks.send(flow.key, standins::writeCallerPacket(packet, content));
}

void Callers::sendBare(const Flow &flow, bool isClosing)
{
    FlowPacket packet;
    packet.flow = flow.key;
    packet.token = flow.token;
    packet.sequence = flow.sequence + 1 + flow.requestsDone * requestBytes;
    packet.acknowledged = flow.acknowledged;
    packet.isClosing = isClosing;
    this->hooks.send(flow.key, standins::writeCallerPacket(packet, {}));
}

//--- Packets in

void Callers::onAnswer(const Answer &answer)
{
    const auto found = this->byKey.find(answer.flow);
    if (found == this->byKey.end() || found->second->isDone) {
        return;
    }
    Flow &flow = *found->second;
    flow.token = answer.token;
    if (answer.isReset) {
        this->fail(flow, "was reset by its target");
        return;
    }
    if (answer.isOpening) {
        if (!flow.isOpen) {
            flow.isOpen = true;
            flow.targetSequence = answer.sequence;
            flow.acknowledged = answer.sequence + 1;
            flow.target = answer.target;
            flow.nextRequest = this->clock.now();
            this->sendBare(flow, false);
        }
        return;
    }
    if (flow.isWaiting && answer.hasContent && answer.target == flow.target && answer.sequence == flow.acknowledged) {
        flow.isWaiting = false;
        flow.acknowledged += answerBytes;
        ++flow.requestsDone;
        flow.requestsLeft = answer.isLast ? 0 : flow.requestsLeft - 1;
        ++this->answered;
        constexpr int longestPauseMs = 600;
        flow.nextRequest = this->clock.now() + milliseconds(this->random() % longestPauseMs);
        this->sendBare(flow, false);
    }
}

void Callers::onReset(const FlowKey &key, uint32_t sequence, uint32_t instanceAddress)
{
    const TimePoint now = this->clock.now();
    const auto found = this->byKey.find(key);
    if (found == this->byKey.end() || found->second->isDone) {
        return;
    }
    Flow &flow = *found->second;
    ++this->resets;
    constexpr uint32_t resetWindow = 76'800; // bytes; the caller ignores a reset whose sequence is further away
    if (flow.isOpen && static_cast<uint32_t>(sequence - flow.acknowledged + resetWindow) > 2 * resetWindow) {
        return;
    }
    const SoakTarget *target = this->targets.find(flow.target);
    const bool isLiving = flow.isOpen && target->isAlive() && target->disturbance.isCalm(now) && target->flows.contains(key);
    if (isLiving && this->hooks.isInTouch(instanceAddress, now) && !this->hooks.isDropped(key.service)) {
        this->findings.add(now,
                           "an open flow of " + toString(key.caller) + " at " + flow.target + " was reset by instance " + toString({ instanceAddress, 0 })
                               + " while its target served");
    }
    this->fail(flow, "was reset");
}

} // namespace hornbeam::soak
