#pragma once

// Handles requests other than feeds, from the caller's packet to the response. Non-idempotent requests run at most once: only the instance that
// issued a request's Echo value runs it, and its record is created before it is sent.
//
// Sections: arrival (requestengine.cpp) | non-idempotent requests (posts.cpp) | exchanges with targets (exchanges.cpp) | drain (drain.cpp)

#include "core/counters.h"
#include "peer/directory.h"
#include "requests/echo.h"
#include "requests/settings.h"
#include "requests/shard.h"
#include "requests/targetexchanges.h"
#include "slots/slotprovider.h"
#include "table/servicetable.h"

namespace hornbeam {

/**
 * Thread safe, except that only one thread at a time may call tick(). Lock order: one shard, then the components called (slots, table,
 * membership) or one of the leaf mutexes of TargetExchanges and TakenOverRecords. Two shards are never locked together.
 */
class RequestEngine final : public SlotListener
{
public:
    /** Precondition: all referenced arguments outlive the engine; the directory already holds this instance's own record. */
    RequestEngine(const RequestSettings &settings, const MemberDirectory &directory, const TableSource &tables, SlotProvider &slotProvider, const Clock &clock,
                  Counters &counters, const KeyRing &keys);

    /** Handles a caller's request without Observe, received from the network fabric or relayed. Precondition: `message` was parsed from `origin.packet`. */
    void onCallerPacket(const Relay &origin, const CoapMessage &message, Actions &out);
    /** Handles a packet above maxCallerPacketBytes. Every instance answers such a request with 4.13, so it never runs. Precondition: as above. */
    void refuseTooLarge(const Relay &origin, const CoapMessage &message, Actions &out);
    /**
     * Handles a packet from a target whose token is of TokenKind::Request, or an empty one (ACK, RST) whose message ID has the high bits 00.
     * A packet that matches no exchange, or comes from a target other than the one addressed, is counted and dropped.
     */
    void onTargetPacket(const Endpoint &target, const uint8_t *data, size_t size, const CoapMessage &message, Actions &out);
    /** Handles the refusal of a datagram by the host of a target. */
    void onTargetUnreachable(const Endpoint &target, Actions &out);
    /** Stores the records of an instance that is leaving. */
    void onRecordHandover(const RecordHandover &message, Actions &out);

    void slotGranted(const GrantedSlot &slot, Actions &out) override;
    void slotRefused(uint64_t request, Reason reason, Duration retryAfter, Actions &out) override;

    /** Ends requests past their deadline and removes expired records. Call it at least every 50 ms. */
    void tick(Actions &out);

    /** Stops issuing Echo values. */
    void beginDrain(Actions &out);
    /** Refuses queued requests, sends the newest records to the successor and accepts no unused Echo value from then on. */
    void handOverRecords(Actions &out);

    /** Whether no request is in progress and, while draining, none is expected with a recently issued Echo value. */
    bool isIdle() const;
    size_t inProgress() const;
    /** Bytes of all records, including those taken over. */
    size_t recordBytes() const;

private:
    using Requests = std::unordered_map<uint64_t, Request>;

    //--- Arrival
    Shard &shardOfFlow(ServiceId service, const Endpoint &caller);
    Shard &shardOfAttempt(uint64_t attempt);
    CallerExchange exchangeOf(const Relay &origin, const CoapMessage &message) const;
    void onIdempotent(const Relay &origin, const CoapMessage &message, Actions &out);
    bool joinInProgress(Shard &shard, const CallerKey &key, const CallerExchange &exchange, const MessageContent &content, Actions &out);
    Reason checkAdmission(ServiceId service, const CoapMessage &message) const;
    Request makeRequest(const CallerExchange &exchange, MessageContent content, const CoapMessage &message) const;
    void refuseNewRequest(const CallerExchange &exchange, Verdict verdict, Reason reason, Actions &out);
    void respond(const CallerExchange &exchange, const MessageContent &content, Actions &out);

    //--- Non-idempotent requests
    void onPost(const Relay &origin, const CoapMessage &message, Actions &out);
    void challenge(const Relay &origin, const CoapMessage &message, Actions &out);
    void relayFirstPost(const Relay &origin, const CallerExchange &exchange, Actions &out);
    void onForeignPost(const Relay &origin, const CoapMessage &message, const EchoValue &value, Actions &out);
    /** The member that can respond to a request with another instance's value; 0 with `refusalReason` None when that is not known yet. */
    MemberId responderFor(const EchoValue &value, Reason &refusalReason) const;
    bool isRecentlyStarted(Incarnation startedMs) const;
    bool relay(const Relay &origin, MemberId peer, Actions &out);
    void onOwnPost(const Relay &origin, const CoapMessage &message, const EchoValue &value, Actions &out);
    void onRepeatedPost(Shard &shard, const Record &record, const CallerExchange &exchange, Actions &out);
    Reason checkFirstUse(const Shard &shard, const EchoValue &value) const;
    void startPost(Shard &shard, const CallerExchange &exchange, const Relay &origin, const CoapMessage &message, uint64_t number, Actions &out);

    //--- Exchanges with targets
    void startRequest(Shard &shard, Request request, Actions &out);
    void startAttempt(Shard &shard, Request request, Actions &out);
    Reason checkGrant(const Request &request, const GrantedSlot &slot) const;
    void send(Request &request, uint64_t attempt, const GrantedSlot &slot, Actions &out);
    void onEmptyPacket(const Endpoint &target, const CoapMessage &message, Actions &out);
    void onResponse(Shard &shard, Requests::iterator it, const CoapMessage &message, const uint8_t *data, size_t size, Actions &out);
    void onShed(Shard &shard, Requests::iterator it, Actions &out);
    void onLateResponse(Shard &shard, uint64_t attempt, const Endpoint &target, const CoapMessage &message, const uint8_t *data, size_t size);
    void onAttemptFailed(Shard &shard, Requests::iterator it, SlotOutcome outcome, Reason reason, Actions &out);
    Reason checkRetry(Shard &shard, const Request &request, Reason cause);
    void retry(Shard &shard, Requests::iterator it, RetryReason reason, Actions &out);
    void refuse(Shard &shard, Requests::iterator it, Reason reason, Duration retryAfter, Actions &out);
    void finish(Shard &shard, Requests::iterator it, Verdict verdict, Reason reason, MessageContent content, Actions &out);
    void endExchange(Requests::iterator it, SlotOutcome outcome, Actions &out);

    //--- Deadlines and drain
    void expireRequests(Shard &shard, bool wasPaused, Actions &out);
    void refuseQueued(Shard &shard, Actions &out);

    const RequestSettings settings;
    const MemberDirectory &directory;
    const TableSource &tables;
    SlotProvider &slotProvider;
    const Clock &clock;
    Counters &counters;
    const MemberId selfId;
    const Incarnation incarnation;
    const uint64_t firstAttempt;
    EchoMaker echoMaker;
    RecordBudget recordBudget;
    TakenOverRecords takenOver;
    TargetExchanges exchanges;
    std::vector<std::unique_ptr<Shard>> shards;
    std::atomic<size_t> requestsInProgress{ 0 };
    std::atomic<uint16_t> callerMessageId{ 0 }; // of the latest non-confirmable response
    std::atomic<int64_t> lastEchoAt{ 0 };       // ns of the clock, of the latest Echo value
    std::atomic<bool> isDraining{ false };
    std::atomic<bool> isHandedOver{ false };
    TimePoint lastTick;
};

} // namespace hornbeam
