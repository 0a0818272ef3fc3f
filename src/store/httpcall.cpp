#include "store/httpcall.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>

namespace hornbeam {

namespace {
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds maxResponseDuration(10); // 1 MB takes 0.8 s at 10 Mbit/s, and ten processes may start on one link

/** Keeps itself alive until it completes. */
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    HttpCall(boost::asio::io_context &context, HttpRequest request, const HttpLimits &limits, std::function<void(HttpResult)> done)
        : stream(context), request(std::move(request)), limits(limits), done(std::move(done))
    {
    }

    // The response may start up to `longPollTimeout` + `idleTimeout` after the call; `idleTimeout` then bounds each gap between reads.
    void start(const Endpoint &endpoint)
    {
        this->parser.body_limit(this->limits.maxResponseBytes);
        this->deadline = std::chrono::steady_clock::now() + this->limits.longPollTimeout + maxResponseDuration;
        this->stream.expires_after(this->limits.longPollTimeout + this->limits.idleTimeout);
        const tcp::endpoint remote(boost::asio::ip::address_v4(endpoint.address), endpoint.port);
        this->stream.async_connect(remote, [self = this->shared_from_this()](const error_code &error) { self->onConnected(error); });
    }

private:
    void onConnected(const error_code &error)
    {
        if (error) {
            this->finish({ std::nullopt, false, error.message() });
            return;
        }
        http::async_write(this->stream, this->request, [self = this->shared_from_this()](const error_code &failed, size_t) { self->onWritten(failed); });
    }

    void onWritten(const error_code &error)
    {
        if (error) {
            this->finish({ std::nullopt, true, error.message() });
            return;
        }
        this->readSome();
    }

    void readSome()
    {
        http::async_read_some(this->stream, this->buffer, this->parser,
                              [self = this->shared_from_this()](const error_code &failed, size_t) { self->onRead(failed); });
    }

    void onRead(const error_code &error)
    {
        if (error) {
            this->finish({ std::nullopt, true, error.message() });
            return;
        }
        if (!this->parser.is_done()) {
            this->stream.expires_at(std::min(std::chrono::steady_clock::now() + this->limits.idleTimeout, this->deadline));
            this->readSome();
            return;
        }
        auto &response = this->parser.get();
        this->finish({ HttpPage{ response.result_int(), std::move(response.body()) }, true, "", std::move(response.base()) });
    }

    void finish(HttpResult result)
    {
        error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        this->done(std::move(result));
    }

    beast::tcp_stream stream;
    HttpRequest request;
    const HttpLimits limits;
    std::function<void(HttpResult)> done;
    std::chrono::steady_clock::time_point deadline;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
};
}

void startHttpCall(boost::asio::io_context &context, const Endpoint &endpoint, HttpRequest request, const HttpLimits &limits,
                   std::function<void(HttpResult)> done)
{
    std::make_shared<HttpCall>(context, std::move(request), limits, std::move(done))->start(endpoint);
}

} // namespace hornbeam
