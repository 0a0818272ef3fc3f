#pragma once

// A running balancer instance: connects a Node to sockets, streams, timers and the platform.

#include "settings.h"

#include <memory>

namespace hornbeam {

class Daemon
{
public:
    /** Precondition: the settings are valid and `keys` holds one or two keys. */
    Daemon(const DaemonSettings &settings, const std::vector<Bytes> &keys);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Runs until a graceful shutdown after SIGTERM or SIGINT is complete, or until a second signal stops it immediately. Returns the exit code: 0 after a
     * graceful shutdown. */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace hornbeam
