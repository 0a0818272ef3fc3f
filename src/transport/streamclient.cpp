// The sending side of streams.h.

#include "peer/codec.h"
#include "transport/http2session.h"
#include "transport/streams.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace hornbeam {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr size_t readBytes = 4UL * 1024;
constexpr std::chrono::milliseconds watchInterval{ 500 }; // how often a connection is checked for being idle or stalled

/** A sealed message on its way. */
struct Outgoing
{
    Bytes sealed;
    unsigned attempts = 0; // connections that ended before its answer
};

class PeerConnection;

/** What all connections of a pool share. */
struct ClientShared
{
    StreamClientSettings settings;
    Counters &counters;
    std::mutex mutex; // guards `peers`, and `queue` and `queuedBytes` of each connection
    std::unordered_map<Endpoint, std::shared_ptr<PeerConnection>> peers;
};

/** All private methods run on the strand. */
class PeerConnection final : public Http2Listener, public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(boost::asio::io_context &context, const Endpoint &peer, std::shared_ptr<ClientShared> shared)
        : strand(boost::asio::make_strand(context)), socket(strand), watchTimer(strand), backoffTimer(strand), peer(peer), shared(std::move(shared))
    {
    }

    /** Precondition: the pool's mutex is held. */
    bool add(Bytes sealed)
    {
        if (this->queuedBytes + sealed.size() > this->shared->settings.queueBytes) {
            return false;
        }
        this->queuedBytes += sealed.size();
        this->queue.push_back(Outgoing{ std::move(sealed), 0 });
        boost::asio::post(this->strand, [self = this->shared_from_this()]() { self->sendQueued(); });
        return true;
    }

    /** May be called from any thread. */
    void requestEnd()
    {
        boost::asio::post(this->strand, [self = this->shared_from_this()]() {
            self->closeSocket();
            self->state = State::Ended;
            self->dropAll();
        });
    }

    void bodyReceived(int32_t, const Bytes &) override
    {
    }

    void requestEnded(int32_t stream, StreamStatus status) override
    {
        const auto at = this->inFlight.find(stream);
        if (at == this->inFlight.end()) {
            return;
        }
        if (status == StreamStatus::Failed) {
            this->refused.push_back(std::move(at->second)); // the peer closes; sent again over the next connection
            this->inFlight.erase(at);
            return;
        }
        this->forget(at->second, status != StreamStatus::Accepted);
        this->inFlight.erase(at);
        this->backoff = std::chrono::milliseconds(0);
        this->stalledFor = std::chrono::milliseconds(0);
    }

private:
    enum class State : uint8_t {
        Closed,
        Connecting,
        Open,
        Waiting, // for the backoff to pass
        Ended,
    };

    /** A message is done with: answered, or given up. */
    void forget(const Outgoing &message, bool isDropped)
    {
        if (isDropped) {
            this->shared->counters.add(Counter::StreamSendsDropped);
        }
        const std::lock_guard lock(this->shared->mutex);
        this->queuedBytes -= message.sealed.size();
    }

    void sendQueued()
    {
        if (this->state == State::Ended) {
            this->dropAll();
        } else if (this->state == State::Closed) {
            this->connect();
        } else if (this->state == State::Open) {
            this->beginRequests();
            this->write();
        }
    }

    void connect()
    {
        this->state = State::Connecting;
        this->unusedFor = std::chrono::milliseconds(0);
        this->stalledFor = std::chrono::milliseconds(0);
        ++this->generation;
        this->watch();
        const tcp::endpoint remote(boost::asio::ip::address_v4(this->peer.address), this->peer.port);
        this->socket.async_connect(remote, [self = this->shared_from_this(), made = this->generation](const error_code &failure) {
            if (made != self->generation || self->state != State::Connecting) {
                return;
            }
            if (failure) {
                self->fail();
                return;
            }
            self->opened();
        });
    }

    void opened()
    {
        error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->state = State::Open;
        this->session = std::make_unique<Http2Session>(Http2Session::Role::Client, *this);
        this->read();
        this->beginRequests();
        this->write();
    }

    /** Moves messages from the queue to the session, as many as may be open at a time. */
    void beginRequests()
    {
        while (this->inFlight.size() < maxStreamsPerConnection) {
            Outgoing next;
            {
                const std::lock_guard lock(this->shared->mutex);
                if (this->queue.empty()) {
                    return;
                }
                next = std::move(this->queue.front());
                this->queue.pop_front();
            }
            this->unusedFor = std::chrono::milliseconds(0);
            this->shared->counters.add(Counter::ControlBytesSent, next.sealed.size());
            const int32_t stream = this->session->beginRequest(next.sealed);
            if (stream == 0) {
                this->refused.push_back(std::move(next)); // the session is ending
                return;
            }
            this->inFlight.emplace(stream, std::move(next));
        }
    }

    void read()
    {
        const auto whenRead = [self = this->shared_from_this(), made = this->generation](const error_code &failure, size_t size) {
            if (made != self->generation || self->state != State::Open) {
                return;
            }
            const bool good = !failure && self->session->receive(self->input.data(), size);
            if (!good || !self->refused.empty()) {
                self->fail();
                return;
            }
            self->beginRequests();
            self->write();
            self->read();
        };
        this->socket.async_read_some(boost::asio::buffer(this->input), whenRead);
    }

    void write()
    {
        if (this->isWriting || this->state != State::Open) {
            return;
        }
        auto output = std::make_shared<Bytes>(this->session->takeOutput());
        if (output->empty()) {
            return;
        }
        this->isWriting = true;
        const auto whenWritten = [self = this->shared_from_this(), made = this->generation, output](const error_code &failure, size_t) {
            if (made != self->generation || self->state != State::Open) {
                return;
            }
            self->isWriting = false;
            if (failure) {
                self->fail();
                return;
            }
            self->stalledFor = std::chrono::milliseconds(0);
            self->write();
        };
        boost::asio::async_write(this->socket, boost::asio::buffer(*output), whenWritten);
    }

    /** Ends a connection that is unused, or that takes or answers nothing. */
    void watch()
    {
        this->watchTimer.expires_after(watchInterval);
        this->watchTimer.async_wait([self = this->shared_from_this(), made = this->generation](const error_code &failure) {
            if (failure || made != self->generation) {
                return;
            }
            self->check();
        });
    }

    void check()
    {
        const bool isBusy = this->state == State::Connecting || !this->inFlight.empty();
        std::chrono::milliseconds &spent = isBusy ? this->stalledFor : this->unusedFor;
        spent += watchInterval;
        if (this->stalledFor >= this->shared->settings.stalled) {
            this->fail();
        } else if (this->unusedFor >= this->shared->settings.idle) {
            this->closeSocket();
            this->retire();
        } else {
            this->watch();
        }
    }

    void closeSocket()
    {
        error_code ignored;
        this->socket.close(ignored);
        this->watchTimer.cancel();
        this->backoffTimer.cancel();
        ++this->generation; // handlers of the old connection do nothing
        this->isWriting = false;
        this->session.reset();
        this->state = State::Closed;
    }

    /** The connection broke: what was under way goes back to the queue, or is given up. */
    void fail()
    {
        this->closeSocket();
        for (auto &[stream, message] : this->inFlight) {
            this->refused.push_back(std::move(message));
        }
        this->inFlight.clear();
        this->requeue();
        if (this->retire()) {
            return;
        }
        const auto doubled = std::max(this->backoff * 2, this->shared->settings.firstBackoff);
        this->backoff = std::min(doubled, this->shared->settings.lastBackoff);
        this->state = State::Waiting;
        this->backoffTimer.expires_after(this->backoff);
        this->backoffTimer.async_wait([self = this->shared_from_this()](const error_code &failure) {
            if (!failure && self->state == State::Waiting) {
                self->connect();
            }
        });
    }

    /** Counts an attempt for each message and gives up those that had all theirs. */
    void requeue()
    {
        const std::lock_guard lock(this->shared->mutex);
        this->queue.insert(this->queue.begin(), std::make_move_iterator(this->refused.begin()), std::make_move_iterator(this->refused.end()));
        this->refused.clear();
        for (Outgoing &message : this->queue) {
            ++message.attempts;
        }
        const unsigned most = this->shared->settings.attempts;
        while (!this->queue.empty() && this->queue.front().attempts >= most) { // the front has the most
            this->queuedBytes -= this->queue.front().sealed.size();
            this->queue.pop_front();
            this->shared->counters.add(Counter::StreamSendsDropped);
        }
    }

    /** Leaves the pool when there is nothing to send. */
    bool retire()
    {
        const std::lock_guard lock(this->shared->mutex);
        if (!this->queue.empty()) {
            return false;
        }
        this->state = State::Ended;
        const auto at = this->shared->peers.find(this->peer);
        if (at != this->shared->peers.end() && at->second.get() == this) {
            this->shared->peers.erase(at);
        }
        return true;
    }

    void dropAll()
    {
        const std::lock_guard lock(this->shared->mutex);
        this->shared->counters.add(Counter::StreamSendsDropped, this->queue.size() + this->inFlight.size() + this->refused.size());
        this->queue.clear();
        this->inFlight.clear();
        this->refused.clear();
        this->queuedBytes = 0;
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    tcp::socket socket;
    boost::asio::steady_timer watchTimer;
    boost::asio::steady_timer backoffTimer;
    Endpoint peer;
    std::shared_ptr<ClientShared> shared;
    std::deque<Outgoing> queue;
    size_t queuedBytes = 0; // queued and in flight

    State state = State::Closed;
    uint64_t generation = 0; // one for each connection and each close
    std::unique_ptr<Http2Session> session;
    std::map<int32_t, Outgoing> inFlight;
    std::vector<Outgoing> refused; // to be sent again
    std::array<uint8_t, readBytes> input{};
    bool isWriting = false;
    std::chrono::milliseconds backoff{};
    std::chrono::milliseconds unusedFor{};
    std::chrono::milliseconds stalledFor{};
};

} // namespace

class StreamClient::Impl
{
public:
    Impl(boost::asio::io_context &context, const StreamClientSettings &settings, const PacketSigner &sealer, Counters &counters)
        : context(context), sealer(sealer), shared(std::shared_ptr<ClientShared>(new ClientShared{ settings, counters, {}, {} }))
    {
    }

    bool add(const Endpoint &peer, Bytes sealed)
    {
        const std::lock_guard lock(this->shared->mutex);
        std::shared_ptr<PeerConnection> &connection = this->shared->peers[peer];
        if (connection == nullptr) {
            connection = std::make_shared<PeerConnection>(this->context, peer, this->shared);
        }
        return connection->add(std::move(sealed));
    }

    boost::asio::io_context &context;
    const PacketSigner &sealer;
    std::shared_ptr<ClientShared> shared;
};

StreamClient::StreamClient(boost::asio::io_context &context, const StreamClientSettings &settings, const PacketSigner &sealer, Counters &counters)
    : impl(std::make_shared<Impl>(context, settings, sealer, counters))
{
}

StreamClient::~StreamClient()
{
    this->endAll();
}

bool StreamClient::send(const Endpoint &peer, const PeerMessage &message)
{
    Bytes sealed = this->impl->sealer.seal(encodeMessage(message));
    const bool fits = sealed.size() <= maxStreamBodyBytes;
    const bool isQueued = fits && this->impl->add(peer, std::move(sealed));
    if (!isQueued) {
        this->impl->shared->counters.add(Counter::StreamSendsDropped);
    }
    return isQueued;
}

size_t StreamClient::peerCount() const
{
    const std::lock_guard lock(this->impl->shared->mutex);
    return this->impl->shared->peers.size();
}

void StreamClient::endAll()
{
    const std::lock_guard lock(this->impl->shared->mutex);
    for (const auto &[peer, connection] : this->impl->shared->peers) {
        connection->requestEnd();
    }
    this->impl->shared->peers.clear();
}

} // namespace hornbeam
