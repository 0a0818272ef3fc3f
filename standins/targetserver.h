#pragma once

// A target's behaviour on a real socket and clock.

#include "targetmodel.h"
#include "transport/udpsocket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

/** Not thread safe: runs on one thread of its context. */
class TargetServer final : public TargetPort
{
public:
    TargetServer(boost::asio::io_context &context, const TargetOptions &options);

    /** Empty when the socket is open. */
    std::string error() const;
    /** The bound address. */
    hornbeam::Endpoint local() const;
    void begin();
    /** Reports draining, waits for requests in progress and for drainMs, then stops the context. */
    void beginDrain();
    const TargetReport &report() const;

    void send(const hornbeam::Endpoint &to, const hornbeam::Bytes &packet) override;
    void runAfter(hornbeam::Duration delay, std::function<void()> work) override;
    void onExecuted(const std::string &identity) override;

private:
    void checkDrained();

    boost::asio::io_context &context;
    hornbeam::SystemClock clock;
    hornbeam::UdpSocket socket;
    TargetModel model;
};
