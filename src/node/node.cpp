#include "node/node.h"

#include "core/upstreamtoken.h"

#include <array>

namespace hornbeam {

namespace {

constexpr std::array<std::string_view, 4> stateNames{ "serving", "draining", "handing_over", "drained" };

// handling a local message can produce another one: a slot request and its grant take two rounds
constexpr int maxLocalDeliveryRounds = 16;

bool isFeedPacket(const CoapMessage &message)
{
    const bool isEmpty = message.code == static_cast<uint8_t>(CoapCode::Empty);
    const bool isObserving = message.code == static_cast<uint8_t>(CoapCode::Get) && message.observe.has_value();
    return isEmpty || isObserving;
}

/** Classifies a target's packet by its token or, when it is empty, by the two high bits of its message ID. */
TokenKind tokenKindOf(const CoapMessage &message)
{
    uint64_t number = 0;
    if (message.code == static_cast<uint8_t>(CoapCode::Empty)) {
        constexpr std::array<TokenKind, 4> kindsByMessageId{ TokenKind::Request, TokenKind::Feed, TokenKind::Probe, TokenKind::Feed };
        return kindsByMessageId.at(message.messageId >> 14U);
    }
    for (const TokenKind kind : { TokenKind::Request, TokenKind::Probe }) {
        if (readToken(message.token, kind, number)) {
            return kind;
        }
    }
    return TokenKind::Feed;
}

} // namespace

std::string_view nameOf(NodeState state)
{
    return stateNames.at(static_cast<size_t>(state));
}

Node::Node(const NodeSettings &settings, const MemberRecord &self, const std::vector<Bytes> &keys, const Clock &clock, Counters &counters, uint64_t seed)
    : settings(settings)
    , self(self.id)
    , clock(clock)
    , counters(counters)
    , keyRing(keys)
    , membership(settings.membership, self, clock, counters, seed)
    , tableStore(clock, counters)
    , sync(this->tableStore, this->membership, clock, counters)
    , slotClient(settings.slotClient, this->membership, this->tableStore, clock, counters)
    , slotAllocator(settings.slotAllocator, this->membership, this->tableStore, clock, counters)
    , customSlotProvider(settings.slotProviderFactory ? settings.slotProviderFactory(this->membership, this->tableStore) : nullptr)
    , slotProvider(this->customSlotProvider ? *this->customSlotProvider : this->slotClient)
    , requestEngine(settings.requests, this->membership, this->tableStore, this->slotProvider, clock, counters, this->keyRing)
    , feedEngine(settings.feeds, this->membership, this->tableStore, this->slotProvider, clock, counters)
{
    this->slotProvider.setListeners(this->requestEngine, this->feedEngine);
}

//--- Packets

void Node::onCallerPacket(ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size, Actions &out)
{
    this->counters.add(Counter::PacketsFromCallers);
    Relay origin;
    origin.service = service;
    origin.caller = caller;
    origin.entry = this->self;
    origin.packet.assign(data, data + size);
    this->dispatchCallerPacket(origin, out);
    this->deliverLocalMessages(out);
}

void Node::dispatchCallerPacket(const Relay &origin, Actions &out)
{
    const auto message = parseCoap(origin.packet);
    if (!message) {
        this->counters.addRefusal(Reason::MalformedPacket);
        return;
    }
    if (origin.packet.size() > maxCallerPacketBytes) {
        this->requestEngine.refuseTooLarge(origin, *message, out);
    } else if (isFeedPacket(*message)) {
        this->feedEngine.onCallerPacket(origin, *message, out);
    } else if (message->isRequest()) {
        this->requestEngine.onCallerPacket(origin, *message, out);
    } else {
        this->counters.addRefusal(Reason::MalformedPacket); // callers are never sent requests, so a response matches nothing
    }
}

void Node::onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, Actions &out)
{
    this->counters.add(Counter::PacketsFromTargets);
    const auto message = parseCoap(data, size);
    if (!message) {
        this->counters.addRefusal(Reason::MalformedPacket);
        return;
    }
    switch (tokenKindOf(*message)) {
    case TokenKind::Request:
        this->requestEngine.onTargetPacket(target, data, size, *message, out);
        break;
    case TokenKind::Probe:
        this->slotAllocator.onTargetPacket(target, Bytes(data, data + size), *message, out);
        break;
    case TokenKind::Feed: // also unmatched packets, which are answered with a reset
        this->feedEngine.onTargetPacket(target, data, size, *message, out);
        break;
    }
    this->deliverLocalMessages(out);
}

//--- Messages

void Node::onPeerMessage(const PeerMessage &message, Actions &out)
{
    this->handle(message, out);
    this->deliverLocalMessages(out);
}

void Node::handle(const PeerMessage &message, Actions &out)
{
    std::visit(
        [this, &out](const auto &typed) {
            using Typed = std::decay_t<decltype(typed)>;
            if constexpr (std::is_same_v<Typed,
                                         Ping> || std::is_same_v<Typed, PingAck> || std::is_same_v<Typed, PingRequest> || std::is_same_v<Typed, ZoneDigest>) {
                this->membership.onMessage(typed, out);
            } else if constexpr (std::is_same_v<Typed, SlotRequest>) {
                this->slotAllocator.onSlotRequest(typed, out);
            } else if constexpr (std::is_same_v<Typed, SlotRelease>) {
                this->slotAllocator.onSlotRelease(typed, out);
            } else if constexpr (std::is_same_v<Typed, HeldSlotsReport>) {
                this->slotAllocator.onHeldReport(typed, out);
            } else if constexpr (std::is_same_v<Typed, SlotGrant>) {
                this->slotClient.onSlotGrant(typed, out);
            } else if constexpr (std::is_same_v<Typed, SlotRefusal>) {
                this->slotClient.onSlotRefusal(typed, out);
            } else if constexpr (std::is_same_v<Typed, HeldSlotsQuery>) {
                this->slotAllocator.onHeldQuery(typed, out);
                this->slotClient.onHeldQuery(typed, out);
            } else if constexpr (std::is_same_v<Typed, Relay>) {
                this->dispatchCallerPacket(typed, out);
            } else if constexpr (std::is_same_v<Typed, RecordHandover>) {
                this->requestEngine.onRecordHandover(typed, out);
            } else if constexpr (std::is_same_v<Typed, TableVersions> || std::is_same_v<Typed, TablePull> || std::is_same_v<Typed, TableText>) {
                this->sync.onMessage(typed, out);
            } else if constexpr (
                std::is_same_v<
                    Typed,
                    StoreQuery> || std::is_same_v<Typed, StoreResponse> || std::is_same_v<Typed, RotationReport> || std::is_same_v<Typed, LoadReport> || std::is_same_v<Typed, ZoneLoad> || std::is_same_v<Typed, AnswerQuery> || std::is_same_v<Typed, AnswerResponse>) {
                // exchanged only between instances that forward flows
            } else {
                this->feedEngine.onMessage(typed, out);
            }
        },
        message);
}

void Node::deliverLocalMessages(Actions &out)
{
    for (int round = 0; round < maxLocalDeliveryRounds; ++round) {
        std::vector<OutgoingMessage> localMessages;
        for (auto *queue : { &out.toPeers, &out.toStreams }) {
            const auto isLocal = [this](const OutgoingMessage &message) { return message.peer == this->self; };
            for (OutgoingMessage &message : *queue) {
                if (isLocal(message)) {
                    localMessages.push_back(message);
                }
            }
            std::erase_if(*queue, isLocal);
        }
        if (localMessages.empty()) {
            return;
        }
        for (const OutgoingMessage &message : localMessages) {
            this->handle(message.message, out);
        }
    }
}

//--- Table

ApplyResult Node::onTable(const std::string &service, TableVersion version, const std::string &text, Actions &out)
{
    const ApplyResult result = this->tableStore.apply(service, version, text);
    if (result == ApplyResult::Applied) {
        this->sync.onLocalChange({ serviceIdOf(service) }, out);
        this->deliverLocalMessages(out);
    }
    return result;
}

void Node::addSeed(MemberId member, ZoneId zone, const Endpoint &peer)
{
    this->membership.addSeed(member, zone, peer);
}

//--- Time

void Node::tick(Actions &out)
{
    this->updateTableDigest(out);
    this->membership.tick(out);
    this->sync.tick(this->membership.takeMembersWithDifferentTables(), out);
    this->slotAllocator.tick(out);
    this->slotProvider.tick(out);
    this->requestEngine.tick(out);
    this->feedEngine.tick(out);
    this->advanceDrain(out);
    this->deliverLocalMessages(out);
}

void Node::updateTableDigest(Actions &out)
{
    const uint64_t digest = this->tableStore.digest();
    if (this->sentTableDigest.exchange(digest) != digest) {
        this->membership.setTableDigest(digest);
        this->membership.sendTableDigest(this->sync.reporter(), out);
    }
}

//--- Planned stop

void Node::beginDrain(Actions &out)
{
    if (this->hasDrainStarted.exchange(true)) {
        return;
    }
    this->drainStartedAt = this->clock.now();
    // the zone has to be told first, or feeds and requests that move away could be sent back to this instance
    this->membership.beginLeave(out);
    this->requestEngine.beginDrain(out);
    this->feedEngine.beginDrain(out);
    this->drainState = NodeState::Draining; // set last: a concurrent tick() relies on the fields set above
    this->deliverLocalMessages(out);
}

void Node::advanceDrain(Actions &out)
{
    const TimePoint now = this->clock.now();
    if (this->drainState == NodeState::Draining) {
        const bool isIdle = this->requestEngine.isIdle() && this->feedEngine.isIdle();
        if (isIdle || now - this->drainStartedAt >= this->settings.drainTimeout) {
            this->requestEngine.handOverRecords(out);
            this->handedOverAt = now;
            this->drainState = NodeState::HandingOver;
        }
    } else if (this->drainState == NodeState::HandingOver && now - this->handedOverAt >= this->settings.handoverGracePeriod) {
        this->drainState = NodeState::Drained;
    }
}

NodeState Node::state() const
{
    return this->drainState;
}

void Node::endDrain(Actions &out)
{
    this->membership.endLeave(out);
}

//--- Debugging

std::string Node::dump() const
{
    std::string text = "state=" + std::string(nameOf(this->state())) + " view=" + std::to_string(this->membership.viewVersion()) + "\n";
    for (const MemberRecord &member : this->membership.members()) {
        text += "member id=" + std::to_string(member.id) + " zone=" + std::to_string(member.zone) + " peer=" + toString(member.peer) + " state="
            + std::string(nameOf(member.state)) + " incarnation=" + std::to_string(member.incarnation) + " revision=" + std::to_string(member.revision) + "\n";
    }
    for (const TableState &table : this->tableStore.states()) {
        text += "table service=" + table.service + " version=" + std::to_string(table.version) + " since_ms=" + std::to_string(table.sinceMs)
            + " refused_version=" + std::to_string(table.refusedVersion) + "\n";
    }
    text += "requests in_progress=" + std::to_string(this->requestEngine.inProgress()) + " record_bytes=" + std::to_string(this->requestEngine.recordBytes())
        + "\n";
    text += "feeds open=" + std::to_string(this->feedEngine.openCount()) + "\n";
    return text + this->slotAllocator.dump() + this->feedEngine.dump();
}

TableAgreement Node::tableAgreement() const
{
    return this->membership.tableAgreement();
}

void Node::updateKeys(const std::vector<Bytes> &keys)
{
    this->keyRing.update(keys);
}

std::vector<MemberRecord> Node::members() const
{
    return this->membership.members();
}

size_t Node::heldSlotCount() const
{
    return this->slotClient.heldCount();
}

AllocatorLoad Node::allocatorLoad() const
{
    return this->slotAllocator.load();
}

std::optional<Endpoint> Node::endpointOf(MemberId member) const
{
    return this->membership.endpointOf(member);
}

const MemberDirectory &Node::directory() const
{
    return this->membership;
}

const TableStore &Node::tables() const
{
    return this->tableStore;
}

const TableSync &Node::tableSync() const
{
    return this->sync;
}

const FeedEngine &Node::feeds() const
{
    return this->feedEngine;
}

const RequestEngine &Node::requests() const
{
    return this->requestEngine;
}

} // namespace hornbeam
