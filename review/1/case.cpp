// The store turns one machine away for some seconds: the one that reads it for its zone. Later the zone's other machines are stopped and taken away by plan.
// The first one is calm and the store has served it again for long when a target reports that it drains.

#include "../scenario.h"

using namespace standin;

namespace {

constexpr int64_t heartbeatMs = 1200;  // as in the site file
constexpr int64_t turnedAwayMs = 9000; // as in the site's list of impairments
constexpr int64_t drainMs = 3000;
constexpr int64_t stabilityMs = 4000; // stabilityWindowMs
constexpr int64_t slackMs = 100;      // of this case's own clock readings

int play(World &world)
{
    const Address route{ ip("127.50.0.1"), 8443 };
    world.configure(7, { { route, "reservas" } });
    for (int i = 1; i <= 3; ++i) {
        world.addTarget("A" + std::to_string(i), "7f3a91c" + std::to_string(i), "reservas", i);
    }
    for (int i = 1; i <= 3; ++i) {
        world.fleet.add("front-" + std::to_string(i), "zone-1", ("127.10.0." + std::to_string(i)).c_str(), heartbeatMs);
    }
    world.awaitReady();

    Target &leaving = *world.targets[0];
    int late = 0;
    int servedBefore = 0;
    leaving.onOpening = [&](const FlowId &flow) {
        const int64_t now = world.loop.now();
        servedBefore += leaving.drainAckedAt < 0 ? 1 : 0;
        if (leaving.drainAckedAt >= 0 && now > leaving.drainAckedAt + drainMs + slackMs) {
            ++late;
            world.record.line("LATE: flow %u reached target A1 %lld ms after its draining was acknowledged", flow.caller.port,
                              static_cast<long long>(now - leaving.drainAckedAt));
        }
    };
    int count = 0;
    world.loop.every(10, [&] {
        auto flow = std::make_shared<CallerFlowPtr>();
        const std::string attempt = "a" + std::to_string(++count);
        *flow = world.callers.open(route, [&world, flow, attempt](bool isOpen) {
            if (isOpen) {
                world.callers.request(*flow, attempt, 22, [&world, flow](const std::string &) { world.callers.close(*flow); });
            }
        });
        return true;
    });
    const int64_t start = world.loop.now();
    world.loop.runUntil(start + 6000);
    // the machine that reads the store for its zone has made the most calls
    std::vector<Instance *> machines;
    for (Instance &instance : world.fleet.instances) {
        machines.push_back(&instance);
    }
    std::sort(machines.begin(), machines.end(),
              [&](const Instance *a, const Instance *b) { return world.store.callsOf(a->name) > world.store.callsOf(b->name); });
    Instance &reader = *machines[0];
    world.record.line("%s reads the store for the zone", reader.name.c_str());
    if (world.hasTrouble) {
        world.store.refuse(reader.name, true);
    }
    world.loop.runUntil(start + 6000 + turnedAwayMs);
    if (world.hasTrouble) {
        world.store.refuse(reader.name, false);
    }
    world.loop.runUntil(world.loop.now() + stabilityMs + 2000);
    for (Instance *other : { machines[1], machines[2] }) {
        world.fleet.terminate(*other);
        world.loop.runUntil(world.loop.now() + 3000);
        if (!world.fleet.hasEnded(*other)) {
            throw CannotRun("an instance did not end after SIGTERM");
        }
        other->isRemoved = true;
    }
    world.loop.runUntil(world.loop.now() + stabilityMs + 1000);
    leaving.drain();
    const uint64_t callsBefore = world.store.callsOf(reader.name);
    world.loop.runUntil(world.loop.now() + 20000);
    world.record.line("%s made %llu calls to the store in the 20 s after the report", reader.name.c_str(),
                      static_cast<unsigned long long>(world.store.callsOf(reader.name) - callsBefore));
    world.record.line("target A1 took %d opening packets before it drained, %d later than drainMs after it", servedBefore, late);
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, heartbeatMs, play);
}
