#pragma once

// Asynchronous HTTP/1.1 exchange. Uses one connection per call, so that a stalled connection affects only one call.

#include "core/clock.h"
#include "core/types.h"
#include "store/httpget.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>
#include <string>

namespace hornbeam {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct HttpLimits
{
    Duration longPollTimeout{ 0 }; // the response may start this much later
    Duration idleTimeout{ 0 };     // maximum time without response data
    size_t maxResponseBytes = 0;   // of the body
};

struct HttpResult
{
    std::optional<HttpPage> page; // the response of any status; nothing if there was none
    bool mayBeReceived = false;   // the server may have received the request
    std::string problem;          // why there is no response
    boost::beast::http::fields headers = {};
};

/** Sends a request and reads the response. `done` runs exactly once, from `context`; a call that is pending when the loop ends is dropped. Not thread safe. */
void startHttpCall(boost::asio::io_context &context, const Endpoint &endpoint, HttpRequest request, const HttpLimits &limits,
                   std::function<void(HttpResult)> done);

} // namespace hornbeam
