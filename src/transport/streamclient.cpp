// Client side of streams.h.

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
constexpr std::chrono::milliseconds checkInterval{ 500 }; // how often a connection is checked for the idle and stall timeouts

/** A signed message that has not been acknowledged yet. */
struct QueuedMessage
{
    Bytes signedMessage;
    unsigned attempts = 0; // connections that failed before its response arrived
};

class PeerConnection;

/** State shared by all connections of a client. */
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
        : strand(boost::asio::make_strand(context)), socket(strand), checkTimer(strand), backoffTimer(strand), peer(peer), shared(std::move(shared))
    {
    }

    /** Queues a message; returns false when the queue is full. Precondition: the client's mutex is held. */
    bool add(Bytes signedMessage)
    {
        if (this->queuedBytes + signedMessage.size() > this->shared->settings.maxQueueBytes) {
            return false;
        }
        this->queuedBytes += signedMessage.size();
        this->queue.push_back(QueuedMessage{ std::move(signedMessage), 0 });
        boost::asio::post(this->strand, [self = this->shared_from_this()]() { self->sendQueued(); });
        return true;
    }

    /** Closes the connection and drops its messages. May be called from any thread. */
    void requestClose()
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
        const auto it = this->inFlight.find(stream);
        if (it == this->inFlight.end()) {
            return;
        }
        if (status == StreamStatus::Failed) {
            this->unsent.push_back(std::move(it->second)); // the peer is closing the connection; resent over the next one
            this->inFlight.erase(it);
            return;
        }
        this->finishMessage(it->second, status != StreamStatus::Accepted);
        this->inFlight.erase(it);
        this->backoff = std::chrono::milliseconds(0);
        this->stallTime = std::chrono::milliseconds(0);
    }

private:
    enum class State : uint8_t {
        Closed,
        Connecting,
        Open,
        Backoff, // waiting before the next connection attempt
        Ended,
    };

    /** Releases the queue space of a message that got a response; `isDropped` when the peer rejected it. */
    void finishMessage(const QueuedMessage &message, bool isDropped)
    {
        if (isDropped) {
            this->shared->counters.add(Counter::StreamSendsDropped);
        }
        const std::lock_guard lock(this->shared->mutex);
        this->queuedBytes -= message.signedMessage.size();
    }

    void sendQueued()
    {
        if (this->state == State::Ended) {
            this->dropAll();
        } else if (this->state == State::Closed) {
            this->connect();
        } else if (this->state == State::Open) {
            this->startRequests();
            this->write();
        }
    }

    void connect()
    {
        this->state = State::Connecting;
        this->idleTime = std::chrono::milliseconds(0);
        this->stallTime = std::chrono::milliseconds(0);
        ++this->generation;
        this->scheduleCheck();
        const tcp::endpoint remote(boost::asio::ip::address_v4(this->peer.address), this->peer.port);
        this->socket.async_connect(remote, [self = this->shared_from_this(), startedGeneration = this->generation](const error_code &failure) {
            if (startedGeneration != self->generation || self->state != State::Connecting) {
                return;
            }
            if (failure) {
                self->fail();
                return;
            }
            self->onConnected();
        });
    }

    void onConnected()
    {
        error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->state = State::Open;
        this->session = std::make_unique<Http2Session>(Http2Session::Role::Client, *this);
        this->read();
        this->startRequests();
        this->write();
    }

    /** Moves messages from the queue to the session, up to the concurrent stream limit. */
    void startRequests()
    {
        while (this->inFlight.size() < maxStreamsPerConnection) {
            QueuedMessage next;
            {
                const std::lock_guard lock(this->shared->mutex);
                if (this->queue.empty()) {
                    return;
                }
                next = std::move(this->queue.front());
                this->queue.pop_front();
            }
            this->idleTime = std::chrono::milliseconds(0);
            this->shared->counters.add(Counter::ControlBytesSent, next.signedMessage.size());
            const int32_t stream = this->session->startRequest(next.signedMessage);
            if (stream == 0) {
                this->unsent.push_back(std::move(next)); // the session accepts no more requests
                return;
            }
            this->inFlight.emplace(stream, std::move(next));
        }
    }

    void read()
    {
        const auto onRead = [self = this->shared_from_this(), startedGeneration = this->generation](const error_code &failure, size_t size) {
            if (startedGeneration != self->generation || self->state != State::Open) {
                return;
            }
            const bool isValid = !failure && self->session->receive(self->input.data(), size);
            if (!isValid || !self->unsent.empty()) {
                self->fail();
                return;
            }
            self->startRequests();
            self->write();
            self->read();
        };
        this->socket.async_read_some(boost::asio::buffer(this->input), onRead);
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
        const auto onWritten = [self = this->shared_from_this(), startedGeneration = this->generation, output](const error_code &failure, size_t) {
            if (startedGeneration != self->generation || self->state != State::Open) {
                return;
            }
            self->isWriting = false;
            if (failure) {
                self->fail();
                return;
            }
            self->stallTime = std::chrono::milliseconds(0);
            self->write();
        };
        boost::asio::async_write(this->socket, boost::asio::buffer(*output), onWritten);
    }

    /** Schedules the next check of the idle and stall timeouts. */
    void scheduleCheck()
    {
        this->checkTimer.expires_after(checkInterval);
        this->checkTimer.async_wait([self = this->shared_from_this(), startedGeneration = this->generation](const error_code &failure) {
            if (failure || startedGeneration != self->generation) {
                return;
            }
            self->checkTimeouts();
        });
    }

    void checkTimeouts()
    {
        const bool isBusy = this->state == State::Connecting || !this->inFlight.empty();
        std::chrono::milliseconds &elapsed = isBusy ? this->stallTime : this->idleTime;
        elapsed += checkInterval;
        if (this->stallTime >= this->shared->settings.stallTimeout) {
            this->fail();
        } else if (this->idleTime >= this->shared->settings.idleTimeout) {
            this->closeSocket();
            this->removeIfIdle();
        } else {
            this->scheduleCheck();
        }
    }

    void closeSocket()
    {
        error_code ignored;
        this->socket.close(ignored);
        this->checkTimer.cancel();
        this->backoffTimer.cancel();
        ++this->generation; // makes pending handlers of the old connection return at once
        this->isWriting = false;
        this->session.reset();
        this->state = State::Closed;
    }

    /** Handles a failed connection: requeues unacknowledged messages, or drops those out of attempts, and schedules a reconnect. */
    void fail()
    {
        this->closeSocket();
        for (auto &[stream, message] : this->inFlight) {
            this->unsent.push_back(std::move(message));
        }
        this->inFlight.clear();
        this->requeue();
        if (this->removeIfIdle()) {
            return;
        }
        const auto doubledBackoff = std::max(this->backoff * 2, this->shared->settings.initialBackoff);
        this->backoff = std::min(doubledBackoff, this->shared->settings.maxBackoff);
        this->state = State::Backoff;
        this->backoffTimer.expires_after(this->backoff);
        this->backoffTimer.async_wait([self = this->shared_from_this()](const error_code &failure) {
            if (!failure && self->state == State::Backoff) {
                self->connect();
            }
        });
    }

    /** Returns unsent messages to the queue, counts an attempt for each queued message and drops those out of attempts. */
    void requeue()
    {
        const std::lock_guard lock(this->shared->mutex);
        this->queue.insert(this->queue.begin(), std::make_move_iterator(this->unsent.begin()), std::make_move_iterator(this->unsent.end()));
        this->unsent.clear();
        for (QueuedMessage &message : this->queue) {
            ++message.attempts;
        }
        const unsigned maxAttempts = this->shared->settings.maxAttempts;
        while (!this->queue.empty() && this->queue.front().attempts >= maxAttempts) { // the front has the most attempts
            this->queuedBytes -= this->queue.front().signedMessage.size();
            this->queue.pop_front();
            this->shared->counters.add(Counter::StreamSendsDropped);
        }
    }

    /** Removes the connection from the client when nothing is queued. Returns whether it was removed. */
    bool removeIfIdle()
    {
        const std::lock_guard lock(this->shared->mutex);
        if (!this->queue.empty()) {
            return false;
        }
        this->state = State::Ended;
        const auto it = this->shared->peers.find(this->peer);
        if (it != this->shared->peers.end() && it->second.get() == this) {
            this->shared->peers.erase(it);
        }
        return true;
    }

    void dropAll()
    {
        const std::lock_guard lock(this->shared->mutex);
        this->shared->counters.add(Counter::StreamSendsDropped, this->queue.size() + this->inFlight.size() + this->unsent.size());
        this->queue.clear();
        this->inFlight.clear();
        this->unsent.clear();
        this->queuedBytes = 0;
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    tcp::socket socket;
    boost::asio::steady_timer checkTimer;
    boost::asio::steady_timer backoffTimer;
    Endpoint peer;
    std::shared_ptr<ClientShared> shared;
    std::deque<QueuedMessage> queue;
    size_t queuedBytes = 0; // bytes queued and in flight

    State state = State::Closed;
    uint64_t generation = 0; // incremented for each connection attempt and each close
    std::unique_ptr<Http2Session> session;
    std::map<int32_t, QueuedMessage> inFlight;
    std::vector<QueuedMessage> unsent; // to be resent over the next connection
    std::array<uint8_t, readBytes> input{};
    bool isWriting = false;
    std::chrono::milliseconds backoff{};
    std::chrono::milliseconds idleTime{};
    std::chrono::milliseconds stallTime{};
};

} // namespace

class StreamClient::Impl
{
public:
    Impl(boost::asio::io_context &context, const StreamClientSettings &settings, const PacketSigner &signer, Counters &counters)
        : context(context), signer(signer), shared(std::shared_ptr<ClientShared>(new ClientShared{ settings, counters, {}, {} }))
    {
    }

    bool add(const Endpoint &peer, Bytes signedMessage)
    {
        const std::lock_guard lock(this->shared->mutex);
        std::shared_ptr<PeerConnection> &connection = this->shared->peers[peer];
        if (connection == nullptr) {
            connection = std::make_shared<PeerConnection>(this->context, peer, this->shared);
        }
        return connection->add(std::move(signedMessage));
    }

    boost::asio::io_context &context;
    const PacketSigner &signer;
    std::shared_ptr<ClientShared> shared;
};

StreamClient::StreamClient(boost::asio::io_context &context, const StreamClientSettings &settings, const PacketSigner &signer, Counters &counters)
    : impl(std::make_shared<Impl>(context, settings, signer, counters))
{
}

StreamClient::~StreamClient()
{
    this->closeAll();
}

bool StreamClient::send(const Endpoint &peer, const PeerMessage &message)
{
    Bytes signedMessage = this->impl->signer.seal(encodeMessage(message));
    const bool isWithinLimit = signedMessage.size() <= maxStreamBodyBytes;
    const bool isQueued = isWithinLimit && this->impl->add(peer, std::move(signedMessage));
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

void StreamClient::closeAll()
{
    const std::lock_guard lock(this->impl->shared->mutex);
    for (const auto &[peer, connection] : this->impl->shared->peers) {
        connection->requestClose();
    }
    this->impl->shared->peers.clear();
}

} // namespace hornbeam
