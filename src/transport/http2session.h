#pragma once

// One HTTP/2 connection (RFC 9113) without its socket: bytes in, bytes out, one POST /message for each peer message. Over nghttp2.

#include "core/types.h"

#include <map>

struct nghttp2_session;

namespace hornbeam {

constexpr size_t maxStreamBodyBytes = 1024UL * 1024 + 64UL * 1024; // the platform's largest value, and room for what stands around it
constexpr uint32_t maxStreamsPerConnection = 8;                    // open at a time

enum class StreamStatus : uint16_t {
    Failed = 0, // the stream ended without an answer
    Accepted = 200,
    Malformed = 400,
    Unsigned = 403,
};

/** Hears what arrives. Called from Http2Session::receive. */
class Http2Listener
{
public:
    virtual ~Http2Listener() = default;
    /** Server: a whole request body has arrived. The listener calls Http2Session::answer for it once. */
    virtual void bodyReceived(int32_t stream, const Bytes &body) = 0;
    /** Client: the request of `stream` has ended. */
    virtual void requestEnded(int32_t stream, StreamStatus status) = 0;
};

/** Not thread safe: one connection's strand owns it. */
class Http2Session
{
public:
    enum class Role : uint8_t {
        Client,
        Server,
    };

    /** Precondition: `listener` outlives this. */
    Http2Session(Role role, Http2Listener &listener);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /** Takes in bytes of the peer. Returns false when they break the protocol or a limit; the connection has to be closed then. */
    bool receive(const uint8_t *data, size_t size);
    /** The bytes to send next, a write's worth of them; empty when there are none. */
    Bytes takeOutput();
    /** Client: begins a request and returns its stream; 0 when the session takes no more. */
    int32_t startRequest(Bytes body);
    /** Server: answers a request. */
    void respond(int32_t stream, StreamStatus status);
    /** Tells the peer that no more streams are taken. */
    void terminate();
    /** Whether nothing more is to be sent or received. */
    bool isDone() const;
    /** Bytes of request bodies that have arrived in part. */
    size_t bufferedBodyBytes() const;

    // what the callbacks of nghttp2 call
    void beginStream(int32_t stream);
    bool addHeader(int32_t stream, const std::string &name, const std::string &value);
    bool addBody(int32_t stream, const uint8_t *data, size_t size);
    void endBody(int32_t stream);
    void endStream(int32_t stream);
    size_t readBody(int32_t stream, uint8_t *buffer, size_t size, bool &isLast);

private:
    /** A stream that is open. */
    struct Stream
    {
        Bytes body;      // received by a server, sent by a client
        size_t sent = 0; // of `body`
        bool isPost = false;
        bool isMessagePath = false;
        StreamStatus status = StreamStatus::Failed;
    };

    Role role;
    Http2Listener &listener;
    std::map<int32_t, Stream> streams;
    size_t bufferedBytes = 0;
    nghttp2_session *session = nullptr;
};

} // namespace hornbeam
