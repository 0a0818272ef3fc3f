#pragma once

// One instance without its I/O: routes each packet, message and timer tick to the component that handles it, and delivers messages addressed to itself.
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

/** Creates an alternative to SlotClient, for benchmark baselines. */
using SlotProviderFactory = std::function<std::unique_ptr<SlotProvider>(const MemberDirectory &, const TableSource &)>;

struct NodeSettings
{
    MembershipSettings membership;
    SlotAllocatorSettings slotAllocator;
    SlotClientSettings slotClient;
    RequestSettings requests;
    FeedSettings feeds;
    SlotProviderFactory slotProviderFactory;          // benchmark baselines only; SlotClient is used when empty
    Duration drainTimeout = seconds(30);              // how long a planned stop waits for requests in progress and for feeds to move, s
    Duration handoverGracePeriod = milliseconds(500); // time for the record handover to be sent before the instance leaves, ms
};

enum class NodeState : uint8_t {
    Serving,
    Draining,    // waits for requests in progress and for feeds to move
    HandingOver, // has sent its outcome records to the successor
    Drained,     // the process may exit
};

std::string_view nameOf(NodeState state);

/** Thread safe, except that only one thread at a time may call tick(). The caller carries out the actions in `out` after a method returns. */
class Node
{
public:
    Node(const NodeSettings &settings, const MemberRecord &self, const std::vector<Bytes> &keys, const Clock &clock, Counters &counters, uint64_t seed);

    //--- Packets

    /** Handles a datagram that the network fabric delivered to the address of `service`. */
    void onCallerPacket(ServiceId service, const Endpoint &caller, const uint8_t *data, size_t size, Actions &out);
    /** Handles a datagram received on the target socket. */
    void onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, Actions &out);

    //--- Messages

    /** Handles a message from another member, received by datagram or stream. Precondition: its signature has been verified. */
    void onPeerMessage(const PeerMessage &message, Actions &out);

    //--- Table

    /** Applies a service table read from the platform. */
    ApplyResult onTable(const std::string &service, TableVersion version, const std::string &text, Actions &out);
    /** Adds an entry of the platform's list of live instances. */
    void addSeed(MemberId member, ZoneId zone, const Endpoint &peer);

    //--- Time

    /** Runs all timers. Call it about every 20 ms. Precondition: no other thread is inside tick(). */
    void tick(Actions &out);

    //--- Planned stop

    /** Starts a planned stop: accepts nothing new, moves feeds to other members and waits for requests in progress. Repeated calls are ignored. */
    void beginDrain(Actions &out);
    /** The current phase of the planned stop. */
    NodeState state() const;
    /** Announces to the zone that this instance has left. Precondition: no other method is called afterwards. */
    void endDrain(Actions &out);

    /** Replaces the keys that sign and verify Echo values. Precondition: one or two keys. */
    void updateKeys(const std::vector<Bytes> &keys);

    //--- Debugging

    /** Members, tables in force, slot allocator state, requests and feeds, as text. */
    std::string dump() const;

    /** How many members of the zone have the same tables in force as this instance. */
    TableAgreement tableAgreement() const;
    /** The address for messages to a member or a listed instance; nullopt when it is neither. */
    std::optional<Endpoint> endpointOf(MemberId member) const;
    /** All known members, of every zone and in every state. */
    std::vector<MemberRecord> members() const;
    /** Number of request and feed slots that this instance holds at targets. */
    size_t heldSlotCount() const;
    /** Slots and services that this instance manages as a slot allocator. */
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
    std::unique_ptr<SlotProvider> customSlotProvider; // replaces slotClient when set
    SlotProvider &slotProvider;
    RequestEngine requestEngine;
    FeedEngine feedEngine;
    std::atomic<uint64_t> sentTableDigest{ 0 };
    std::atomic<bool> hasDrainStarted{ false };
    std::atomic<NodeState> drainState{ NodeState::Serving };
    TimePoint drainStartedAt; // written before drainState leaves Serving; read by tick() afterwards
    TimePoint handedOverAt;   // accessed by tick() only
};

} // namespace hornbeam
