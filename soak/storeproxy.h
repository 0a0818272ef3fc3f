#pragma once

// A loopback proxy between one instance and the store, which can delay, reset, cut one way and silence its connections.

#include "core/clock.h"
#include "core/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace hornbeam::soak {

enum class ProxyMode : uint8_t {
    Pass,
    Delay,  // each piece by `delay`
    Reset,  // open and new connections are reset
    Silent, // what the store sends does not arrive, also later on the same connection
    Busy,   // open connections are reset, new ones get HTTP status 503
    Many,   // the same with 429
};

/** Not thread safe: one event loop owns it. */
class StoreProxy
{
public:
    /** Throws when `listen` can't be used. Precondition: the context outlives the proxy. */
    StoreProxy(boost::asio::io_context &context, const Endpoint &listen, const Endpoint &store);
    ~StoreProxy();

    void setMode(ProxyMode mode, Duration delay = Duration{ 0 });

private:
    class Link;

    void accept();

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    const boost::asio::ip::tcp::endpoint store;
    ProxyMode mode = ProxyMode::Pass;
    Duration delay{ 0 };
    std::vector<std::weak_ptr<Link>> links;
};

} // namespace hornbeam::soak
