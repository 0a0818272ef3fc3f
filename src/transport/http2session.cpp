// Sections: callbacks | session | streams

#include "transport/http2session.h"

#include <algorithm>
#include <array>
#include <nghttp2/nghttp2.h>

namespace hornbeam {

namespace {

constexpr size_t outputBytes = 64UL * 1024;                // per write
constexpr int32_t connectionWindowBytes = 4 * 1024 * 1024; // unread bytes that a peer may have under way
constexpr char messagePath[] = "/message";

//--- Callbacks

Http2Session &sessionOf(void *user)
{
    return *static_cast<Http2Session *>(user);
}

int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    sessionOf(user).beginStream(frame->hd.stream_id);
    return 0;
}

int onHeader(nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name, size_t nameBytes, const uint8_t *value, size_t valueBytes, uint8_t, void *user)
{
    const std::string nameText(name, name + nameBytes);
    const std::string valueText(value, value + valueBytes);
    const bool good = sessionOf(user).addHeader(frame->hd.stream_id, nameText, valueText);
    return good ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int onData(nghttp2_session *, uint8_t, int32_t stream, const uint8_t *data, size_t size, void *user)
{
    const bool good = sessionOf(user).addBody(stream, data, size);
    return good ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    const bool isBodyOrHead = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (isBodyOrHead && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
        sessionOf(user).endBody(frame->hd.stream_id);
    }
    return 0;
}

int onStreamClose(nghttp2_session *, int32_t stream, uint32_t, void *user)
{
    sessionOf(user).endStream(stream);
    return 0;
}

ssize_t onReadBody(nghttp2_session *, int32_t stream, uint8_t *buffer, size_t size, uint32_t *flags, nghttp2_data_source *, void *user)
{
    bool isLast = false;
    const size_t read = sessionOf(user).readBody(stream, buffer, size, isLast);
    if (isLast) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(read);
}

nghttp2_nv headerOf(const std::string &name, const std::string &value)
{
    nghttp2_nv header{};
    header.name = reinterpret_cast<uint8_t *>(const_cast<char *>(name.data())); // nghttp2 copies it
    header.namelen = name.size();
    header.value = reinterpret_cast<uint8_t *>(const_cast<char *>(value.data()));
    header.valuelen = value.size();
    header.flags = NGHTTP2_NV_FLAG_NONE;
    return header;
}

} // namespace

//--- Session

Http2Session::Http2Session(Role role, Http2Listener &listener) : role(role), listener(listener)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    if (role == Role::Server) {
        nghttp2_session_server_new(&this->session, callbacks, this);
    } else {
        nghttp2_session_client_new(&this->session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array settings{
        nghttp2_settings_entry{ NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreamsPerConnection },
        nghttp2_settings_entry{ NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<uint32_t>(maxStreamBodyBytes) },
        nghttp2_settings_entry{ NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    };
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(this->session);
}

bool Http2Session::receive(const uint8_t *data, size_t size)
{
    return nghttp2_session_mem_recv(this->session, data, size) == static_cast<ssize_t>(size);
}

Bytes Http2Session::takeOutput()
{
    Bytes output;
    while (output.size() < outputBytes) {
        const uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session, &data);
        if (size <= 0) {
            break;
        }
        output.insert(output.end(), data, data + size);
    }
    return output;
}

void Http2Session::endSession()
{
    nghttp2_session_terminate_session(this->session, NGHTTP2_NO_ERROR);
}

bool Http2Session::isDone() const
{
    return nghttp2_session_want_read(this->session) == 0 && nghttp2_session_want_write(this->session) == 0;
}

size_t Http2Session::bytesHeld() const
{
    return this->held;
}

//--- Streams

int32_t Http2Session::beginRequest(Bytes body)
{
    const std::array<std::string, 8> text{ ":method", "POST", ":scheme", "http", ":authority", "peer", ":path", messagePath };
    const std::array headers{ headerOf(text[0], text[1]), headerOf(text[2], text[3]), headerOf(text[4], text[5]), headerOf(text[6], text[7]) };
    nghttp2_data_provider provider{};
    provider.read_callback = onReadBody;
    const int32_t stream = nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream <= 0) {
        return 0;
    }
    this->streams[stream].body = std::move(body);
    return stream;
}

void Http2Session::answer(int32_t stream, StreamStatus status)
{
    const std::string name = ":status";
    const std::string value = std::to_string(static_cast<unsigned>(status));
    const nghttp2_nv header = headerOf(name, value);
    nghttp2_submit_response(this->session, stream, &header, 1, nullptr);
}

void Http2Session::beginStream(int32_t stream)
{
    this->streams[stream]; // a client's stream is there already
}

bool Http2Session::addHeader(int32_t stream, const std::string &name, const std::string &value)
{
    Stream &open = this->streams[stream];
    if (this->role == Role::Server) {
        open.isPost = open.isPost || (name == ":method" && value == "POST");
        open.isMessagePath = open.isMessagePath || (name == ":path" && value == messagePath);
        return true;
    }
    if (name == ":status") {
        const bool accepted = value == "200";
        const bool isUnsigned = value == "403";
        open.status = accepted ? StreamStatus::Accepted : isUnsigned ? StreamStatus::Unsigned : StreamStatus::Malformed;
    }
    return true;
}

bool Http2Session::addBody(int32_t stream, const uint8_t *data, size_t size)
{
    if (this->role == Role::Client) {
        return true; // answers carry nothing
    }
    Stream &open = this->streams[stream];
    if (open.body.size() + size > maxStreamBodyBytes) {
        return false;
    }
    open.body.insert(open.body.end(), data, data + size);
    this->held += size;
    return true;
}

void Http2Session::endBody(int32_t stream)
{
    const auto at = this->streams.find(stream);
    if (this->role == Role::Client || at == this->streams.end()) {
        return;
    }
    const bool isMessage = at->second.isPost && at->second.isMessagePath;
    const Bytes body = std::move(at->second.body);
    at->second.body.clear();
    this->held -= body.size();
    this->listener.bodyReceived(stream, isMessage ? body : Bytes());
}

void Http2Session::endStream(int32_t stream)
{
    const auto at = this->streams.find(stream);
    if (at == this->streams.end()) {
        return;
    }
    const StreamStatus status = at->second.status;
    if (this->role == Role::Server) {
        this->held -= at->second.body.size();
    }
    this->streams.erase(at);
    if (this->role == Role::Client) {
        this->listener.requestEnded(stream, status);
    }
}

size_t Http2Session::readBody(int32_t stream, uint8_t *buffer, size_t size, bool &isLast)
{
    Stream &open = this->streams[stream];
    const size_t count = std::min(size, open.body.size() - open.sent);
    std::copy_n(open.body.data() + open.sent, count, buffer);
    open.sent += count;
    isLast = open.sent == open.body.size();
    return count;
}

} // namespace hornbeam
