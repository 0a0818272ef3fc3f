// Non-idempotent requests: which instance may run one, and how retransmissions are answered.

#include "requests/requestengine.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

void RequestEngine::onPost(const Relay &origin, const CoapMessage &message, Actions &out)
{
    const auto value = decodeEcho(message.echo);
    if (!value.has_value()) {
        // no value, or one of another length, which no instance can have issued
        this->challenge(origin, message, out);
        return;
    }
    const CallerExchange exchange = this->exchangeOf(origin, message);
    if (!this->echoMaker.verify(*value, origin.service, origin.caller)) {
        this->refuseNewRequest(exchange, Verdict::MayHaveRun, Reason::ForeignEcho, out);
        return;
    }
    if (this->echoMaker.isOwn(*value)) {
        this->onOwnPost(origin, message, *value, out);
    } else {
        this->onForeignPost(origin, message, *value, out);
    }
}

void RequestEngine::challenge(const Relay &origin, const CoapMessage &message, Actions &out)
{
    const CallerExchange exchange = this->exchangeOf(origin, message);
    if (this->isDraining.load()) {
        this->relayFirstPost(origin, exchange, out);
        return;
    }
    Reason refusalReason = this->checkAdmission(origin.service, message);
    if (refusalReason == Reason::None && !this->recordBudget.hasRoom(recordOverheadBytes + this->settings.responseReserveBytes)) {
        refusalReason = Reason::RecordsFull;
    }
    if (refusalReason != Reason::None) {
        this->refuseNewRequest(exchange, Verdict::NotRun, refusalReason, out);
        return;
    }
    const uint64_t hash = requestHash(origin.packet.data(), origin.packet.size());
    const ChallengeKey key{ { origin.service, origin.caller, message.token }, message.messageId, hash };
    Shard &shard = this->shardOfFlow(origin.service, origin.caller);
    const std::lock_guard lock(shard.mutex);
    const Bytes *cachedEcho = shard.challenges.find(key);
    if (cachedEcho != nullptr && this->echoMaker.age(*decodeEcho(*cachedEcho)) < this->settings.firstUseWindow) {
        this->respond(exchange, challengeContent(*cachedEcho), out);
        return;
    }
    const Bytes echo = encodeEcho(this->echoMaker.make(origin.service, origin.caller));
    shard.challenges.update(key, echo);
    this->lastEchoAt.store(this->clock.now().time_since_epoch().count());
    this->counters.add(Counter::EchoValuesMade);
    this->respond(exchange, challengeContent(echo), out);
}

void RequestEngine::relayFirstPost(const Relay &origin, const CallerExchange &exchange, Actions &out)
{
    const ZoneId zone = this->directory.self().zone;
    const uint64_t flow = flowKey(origin.service, origin.caller);
    MemberId peer = this->directory.ownerIn(zone, flow, 0);
    if (peer == 0) {
        peer = this->directory.flowOwner(flow);
    }
    if (!this->relay(origin, peer, out)) {
        this->refuseNewRequest(exchange, Verdict::NotRun, Reason::Draining, out);
    }
}

void RequestEngine::onForeignPost(const Relay &origin, const CoapMessage &message, const EchoValue &value, Actions &out)
{
    const CallerExchange exchange = this->exchangeOf(origin, message);
    const auto record = this->takenOver.find({ value.maker, value.incarnation, value.number });
    if (record.has_value()) {
        if (record->requestHash != requestHash(origin.packet.data(), origin.packet.size())) {
            this->challenge(origin, message, out);
            return;
        }
        this->counters.add(Counter::RepeatsAnswered);
        this->respond(exchange, record->answer, out);
        return;
    }
    Reason refusalReason = Reason::None;
    const MemberId peer = this->responderFor(value, refusalReason);
    if (refusalReason == Reason::None && peer == 0) {
        this->counters.add(Counter::RepeatsAwaited);
        return;
    }
    if (refusalReason == Reason::None && !this->relay(origin, peer, out)) {
        refusalReason = Reason::MakerUnreachable;
    }
    if (refusalReason != Reason::None) {
        this->refuseNewRequest(exchange, Verdict::MayHaveRun, refusalReason, out);
    }
}

MemberId RequestEngine::responderFor(const EchoValue &value, Reason &refusalReason) const
{
    const auto maker = this->directory.find(value.maker);
    if (!maker.has_value() || maker->incarnation < value.incarnation) {
        // a recently started process does not know all members yet, nor they it; the views may have converged by the caller's next retransmission
        refusalReason = this->isRecentlyStarted(value.incarnation) || this->isRecentlyStarted(this->incarnation) ? Reason::None : Reason::MakerGone;
        return 0;
    }
    const bool isReplaced = maker->incarnation > value.incarnation;
    if (maker->state == MemberState::Dead && !isReplaced) {
        refusalReason = Reason::MakerGone;
        return 0;
    }
    const std::vector<ZoneId> zones = this->directory.reachableZones();
    if (std::find(zones.begin(), zones.end(), maker->zone) == zones.end()) {
        refusalReason = Reason::MakerUnreachable;
        return 0;
    }
    if (maker->state != MemberState::Left && !isReplaced) {
        return maker->id;
    }
    const MemberId successor = this->directory.ownerIn(maker->zone, mixHash(value.maker, value.incarnation), 0);
    if (successor == 0 || successor == this->selfId) {
        refusalReason = Reason::MakerGone;
    }
    return successor;
}

bool RequestEngine::isRecentlyStarted(Incarnation startedMs) const
{
    const auto window = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(this->settings.membershipConvergenceTime).count());
    return this->clock.wallMillis() < startedMs + window;
}

bool RequestEngine::relay(const Relay &origin, MemberId peer, Actions &out)
{
    if (peer == 0 || peer == this->selfId || origin.hops >= maxRelayHops) {
        return false;
    }
    Relay relayed = origin;
    ++relayed.hops;
    if (relayed.entry == 0) {
        relayed.entry = this->selfId;
    }
    this->counters.add(Counter::RelaysSent);
    out.sendToPeer(peer, std::move(relayed));
    return true;
}

void RequestEngine::onOwnPost(const Relay &origin, const CoapMessage &message, const EchoValue &value, Actions &out)
{
    const CallerExchange exchange = this->exchangeOf(origin, message);
    const uint64_t hash = requestHash(origin.packet.data(), origin.packet.size());
    Shard &shard = this->shardOfFlow(origin.service, origin.caller);
    std::unique_lock lock(shard.mutex);
    if (const Record *record = shard.records.find(value.number)) {
        if (record->requestHash == hash) {
            this->onRepeatedPost(shard, *record, exchange, out);
            return;
        }
        // another request with a used value: it never ran under this number and is issued its own value
        lock.unlock();
        this->challenge(origin, message, out);
        return;
    }
    Reason refusalReason = this->checkFirstUse(shard, value);
    if (refusalReason == Reason::None && shard.records.add(value.number, origin.caller, hash) == nullptr) {
        // without a record of this refusal the request could run later, so all numbers issued so far that have no record are refused as well
        shard.highestRefusedNumber = this->echoMaker.newestNumber();
        refusalReason = Reason::RecordsFull;
    }
    if (refusalReason != Reason::None) {
        this->refuseNewRequest(exchange, verdictOf(refusalReason), refusalReason, out);
        return;
    }
    this->startPost(shard, exchange, origin, message, value.number, out);
}

void RequestEngine::onRepeatedPost(Shard &shard, const Record &record, const CallerExchange &exchange, Actions &out)
{
    if (!record.isDone) {
        shard.requests.at(record.attempt).exchange = exchange;
        return;
    }
    this->counters.add(Counter::RepeatsAnswered);
    this->respond(exchange, record.answer, out);
}

Reason RequestEngine::checkFirstUse(const Shard &shard, const EchoValue &value) const
{
    // records are kept longer than the window, so a number without a record inside it has never run
    if (this->echoMaker.age(value) > this->settings.firstUseWindow) {
        return Reason::RecordExpired;
    }
    if (this->isHandedOver.load()) {
        return Reason::Draining;
    }
    if (value.number <= shard.highestRefusedNumber) {
        return Reason::RecordsFull;
    }
    return Reason::None;
}

void RequestEngine::startPost(Shard &shard, const CallerExchange &exchange, const Relay &origin, const CoapMessage &message, uint64_t number, Actions &out)
{
    const Reason refusalReason = this->checkAdmission(origin.service, message);
    if (refusalReason != Reason::None) {
        // the refusal is recorded, so that a retransmission does not run
        this->counters.addRefusal(refusalReason);
        MessageContent content = refusalContent(Verdict::NotRun, refusalReason, this->settings.retryAfter);
        this->respond(exchange, content, out);
        shard.records.finish(number, Verdict::NotRun, refusalReason, std::move(content), this->clock.now());
        return;
    }
    Request request = this->makeRequest(exchange, extractContent(message, origin.packet.data(), origin.packet.size()), message);
    request.echoNumber = number;
    this->startRequest(shard, std::move(request), out);
}

} // namespace hornbeam
