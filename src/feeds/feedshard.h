#pragma once

// Feed logic of one shard. The engine holds the shard's mutex during each call.
//
// Sections: callers | targets | owners and copies | time

#include "feeds/feedcontext.h"
#include "feeds/feedcopies.h"
#include "feeds/feedstore.h"
#include "feeds/sequence.h"
#include "peer/actions.h"

#include <map>
#include <mutex>
#include <tuple>

namespace hornbeam {

/** Not thread safe: the caller holds `mutex`. Calls the SlotProvider with it held. */
class FeedShard
{
public:
    FeedShard(size_t number, FeedContext &context);

    std::mutex mutex;

    //--- Callers

    /** Handles a GET with Observe or an empty message. Relays packets of feeds that another member owns. */
    void onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out);

    //--- Targets

    void onTargetPacket(uint64_t number, const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out);
    /** Handles a target's RST to the GET with this message ID. Ignored if no feed of this shard sent it. */
    void onTargetReset(const Endpoint &target, uint16_t messageId);
    void onTargetUnreachable(const Endpoint &target);
    void onNotice(const TargetNotice &notice);
    void slotGranted(const GrantedSlot &grant, Actions &out);
    void slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out);

    //--- Owners and copies

    void onMove(const FeedState &state, MemberId sender, Actions &out);
    void onCopy(const FeedState &state, Actions &out);
    void onTaken(const FeedKey &key, MemberId owner, Actions &out);
    void onDrop(const FeedKey &key);
    /** Schedules a check of all feeds and copies over the next ticks, after a change of the view, a table or a notice. */
    void startSweep();
    bool isIdle() const;

    //--- Time

    void tick(Actions &out);
    size_t openCount() const
    {
        return this->store.feedCount();
    }
    size_t copyCount() const
    {
        return this->copies.size();
    }
    size_t copyBytes() const
    {
        return this->copies.bytes();
    }

private:
    struct OutgoingMove
    {
        MemberId to = 0;
    };
    struct UnconfirmedMove
    {
        FeedKey key;
        TimePoint sentAt;
    };
    struct MoveGroup // feeds with these values in common can share a message
    {
        MemberId to = 0;
        MemberId owner = 0;
        MemberId copyHolder = 0;
        ServiceId service = 0;
        bool operator<(const MoveGroup &other) const
        {
            return std::tie(this->to, this->owner, this->copyHolder, this->service) < std::tie(other.to, other.owner, other.copyHolder, other.service);
        }
    };
    struct MoveItem
    {
        std::shared_ptr<const Bytes> requestTail;
        AdditionalFeed feed;
    };
    struct TakenGroup
    {
        MemberId to = 0;
        ServiceId service = 0;
        bool operator<(const TakenGroup &other) const
        {
            return std::tie(this->to, this->service) < std::tie(other.to, other.service);
        }
    };
    struct MoveMessage // fields common to FeedMove and FeedCopy
    {
        FeedState first;
        std::vector<AdditionalFeed> others;
    };
    using MoveBatch = std::map<MoveGroup, std::vector<MoveItem>>;
    using MoveQueue = std::multimap<std::shared_ptr<const Bytes>, FeedKey>; // ordered by request tail, so that a message contains few different ones

    // callers
    void onCallerEmpty(const Relay &origin, const CoapMessage &message, Actions &out);
    void openFeed(const FeedKey &key, const Relay &origin, const CoapMessage &message, Actions &out);
    void renewFeed(uint32_t index, const Relay &origin, const CoapMessage &message, Actions &out);
    void setPendingRequest(Feed &feed, const CoapMessage &message);
    void updateCopyHolder(uint32_t index, MemberId entry, Actions &out);
    void storeEntryCopy(const FeedKey &key, MemberId owner, const Relay &origin, const CoapMessage &message);
    MemberId relayDestination(const Relay &origin, uint64_t flow) const;
    void relay(const Relay &origin, MemberId owner, Actions &out);
    void refuse(const Relay &origin, const CoapMessage &message, Reason reason, Actions &out);
    void refuseFeed(uint32_t index, CoapCode code, Reason reason, Duration retryAfter, Actions &out);
    void notify(uint32_t index, const CoapMessage &message, const uint8_t *data, size_t size, Actions &out);
    void sendUpdate(uint32_t index, uint8_t code, const Bytes &tail, bool last, Actions &out);
    void retransmitNotification(uint32_t index, Actions &out);

    // targets
    void requestSlot(uint32_t registration, Actions &out);
    void onSlotFailure(uint32_t registration, Reason reason, Duration retryAfter, Actions &out);
    void sendGet(uint32_t registration, Actions &out);
    void sendDeregister(const Registration &registration, Actions &out);
    void onNotification(uint32_t registration, TimePoint previousReceivedAt, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out);
    bool isNewer(const Registration &registration, TimePoint previousReceivedAt, const CoapMessage &message, bool isAnswer) const;
    void onFinalResponse(uint32_t registration, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out);
    void onAnswerTimeout(uint32_t registration, Actions &out);
    void onRegistered(uint32_t registration, const CoapMessage &message, Actions &out);
    void failRegistration(uint32_t registration, SlotOutcome outcome, Actions &out);
    void endRegistration(uint32_t registration, SlotOutcome outcome, bool deregister, Actions &out);
    void replaceTarget(uint32_t index, RetryReason reason, bool replacesUnresponsive, Actions &out);
    void processDueRegistration(uint32_t registration, Actions &out);
    bool isUsable(ServiceId service, const Registration &registration) const;

    // owners and copies
    uint32_t takeOverFeed(const FeedState &state, const FeedKey &key, MemberId sender, Actions &out);
    void addTakenRecipient(uint32_t index, MemberId peer);
    void queueTaken(uint32_t index);
    void checkFeed(uint32_t index, Actions &out);
    void checkCopy(FeedCopyEntry &entry, Actions &out);
    bool isUnknownOrInactive(MemberId member) const;
    MemberId chooseCopyHolder(uint64_t flow) const;
    void sweep(Actions &out);
    void startTargetReplacements(Actions &out);
    void sendMoves(Actions &out);
    MoveGroup moveGroupOf(const Feed &feed, MemberId to) const;
    MoveGroup moveGroupOf(const FeedCopyEntry &copy) const;
    bool takeNextMove(FeedKey &key);
    bool addToBatch(const FeedKey &key, MoveBatch &batch);
    std::vector<MoveMessage> packMessages(const MoveGroup &group, std::vector<MoveItem> &items);
    void sendCopies(Actions &out);
    void sendTaken(Actions &out);
    void removeExpiredCopies();

    // time
    void processDueFeed(uint32_t index, Actions &out);
    void schedule(uint32_t index);
    void closeFeed(uint32_t index, bool deregister, Actions &out);
    void endRegistrations(uint32_t index, bool deregister, Actions &out);
    void removeFeed(uint32_t index);

    FeedContext &context;
    FeedStore store;
    FeedCopies copies;
    std::unordered_map<uint32_t, OutgoingMove> moves;                    // feeds that another member owns now
    std::unordered_map<uint32_t, std::vector<MemberId>> takenRecipients; // members to notify with FeedMoveAck, by feed
    std::map<TakenGroup, std::vector<AdditionalFeed>> pendingTaken;      // FeedMoveAck messages to send in the next tick
    std::map<std::pair<uint32_t, MemberId>, TimePoint> recentTaken;      // when FeedMoveAck was last queued, by feed and recipient
    std::unordered_map<TargetId, TimePoint> unusableTargets;             // draining and failed targets, with the time of the notice
    std::unordered_map<Endpoint, TimePoint> unreachableTargets;          // targets with an ICMP error, with its time
    std::map<MoveGroup, MoveQueue> moveQueues;                           // feeds and copies to be sent to another member
    MoveGroup currentGroup;                                              // group served by the round robin
    std::deque<UnconfirmedMove> unconfirmedMoves;                        // moves sent but not confirmed by FeedMoveAck
    std::deque<uint32_t> targetReplacementQueue;                         // feeds that need another target
    std::deque<FeedKey> copyQueue;                                       // feeds whose copy must be sent
    size_t feedsToCheck = 0;
    size_t copiesToCheck = 0;
    size_t feedCursor = 0;
};

} // namespace hornbeam
