#pragma once

// Peer messages over TCP: what is too large for a datagram or must not be lost. HTTP/2 with prior knowledge (RFC 9113, 3.3), one
// POST /message for each message, its body sealed. Answers: 200 taken, 403 not signed by a valid key, 400 not a message.
// A message may arrive twice, when the connection breaks before its answer.
//
// Sections: server | client

#include "core/counters.h"
#include "peer/messages.h"
#include "peer/packetsigner.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

//--- Server

/** Takes a message of a peer. Called on a worker that runs the context, from several at once. */
using StreamHandler = std::function<void(PeerMessage message)>;

struct StreamServerSettings
{
    size_t maxConnections = 1024;                                // open at a time, 16 to 65536; further ones are closed at once
    size_t maxBufferedBodyBytes = 32UL * 1024 * 1024;            // bytes, 2 MiB up: bodies that have arrived in part, over all connections
    std::chrono::seconds idleTimeout = std::chrono::seconds(60); // s, 5 to 3600: then a connection without a whole message is closed
};

class StreamServer
{
public:
    /** Binds a listener; port 0 takes any free one. Precondition: `context`, `sealer` and `counters` outlive the last handler that runs on the context. */
    StreamServer(boost::asio::io_context &context, const Endpoint &local, const StreamServerSettings &settings, const PacketSigner &signer, Counters &counters,
                 const StreamHandler &handler);
    ~StreamServer();
    StreamServer(const StreamServer &) = delete;
    StreamServer &operator=(const StreamServer &) = delete;

    /** Empty when the listener is bound, else what failed, with the address. */
    const std::string &error() const;
    /** The bound address. Precondition: error() is empty. */
    Endpoint local() const;
    /** Starts to accept. Precondition: error() is empty; called once. */
    void beginAccept();
    /** Stops to accept and closes all connections. Thread safe. */
    void endAccept();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

//--- Client

struct StreamClientSettings
{
    size_t maxQueueBytes = 4UL * 1024 * 1024;                                  // bytes, 2 MiB up: queued and unanswered for one peer
    unsigned maxAttempts = 4;                                                  // 1 to 10: connections tried before a message is given up
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(30);          // ms, 1000 up: then an unused connection is closed
    std::chrono::milliseconds stallTimeout = std::chrono::seconds(5);          // ms, 1000 up: then a connection that answers nothing is given up
    std::chrono::milliseconds initialBackoff = std::chrono::milliseconds(100); // ms, doubled with each failure
    std::chrono::milliseconds maxBackoff = std::chrono::seconds(5);            // ms
};

/** One connection for each peer, opened when it is needed. */
class StreamClient
{
public:
    /** Precondition: `context`, `sealer` and `counters` outlive the last handler that runs on the context. */
    StreamClient(boost::asio::io_context &context, const StreamClientSettings &settings, const PacketSigner &signer, Counters &counters);
    ~StreamClient();
    StreamClient(const StreamClient &) = delete;
    StreamClient &operator=(const StreamClient &) = delete;

    /** Queues a message. Returns false when it is too large or the peer's queue is full; it is counted as dropped then. Thread safe. */
    bool send(const Endpoint &peer, const PeerMessage &message);
    /** Peers with a connection or a queue. Thread safe. */
    size_t peerCount() const;
    /** Closes all connections and drops what is queued. Thread safe. */
    void closeAll();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace hornbeam
