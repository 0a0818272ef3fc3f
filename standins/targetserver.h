#pragma once

// A stand-in for a target: a CoAP server with request slots, connection places, health, load, drain, cold start and shedding.
//
// Resources: /health (probes), /<service>/board (GET, Observe), /<service>/item (GET), /<service>/order (POST), /<service>/brochure (block-wise GET).

#include "core/clock.h"
#include "core/coap.h"
#include "transport/udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
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

/** Not thread safe: runs on one thread of its context. */
class TargetServer
{
public:
    TargetServer(boost::asio::io_context &context, TargetOptions options);

    /** Empty when the socket is open. */
    std::string error() const;
    /** The bound address. */
    hornbeam::Endpoint local() const;
    void begin();
    /** Reports draining, waits for requests in progress and for drainMs, then stops the context. */
    void beginDrain();
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

    void onPacket(const hornbeam::Endpoint &from, const hornbeam::Bytes &packet);
    void answerProbe(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request);
    void dispatch(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet);
    void observe(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request);
    void run(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet, const std::string &path);
    void finish(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet, const std::string &path);
    void answerBrochure(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, const hornbeam::Bytes &packet);
    void reply(const hornbeam::Endpoint &from, const hornbeam::CoapMessage &request, hornbeam::CoapCode code, const std::vector<hornbeam::CoapOption> &options,
               const std::string &payload);
    void publish();
    void checkDrained();
    std::string boardState() const;
    bool isCold() const;

    boost::asio::io_context &context;
    TargetOptions options;
    hornbeam::SystemClock clock;
    hornbeam::UdpSocket socket;
    boost::asio::steady_timer publishTimer;
    boost::asio::steady_timer drainTimer;
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
