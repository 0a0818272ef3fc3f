#pragma once

// Decoded header of a caller's flow packet. The payload is not inspected.

#include "core/types.h"

#include <cstdint>
#include <functional>

namespace hornbeam {

/** Identifies the target of a flow; carried in every packet of the flow. 0 means none. */
using RoutingToken = uint32_t;

constexpr uint16_t maxPacketContent = 1200; // payload bytes of a packet

/** The caller's and the service's address, as in the caller's packets. The only identifier of a flow. */
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
    uint32_t sequence = 0;     // of the first payload byte
    uint32_t acknowledged = 0; // sequence number of the target's data; in an opening packet, the number of its copy
    uint16_t contentBytes = 0;
    bool isOpening = false;
    bool isClosing = false;
    bool isReset = false; // the caller aborts the flow
};

/** A reset to send to the caller of a flow. */
struct FlowReset
{
    FlowKey flow;
    uint32_t sequence = 0; // the caller's last acknowledgement; for a flow that is not established, the sequence number of its opening packet
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
