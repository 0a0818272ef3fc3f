#pragma once

// One instance that forwards the flows of routes.

#include "apps/settings.h"

#include <memory>

namespace hornbeam {

class FlowDaemon
{
public:
    /** `settingsPath` is read again on SIGHUP and when the file changes. Precondition: the settings have `flows`; there is one key at least. */
    FlowDaemon(const DaemonSettings &settings, const std::vector<Bytes> &keys, const std::string &settingsPath);
    ~FlowDaemon();
    FlowDaemon(const FlowDaemon &) = delete;
    FlowDaemon &operator=(const FlowDaemon &) = delete;

    /** Serves until SIGTERM or SIGINT. Returns the exit code: 0 after a planned stop, 1 when an address could not be bound. */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace hornbeam
