#include "apps/peerlink.h"

#include "peer/codec.h"

namespace hornbeam {

PeerLink::PeerLink(boost::asio::io_context &context, const Endpoint &local, size_t workers, const std::vector<Bytes> &keys, Counters &counters,
                   MessageHandler onMessage, EndpointLookup endpointOf)
    : signer(keys)
    , counters(counters)
    , onMessage(std::move(onMessage))
    , endpointOf(std::move(endpointOf))
    , streamServer(context, local, StreamServerSettings{}, this->signer, counters,
                   [this](const PeerMessage &message) {
                       this->counters.add(Counter::StreamMessages);
                       this->onMessage(message);
                   })
    , streamClient(context, StreamClientSettings{}, this->signer, counters)
    , bindError(this->streamServer.error())
{
    for (size_t i = 0; i < workers; ++i) {
        auto socket = std::make_unique<UdpSocket>(context, local, true);
        if (this->bindError.empty()) {
            this->bindError = socket->error();
        }
        this->sockets.push_back(std::move(socket));
    }
}

const std::string &PeerLink::error() const
{
    return this->bindError;
}

void PeerLink::beginReceive()
{
    for (const auto &socket : this->sockets) {
        socket->beginReceive([this](const Endpoint &, const uint8_t *data, size_t size) { this->onDatagram(data, size); });
    }
    this->streamServer.beginAccept();
}

void PeerLink::onDatagram(const uint8_t *data, size_t size)
{
    this->counters.add(Counter::PacketsFromPeers);
    const auto body = this->signer.open(data, size);
    const auto message = body ? decodeMessage(*body) : std::nullopt;
    if (!message) {
        this->counters.add(Counter::PeerPacketsRejected);
        return;
    }
    this->onMessage(*message);
}

void PeerLink::send(const Actions &actions)
{
    for (const OutgoingMessage &message : actions.toPeers) {
        this->sendDatagram(message);
    }
    for (const OutgoingMessage &message : actions.toStreams) {
        if (const auto peer = this->endpointOf(message.peer)) {
            this->streamClient.send(*peer, message.message);
        }
    }
}

void PeerLink::sendDatagram(const OutgoingMessage &message)
{
    const auto peer = this->endpointOf(message.peer);
    if (!peer) {
        return;
    }
    const Bytes datagram = this->signer.seal(encodeMessage(message.message));
    const bool isRelay = std::holds_alternative<Relay>(message.message);
    this->counters.add(isRelay ? Counter::RelayBytesSent : Counter::ControlBytesSent, datagram.size());
    this->counters.add(Counter::RelaysSent, isRelay ? 1 : 0);
    this->sockets.front()->send(*peer, datagram);
}

void PeerLink::updateKeys(const std::vector<Bytes> &keys)
{
    this->signer.updateKeys(keys);
}

} // namespace hornbeam
