#pragma once

// A running balancer instance that forwards flows: sockets, timers, pages and signal handling around a FlowForwarder and a FlowStore.

#include "apps/settings.h"

#include <memory>

namespace hornbeam {

class FlowDaemon
{
public:
    /** `settingsPath` is reloaded on SIGHUP and when the file changes. Precondition: the settings have `flows`, and there is at least one key. */
    FlowDaemon(const DaemonSettings &settings, const std::vector<Bytes> &keys, const std::string &settingsPath);
    ~FlowDaemon();
    FlowDaemon(const FlowDaemon &) = delete;
    FlowDaemon &operator=(const FlowDaemon &) = delete;

    /** Runs until it has shut down after SIGTERM or SIGINT. Returns the exit code: 0 after a shutdown, 1 if an address could not be bound. */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace hornbeam
