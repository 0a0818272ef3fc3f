#pragma once

// Checks whether a TCP endpoint accepts connections.

#include "core/clock.h"
#include "core/types.h"

#include <functional>

namespace boost::asio {
class io_context;
}

namespace hornbeam {

enum class ConnectionResult : uint8_t {
    Connected,
    Refused,
    TimedOut, // also when the address is unreachable
};

/** Opens a TCP connection and closes it at once. Calls `done` once, from the context's event loop, after this function has returned. */
void checkConnection(boost::asio::io_context &context, const Endpoint &endpoint, Duration timeout, std::function<void(ConnectionResult)> done);

} // namespace hornbeam
