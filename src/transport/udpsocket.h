#pragma once

// A UDP socket bound to one address, for a context that is run by any number of worker threads.

#include "core/types.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

/** Receives a datagram. Called on a worker thread that runs the context; `data` is valid only during the call. */
using DatagramHandler = std::function<void(const Endpoint &from, const uint8_t *data, size_t size)>;

/** Largest UDP payload that can be received; larger datagrams are truncated and then rejected by the decoders. */
constexpr size_t maxDatagramBytes = 65507;

/** Counters of a socket since it was opened. */
struct SocketLoad
{
    uint64_t received = 0;     // datagrams
    uint64_t drained = 0;      // times the receive queue was found empty
    uint64_t sendsRefused = 0; // for lack of buffer space
};

class UdpSocket
{
public:
    /**
     * Opens and binds a socket. Port 0 selects a free port. With `reusePort`, several sockets can bind the same address and the kernel
     * distributes flows among them.
     */
    UdpSocket(boost::asio::io_context &context, const Endpoint &local, bool reusePort);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /** Empty when the socket is bound, otherwise the error message with the address. */
    const std::string &error() const;
    /** The bound address. Precondition: error() is empty. */
    Endpoint local() const;
    /** Starts receiving. Precondition: error() is empty; called once. */
    void beginReceive(DatagramHandler handler);
    /** Stops receiving and closes the socket, on a worker thread of the context. Thread safe, but send must not be called afterwards. */
    void endReceive();
    /** Sends a datagram without blocking; it is lost when the kernel's buffer is full. Returns false when the kernel rejects it. Thread safe. */
    bool send(const Endpoint &to, const Bytes &packet);
    /** Precondition: the context is run by one thread, and this is called on it. */
    SocketLoad load() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace hornbeam
