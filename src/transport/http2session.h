#pragma once

// HTTP/2 connection state (RFC 9113) without socket I/O, based on nghttp2. Each peer message is one POST /message request.

#include "core/types.h"

#include <map>

struct nghttp2_session;

namespace hornbeam {

constexpr size_t maxStreamBodyBytes = 1024UL * 1024 + 64UL * 1024; // the platform's largest value plus 64 KiB for message overhead
constexpr uint32_t maxStreamsPerConnection = 8;                    // concurrent streams

enum class StreamStatus : uint16_t {
    Failed = 0, // the stream was closed without a response
    Accepted = 200,
    Malformed = 400,
    Unsigned = 403,
};

/** Receives the events of a session. Called from Http2Session::receive. */
class Http2Listener
{
public:
    virtual ~Http2Listener() = default;
    /** Server: a request body is complete. The listener has to call Http2Session::respond for it exactly once. */
    virtual void bodyReceived(int32_t stream, const Bytes &body) = 0;
    /** Client: the request on `stream` is finished. */
    virtual void requestEnded(int32_t stream, StreamStatus status) = 0;
};

/** Not thread safe: used only on its connection's strand. */
class Http2Session
{
public:
    enum class Role : uint8_t {
        Client,
        Server,
    };

    /** Precondition: `listener` outlives the session. */
    Http2Session(Role role, Http2Listener &listener);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /** Processes bytes received from the peer. Returns false when they violate the protocol or a limit; the connection must then be closed. */
    bool receive(const uint8_t *data, size_t size);
    /** Removes and returns the bytes for the next write; empty when there are none. */
    Bytes takeOutput();
    /** Client: starts a request and returns its stream ID; 0 when the session accepts no more requests. */
    int32_t startRequest(Bytes body);
    /** Server: sends the response to a request. */
    void respond(int32_t stream, StreamStatus status);
    /** Sends GOAWAY, so that the peer opens no more streams. */
    void terminate();
    /** Whether the session expects no more input and has no more output. */
    bool isDone() const;
    /** Size in bytes of all incomplete request bodies. */
    size_t bufferedBodyBytes() const;

    // called from the nghttp2 callbacks
    void beginStream(int32_t stream);
    bool addHeader(int32_t stream, const std::string &name, const std::string &value);
    bool addBody(int32_t stream, const uint8_t *data, size_t size);
    void endBody(int32_t stream);
    void endStream(int32_t stream);
    size_t readBody(int32_t stream, uint8_t *buffer, size_t size, bool &isLast);

private:
    /** State of an open stream. */
    struct Stream
    {
        Bytes body;      // the request body: received on a server, sent on a client
        size_t sent = 0; // bytes of `body` already sent
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
