#pragma once

// Event loop for the platform: reads tables and the list of instances, and reports the zone's status. It has its own thread because the platform client is not
// thread safe.

#include "node/node.h"
#include "platform/platformclient.h"
#include "settings.h"
#include "store/objectwatcher.h"
#include "store/statusreporter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hornbeam {

/** Executes actions. Thread safe. */
using ActionsHandler = std::function<void(const Actions &)>;

class PlatformLoop
{
public:
    /** Precondition: all references outlive the loop. */
    PlatformLoop(const DaemonSettings &settings, Node &node, const Clock &clock, Counters &counters, ActionsHandler perform);

    /** Runs until stop(). Precondition: called once, on its own thread. */
    void run();
    /** Makes run() return. Thread safe. */
    void stop();
    /** Whether the most recent read of the tables succeeded. Thread safe. */
    bool isReachable() const;

private:
    void tick();
    void onTables(const std::vector<PlatformObject> &objects);
    void onInstances(const PlatformReply &reply);
    ZoneStatus zoneStatus() const;

    const DaemonSettings &settings;
    Node &node;
    const Clock &clock;
    const ActionsHandler perform;
    boost::asio::io_context context{ 1 };
    PlatformClient client;
    ObjectWatcher tableWatcher;
    StatusReporter statusReporter;
    boost::asio::steady_timer timer;
    TimePoint nextInstanceList;
    std::atomic<bool> reachable{ true };
};

} // namespace hornbeam
