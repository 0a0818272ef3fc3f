#pragma once

// Open feeds (CoAP Observe, RFC 7641) of one instance: serves those it owns, stores copies of others and relays the rest. Does no I/O.
// Feeds are sharded by flow. Each shard has its own mutex, so that worker threads run in parallel.
//
// Sections: packets | messages | slots | time | state

#include "feeds/feedshard.h"

#include <atomic>

namespace hornbeam {

/** All methods are thread safe. Actions are appended; nothing is sent here. Lock order: a shard of feeds, then slots, table, membership. */
class FeedEngine final : public SlotListener
{
public:
    /** Precondition: all references outlive the engine; the directory already contains this instance. */
    FeedEngine(const FeedSettings &settings, const MemberDirectory &directory, const TableSource &tables, SlotProvider &slotProvider, const Clock &clock,
               Counters &counters);

    //--- Packets

    /**
     * Handles a caller's GET with Observe 0 or 1, or its empty ACK or RST, from the network (entry is this instance, hops 0) or from
     * another member. Other packets are ignored. Precondition: `message` is the parsed `origin.packet`.
     */
    void onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out);
    /**
     * Handles a target's response or notification with a token of TokenKind::Feed, or its RST to a message ID of the feeds' range (01).
     * The source must be the endpoint of the registration; others are answered with RST, so that the target drops the registration.
     * Precondition: `message` is the parsed packet.
     */
    void onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out);
    /** Handles an ICMP error from the target's host: its feeds are registered again at once. */
    void onTargetUnreachable(const Endpoint &target);

    //--- Messages

    void onMessage(const FeedMove &move, Actions &out);
    void onMessage(const FeedCopy &copy, Actions &out);
    void onMessage(const FeedMoveAck &taken, Actions &out);
    void onMessage(const FeedDrop &drop, Actions &out);
    void onMessage(const TargetNotice &notice, Actions &out);

    //--- Slots

    void slotGranted(const GrantedSlot &grant, Actions &out) override;
    void slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out) override;

    //--- Time

    /** Processes everything that is due. Must be called at least every 50 ms. */
    void tick(Actions &out);
    /** Starts to move all feeds to other members. Precondition: the directory no longer counts this instance as eligible. Idempotent. */
    void beginDrain(Actions &out);
    /** Whether no feed is open here and no move is outstanding. */
    bool isIdle() const;

    //--- State

    /** Number of feeds that this instance owns. */
    size_t openCount() const;
    /** Number of copies stored for other members. */
    size_t copyCount() const;
    /** One line of key=value fields, for debugging. */
    std::string dump() const;

private:
    FeedShard &shardFor(uint64_t flow) const
    {
        return *this->shards[shardOfFlow(flow)];
    }
    void sweepIfChanged();

    mutable FeedContext context;
    std::vector<std::unique_ptr<FeedShard>> shards;
    std::atomic<uint64_t> lastViewVersion = 0;
    std::atomic<uint64_t> lastTableChanges = 0;
    std::atomic<size_t> nextFirstShard = 0;
    std::atomic<bool> isDrainRateSet = false;
};

} // namespace hornbeam
