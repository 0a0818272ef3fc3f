#pragma once

// A packet of a caller's flow, decoded. Only its head is read: the content belongs to the two ends of the flow.

#include "core/types.h"

#include <cstdint>
#include <functional>

namespace hornbeam {

/** Routing token: names the target of a flow in each packet of the flow. 0 stands for none. */
using RoutingToken = uint32_t;

/** The two ends of a flow as the caller's packets name them. Its only identifier. */
struct FlowKey
{
    Endpoint caller;
    Endpoint service;

    bool operator==(const FlowKey &) const = default;
};

struct FlowPacket
{
    FlowKey flow;
    RoutingToken token = 0;
    uint32_t sequence = 0;     // of the first content byte
    uint32_t acknowledged = 0; // of the target's bytes; the number of the copy in an opening packet
    uint16_t contentBytes = 0;
    bool isOpening = false;
    bool isClosing = false;
    bool isReset = false; // the caller gives up
};

/** A reset of a flow, to be sent to its caller. */
struct FlowReset
{
    FlowKey flow;
    uint32_t sequence = 0; // the last byte of the target that the caller acknowledged
};

} // namespace hornbeam

template<>
struct std::hash<hornbeam::FlowKey>
{
    size_t operator()(const hornbeam::FlowKey &flow) const noexcept
    {
        return static_cast<size_t>(hornbeam::mixHash(flow.caller.key(), flow.service.key()));
    }
};
