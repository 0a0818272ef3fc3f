#include "store/httpget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hornbeam {

namespace {
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

/** Connects, sends the request and reads the response. A failed step ends the exchange. */
struct Exchange
{
    boost::asio::io_context context;
    beast::tcp_stream stream{ context };
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    bool isDone = false;

    void onConnected(const error_code &error)
    {
        if (!error) {
            http::async_write(this->stream, this->request, [this](const error_code &failed, size_t) { this->onWritten(failed); });
        }
    }
    void onWritten(const error_code &error)
    {
        if (!error) {
            http::async_read(this->stream, this->buffer, this->response, [this](const error_code &failed, size_t) { this->isDone = !failed; });
        }
    }
};
}

std::optional<HttpPage> httpRead(const Endpoint &endpoint, const std::string &path, Duration timeout)
{
    constexpr unsigned httpVersion = 11;
    Exchange exchange;
    exchange.request = { http::verb::get, path, httpVersion };
    exchange.request.set(http::field::host, toString(endpoint));
    exchange.request.keep_alive(false);
    exchange.stream.expires_after(timeout);
    const tcp::endpoint remote(boost::asio::ip::address_v4(endpoint.address), endpoint.port);
    exchange.stream.async_connect(remote, [&exchange](const error_code &error) { exchange.onConnected(error); });
    exchange.context.run();
    return exchange.isDone ? std::optional(HttpPage{ exchange.response.result_int(), exchange.response.body() }) : std::nullopt;
}

std::optional<std::string> httpGet(const Endpoint &endpoint, const std::string &path, Duration timeout)
{
    constexpr unsigned ok = 200;
    const std::optional<HttpPage> page = httpRead(endpoint, path, timeout);
    return page.has_value() && page->status == ok ? std::optional(page->body) : std::nullopt;
}

} // namespace hornbeam
