#pragma once

// I/O requested by the decision code. Decisions append actions, which are executed after all locks are released.

#include "peer/messages.h"

#include <utility>
#include <vector>

namespace hornbeam {

/** A packet for a caller (sent from the address of `service`) or for a target (sent from the target socket). */
struct OutgoingPacket
{
    ServiceId service = 0;
    Endpoint endpoint;
    Bytes packet;
};

/** A message to another member, or to this one, which then receives it as if it came from the network. */
struct OutgoingMessage
{
    MemberId peer = 0;
    PeerMessage message;
};

struct Actions
{
    std::vector<OutgoingPacket> toCallers;
    std::vector<OutgoingPacket> toTargets;
    std::vector<OutgoingMessage> toPeers;   // one datagram each
    std::vector<OutgoingMessage> toStreams; // over the nghttp2 stream to the member: too large for a datagram, or must not be lost

    void sendToCaller(ServiceId service, const Endpoint &caller, Bytes packet)
    {
        this->toCallers.push_back({ service, caller, std::move(packet) });
    }
    void sendToTarget(ServiceId service, const Endpoint &target, Bytes packet)
    {
        this->toTargets.push_back({ service, target, std::move(packet) });
    }
    void sendToPeer(MemberId peer, PeerMessage message)
    {
        this->toPeers.push_back({ peer, std::move(message) });
    }
    void sendToStream(MemberId peer, PeerMessage message)
    {
        this->toStreams.push_back({ peer, std::move(message) });
    }
    bool isEmpty() const
    {
        return this->toCallers.empty() && this->toTargets.empty() && this->toPeers.empty() && this->toStreams.empty();
    }
};

} // namespace hornbeam
