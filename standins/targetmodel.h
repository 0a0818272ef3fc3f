#pragma once

// The behaviour of a target, without sockets: a CoAP server with request slots, connection places, health, load, drain, cold start and
// shedding. The stand-in process runs it on a socket, scenarios and benches on a paused clock.
//
// Resources: /health (probes), /<service>/board (GET, Observe), /<service>/item (GET), /<service>/order (POST), /<service>/brochure (block-wise GET).

#include "core/clock.h"
#include "core/coap.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

enum class HealthLie : uint8_t {
    None,      // tells the truth
    AlwaysUp,  // says that all is well whatever happens
    AlwaysBad, // never answers probes
};

struct TargetOptions
{
    std::string name = "t1";
    std::string service = "booking";
    hornbeam::Endpoint listen;
    uint32_t slots = 2;          // requests at the same time; more are shed
    uint32_t connections = 2000; // observers at the same time; more are shed
    uint32_t serviceMs = 40;     // time that a request holds its slot
    uint32_t publishMs = 500;    // a new board state so often
    uint32_t coldMs = 0;         // after the start: requests take three times as long
    uint32_t drainMs = 3000;     // after SIGTERM: time in which feeds can move away
    uint32_t brochureBytes = 20000;
    HealthLie lie = HealthLie::None;
};

/** What the target did; printed as one JSON line at the end. */
struct TargetReport
{
    uint64_t executions = 0;    // POSTs run
    uint64_t doubled = 0;       // POSTs whose identity had run here before
    uint64_t reads = 0;         // GETs answered
    uint64_t shed = 0;          // refused because all slots were busy
    uint64_t misdelivered = 0;  // requests of another service
    uint64_t peakBusy = 0;      // most slots in use at the same time
    uint64_t observersPeak = 0; // most observers at the same time
    uint64_t lateWork = 0;      // requests that arrived over 2 s after the drain began
};

/** What a target needs of its surroundings. */
class TargetPort
{
public:
    virtual ~TargetPort() = default;
    virtual void send(const hornbeam::Endpoint &to, const hornbeam::Bytes &packet) = 0;
    /** Runs `work` after a time, never at once. */
    virtual void runAfter(hornbeam::Duration delay, std::function<void()> work) = 0;
    /** A POST with this identity has run. */
    virtual void onExecuted(const std::string &identity) = 0;
};

/** Not thread safe. */
class TargetModel
{
public:
    /** Precondition: clock and port outlive the model. */
    TargetModel(TargetOptions options, const hornbeam::Clock &clock, TargetPort &port);

    /** Begins to publish board states. */
    void begin();
    void onPacket(const hornbeam::Endpoint &from, const hornbeam::Bytes &packet);
    /** Reports draining from now on. */
    void beginDrain();
    /** Whether the drain time is over and no request is in progress. */
    bool isDrained() const;
    /** Requests in progress. */
    uint32_t busySlots() const;
    /** Open feeds. */
    size_t observerCount() const;
    /** Changes how it behaves from now on. */
    TargetOptions &tunables();
    const TargetReport &report() const;

private:
    struct Observer
    {
        hornbeam::Endpoint source;
        hornbeam::Bytes token;
        uint32_t sequence = 2;
        uint16_t lastMessageId = 0;
    };
    using ObserverKey = std::pair<hornbeam::Endpoint, hornbeam::Bytes>;

    void answerProbe(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request);
    void dispatch(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet);
    void observe(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request);
    void run(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet);
    void finish(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet);
    void answerBrochure(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet);
    void reply(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, hornbeam::CoapCode code, const std::vector<hornbeam::CoapOption> &options,
               const std::string &payload);
    void publish();
    std::string boardState() const;
    bool isCold() const;

    TargetOptions options;
    const hornbeam::Clock &clock;
    TargetPort &port;
    hornbeam::TimePoint started;
    hornbeam::TimePoint drainStarted;
    bool draining = false;
    uint32_t busy = 0;
    uint16_t nextMessageId = 1;
    std::map<ObserverKey, Observer> observers;
    // answers by (source, message ID), so that a retransmission does not run again (RFC 7252, 4.2); an empty answer is still being made
    std::map<std::pair<hornbeam::Endpoint, uint16_t>, hornbeam::Bytes> answers;
    std::deque<std::pair<hornbeam::Endpoint, uint16_t>> answerOrder;
    std::unordered_map<std::string, uint32_t> executed;
    TargetReport counts;
};
