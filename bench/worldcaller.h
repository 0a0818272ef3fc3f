#pragma once

// A caller on paused time: one request or one feed at a time over CoAP, with the retransmissions of RFC 7252, 4.2, the Echo value of
// RFC 9175 and the freshness of RFC 7641, 3.4. It checks that what it gets is whole and its own.

#include "core/coap.h"
#include "eventqueue.h"
#include "worldledger.h"

#include <random>

namespace hornbeam::bench {

struct CallerSettings
{
    std::string name; // also its flow in the trace
    CallerKind kind = CallerKind::Read;
    std::string service;
    Endpoint endpoint;
    Duration think = milliseconds(200);     // mean pause between two requests
    Duration ackTimeout = seconds(2);       // first wait before a repeat; doubles (RFC 7252, 4.8)
    uint32_t repeats = 4;                   // most repeats of one message
    uint32_t brochureBytes = 20000;         // length that a whole brochure has
    Duration feedPatience = seconds(35);    // a silent feed is registered again after this long: Max-Age and some more
    Duration requestPatience = seconds(60); // a request as a whole
};

/** What a caller needs of its surroundings. */
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    /** Sends a packet to the service's address, which the fabric hands to any instance. */
    virtual void sendFromCaller(const std::string &service, const Endpoint &caller, const Bytes &packet) = 0;
};

/** Not thread safe. */
class WorldCaller
{
public:
    /** Precondition: all references outlive the caller. */
    WorldCaller(CallerSettings settings, CallerPort &port, EventQueue &queue, const Clock &clock, Ledger &ledger, Trace &trace, uint64_t seed);

    /** Begins with its first request or its feed after a part of its pause. */
    void begin();
    /** Starts no more requests and closes its feed. */
    void end();
    /** A packet from the address of `service`. */
    void onPacket(ServiceId service, const Bytes &packet);
    const CallerSettings &settings() const;
    bool isBusy() const;

private:
    void scheduleNext();
    void beginRequest();
    void sendRequest();
    void transmit(uint32_t generation, Duration wait, uint32_t repeatsLeft);
    void onAnswer(const CoapMessage &message, const Bytes &packet);
    void onChallenge(const CoapMessage &message);
    void onBlock(const CoapMessage &message, const Bytes &packet);
    void endRequest(Outcome outcome);
    void keepTrace(const std::string &reason);
    bool isOwn(const std::string &payload) const;
    void beginFeed();
    void onUpdate(const CoapMessage &message, const Bytes &packet);
    bool isFresh(uint32_t number) const;
    void checkFeed();

    const CallerSettings options;
    CallerPort &port;
    EventQueue &queue;
    const Clock &clock;
    Ledger &ledger;
    Trace &trace;
    std::mt19937_64 random;
    const ServiceId service;
    bool isEnding = false;

    // the request in progress
    std::string identity; // empty when there is none
    uint64_t nextIdentity = 1;
    uint32_t generation = 0; // of the message in progress; a timer of an older one does nothing
    uint16_t messageId = 0;
    Bytes token;
    Bytes echo;
    uint32_t challenges = 0;
    uint32_t block = 0;
    std::string body;
    Bytes packet;
    TimePoint startedAt;

    // the feed
    bool hasNumber = false;
    uint32_t lastNumber = 0;
    uint64_t lastState = 0;
    TimePoint lastNumberAt;
};

} // namespace hornbeam::bench
