#include "transport/metricsserver.h"

#include "core/percentencoding.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string_view>

namespace hornbeam {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::seconds requestTimeout(5);
constexpr uint64_t maxRequestBytes = 4096;

struct Page
{
    PageRenderer render;
    CheckFunction check;  // empty for text pages
    QueryRenderer answer; // only of pages with parameters
};
using Pages = std::map<std::string, Page>;

// std::nullopt if the text is not a list of NAME=VALUE, separated by &
std::optional<PageParameters> parseParameters(std::string_view query)
{
    PageParameters parameters;
    while (!query.empty()) {
        const size_t end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        const size_t separator = item.find('=');
        const std::optional<std::string> value = separator == std::string_view::npos ? std::nullopt : percentDecode(item.substr(separator + 1));
        if (!value.has_value()) {
            return std::nullopt;
        }
        parameters[std::string(item.substr(0, separator))] = *value;
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return parameters;
}

/** Serves one request, then closes the connection. */
class PageSession : public std::enable_shared_from_this<PageSession>
{
public:
    PageSession(tcp::socket socket, std::shared_ptr<const Pages> pages) : stream(std::move(socket)), pages(std::move(pages))
    {
        this->parser.body_limit(maxRequestBytes);
    }

    void start()
    {
        this->stream.expires_after(requestTimeout);
        http::async_read(this->stream, this->buffer, this->parser, [self = this->shared_from_this()](const beast::error_code &failure, size_t) {
            if (!failure) {
                self->respond();
            }
        });
    }

private:
    void respond()
    {
        const std::string target(this->parser.get().target());
        const size_t queryStart = std::min(target.find('?'), target.size());
        auto page = this->pages->find(target);
        if (page == this->pages->end()) {
            page = this->pages->find(target.substr(0, queryStart));
            page = page != this->pages->end() && page->second.answer ? page : this->pages->end(); // other pages have no parameters
        }
        const bool isGet = this->parser.get().method() == http::verb::get;
        if (!isGet) {
            this->response.result(http::status::method_not_allowed);
        } else if (page == this->pages->end()) {
            this->response.result(http::status::not_found);
            this->response.body() = "no such page\n";
        } else if (page->second.check) {
            this->response.result(page->second.check() ? http::status::ok : http::status::service_unavailable);
        } else if (page->second.answer) {
            const std::optional<PageParameters> parameters = parseParameters(std::string_view(target).substr(std::min(queryStart + 1, target.size())));
            const PageResponse answer = parameters.has_value() ? page->second.answer(*parameters) : PageResponse{ 400, "the parameters can't be decoded\n" };
            this->response.result(answer.status);
            this->response.set(http::field::content_type, "text/plain");
            this->response.body() = answer.text;
        } else {
            this->response.set(http::field::content_type, "text/plain; version=0.0.4");
            this->response.body() = page->second.render();
        }
        this->response.keep_alive(false);
        this->response.prepare_payload();
        http::async_write(this->stream, this->response, [self = this->shared_from_this()](const beast::error_code &, size_t) {
            beast::error_code ignored;
            self->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream stream;
    std::shared_ptr<const Pages> pages;
    beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    http::response<http::string_body> response;
};

} // namespace

class MetricsServer::Impl : public std::enable_shared_from_this<MetricsServer::Impl>
{
public:
    explicit Impl(boost::asio::io_context &context) : context(context), acceptor(context)
    {
    }

    void open(const Endpoint &local)
    {
        beast::error_code failure;
        const tcp::endpoint endpoint(boost::asio::ip::address_v4(local.address), local.port);
        this->acceptor.open(tcp::v4(), failure);
        if (!failure) {
            this->acceptor.set_option(boost::asio::socket_base::reuse_address(true), failure);
        }
        if (!failure) {
            this->acceptor.bind(endpoint, failure);
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
        this->acceptor.async_accept(boost::asio::make_strand(this->context),
                                    [self = this->shared_from_this()](const beast::error_code &failure, tcp::socket socket) {
                                        if (failure == boost::asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!failure) {
                                            std::make_shared<PageSession>(std::move(socket), self->pages)->start();
                                        }
                                        self->accept();
                                    });
    }

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    std::string error;
    std::shared_ptr<Pages> pages = std::make_shared<Pages>();
};

MetricsServer::MetricsServer(boost::asio::io_context &context, const Endpoint &local) : impl(std::make_shared<Impl>(context))
{
    this->impl->open(local);
}

MetricsServer::~MetricsServer()
{
    this->endAccept();
}

const std::string &MetricsServer::error() const
{
    return this->impl->error;
}

void MetricsServer::addPage(const std::string &path, PageRenderer renderer)
{
    (*this->impl->pages)[path].render = std::move(renderer);
}

void MetricsServer::addQueryPage(const std::string &path, QueryRenderer renderer)
{
    (*this->impl->pages)[path].answer = std::move(renderer);
}

void MetricsServer::addCheck(const std::string &path, CheckFunction check)
{
    (*this->impl->pages)[path].check = std::move(check);
}

void MetricsServer::beginAccept()
{
    this->impl->accept();
}

void MetricsServer::endAccept()
{
    beast::error_code ignored;
    this->impl->acceptor.close(ignored);
}

} // namespace hornbeam
