// Sections: one call | answers | the client

#include "platform/platformclient.h"

#include "platform/platformcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <memory>
#include <optional>

namespace hornbeam {

namespace {
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

//--- One call

/** One exchange on a connection of its own. Keeps itself alive until it has ended. */
class Call : public std::enable_shared_from_this<Call>
{
public:
    using Reader = std::function<void(const Response &, PlatformReply &)>;

    Call(boost::asio::io_context &context, Counters &counters, Request request, Reader reader, PlatformCallback done)
        : stream(context), counters(counters), request(std::move(request)), reader(std::move(reader)), done(std::move(done))
    {
    }

    void begin(const Endpoint &endpoint, Duration timeout, size_t maxAnswerBytes)
    {
        this->counters.add(Counter::PlatformCalls);
        this->parser.body_limit(maxAnswerBytes);
        this->stream.expires_after(timeout);
        const tcp::endpoint remote(boost::asio::ip::address_v4(endpoint.address), endpoint.port);
        this->stream.async_connect(remote, [self = this->shared_from_this()](const error_code &error) { self->onConnected(error); });
    }

private:
    void onConnected(const error_code &error)
    {
        if (error) {
            this->fail(PlatformOutcome::Unavailable, error);
            return;
        }
        http::async_write(this->stream, this->request, [self = this->shared_from_this()](const error_code &failed, size_t) { self->onWritten(failed); });
    }

    void onWritten(const error_code &error)
    {
        if (error) {
            this->fail(this->lostOutcome(), error);
            return;
        }
        http::async_read(this->stream, this->buffer, this->parser,
                         [self = this->shared_from_this()](const error_code &failed, size_t) { self->onRead(failed); });
    }

    void onRead(const error_code &error)
    {
        if (error) {
            this->fail(this->lostOutcome(), error);
            return;
        }
        PlatformReply reply;
        this->reader(this->parser.get(), reply);
        this->finish(std::move(reply));
    }

    // a write whose answer is lost may have taken effect
    PlatformOutcome lostOutcome() const
    {
        return this->request.method() == http::verb::put ? PlatformOutcome::Unknown : PlatformOutcome::Unavailable;
    }

    void fail(PlatformOutcome outcome, const error_code &error)
    {
        PlatformReply reply;
        reply.outcome = outcome;
        reply.problem = error.message();
        this->finish(std::move(reply));
    }

    void finish(PlatformReply reply)
    {
        error_code ignored;
        this->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        const bool isAnswer = reply.outcome == PlatformOutcome::Ok || reply.outcome == PlatformOutcome::NotFound || reply.outcome == PlatformOutcome::Conflict;
        if (!isAnswer) {
            this->counters.add(Counter::PlatformErrors);
        }
        this->done(std::move(reply));
    }

    beast::tcp_stream stream;
    Counters &counters;
    Request request;
    Reader reader;
    PlatformCallback done;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
};

//--- Answers

std::optional<uint64_t> readEtag(const Response &response)
{
    const auto field = response[http::field::etag];
    uint64_t version = 0;
    const char *begin = field.data() + 1; // behind the quote
    const char *end = field.data() + field.size() - 1;
    if (field.size() < 3 || field.front() != '"' || field.back() != '"') {
        return std::nullopt;
    }
    const auto [stop, error] = std::from_chars(begin, end, version);
    return error == std::errc() && stop == end ? std::optional(version) : std::nullopt;
}

PlatformOutcome outcomeOf(const Response &response, bool isWrite)
{
    switch (response.result()) {
    case http::status::ok:
    case http::status::created:
    case http::status::no_content:
        return PlatformOutcome::Ok;
    case http::status::not_found:
        return PlatformOutcome::NotFound;
    case http::status::precondition_failed:
        return PlatformOutcome::Conflict;
    case http::status::service_unavailable:
    case http::status::too_many_requests:
        return PlatformOutcome::Unavailable;
    default:
        break;
    }
    if (response.result_int() >= 500) {
        return isWrite ? PlatformOutcome::Unknown : PlatformOutcome::Unavailable;
    }
    return PlatformOutcome::Malformed;
}

void beginReply(const Response &response, bool isWrite, PlatformReply &reply)
{
    reply.outcome = outcomeOf(response, isWrite);
    if (!reply.isOk()) {
        reply.problem = "HTTP status " + std::to_string(response.result_int());
    }
}

void reject(PlatformOutcome outcome, PlatformReply &reply)
{
    reply.outcome = outcome;
    reply.problem = "the platform's answer can't be read";
}

void readObjectsReply(const Response &response, PlatformReply &reply)
{
    beginReply(response, false, reply);
    if (reply.isOk() && !readObjects(response.body(), reply)) {
        reject(PlatformOutcome::Malformed, reply);
    }
}

Request makeRequest(http::verb verb, const std::string &target)
{
    constexpr unsigned httpVersion = 11;
    Request request(verb, target, httpVersion);
    request.set(http::field::host, "platform");
    request.keep_alive(false);
    return request;
}
}

//--- The client

PlatformClient::PlatformClient(boost::asio::io_context &context, Counters &counters, const PlatformSettings &settings)
    : context(context), counters(counters), settings(settings)
{
}

void PlatformClient::get(const std::string &key, PlatformCallback done)
{
    const auto reader = [key](const Response &response, PlatformReply &reply) {
        beginReply(response, false, reply);
        if (!reply.isOk()) {
            return;
        }
        const std::optional<uint64_t> version = readEtag(response);
        if (!version.has_value()) {
            reject(PlatformOutcome::Malformed, reply);
            return;
        }
        reply.version = *version;
        reply.objects.push_back({ key, *version, response.body(), false });
    };
    const auto call = std::make_shared<Call>(this->context, this->counters, makeRequest(http::verb::get, "/objects/" + key), reader, std::move(done));
    call->begin(this->settings.endpoint, this->settings.callTimeout, this->settings.maxAnswerBytes);
}

void PlatformClient::put(const std::string &key, const std::string &value, const PutCondition &condition, PlatformCallback done)
{
    Request request = makeRequest(http::verb::put, "/objects/" + key);
    if (condition.kind == PutCondition::Kind::IfAbsent) {
        request.set(http::field::if_none_match, "*");
    } else if (condition.kind == PutCondition::Kind::IfVersion) {
        request.set(http::field::if_match, '"' + std::to_string(condition.version) + '"');
    }
    request.set(http::field::content_type, "application/json");
    request.body() = value;
    request.prepare_payload();
    const auto reader = [](const Response &response, PlatformReply &reply) {
        beginReply(response, true, reply);
        const std::optional<uint64_t> version = readEtag(response);
        if (reply.isOk() && !version.has_value()) {
            reject(PlatformOutcome::Unknown, reply);
        }
        reply.version = version.value_or(0);
    };
    const auto call = std::make_shared<Call>(this->context, this->counters, std::move(request), reader, std::move(done));
    call->begin(this->settings.endpoint, this->settings.callTimeout, this->settings.maxAnswerBytes);
}

void PlatformClient::list(const std::string &prefix, PlatformCallback done)
{
    const Request request = makeRequest(http::verb::get, "/objects?prefix=" + prefix);
    const auto call = std::make_shared<Call>(this->context, this->counters, request, readObjectsReply, std::move(done));
    call->begin(this->settings.endpoint, this->settings.callTimeout, this->settings.maxAnswerBytes);
}

void PlatformClient::watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done)
{
    const auto timeoutMs = std::chrono::duration_cast<milliseconds>(timeout).count();
    const std::string target = "/watch?prefix=" + prefix + "&after=" + std::to_string(after) + "&timeout_ms=" + std::to_string(timeoutMs);
    const auto call = std::make_shared<Call>(this->context, this->counters, makeRequest(http::verb::get, target), readObjectsReply, std::move(done));
    call->begin(this->settings.endpoint, timeout + this->settings.callTimeout, this->settings.maxAnswerBytes);
}

void PlatformClient::instances(PlatformCallback done)
{
    const auto reader = [](const Response &response, PlatformReply &reply) {
        beginReply(response, false, reply);
        if (reply.isOk() && !readInstances(response.body(), reply)) {
            reject(PlatformOutcome::Malformed, reply);
        }
    };
    const auto call = std::make_shared<Call>(this->context, this->counters, makeRequest(http::verb::get, "/instances"), reader, std::move(done));
    call->begin(this->settings.endpoint, this->settings.callTimeout, this->settings.maxAnswerBytes);
}

} // namespace hornbeam
