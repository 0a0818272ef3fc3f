#pragma once

// One running instance: sockets, streams, timers and the platform around a Node.

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

    /** Serves until SIGTERM or SIGINT has led to a planned stop, or a second one ended it at once. Returns the exit code: 0 after a planned stop. */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace hornbeam
