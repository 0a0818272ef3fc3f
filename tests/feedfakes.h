#pragma once

// Fakes for feed tests: member directory, service table, slot provider, targets that publish states, callers, and the network between them.

#include "core/counters.h"
#include "core/upstreamtoken.h"
#include "feeds/feedengine.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace hornbeam {
inline namespace feed_fakes {

constexpr ZoneId feedZone = 1;
const ServiceId bookingService = serviceIdOf("booking");

/** Member states in one member's view. */
class FakeDirectory final : public MemberDirectory
{
public:
    MemberId selfId = 0;
    std::map<MemberId, MemberState> states;
    uint64_t version = 1;

    MemberRecord self() const override
    {
        return MemberRecord{ selfId, feedZone, {}, 1, 0, MemberState::Alive };
    }
    std::optional<MemberRecord> find(MemberId member) const override
    {
        const auto found = states.find(member);
        return found == states.end() ? std::nullopt : std::optional(MemberRecord{ member, feedZone, {}, 1, 0, found->second });
    }
    std::vector<MemberRecord> eligibleIn(ZoneId) const override
    {
        std::vector<MemberRecord> records;
        for (const auto &[member, state] : states) {
            if (state <= MemberState::Suspect) {
                records.push_back(*find(member));
            }
        }
        return records;
    }
    std::vector<ZoneId> reachableZones() const override
    {
        return { feedZone };
    }
    MemberId ownerIn(ZoneId zone, uint64_t key, size_t rank) const override
    {
        auto records = eligibleIn(zone);
        std::sort(records.begin(), records.end(), [key](const auto &a, const auto &b) { return mixHash(key, a.id) > mixHash(key, b.id); });
        return rank < records.size() ? records[rank].id : 0;
    }
    MemberId flowOwner(uint64_t flow) const override
    {
        return ownerIn(feedZone, flow, 0);
    }
    uint64_t viewVersion() const override
    {
        return version;
    }
};

class FakeTables final : public TableSource
{
public:
    std::shared_ptr<ServiceTable> table = std::make_shared<ServiceTable>();
    uint64_t version = 1;

    std::shared_ptr<const ServiceTable> find(ServiceId service) const override
    {
        return service == bookingService ? table : nullptr;
    }
    std::vector<std::shared_ptr<const ServiceTable>> all() const override
    {
        return { table };
    }
    uint64_t changes() const override
    {
        return version;
    }
};

/** Grants a slot at the first usable target in the next step. */
class FakeSlotProvider final : public SlotProvider
{
public:
    std::vector<AcquireParams> pendingRequests;
    std::map<uint64_t, TargetId> heldSlots;
    Reason refusal = Reason::None;

    void acquireSlot(const AcquireParams &params, Actions &) override
    {
        pendingRequests.push_back(params);
    }
    void releaseSlot(uint64_t request, SlotOutcome, Duration, Actions &) override
    {
        heldSlots.erase(request);
        std::erase_if(pendingRequests, [request](const auto &params) { return params.request == request; });
    }
    void processRequests(SlotListener &listener, const ServiceTable &table, const std::set<TargetId> &unusableTargets, Actions &out)
    {
        for (const AcquireParams &params : std::exchange(pendingRequests, {})) {
            const auto row = std::find_if(table.rows.begin(), table.rows.end(), [&](const TargetRow &each) {
                return each.state == RowState::Active && each.id != params.avoid && !unusableTargets.contains(each.id);
            });
            if (refusal != Reason::None || row == table.rows.end()) {
                listener.slotRefused(params.request, refusal == Reason::None ? Reason::NoTarget : refusal, {}, out);
                continue;
            }
            heldSlots[params.request] = row->id;
            listener.slotGranted(GrantedSlot{ params.request, params.service, feedZone, row->id, row->endpoint }, out);
        }
    }
};

/** A target that identifies observers by instance and token and publishes numbered states to them. */
struct FakeTarget
{
    struct Observer
    {
        MemberId instance = 0;
        Bytes token;
        auto operator<=>(const Observer &) const = default;
    };
    std::set<Observer> observers;
    uint32_t sequence = 1;
    bool silent = false;
    uint16_t messageId = 0;
};

struct FeedNode
{
    FeedNode(MemberId id, const FeedSettings &settings, FakeTables &tables, const Clock &clock) : id(id)
    {
        directory.selfId = id;
        directory.states[id] = MemberState::Alive;
        engine = std::make_unique<FeedEngine>(settings, directory, tables, slotProvider, clock, counters);
    }
    MemberId id;
    bool alive = true;
    FakeDirectory directory;
    FakeSlotProvider slotProvider;
    Counters counters;
    std::unique_ptr<FeedEngine> engine;
};

/** State of a caller that applies RFC 7641, 3.4. */
struct FakeCaller
{
    Endpoint endpoint;
    Bytes token{ 7, 7 };
    std::string state;
    uint32_t sequence = 0;
    uint64_t acceptedAtMs = 0;
    bool hasState = false;
    bool isSequenceIncreasing = true; // each received packet was newer than the previous one
    bool acknowledgesNotifications = true;
    std::set<std::string> seen;
    CoapMessage last;
    uint16_t messageId = 100;
};

/** Members, targets, a caller and the packets between them. Each step delivers everything in transit. */
class FeedTestCluster
{
public:
    ManualClock clock;
    FeedSettings settings;
    FakeTables tables;
    std::map<MemberId, std::unique_ptr<FeedNode>> nodes;
    std::map<Endpoint, FakeTarget> targets;
    std::set<TargetId> unusableTargets;
    FakeCaller caller;
    std::string state = "0";
    std::function<bool()> dropToCaller = [] { return false; };
    std::function<bool()> dropFromTarget = [] { return false; };
    bool delaysPeerMessages = false; // messages of a step are delivered after all members have run it
    std::vector<OutgoingMessage> delayedMessages;

    explicit FeedTestCluster(std::vector<MemberId> members)
    {
        caller.endpoint = Endpoint{ 0x0A000001, 5000 };
        tables.table->name = "booking";
        tables.table->id = bookingService;
        for (uint16_t i = 1; i <= 3; ++i) {
            TargetRow row;
            row.name = "t" + std::to_string(i);
            row.id = i;
            row.zone = feedZone;
            row.endpoint = Endpoint{ 0x0B000000U + i, 5683 };
            tables.table->rows.push_back(row);
            targets[row.endpoint];
        }
        for (const MemberId member : members) {
            join(member);
        }
    }
    void join(MemberId member)
    {
        nodes[member] = std::make_unique<FeedNode>(member, settings, tables, clock);
        for (const auto &[id, node] : nodes) {
            nodes[member]->directory.states[id] = node->alive ? MemberState::Alive : MemberState::Dead;
        }
        setMemberState(member, MemberState::Alive);
    }
    void setMemberState(MemberId member, MemberState state)
    {
        for (auto &[id, node] : nodes) {
            node->directory.states[member] = state;
            ++node->directory.version;
        }
    }
    /** Stops the member without notice; the others learn of it from setMemberState(). */
    void kill(MemberId member)
    {
        nodes[member]->alive = false;
    }
    FeedNode &node(MemberId member)
    {
        return *nodes[member];
    }
    MemberId expectedOwner() const
    {
        return nodes.begin()->second->directory.flowOwner(flowKey(bookingService, caller.endpoint));
    }
    /** Live members that own the caller's feed. */
    std::vector<MemberId> feedOwners() const
    {
        std::vector<MemberId> found;
        for (const auto &[id, node] : nodes) {
            if (node->alive && node->engine->openCount() > 0) {
                found.push_back(id);
            }
        }
        return found;
    }
    MemberId liveMemberExcept(MemberId member) const
    {
        return std::find_if(nodes.begin(), nodes.end(), [member](const auto &each) { return each.first != member && each.second->alive; })->first;
    }
    TargetRow &rowAt(const Endpoint &endpoint)
    {
        return *std::find_if(tables.table->rows.begin(), tables.table->rows.end(), [&](const auto &row) { return row.endpoint == endpoint; });
    }
    /** Targets with at least one observer. */
    std::vector<Endpoint> observedTargets() const
    {
        std::vector<Endpoint> found;
        for (const auto &[endpoint, target] : targets) {
            if (!target.observers.empty()) {
                found.push_back(endpoint);
            }
        }
        return found;
    }

    //--- Callers

    void get(MemberId entry, uint32_t observe, CoapType type = CoapType::Confirmable)
    {
        const std::vector<CoapOption> options{ { optionObserve, optionValue(observe) }, { optionUriPath, optionValue("slots") } };
        deliverFromCaller(entry, buildCoap(type, CoapCode::Get, ++caller.messageId, caller.token, options, ""));
    }
    void sendEmpty(MemberId entry, CoapType type, uint16_t messageId)
    {
        deliverFromCaller(entry, buildCoap(type, CoapCode::Empty, messageId, {}, {}, ""));
    }
    void deliverFromCaller(MemberId entry, Bytes packet)
    {
        Actions out;
        const auto message = parseCoap(packet);
        nodes[entry]->engine->onCallerPacket(Relay{ bookingService, caller.endpoint, entry, 0, std::move(packet) }, *message, out);
        deliverActions(entry, out);
    }

    //--- Targets

    void publish(const std::string &newState)
    {
        state = newState;
        for (auto &[endpoint, target] : targets) {
            ++target.sequence;
            for (const auto &observer : std::set(target.observers)) {
                if (!target.silent && !dropFromTarget()) {
                    notifyFrom(endpoint, observer, target.sequence, state);
                }
            }
        }
    }
    void notifyFrom(const Endpoint &endpoint, const FakeTarget::Observer &observer, uint32_t sequence, const std::string &text)
    {
        const uint16_t id = ++targets[endpoint].messageId;
        deliverFromTarget(endpoint, observer.instance,
                          buildCoap(CoapType::NonConfirmable, CoapCode::Content, id, observer.token, { { optionObserve, optionValue(sequence) } }, text));
    }
    void deliverFromTarget(const Endpoint &endpoint, MemberId instance, const Bytes &packet)
    {
        const auto message = parseCoap(packet);
        Actions out;
        if (nodes[instance]->alive) {
            nodes[instance]->engine->onTargetPacket(endpoint, packet.data(), packet.size(), *message, out);
        }
        deliverActions(instance, out);
    }

    //--- Time

    void run(Duration time)
    {
        for (Duration step{}; step < time; step += milliseconds(50)) {
            clock.advance(milliseconds(50));
            for (auto &[id, node] : nodes) {
                Actions out;
                if (node->alive) {
                    node->engine->tick(out);
                }
                deliverActions(id, out);
            }
            for (const OutgoingMessage &message : std::exchange(delayedMessages, {})) {
                deliverToPeer(message);
            }
        }
    }

private:
    void deliverActions(MemberId from, Actions &out)
    {
        FeedNode &sender = *nodes[from];
        sender.slotProvider.processRequests(*sender.engine, *tables.table, unusableTargets, out);
        for (const OutgoingPacket &packet : out.toCallers) {
            if (!dropToCaller()) {
                receiveAsCaller(from, packet);
            }
        }
        for (const OutgoingPacket &packet : out.toTargets) {
            respondAsTarget(from, packet);
        }
        for (const OutgoingMessage &message : out.toPeers) {
            delaysPeerMessages ? delayedMessages.push_back(message) : deliverToPeer(message);
        }
    }
    void deliverToPeer(const OutgoingMessage &sent)
    {
        const auto found = nodes.find(sent.peer);
        if (found == nodes.end() || !found->second->alive) {
            return;
        }
        Actions out;
        FeedEngine &engine = *found->second->engine;
        if (const auto *relay = std::get_if<Relay>(&sent.message)) {
            engine.onCallerPacket(*relay, *parseCoap(relay->packet), out);
        } else if (const auto *move = std::get_if<FeedMove>(&sent.message)) {
            engine.onMessage(*move, out);
        } else if (const auto *copy = std::get_if<FeedCopy>(&sent.message)) {
            engine.onMessage(*copy, out);
        } else if (const auto *taken = std::get_if<FeedMoveAck>(&sent.message)) {
            engine.onMessage(*taken, out);
        } else if (const auto *drop = std::get_if<FeedDrop>(&sent.message)) {
            engine.onMessage(*drop, out);
        }
        deliverActions(sent.peer, out);
    }
    void respondAsTarget(MemberId from, const OutgoingPacket &sent)
    {
        FakeTarget &target = targets[sent.endpoint];
        const auto message = parseCoap(sent.packet);
        if (target.silent || message->code == 0) {
            return;
        }
        const FakeTarget::Observer observer{ from, message->token };
        std::vector<CoapOption> options;
        if (message->observe == 0U) {
            target.observers.insert(observer);
            options.push_back({ optionObserve, optionValue(target.sequence) });
        } else {
            target.observers.erase(observer);
        }
        deliverFromTarget(sent.endpoint, from, buildCoap(CoapType::Acknowledgement, CoapCode::Content, message->messageId, message->token, options, state));
    }
    void receiveAsCaller(MemberId from, const OutgoingPacket &sent)
    {
        const auto message = parseCoap(sent.packet);
        caller.last = *message;
        const std::string text(sent.packet.begin(), sent.packet.end());
        const std::string payload = text.substr(text.rfind('\xFF') + 1);
        if (message->observe) {
            const bool isNewer = !caller.hasState || isNewerSequence(*message->observe, clock.wallMillis(), caller.sequence, caller.acceptedAtMs);
            caller.isSequenceIncreasing = caller.isSequenceIncreasing && isNewer;
            if (isNewer) {
                caller.state = payload;
                caller.sequence = *message->observe;
                caller.acceptedAtMs = clock.wallMillis();
                caller.hasState = true;
                caller.seen.insert(payload);
            }
        } else {
            caller.state = payload;
        }
        if (message->type == CoapType::Confirmable && caller.acknowledgesNotifications) {
            sendEmpty(from, CoapType::Acknowledgement, message->messageId);
        }
    }
};

} // namespace feed_fakes
} // namespace hornbeam
