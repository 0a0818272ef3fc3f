#pragma once

// Transport to other instances: signed messages as datagrams or over streams, on one port.

#include "peer/actions.h"
#include "peer/packetsigner.h"
#include "transport/streams.h"
#include "transport/udpsocket.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeam {

class PeerLink
{
public:
    using MessageHandler = std::function<void(const PeerMessage &)>;                // called on worker threads, concurrently
    using EndpointLookup = std::function<std::optional<Endpoint>(MemberId member)>; // thread safe

    /** Binds `workers` sockets and a listener on one address. Precondition: the context and the counters outlive the last handler that runs on the context. */
    PeerLink(boost::asio::io_context &context, const Endpoint &local, size_t workers, const std::vector<Bytes> &keys, Counters &counters,
             MessageHandler onMessage, EndpointLookup endpointOf);

    /** Empty if all sockets are bound, otherwise the error message with the address. */
    const std::string &error() const;
    /** Starts to receive messages. Precondition: error() is empty; called once. */
    void beginReceive();
    /** Sends the messages to other members. Messages to unknown members are dropped. Thread safe. */
    void send(const Actions &actions);
    /** Replaces the keys. Precondition: as for PacketSigner. Thread safe. */
    void updateKeys(const std::vector<Bytes> &keys);

private:
    void onDatagram(const uint8_t *data, size_t size);
    void sendDatagram(const OutgoingMessage &message);

    PacketSigner signer;
    Counters &counters;
    MessageHandler onMessage;
    EndpointLookup endpointOf;
    std::vector<std::unique_ptr<UdpSocket>> sockets;
    StreamServer streamServer;
    StreamClient streamClient;
    std::string bindError;
};

} // namespace hornbeam
