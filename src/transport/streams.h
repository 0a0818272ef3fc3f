#pragma once

// Peer messages over TCP, for messages that are too large for a datagram or must not be lost. HTTP/2 with prior knowledge
// (RFC 9113, 3.3), one POST /message with a signed body for each message. Responses: 200 accepted, 403 not signed with a valid key,
// 400 malformed message. A message may be delivered twice if the connection breaks before its response arrives.
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

/** Receives a message from a peer. Called concurrently on the worker threads that run the context. */
using StreamHandler = std::function<void(PeerMessage message)>;

struct StreamServerSettings
{
    size_t maxConnections = 1024;                                // 16 to 65536; connections above the limit are closed at once
    size_t maxBufferedBodyBytes = 32UL * 1024 * 1024;            // bytes, at least 2 MiB: incomplete request bodies of all connections
    std::chrono::seconds idleTimeout = std::chrono::seconds(60); // s, 5 to 3600: closes a connection that has not completed a message for this long
};

class StreamServer
{
public:
    /**
     * Binds the listening socket; port 0 selects a free port. Precondition: `context`, `signer` and `counters` outlive the last handler
     * that runs on the context.
     */
    StreamServer(boost::asio::io_context &context, const Endpoint &local, const StreamServerSettings &settings, const PacketSigner &signer, Counters &counters,
                 const StreamHandler &handler);
    ~StreamServer();
    StreamServer(const StreamServer &) = delete;
    StreamServer &operator=(const StreamServer &) = delete;

    /** Empty when the socket is bound, otherwise the error message with the address. */
    const std::string &error() const;
    /** The bound address. Precondition: error() is empty. */
    Endpoint local() const;
    /** Starts accepting connections. Precondition: error() is empty; called once. */
    void beginAccept();
    /** Stops accepting and closes all connections. Thread safe. */
    void endAccept();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

//--- Client

struct StreamClientSettings
{
    size_t maxQueueBytes = 4UL * 1024 * 1024;                                  // bytes, at least 2 MiB: queued and unacknowledged messages per peer
    unsigned maxAttempts = 4;                                                  // 1 to 10: connections tried before a message is dropped
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(30);          // ms, at least 1000: closes an unused connection
    std::chrono::milliseconds stallTimeout = std::chrono::seconds(5);          // ms, at least 1000: closes a connection on which the peer makes no progress
    std::chrono::milliseconds initialBackoff = std::chrono::milliseconds(100); // ms, doubled after each failure
    std::chrono::milliseconds maxBackoff = std::chrono::seconds(5);            // ms
};

/** Maintains one connection per peer, opened on demand. */
class StreamClient
{
public:
    /** Precondition: `context`, `signer` and `counters` outlive the last handler that runs on the context. */
    StreamClient(boost::asio::io_context &context, const StreamClientSettings &settings, const PacketSigner &signer, Counters &counters);
    ~StreamClient();
    StreamClient(const StreamClient &) = delete;
    StreamClient &operator=(const StreamClient &) = delete;

    /** Queues a message. Returns false, and counts the message as dropped, when it is too large or the peer's queue is full. Thread safe. */
    bool send(const Endpoint &peer, const PeerMessage &message);
    /** Number of peers with a connection or queued messages. Thread safe. */
    size_t peerCount() const;
    /** Closes all connections and drops queued messages. Thread safe. */
    void closeAll();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace hornbeam
