// Server side of streams.h.

#include "peer/codec.h"
#include "transport/http2session.h"
#include "transport/streams.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <set>

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t readBytes = 16UL * 1024;

class ServerConnection;

/** State shared by all connections of a server. */
struct ServerShared
{
    StreamServerSettings settings;
    const PacketSigner &signer;
    Counters &counters;
    StreamHandler handler;
    std::atomic<size_t> bufferedBodyBytes = 0;
    std::mutex mutex; // guards `connections`
    std::set<std::shared_ptr<ServerConnection>> connections;
};

/** All methods run on the socket's strand unless documented otherwise. */
class ServerConnection final : public Http2Listener, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(tcp::socket socket, std::shared_ptr<ServerShared> shared)
        : socket(std::move(socket)), idleTimer(this->socket.get_executor()), shared(std::move(shared)), session(Http2Session::Role::Server, *this)
    {
    }

    /** May be called from any thread. */
    void start()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()]() {
            self->restartIdleTimer();
            self->read();
            self->write();
        });
    }

    /** May be called from any thread. */
    void requestClose()
    {
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()]() { self->close(); });
    }

    void bodyReceived(int32_t stream, const Bytes &body) override
    {
        const std::optional<Bytes> verified = this->shared->signer.open(body.data(), body.size());
        if (!verified.has_value()) {
            this->reject(stream, StreamStatus::Unsigned);
            return;
        }
        std::optional<PeerMessage> message = decodeMessage(*verified);
        if (!message.has_value()) {
            this->reject(stream, StreamStatus::Malformed);
            return;
        }
        this->restartIdleTimer();
        this->shared->counters.add(Counter::StreamMessages);
        this->session.respond(stream, StreamStatus::Accepted);
        this->shared->handler(std::move(*message));
    }

    void requestEnded(int32_t, StreamStatus) override
    {
    }

private:
    /** Responds with an error and counts it; the connection is closed once the response has been written. */
    void reject(int32_t stream, StreamStatus status)
    {
        this->shared->counters.add(Counter::StreamRejected);
        this->session.respond(stream, status);
        this->isRejected = true;
    }

    void restartIdleTimer()
    {
        this->idleTimer.expires_after(this->shared->settings.idleTimeout);
        this->idleTimer.async_wait([self = this->shared_from_this()](const error_code &failure) {
            if (!failure) {
                self->close();
            }
        });
    }

    void read()
    {
        this->socket.async_read_some(boost::asio::buffer(this->input), [self = this->shared_from_this()](const error_code &failure, size_t size) {
            if (failure) {
                self->close();
                return;
            }
            self->processInput(size);
        });
    }

    void processInput(size_t size)
    {
        if (this->isRejected) {
            this->read(); // discards input until the error response has been written
            return;
        }
        const bool isValid = this->session.receive(this->input.data(), size);
        const bool isWithinLimit = this->updateBodyBytes();
        if (!isValid || !isWithinLimit) {
            this->shared->counters.add(Counter::StreamRejected);
            this->close();
            return;
        }
        this->write();
        this->read();
    }

    /** Updates the total size of incomplete bodies. Returns false when it exceeds the server's limit. */
    bool updateBodyBytes()
    {
        const size_t bufferedBytes = this->session.bufferedBodyBytes();
        const size_t total = this->shared->bufferedBodyBytes += bufferedBytes - this->countedBodyBytes; // unsigned wraparound implements a decrease
        this->countedBodyBytes = bufferedBytes;
        return total <= this->shared->settings.maxBufferedBodyBytes;
    }

    void write()
    {
        if (this->isWriting || !this->socket.is_open()) {
            return;
        }
        this->output = this->session.takeOutput();
        if (this->output.empty()) {
            if (this->isRejected || this->session.isDone()) {
                this->close();
            }
            return;
        }
        this->isWriting = true;
        boost::asio::async_write(this->socket, boost::asio::buffer(this->output), [self = this->shared_from_this()](const error_code &failure, size_t) {
            self->isWriting = false;
            if (failure) {
                self->close();
                return;
            }
            self->write();
        });
    }

    void close()
    {
        error_code ignored;
        this->socket.close(ignored);
        this->idleTimer.cancel();
        this->shared->bufferedBodyBytes -= this->countedBodyBytes;
        this->countedBodyBytes = 0;
        const std::lock_guard lock(this->shared->mutex);
        this->shared->connections.erase(this->shared_from_this());
    }

    tcp::socket socket;
    boost::asio::steady_timer idleTimer;
    std::shared_ptr<ServerShared> shared;
    Http2Session session;
    std::array<uint8_t, readBytes> input{};
    Bytes output;
    size_t countedBodyBytes = 0;
    bool isWriting = false;
    bool isRejected = false;
};

} // namespace

class StreamServer::Impl : public std::enable_shared_from_this<StreamServer::Impl>
{
public:
    Impl(boost::asio::io_context &context, std::shared_ptr<ServerShared> shared)
        : context(context), acceptor(boost::asio::make_strand(context)), shared(std::move(shared))
    {
    }

    void open(const Endpoint &local)
    {
        error_code failure;
        this->acceptor.open(tcp::v4(), failure);
        if (!failure) {
            this->acceptor.set_option(boost::asio::socket_base::reuse_address(true), failure);
        }
        if (!failure) {
            this->acceptor.bind({ boost::asio::ip::address_v4(local.address), local.port }, failure);
        }
        if (!failure) {
            this->acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            this->error = "cannot listen on TCP " + toString(local) + ": " + failure.message();
        }
    }

    void accept()
    {
        this->acceptor.async_accept(boost::asio::make_strand(this->context), [self = this->shared_from_this()](const error_code &failure, tcp::socket socket) {
            if (failure == boost::asio::error::operation_aborted || !self->acceptor.is_open()) {
                return;
            }
            if (!failure) {
                self->add(std::move(socket));
                self->accept();
                return;
            }
            self->retryAccept(); // usually out of file descriptors
        });
    }

    void retryAccept()
    {
        constexpr auto retryDelay = std::chrono::milliseconds(100);
        this->retryTimer.expires_after(retryDelay);
        this->retryTimer.async_wait([self = this->shared_from_this()](const error_code &failure) {
            if (!failure) {
                self->accept();
            }
        });
    }

    void add(tcp::socket socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<ServerConnection>(std::move(socket), this->shared);
        {
            const std::lock_guard lock(this->shared->mutex);
            if (this->shared->connections.size() >= this->shared->settings.maxConnections) {
                this->shared->counters.add(Counter::StreamRejected);
                return;
            }
            this->shared->connections.insert(connection);
        }
        connection->start();
    }

    void end()
    {
        boost::asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()]() {
            error_code ignored;
            self->acceptor.close(ignored);
            self->retryTimer.cancel();
            const std::lock_guard lock(self->shared->mutex);
            for (const auto &connection : self->shared->connections) {
                connection->requestClose();
            }
        });
    }

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer{ this->acceptor.get_executor() };
    std::shared_ptr<ServerShared> shared;
    std::string error;
};

StreamServer::StreamServer(boost::asio::io_context &context, const Endpoint &local, const StreamServerSettings &settings, const PacketSigner &signer,
                           Counters &counters, const StreamHandler &handler)
    : impl(std::make_shared<Impl>(context, std::shared_ptr<ServerShared>(new ServerShared{ settings, signer, counters, handler, 0, {}, {} })))
{
    this->impl->open(local);
}

StreamServer::~StreamServer()
{
    this->endAccept();
}

const std::string &StreamServer::error() const
{
    return this->impl->error;
}

Endpoint StreamServer::local() const
{
    error_code ignored;
    const tcp::endpoint endpoint = this->impl->acceptor.local_endpoint(ignored);
    return Endpoint{ endpoint.address().to_v4().to_uint(), endpoint.port() };
}

void StreamServer::beginAccept()
{
    this->impl->accept();
}

void StreamServer::endAccept()
{
    this->impl->end();
}

} // namespace hornbeam
