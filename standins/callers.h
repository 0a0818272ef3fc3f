#pragma once

// A stand-in for callers: many clients over a published CoAP library. Each has one request or one feed open at a time and checks
// that what it gets is whole, its own, and fresh.

#include "core/clock.h"
#include "core/types.h"

#include <coap3/coap.h>
#include <memory>
#include <random>
#include <string>
#include <vector>

enum class CallerKind : uint8_t {
    Read,     // GET /<service>/item
    Order,    // POST /<service>/order
    Brochure, // block-wise GET /<service>/brochure
    Feed,     // Observe /<service>/board
};

struct CallerOptions
{
    std::string service = "booking";
    hornbeam::Endpoint address;
    uint32_t reads = 0; // callers of each kind
    uint32_t orders = 0;
    uint32_t brochures = 0;
    uint32_t feeds = 0;
    uint32_t thinkMs = 200; // mean pause between two requests of a caller
    uint32_t seconds = 10;
    uint32_t deadlineMs = 0;   // deadline option of each request; 0 sends none
    uint32_t feedGapMs = 3000; // a feed silent for longer is counted as stalled
    uint32_t brochureBytes = 20000;
    uint64_t seed = 1;
};

struct CallerReport
{
    uint64_t sent = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;      // 5.03 "not run"
    uint64_t mayHaveRun = 0;   // 5.04
    uint64_t failed = 0;       // any other error answer
    uint64_t lost = 0;         // no answer at all
    uint64_t torn = 0;         // an answer that is not whole or not the caller's own
    uint64_t updates = 0;      // feed updates
    uint64_t staleUpdates = 0; // feed updates older than one already seen, by their Observe number
    uint64_t stateBack = 0;    // fresh updates by number whose state is older
    uint64_t stalledFeeds = 0; // feeds that were silent for longer than feedGapMs at some time
    uint64_t brokenFeeds = 0;  // feeds that ended or were silent at the end
    uint64_t reregistered = 0;
    uint64_t longestGapMs = 0;
    std::vector<uint32_t> latenciesUs;
};

/** Not thread safe. */
class Callers
{
public:
    explicit Callers(CallerOptions options);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /** Runs all callers for options.seconds, and up to `graceSeconds` more for answers that are still due. Returns false when no session could be opened. */
    bool run(uint32_t graceSeconds);
    const CallerReport &report() const;

private:
    struct Caller
    {
        CallerKind kind = CallerKind::Read;
        coap_session_t *session = nullptr;
        std::string identity; // of the request in progress; empty when there is none
        hornbeam::TimePoint sentAt;
        hornbeam::TimePoint nextAt;
        hornbeam::TimePoint lastUpdate;
        hornbeam::TimePoint lastNumberAt;
        uint32_t lastNumber = 0;
        uint64_t lastState = 0;
        bool opened = false; // the feed had its first update
        bool stalled = false;
        bool ended = false;
    };

    static coap_response_t onResponse(coap_session_t *session, const coap_pdu_t *sent, const coap_pdu_t *received, coap_mid_t messageId);
    static void onNack(coap_session_t *session, const coap_pdu_t *sent, coap_nack_reason_t reason, coap_mid_t messageId);
    bool addCaller(CallerKind kind);
    void send(Caller &caller);
    void onAnswer(Caller &caller, const coap_pdu_t *received);
    void onUpdate(Caller &caller, const coap_pdu_t *received, const std::string &payload);
    void onRefusal(Caller &caller, uint8_t code);
    void endRequest(Caller &caller, const char *outcome);
    void checkFeeds();
    void closeFeeds();
    bool isWhole(const Caller &caller, const std::string &payload) const;

    CallerOptions options;
    CallerReport counts;
    hornbeam::SystemClock clock;
    std::mt19937_64 random;
    coap_context_t *context = nullptr;
    std::vector<std::unique_ptr<Caller>> callers;
    uint64_t nextIdentity = 1;
    bool finishing = false;
};
