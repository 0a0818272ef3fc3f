#pragma once

// Whether anything listens at an address.

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
    TimedOut, // also when no route leads there
};

/** Opens a TCP connection and closes it. Calls `done` once, on the context's loop, after this has returned. */
void checkConnection(boost::asio::io_context &context, const Endpoint &endpoint, Duration timeout, std::function<void(ConnectionResult)> done);

} // namespace hornbeam
