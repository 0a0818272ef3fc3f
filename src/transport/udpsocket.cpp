#include "transport/udpsocket.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <sys/socket.h>

namespace hornbeam {

namespace {

using boost::asio::ip::udp;

constexpr int socketBufferBytes = 4 * 1024 * 1024;
constexpr int maxDatagramsPerWakeup = 64; // yields to other handlers of the context after this many datagrams

udp::endpoint toAsio(const Endpoint &endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.address), endpoint.port };
}

Endpoint fromAsio(const udp::endpoint &endpoint)
{
    return Endpoint{ endpoint.address().to_v4().to_uint(), endpoint.port() };
}

} // namespace

class UdpSocket::Impl : public std::enable_shared_from_this<UdpSocket::Impl>
{
public:
    explicit Impl(boost::asio::io_context &context) : socket(boost::asio::make_strand(context))
    {
    }

    void open(const Endpoint &local, bool reusePort)
    {
        boost::system::error_code failure;
        this->socket.open(udp::v4(), failure);
        if (!failure && reusePort) {
            const int on = 1;
            ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
        }
        if (!failure) {
            boost::system::error_code ignored; // the kernel may limit the size
            this->socket.set_option(boost::asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
            this->socket.set_option(boost::asio::socket_base::send_buffer_size(socketBufferBytes), ignored);
            this->socket.non_blocking(true, failure);
        }
        if (!failure) {
            this->socket.bind(toAsio(local), failure);
        }
        if (failure) {
            this->error = "cannot bind UDP " + toString(local) + ": " + failure.message();
        }
    }

    void receive()
    {
        this->socket.async_wait(udp::socket::wait_read, [self = this->shared_from_this()](const boost::system::error_code &failure) {
            if (!failure) {
                self->receivePending();
                self->receive();
            }
        });
    }

    // Runs on the strand, so that no other worker reads from the descriptor while it is being closed.
    void close()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            boost::system::error_code ignored;
            self->socket.close(ignored);
        });
    }

    void receivePending()
    {
        for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
            udp::endpoint from;
            boost::system::error_code failure;
            const size_t size = this->socket.receive_from(boost::asio::buffer(this->buffer), from, 0, failure);
            if (failure == boost::asio::error::connection_refused) {
                continue; // ICMP error caused by an earlier send
            }
            if (failure) {
                ++this->drained;
                return;
            }
            ++this->received;
            this->handler(fromAsio(from), this->buffer.data(), size);
        }
    }

    udp::socket socket;
    uint64_t received = 0; // see SocketLoad; these two are only changed on the strand
    uint64_t drained = 0;
    std::atomic<uint64_t> sendsRefused{ 0 };
    std::string error;
    DatagramHandler handler;
    std::vector<uint8_t> buffer = std::vector<uint8_t>(maxDatagramBytes);
};

UdpSocket::UdpSocket(boost::asio::io_context &context, const Endpoint &local, bool reusePort) : impl(std::make_shared<Impl>(context))
{
    this->impl->open(local, reusePort);
}

UdpSocket::~UdpSocket()
{
    this->endReceive();
}

const std::string &UdpSocket::error() const
{
    return this->impl->error;
}

Endpoint UdpSocket::local() const
{
    boost::system::error_code ignored;
    return fromAsio(this->impl->socket.local_endpoint(ignored));
}

void UdpSocket::beginReceive(DatagramHandler handler)
{
    this->impl->handler = std::move(handler);
    this->impl->receive();
}

void UdpSocket::endReceive()
{
    this->impl->close();
}

bool UdpSocket::send(const Endpoint &to, const Bytes &packet)
{
    boost::system::error_code failure;
    this->impl->socket.send_to(boost::asio::buffer(packet), toAsio(to), 0, failure);
    const bool isBufferFull = failure == boost::asio::error::would_block || failure == boost::asio::error::no_buffer_space;
    if (isBufferFull) {
        this->impl->sendsRefused.fetch_add(1, std::memory_order_relaxed);
    }
    return !failure;
}

SocketLoad UdpSocket::load() const
{
    return { this->impl->received, this->impl->drained, this->impl->sendsRefused.load(std::memory_order_relaxed) };
}

} // namespace hornbeam
