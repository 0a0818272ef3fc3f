#pragma once

// The targets: each a UDP socket for packets, a TCP socket for connection checks, and an entry in the store.

#include "findings.h"
#include "flows/routetable.h"
#include "flows/targetdirectory.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace hornbeam::soak {

constexpr size_t requestBytes = 100; // one packet each way
constexpr size_t answerBytes = 100;

/** A packet of a target, which reaches its caller without passing the system. */
struct Answer
{
    FlowKey flow;
    RoutingToken token = 0;    // that the target received last
    uint32_t sequence = 0;     // of the target
    uint32_t acknowledged = 0; // of the caller's bytes
    std::string target;
    bool isOpening = false;
    bool isReset = false;
    bool hasContent = false;
    bool isLast = false; // the target drains: it closes each flow after its next answer
};

struct SoakTarget
{
    TargetRecord record;
    std::unique_ptr<boost::asio::ip::udp::socket> packets; // null once it has ended
    std::unique_ptr<boost::asio::ip::tcp::acceptor> checks;
    bool isFrozen = false;
    bool isListed = false;
    TimePoint refusesSince;         // when the store acknowledged that it drains or is gone; TimePoint{} before
    TimePoint coldUntil;            // TimePoint{} if it has never been cold
    std::deque<TimePoint> openings; // opening packets of the last second
    Disturbance disturbance;
    std::array<uint8_t, 2048> buffer{};
    boost::asio::ip::udp::endpoint sender;

    struct Flow
    {
        uint32_t callerSequence = 0; // of the opening packet
        uint32_t sequence = 0;       // of the target
        uint32_t expected = 0;       // next byte of the caller
        bool isOpen = false;
    };
    std::unordered_map<FlowKey, Flow> flows;

    bool isAlive() const
    {
        return this->packets != nullptr;
    }
};

/** Name of a target's zone. Thread safe. */
inline std::string zoneNameOf(const TargetRecord &record)
{
    return record.zone == 1 ? "zone-1" : "zone-2";
}

/** What targets ask of the run. */
struct TargetHooks
{
    std::function<bool(uint32_t instanceAddress, const SoakTarget &target)> isCut; // whether the instance's packets don't reach the target
    std::function<bool(uint32_t instanceAddress, TimePoint now)> isInTouch;
    std::function<const Route *(const Endpoint &address)> findRoute;                // also a dropped one
    std::function<bool(const Endpoint &address, TimePoint now)> isDroppedForLong;   // no instance in touch may place its flows
    std::function<bool(const std::string &zone, TimePoint now)> isEvacuatedForLong; // no instance in touch may place flows there
    std::function<void(const Answer &answer)> answer;
    std::function<bool(const FlowKey &flow, const SoakTarget &target, uint32_t instanceAddress)> takeProbe; // whether the opening packet is a probe's
};

/** Not thread safe: one event loop owns it. */
class Targets
{
public:
    Targets(boost::asio::io_context &context, const Clock &clock, Findings &findings, TargetHooks hooks);

    /** Starts a target on an address, or on a new one when `address` is 0. It is cold if there is traffic. */
    SoakTarget &add(const std::string &service, const std::string &zone, const Endpoint &address);
    /** Ends a target's process: its flows are gone, its address refuses. */
    void end(SoakTarget &target);
    /** Lets the answers go out that are due. */
    void tick();
    /** Targets that live, of one service or of all. */
    std::vector<SoakTarget *> living(const std::string &service = "");
    SoakTarget *find(const std::string &name);

    uint32_t network = 0; // 127.x.y.0 of the run's targets
    uint64_t opened = 0;
    uint64_t coldOpenings = 0; // opening packets that cold targets got
    uint64_t ran = 0;

private:
    void receive(SoakTarget &target);
    void onDatagram(SoakTarget &target, size_t size);
    void onOpening(SoakTarget &target, const FlowPacket &packet);
    void checkWarmup(SoakTarget &target, TimePoint now);
    void onPacket(SoakTarget &target, const FlowPacket &packet, const uint8_t *content);
    void runRequest(SoakTarget &target, const FlowPacket &packet, SoakTarget::Flow &flow, const uint8_t *content);
    void send(Duration delay, Answer answer);
    void acceptChecks(SoakTarget &target);

    boost::asio::io_context &context;
    const Clock &clock;
    Findings &findings;
    const TargetHooks hooks;
    std::vector<std::unique_ptr<SoakTarget>> targets; // also those that have ended
    std::multimap<TimePoint, Answer> due;
    std::set<uint64_t> once;                   // requests that must not run again
    uint64_t incarnations = 1'790'000'000'000; // ms since the Unix epoch, rises with each start
    std::minstd_rand random;
};

} // namespace hornbeam::soak
