#include "transport/metricsserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>

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
    CheckFunction check; // empty for text pages
};
using Pages = std::map<std::string, Page>;

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
        const auto page = this->pages->find(std::string(this->parser.get().target()));
        const bool isGet = this->parser.get().method() == http::verb::get;
        if (!isGet) {
            this->response.result(http::status::method_not_allowed);
        } else if (page == this->pages->end()) {
            this->response.result(http::status::not_found);
            this->response.body() = "no such page\n";
        } else if (page->second.check) {
            this->response.result(page->second.check() ? http::status::ok : http::status::service_unavailable);
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
