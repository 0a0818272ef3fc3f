// The links of a world: what passes between callers, instances and targets, and what gets lost on the way. Operators' edits as well.
//
// Sections: links | callers | instances | targets | short tokens | operators

#include "core/upstreamtoken.h"
#include "peer/codec.h"
#include "table/tableparser.h"
#include "world.h"

#include <algorithm>

namespace hornbeam::bench {

namespace {

constexpr double confusedShare = 0.05;
constexpr uint64_t shortTokens = 3;

std::pair<std::string, std::string> linkOf(const std::string &a, const std::string &b)
{
    return a < b ? std::make_pair(a, b) : std::make_pair(b, a);
}

std::string cellOf(const ServiceTable &table, const std::string &target, const std::string &column)
{
    const auto row = std::find_if(table.rows.begin(), table.rows.end(), [&](const TargetRow &one) { return one.name == target; });
    if (row == table.rows.end()) {
        return "";
    }
    if (column == "weight") {
        return std::to_string(row->weight);
    }
    if (column == "slots") {
        return std::to_string(row->slots);
    }
    return column == "state" ? std::string(nameOf(row->state)) : "";
}

} // namespace

//--- Links

void World::cut(const std::string &a, const std::string &b)
{
    this->cuts.insert(linkOf(a, b));
}

void World::mend(const std::string &a, const std::string &b)
{
    this->cuts.erase(linkOf(a, b));
}

bool World::isCut(const std::string &a, const std::string &b) const
{
    return this->cuts.contains(linkOf(a, b));
}

bool World::chance(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

Duration World::delayBetween(const std::string &a, const std::string &b) const
{
    return a == b ? this->settings.innerDelay : this->settings.zoneDelay;
}

void World::pass(const std::string &from, const std::string &to, Duration delay, bool isDatagram, const std::function<void()> &arrive)
{
    if (this->isCut(from, to) || (isDatagram && this->chance(this->settings.loss))) {
        return;
    }
    const auto upTo = [this](Duration most) { return Duration(static_cast<Duration::rep>(this->random() % static_cast<uint64_t>(most.count() + 1))); };
    Duration wait = delay;
    if (isDatagram) {
        wait += upTo(delay / 10) + (this->chance(this->settings.reorders) ? upTo(this->settings.reorderDelay) : Duration::zero());
        if (this->chance(this->settings.duplicates)) {
            this->queue.add(wait + upTo(this->settings.duplicateDelay), arrive);
        }
    }
    this->queue.add(wait, arrive);
}

Instance *World::instanceAt(const Endpoint &peer) const
{
    const auto found = this->instancesByPeer.find(peer);
    return found == this->instancesByPeer.end() ? nullptr : found->second;
}

Target *World::targetAt(const Endpoint &endpoint) const
{
    const auto found = this->targetsByEndpoint.find(endpoint);
    return found == this->targetsByEndpoint.end() ? nullptr : found->second;
}

std::string World::flowOf(const Endpoint &caller) const
{
    const auto found = this->callersByEndpoint.find(caller);
    return found == this->callersByEndpoint.end() ? "unknown" : found->second->settings().name;
}

//--- Callers

void World::sendFromCaller(const std::string &service, const Endpoint &caller, const Bytes &packet)
{
    std::vector<Instance *> live;
    for (const auto &one : this->instances) {
        if (one->inFabric) {
            live.push_back(one.get());
        }
    }
    if (live.empty()) {
        return;
    }
    Instance &entry = *live[this->random() % live.size()];
    ServiceId id = serviceIdOf(service);
    if (this->settings.wiring.confuseServices && this->chance(confusedShare)) {
        id = serviceIdOf(this->serviceNames[this->random() % this->serviceNames.size()]);
    }
    this->events.add(this->flowOf(caller), "to " + entry.name);
    this->pass("callers", entry.zone, this->settings.callerDelay, true, [this, &entry, id, caller, packet] {
        this->runIn(entry, [this, &entry, id, caller, packet] {
            Actions out;
            entry.node->onCallerPacket(id, caller, packet.data(), packet.size(), out);
            this->perform(entry, out);
        });
    });
}

void World::sendToCaller(Instance &from, const OutgoingPacket &packet)
{
    Bytes bytes = packet.packet;
    const auto message = parseCoap(bytes);
    if (this->settings.wiring.refuseAsNotRun && message && message->code == static_cast<uint8_t>(CoapCode::GatewayTimeout)) {
        bytes[1] = static_cast<uint8_t>(CoapCode::ServiceUnavailable);
    }
    this->pass(from.zone, "callers", this->settings.callerDelay, true, [this, service = packet.service, caller = packet.endpoint, bytes] {
        const auto found = this->callersByEndpoint.find(caller);
        if (found != this->callersByEndpoint.end()) {
            found->second->onPacket(service, bytes);
        }
    });
}

//--- Instances

void World::perform(Instance &from, const Actions &actions)
{
    for (const OutgoingPacket &packet : actions.toCallers) {
        this->sendToCaller(from, packet);
    }
    for (const OutgoingPacket &packet : actions.toTargets) {
        this->sendToTarget(from, packet);
    }
    for (const OutgoingMessage &message : actions.toPeers) {
        this->sendPeer(from, message, false);
    }
    for (const OutgoingMessage &message : actions.toStreams) {
        this->sendPeer(from, message, true);
    }
}

bool World::isDropped(const PeerMessage &message) const
{
    const Wiring &wiring = this->settings.wiring;
    const bool isTable =
        std::holds_alternative<TableVersions>(message) || std::holds_alternative<TablePull>(message) || std::holds_alternative<TableText>(message);
    return (wiring.dropFeedCopies && std::holds_alternative<FeedCopy>(message)) || (wiring.dropFeedMoves && std::holds_alternative<FeedMove>(message))
        || (wiring.dropTargetNotices && std::holds_alternative<TargetNotice>(message)) || (wiring.dropTableSpread && isTable);
}

/** Adds a message about a flow to its trace. */
void World::traceMessage(const Instance &from, const Instance &to, const PeerMessage &message)
{
    const std::string way = from.name + " to " + to.name;
    const auto addFeeds = [&](const std::string &what, const Endpoint &first, const std::vector<AdditionalFeed> &others) {
        this->events.add(this->flowOf(first), what + way);
        for (const AdditionalFeed &other : others) {
            this->events.add(this->flowOf(other.caller), what + way);
        }
    };
    if (const auto *relay = std::get_if<Relay>(&message)) {
        this->events.add(this->flowOf(relay->caller), "relay " + way);
    } else if (const auto *move = std::get_if<FeedMove>(&message)) {
        addFeeds("feed move ", move->feed.caller, move->others);
    } else if (const auto *copy = std::get_if<FeedCopy>(&message)) {
        addFeeds("feed copy ", copy->feed.caller, copy->others);
    } else if (const auto *taken = std::get_if<FeedMoveAck>(&message)) {
        addFeeds("feed taken ", taken->caller, taken->others);
    }
}

void World::sendPeer(Instance &from, const OutgoingMessage &message, bool isStream)
{
    const auto endpoint = from.node->endpointOf(message.peer);
    if (!endpoint || this->isDropped(message.message)) {
        return;
    }
    Instance *to = this->instanceAt(*endpoint);
    const auto *relay = std::get_if<Relay>(&message.message);
    if (relay != nullptr && this->settings.wiring.relayAnywhere) {
        const auto running = this->runningInstances();
        to = running[this->random() % running.size()];
    }
    if (to == nullptr) {
        return;
    }
    this->traceMessage(from, *to, message.message);
    const Bytes bytes = encodeMessage(message.message);
    from.peerBytes += bytes.size();
    from.counters.add(relay != nullptr ? Counter::RelayBytesSent : Counter::ControlBytesSent, bytes.size());
    this->pass(from.zone, to->zone, this->delayBetween(from.zone, to->zone), !isStream, [this, to, bytes] {
        this->runIn(*to, [this, to, bytes] {
            const auto decoded = decodeMessage(bytes);
            if (!decoded) {
                ++this->book.undecodable;
                return;
            }
            Actions out;
            to->node->onPeerMessage(*decoded, out);
            this->perform(*to, out);
        });
    });
}

//--- Targets

void World::sendToTarget(Instance &from, const OutgoingPacket &packet)
{
    const Target *target = this->targetAt(packet.endpoint);
    if (target == nullptr) {
        return;
    }
    const Bytes bytes = this->settings.wiring.shortTokens ? this->shorten(from, packet.packet) : packet.packet;
    this->pass(from.zone, target->zone, this->delayBetween(from.zone, target->zone), true, [this, source = from.targetSide, endpoint = packet.endpoint, bytes] {
        const Target *now = this->targetAt(endpoint);
        if (now->isRunning) {
            now->model->onPacket(source, bytes);
        }
    });
}

void World::onTargetSend(Target &from, const Endpoint &to, const Bytes &packet)
{
    const auto found = this->instancesByTarget.find(to);
    if (found == this->instancesByTarget.end()) {
        return;
    }
    Instance &instance = *found->second;
    this->pass(from.zone, instance.zone, this->delayBetween(from.zone, instance.zone), true, [this, &instance, source = from.options.listen, packet] {
        this->runIn(instance, [this, &instance, source, packet] {
            const Bytes bytes = this->settings.wiring.shortTokens ? this->lengthen(instance, packet) : packet;
            Actions out;
            instance.node->onTargetPacket(source, bytes.data(), bytes.size(), out);
            this->perform(instance, out);
        });
    });
}

//--- Short tokens

/** What a balancer would send that has only three tokens. */
Bytes World::shorten(Instance &instance, const Bytes &packet) const
{
    const auto message = parseCoap(packet);
    uint64_t number = 0;
    if (!message || !readToken(message->token, TokenKind::Request, number)) {
        return packet;
    }
    const uint64_t small = number % shortTokens;
    instance.shortened[small] = { message->token, message->messageId };
    return withHeader(message->type, message->code, message->messageId, makeToken(TokenKind::Request, small), packet.data() + message->tailOffset,
                      packet.size() - message->tailOffset);
}

/** What such a balancer would take an answer for: that to the newest request with the token. */
Bytes World::lengthen(Instance &instance, const Bytes &packet) const
{
    const auto message = parseCoap(packet);
    uint64_t number = 0;
    if (!message || !readToken(message->token, TokenKind::Request, number) || !instance.shortened.contains(number)) {
        return packet;
    }
    const auto &[token, messageId] = instance.shortened.at(number);
    return withHeader(message->type, message->code, messageId, token, packet.data() + message->tailOffset, packet.size() - message->tailOffset);
}

//--- Operators

EditResult World::edit(const std::string &who, const std::string &service, const std::vector<TableChange> &changes)
{
    OperatorCalls calls(this->store, this->queue);
    EditSession session(calls, this->clock, who, "edit-" + std::to_string(this->nextEdit++), EditSettings{});
    EditResult result = session.run(service, changes);
    this->events.add(
        "tables", who + " edits " + service + ": outcome " + std::to_string(static_cast<int>(result.outcome)) + " version " + std::to_string(result.version));
    if (result.outcome != EditOutcome::Done) {
        return result;
    }
    this->acceptedVersions[service] = std::max(this->acceptedVersions[service], result.version);
    std::vector<AcceptedCell> &cells = this->acceptedCells[service];
    for (const TableChange &change : changes) {
        if (change.kind == ChangeKind::SetCell) {
            std::erase_if(cells, [&](const AcceptedCell &one) { return one.target == change.target && one.column == change.column; });
            cells.push_back({ change.target, change.column, change.value });
        }
    }
    return result;
}

TableVersion World::acceptedVersion(const std::string &service) const
{
    const auto found = this->acceptedVersions.find(service);
    return found == this->acceptedVersions.end() ? 0 : found->second;
}

std::string World::findLaggard(const std::string &service) const
{
    for (const Instance *one : this->runningInstances()) {
        const auto table = one->node->tables().find(serviceIdOf(service));
        const TableVersion version = table == nullptr ? 0 : table->version;
        if (table == nullptr || version < this->acceptedVersion(service)) {
            return one->name + " has version " + std::to_string(version) + " of " + service + ", accepted was "
                + std::to_string(this->acceptedVersion(service));
        }
        const auto cells = this->acceptedCells.find(service);
        for (const AcceptedCell &cell : cells == this->acceptedCells.end() ? std::vector<AcceptedCell>() : cells->second) {
            const std::string value = cellOf(*table, cell.target, cell.column);
            if (value != cell.value) {
                return one->name + " has " + cell.target + " " + cell.column + " " + value + ", accepted was " + cell.value;
            }
        }
    }
    return "";
}

} // namespace hornbeam::bench
