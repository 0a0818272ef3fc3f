// The platform stand-in: the object API over HTTP, in memory, with faults on request.

#include "core/types.h"
#include "platformservice.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <memory>

namespace {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using hornbeam::standins::HttpRequest;
using hornbeam::standins::HttpResponse;
using hornbeam::standins::PlatformService;
using hornbeam::standins::ServiceDecision;
using hornbeam::standins::WatchQuestion;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds watchPollInterval(10);
constexpr size_t maxBodyBytes = 4U << 20; // above the limit of a value, so that a large one gets its proper answer

/** One connection: reads requests and answers them until the other side closes. */
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, PlatformService &service) : stream(std::move(socket)), timer(this->stream.get_executor()), service(service)
    {
    }

    void beginRead()
    {
        this->parser.emplace();
        this->parser->body_limit(maxBodyBytes);
        http::async_read(this->stream, this->buffer, *this->parser, [self = shared_from_this()](const error_code &error, size_t) {
            if (!error) {
                self->onRequest();
            }
        });
    }

private:
    void onRequest()
    {
        this->decision = this->service.handle(this->parser->get(), std::chrono::steady_clock::now());
        this->timer.expires_after(this->decision.delay);
        this->timer.async_wait([self = shared_from_this()](const error_code &) { self->onDelayed(); });
    }

    void onDelayed()
    {
        if (this->decision.isLost) {
            error_code ignored;
            this->stream.socket().close(ignored);
            return;
        }
        if (this->decision.watch.has_value()) {
            this->watchEnd = std::chrono::steady_clock::now() + this->decision.watch->timeout;
            this->pollWatch();
            return;
        }
        this->beginWrite(std::move(this->decision.response));
    }

    void pollWatch()
    {
        const WatchQuestion &watch = *this->decision.watch;
        if (this->service.isReady(watch) || std::chrono::steady_clock::now() >= this->watchEnd) {
            this->beginWrite(this->service.answerWatch(watch));
            return;
        }
        this->timer.expires_after(watchPollInterval);
        this->timer.async_wait([self = shared_from_this()](const error_code &) { self->pollWatch(); });
    }

    void beginWrite(HttpResponse answer)
    {
        this->response = std::move(answer);
        this->response.keep_alive(this->parser->get().keep_alive());
        this->response.prepare_payload();
        http::async_write(this->stream, this->response, [self = shared_from_this()](const error_code &error, size_t) {
            if (!error && self->response.keep_alive()) {
                self->beginRead();
            }
        });
    }

    beast::tcp_stream stream;
    asio::steady_timer timer;
    PlatformService &service;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    ServiceDecision decision;
    std::chrono::steady_clock::time_point watchEnd;
    HttpResponse response;
};

void beginAccept(tcp::acceptor &acceptor, PlatformService &service)
{
    acceptor.async_accept([&acceptor, &service](const error_code &error, tcp::socket socket) {
        if (!error) {
            std::make_shared<Session>(std::move(socket), service)->beginRead();
        }
        if (acceptor.is_open()) {
            beginAccept(acceptor, service);
        }
    });
}
}

int main(int argc, char **argv)
{
    CLI::App app{ "Platform stand-in: versioned objects, watches and instances over HTTP, in memory." };
    std::string listen = "127.0.0.1:0";
    uint64_t seed = 1;
    uint64_t instanceLagMs = 0;
    app.add_option("--listen", listen, "address and port; port 0 takes any free one")->capture_default_str();
    app.add_option("--seed", seed, "decides which calls fail under fail_rate")->capture_default_str();
    app.add_option("--instance-lag-ms", instanceLagMs, "delay of changes in the list of instances")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    hornbeam::Endpoint endpoint;
    if (!hornbeam::parseEndpoint(listen, endpoint)) {
        std::cerr << "--listen " << listen << " is not a.b.c.d:port\n";
        return 2;
    }
    try {
        asio::io_context context;
        PlatformService service(seed, std::chrono::milliseconds(instanceLagMs));
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4(endpoint.address), endpoint.port));
        endpoint.port = acceptor.local_endpoint().port();
        std::cout << "listening " << hornbeam::toString(endpoint) << std::endl; // flushed: whoever started it waits for the line
        asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](const error_code &, int) { context.stop(); });
        beginAccept(acceptor, service);
        context.run();
    } catch (const std::exception &failure) {
        std::cerr << "listening on " << listen << " failed: " << failure.what() << "\n";
        return 1;
    }
    return 0;
}
