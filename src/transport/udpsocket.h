#pragma once

// A UDP socket on one address, received on by any number of workers at once.

#include "core/types.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

/** Receives a datagram. Called on the worker that runs the context; `data` is valid only during the call. */
using DatagramHandler = std::function<void(const Endpoint &from, const uint8_t *data, size_t size)>;

/** Largest UDP payload that is received; larger datagrams arrive cut and are dropped by their decoders. */
constexpr size_t maxDatagramBytes = 65507;

class UdpSocket
{
public:
    /** Opens and binds a socket. Port 0 takes any free one. With `shared`, several sockets may bind the same address and the kernel spreads flows over them. */
    UdpSocket(boost::asio::io_context &context, const Endpoint &local, bool reusePort);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /** Empty when the socket is open, else what failed, with the address. */
    const std::string &error() const;
    /** The bound address. Precondition: error() is empty. */
    Endpoint local() const;
    /** Starts to receive. Precondition: error() is empty; called once. */
    void beginReceive(DatagramHandler handler);
    /** Stops to receive and closes the socket, on a worker of the context. Thread safe, but nothing may be sent from then on. */
    void endReceive();
    /** Sends a datagram without waiting; one that doesn't fit the kernel's buffer is lost. Thread safe. Returns false when the kernel refused it. */
    bool send(const Endpoint &to, const Bytes &packet);

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace hornbeam
