#pragma once

// Open feeds (CoAP Observe, RFC 7641) of one instance: owns some, keeps copies of others, relays the rest. Pure decisions, no socket.
// Each feed belongs to a shard by its flow; a shard has a mutex of its own, so that workers go on side by side.
//
// Sections: packets | messages | places | time | state

#include "feeds/feedshard.h"

#include <atomic>

namespace hornbeam {

/** All methods are thread safe. Actions are appended; nothing is sent here. Lock order: a shard of feeds, then slots, table, membership. */
class FeedEngine final : public SlotListener
{
public:
    /** Precondition: all references outlive the engine; the directory knows this instance by now. */
    FeedEngine(const FeedSettings &settings, const MemberDirectory &directory, const TableSource &tables, SlotProvider &slotProvider, const Clock &clock,
               Counters &counters);

    //--- Packets

    /**
     * A caller's GET with Observe 0 or 1, or its empty ACK or RST, from the fabric (entry is this instance, hops 0) or from another
     * member. Others are ignored. Precondition: `message` is the parsed `origin.packet`.
     */
    void onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out);
    /**
     * A target's answer or notification with a token of TokenKind::Feed, or its RST to a message ID of the feeds' range (01). Checked
     * against the endpoint that was registered at; unknown ones are answered by RST, so that the target drops the registration.
     * Precondition: `message` is the parsed packet.
     */
    void onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out);
    /** The target's host refused a packet (ICMP): its feeds are registered again at once. */
    void onTargetUnreachable(const Endpoint &target);

    //--- Messages

    void onMessage(const FeedMove &move, Actions &out);
    void onMessage(const FeedCopy &copy, Actions &out);
    void onMessage(const FeedTaken &taken, Actions &out);
    void onMessage(const FeedDrop &drop, Actions &out);
    void onMessage(const TargetNotice &notice, Actions &out);

    //--- Places

    void slotGranted(const GrantedSlot &grant, Actions &out) override;
    void slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out) override;

    //--- Time

    /** Runs what is due; to be called every 50 ms or less. */
    void tick(Actions &out);
    /** Begins to move every feed away. Precondition: the directory no longer counts this instance as eligible. Idempotent. */
    void beginDrain(Actions &out);
    /** Whether no feed is open here and nothing is left to move. */
    bool isIdle() const;

    //--- State

    /** Feeds that this instance owns. */
    size_t openCount() const;
    /** Copies held for others. */
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
