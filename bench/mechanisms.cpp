#include "mechanisms.h"

#include <functional>

namespace hornbeam::bench {

namespace {

struct Mechanism
{
    std::string_view name;
    std::function<void(WorldSettings &)> remove;
};

const std::vector<Mechanism> &mechanisms()
{
    static const std::vector<Mechanism> all{
        { "feed-copies",
          [](WorldSettings &settings) {
              settings.node.feeds.copyBytes = 0;
              settings.wiring.dropFeedCopies = true;
          } },
        { "feed-handover",
          [](WorldSettings &settings) {
              settings.node.feeds.copyBytes = 0;
              settings.wiring.dropFeedCopies = true;
              settings.wiring.dropFeedMoves = true;
          } },
        { "target-notices", [](WorldSettings &settings) { settings.wiring.dropTargetNotices = true; } },
        { "probes", [](WorldSettings &settings) { settings.node.slotAllocator.probeInterval = seconds(3600); } },
        { "target-drains", [](WorldSettings &settings) { settings.wiring.ignoreTargetDrains = true; } },
        { "drain-wait", [](WorldSettings &settings) { settings.node.drainTimeout = Duration::zero(); } },
        { "record-handover", [](WorldSettings &settings) { settings.node.requests.maxHandoverBytes = 0; } },
        { "records", [](WorldSettings &settings) { settings.node.requests.recordLifetime = Duration::zero(); } },
        { "incarnations", [](WorldSettings &settings) { settings.wiring.keepIncarnation = true; } },
        { "verdicts", [](WorldSettings &settings) { settings.wiring.refuseAsNotRun = true; } },
        { "unique-tokens", [](WorldSettings &settings) { settings.wiring.shortTokens = true; } },
        { "service-sockets", [](WorldSettings &settings) { settings.wiring.confuseServices = true; } },
        { "makers", [](WorldSettings &settings) { settings.wiring.relayAnywhere = true; } },
        { "table-spread", [](WorldSettings &settings) { settings.wiring.dropTableSpread = true; } },
        { "conditional-writes", [](WorldSettings &settings) { settings.wiring.ignoreConditions = true; } },
    };
    return all;
}

} // namespace

bool removeMechanism(const std::string &name, WorldSettings &settings)
{
    for (const Mechanism &mechanism : mechanisms()) {
        if (mechanism.name == name) {
            mechanism.remove(settings);
            return true;
        }
    }
    return false;
}

} // namespace hornbeam::bench
