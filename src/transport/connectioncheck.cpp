#include "transport/connectioncheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace hornbeam {

namespace {
using tcp = boost::asio::ip::tcp;

ConnectionResult toConnectionResult(const boost::system::error_code &error)
{
    if (!error) {
        return ConnectionResult::Connected;
    }
    const bool isRefusal = error == boost::asio::error::connection_refused || error == boost::asio::error::connection_reset;
    return isRefusal ? ConnectionResult::Refused : ConnectionResult::TimedOut;
}
}

void checkConnection(boost::asio::io_context &context, const Endpoint &endpoint, Duration timeout, std::function<void(ConnectionResult)> done)
{
    const auto stream = std::make_shared<boost::beast::tcp_stream>(context);
    stream->expires_after(timeout);
    const tcp::endpoint remote(boost::asio::ip::address_v4(endpoint.address), endpoint.port);
    stream->async_connect(remote, [stream, done = std::move(done)](const boost::system::error_code &error) {
        boost::system::error_code ignored; // an error on close doesn't change the result
        stream->socket().close(ignored);
        done(toConnectionResult(error));
    });
}

} // namespace hornbeam
