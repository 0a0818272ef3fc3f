#pragma once

// One instance without its sockets: hands each event to the part that decides on it, and delivers the messages that the instance sends to itself.
//
// Sections: packets | messages | table | time | planned stop | debugging

#include "core/clock.h"
#include "core/coap.h"
#include "core/counters.h"
#include "feeds/feedengine.h"
#include "membership/membership.h"
#include "peer/actions.h"
#include "peer/keyring.h"
#include "requests/requestengine.h"
#include "slots/slotallocator.h"
#include "slots/slotclient.h"
#include "table/tablestore.h"
#include "table/tablesync.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace hornbeam {

/** Makes another client of places than SlotClient, for comparisons. */
using SlotProviderFactory = std::function<std::unique_ptr<SlotProvider>(const MemberDirectory &, const TableSource &)>;

struct NodeSettings
{
    MembershipSettings membership;
    SlotAllocatorSettings slotAllocator;
    SlotClientSettings slotClient;
    RequestSettings requests;
    FeedSettings feeds;
    SlotProviderFactory slotProviderFactory;          // for comparisons; SlotClient when empty
    Duration drainTimeout = seconds(30);              // time that a planned stop waits for requests in progress and for feeds to move, s
    Duration handoverGracePeriod = milliseconds(500); // time that the record handover has before the instance leaves, ms
};

enum class NodeState : uint8_t {
    Serving,
    Draining,    // waits for requests in progress and for feeds to move
    HandingOver, // has passed its records on
    Drained,     // may exit
};

std::string_view nameOf(NodeState state);

/** Thread safe but for tick(), which one thread at a time may call. Actions are to be carried out by the caller after the method returns. */
class Node
{
public:
    Node(const NodeSettings &settings, const MemberRecord &self, const std::vector<Bytes> &keys, const Clock &clock, Counters &counters, uint64_t seed);

    //--- Packets

    /** A datagram from the fabric to the address of `service`. */
    void onCallerPacket(ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size, Actions &out);
    /** A datagram that arrived on the target socket. */
    void onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, Actions &out);

    //--- Messages

    /** A message from another member, by datagram or stream; its signature has been verified. */
    void onPeerMessage(const PeerMessage &message, Actions &out);

    //--- Table

    /** A table object read from the platform. */
    ApplyResult onTable(const std::string &service, TableVersion version, const std::string &text, Actions &out);
    /** An entry of the platform's list of live instances. */
    void addSeed(MemberId member, ZoneId zone, const Endpoint &peer);

    //--- Time

    /** Runs all timers. To be called every 20 ms or so. Precondition: no other thread is in it. */
    void tick(Actions &out);

    //--- Planned stop

    /** Starts to leave: takes on nothing new, moves its feeds, waits for requests in progress. Repeated calls are ignored. */
    void beginDrain(Actions &out);
    /** Where the planned stop has got to. */
    NodeState state() const;
    /** Tells the zone that this instance is gone. Precondition: the last call. */
    void endDrain(Actions &out);

    /** Puts other keys in force for Echo values. Precondition: one or two. */
    void updateKeys(const std::vector<Bytes> &keys);

    //--- Debugging

    /** Members, tables in force, keeper state, requests and feeds, as text. */
    std::string dump() const;

    /** How far the tables in force here are in force in the zone. */
    TableAgreement tableAgreement() const;
    /** Where to send a message for a member or a listed instance; nothing when it is neither. */
    std::optional<Endpoint> endpointOf(MemberId member) const;
    /** Every member known, of all zones and states. */
    std::vector<MemberRecord> members() const;
    /** Request slots and feed places that this instance holds at targets. */
    size_t heldSlotCount() const;
    /** What this instance hands out as a keeper. */
    AllocatorLoad allocatorLoad() const;
    const MemberDirectory &directory() const;
    const TableStore &tables() const;
    const TableSync &tableSync() const;
    const FeedEngine &feeds() const;
    const RequestEngine &requests() const;

private:
    void dispatchCallerPacket(const Relay &origin, Actions &out);
    void handle(const PeerMessage &message, Actions &out);
    void deliverLocalMessages(Actions &out);
    void updateTableDigest(Actions &out);
    void advanceDrain(Actions &out);

    const NodeSettings settings;
    const MemberId self;
    const Clock &clock;
    Counters &counters;
    KeyRing keyRing;
    Membership membership;
    TableStore tableStore;
    TableSync sync;
    SlotClient slotClient;
    SlotAllocator slotAllocator;
    std::unique_ptr<SlotProvider> customSlotProvider; // in place of slotClient
    SlotProvider &slotProvider;
    RequestEngine requestEngine;
    FeedEngine feedEngine;
    std::atomic<uint64_t> sentTableDigest{ 0 };
    std::atomic<bool> hasDrainStarted{ false };
    std::atomic<NodeState> drainState{ NodeState::Serving };
    TimePoint drainStartedAt; // written before drainState leaves Serving, read by the tick after it
    TimePoint handedOverAt;   // only the tick reads and writes it
};

} // namespace hornbeam
