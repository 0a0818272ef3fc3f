// Sections: callbacks | session | streams

#include "transport/http2session.h"

#include <algorithm>
#include <array>
#include <nghttp2/nghttp2.h>

namespace hornbeam {

namespace {

constexpr size_t maxOutputBytes = 64UL * 1024;             // output is collected for one write up to about this size
constexpr int32_t connectionWindowBytes = 4 * 1024 * 1024; // flow control window: bytes that a peer may send before they are read
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
    const bool isValid = sessionOf(user).addHeader(frame->hd.stream_id, nameText, valueText);
    return isValid ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int onData(nghttp2_session *, uint8_t, int32_t stream, const uint8_t *data, size_t size, void *user)
{
    const bool isValid = sessionOf(user).addBody(stream, data, size);
    return isValid ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
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

nghttp2_nv makeHeader(const std::string &name, const std::string &value)
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
    while (output.size() < maxOutputBytes) {
        const uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session, &data);
        if (size <= 0) {
            break;
        }
        output.insert(output.end(), data, data + size);
    }
    return output;
}

void Http2Session::terminate()
{
    nghttp2_session_terminate_session(this->session, NGHTTP2_NO_ERROR);
}

bool Http2Session::isDone() const
{
    return nghttp2_session_want_read(this->session) == 0 && nghttp2_session_want_write(this->session) == 0;
}

size_t Http2Session::bufferedBodyBytes() const
{
    return this->bufferedBytes;
}

//--- Streams

int32_t Http2Session::startRequest(Bytes body)
{
    const std::array<std::string, 8> fields{ ":method", "POST", ":scheme", "http", ":authority", "peer", ":path", messagePath };
    const std::array headers{ makeHeader(fields[0], fields[1]), makeHeader(fields[2], fields[3]), makeHeader(fields[4], fields[5]),
                              makeHeader(fields[6], fields[7]) };
    nghttp2_data_provider provider{};
    provider.read_callback = onReadBody;
    const int32_t stream = nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream <= 0) {
        return 0;
    }
    this->streams[stream].body = std::move(body);
    return stream;
}

void Http2Session::respond(int32_t stream, StreamStatus status)
{
    const std::string name = ":status";
    const std::string value = std::to_string(static_cast<unsigned>(status));
    const nghttp2_nv header = makeHeader(name, value);
    nghttp2_submit_response(this->session, stream, &header, 1, nullptr);
}

void Http2Session::beginStream(int32_t stream)
{
    this->streams[stream]; // creates the server's stream; a client's exists since startRequest
}

bool Http2Session::addHeader(int32_t stream, const std::string &name, const std::string &value)
{
    Stream &state = this->streams[stream];
    if (this->role == Role::Server) {
        state.isPost = state.isPost || (name == ":method" && value == "POST");
        state.isMessagePath = state.isMessagePath || (name == ":path" && value == messagePath);
        return true;
    }
    if (name == ":status") {
        const bool isAccepted = value == "200";
        const bool isUnsigned = value == "403";
        state.status = isAccepted ? StreamStatus::Accepted : isUnsigned ? StreamStatus::Unsigned : StreamStatus::Malformed;
    }
    return true;
}

bool Http2Session::addBody(int32_t stream, const uint8_t *data, size_t size)
{
    if (this->role == Role::Client) {
        return true; // responses have no body
    }
    Stream &state = this->streams[stream];
    if (state.body.size() + size > maxStreamBodyBytes) {
        return false;
    }
    state.body.insert(state.body.end(), data, data + size);
    this->bufferedBytes += size;
    return true;
}

void Http2Session::endBody(int32_t stream)
{
    const auto it = this->streams.find(stream);
    if (this->role == Role::Client || it == this->streams.end()) {
        return;
    }
    const bool isMessage = it->second.isPost && it->second.isMessagePath;
    const Bytes body = std::move(it->second.body);
    it->second.body.clear();
    this->bufferedBytes -= body.size();
    this->listener.bodyReceived(stream, isMessage ? body : Bytes());
}

void Http2Session::endStream(int32_t stream)
{
    const auto it = this->streams.find(stream);
    if (it == this->streams.end()) {
        return;
    }
    const StreamStatus status = it->second.status;
    if (this->role == Role::Server) {
        this->bufferedBytes -= it->second.body.size();
    }
    this->streams.erase(it);
    if (this->role == Role::Client) {
        this->listener.requestEnded(stream, status);
    }
}

size_t Http2Session::readBody(int32_t stream, uint8_t *buffer, size_t size, bool &isLast)
{
    Stream &state = this->streams[stream];
    const size_t count = std::min(size, state.body.size() - state.sent);
    std::copy_n(state.body.data() + state.sent, count, buffer);
    state.sent += count;
    isLast = state.sent == state.body.size();
    return count;
}

} // namespace hornbeam
