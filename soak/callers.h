#pragma once

// The callers: flows that stay open for many requests, repeats of lost packets, and new tries where they are allowed.

#include "findings.h"
#include "targets.h"

#include <list>

namespace hornbeam::soak {

/** What callers ask of the run. */
struct CallerHooks
{
    std::function<void(const FlowKey &flow, const Bytes &packet)> send; // through the router
    std::function<bool(TimePoint since, TimePoint now)> isCalm;         // nothing was disturbed, or will be for a while
    std::function<bool(uint32_t instanceAddress, TimePoint now)> isInTouch;
    std::function<const Route *(RequestKind kind, std::minstd_rand &random)> pick; // a route in force for long
    std::function<bool(const Endpoint &address)> isDropped;
};

/** Not thread safe: one event loop owns it. */
class Callers
{
public:
    Callers(const Clock &clock, Findings &findings, Targets &targets, CallerHooks hooks, uint64_t seed);

    /** Sends what is due. `isOpening` allows new requests. */
    void tick(bool isOpening);
    /** A packet of a target arrives. */
    void onAnswer(const Answer &answer);
    /** A reset of an instance arrives. */
    void onReset(const FlowKey &flow, uint32_t sequence, uint32_t instanceAddress);

    std::vector<uint32_t> addresses; // of the callers
    uint32_t wanted = 40;            // flows that are kept open
    uint64_t answered = 0;
    uint64_t failed = 0;
    uint64_t resets = 0;

private:
    struct Flow
    {
        FlowKey key;
        const Route *route = nullptr;
        TimePoint begun;
        TimePoint nextRepeat;  // of the opening packet or of the request
        TimePoint nextRequest; // while none is under way
        TimePoint requestedAt;
        Duration repeatWait{ 0 };
        RoutingToken token = 0;
        uint32_t sequence = 0; // of the opening packet
        uint32_t acknowledged = 0;
        uint32_t targetSequence = 0;
        uint32_t copies = 0; // of the opening packet
        uint32_t requestsDone = 0;
        uint32_t requestsLeft = 1;
        uint32_t tries = 0; // left after this one
        std::string target;
        bool isOpen = false;
        bool isWaiting = false; // for the answer to a request
        bool isDone = false;
    };

    void open(const Route *route, uint32_t tries);
    void sendOpening(Flow &flow);
    void sendRequest(Flow &flow);
    void sendBare(const Flow &flow, bool isClosing);
    void fail(Flow &flow, const char *how);
    void tickFlow(Flow &flow);

    const Clock &clock;
    Findings &findings;
    Targets &targets;
    const CallerHooks hooks;
    std::minstd_rand random;
    std::list<Flow> flows;
    std::unordered_map<FlowKey, Flow *> byKey;
    uint16_t nextPort = 20000;
};

} // namespace hornbeam::soak
