// A target starts on a host whose time of day is ahead, crashes soon after, and starts again under its id when the time of day is right again. Later it
// reports that it drains.

#include "scenario.h"

using namespace standin;

namespace {

constexpr int64_t heartbeatMs = 1200;
constexpr int64_t drainMs = 3000;
constexpr int64_t clockAheadMs = 2000; // the dose in the list of impairments
constexpr int64_t slackMs = 100;       // of this case's own clock readings

int play(World &world)
{
    const Address route{ ip("127.50.0.1"), 8443 };
    world.configure(7, { { route, "lots" } });
    for (int i = 1; i <= 3; ++i) {
        world.addTarget("A" + std::to_string(i), "7f3a91c" + std::to_string(i), "lots", i);
    }
    for (int i = 1; i <= 3; ++i) {
        world.fleet.add("front-" + std::to_string(i), "zone-1", ("127.10.0." + std::to_string(i)).c_str(), heartbeatMs);
    }
    world.awaitReady();

    int count = 0;
    world.loop.every(40, [&] {
        auto flow = std::make_shared<CallerFlowPtr>();
        const std::string attempt = "a" + std::to_string(++count);
        *flow = world.callers.open(route, [&world, flow, attempt](bool isOpen) {
            if (isOpen) {
                world.callers.request(*flow, attempt, 20, [&world, flow](const std::string &) { world.callers.close(*flow); });
            }
        });
        return true;
    });
    const int64_t start = world.loop.now();
    world.loop.runUntil(start + 2000);
    Target &first = world.addTarget("A4", "7f3a91c4", "lots", 4, world.hasTrouble ? clockAheadMs : 0);
    world.loop.runUntil(start + 2900);
    first.stop(true);
    world.loop.runUntil(start + 3300);
    Target &leaving = world.addTarget("A4 again", "7f3a91c4", "lots", 4);
    int late = 0;
    int servedBefore = 0;
    leaving.onOpening = [&](const FlowId &flow) {
        const int64_t now = world.loop.now();
        servedBefore += leaving.drainAckedAt < 0 ? 1 : 0;
        if (leaving.drainAckedAt >= 0 && now > leaving.drainAckedAt + drainMs + slackMs) {
            ++late;
            world.record.line("LATE: flow %u reached target A4 %lld ms after its draining was acknowledged", flow.caller.port,
                              static_cast<long long>(now - leaving.drainAckedAt));
        }
    };
    world.loop.runUntil(start + 12000);
    leaving.drain();
    world.loop.runUntil(start + 12000 + 8000);
    world.record.line("target A4 took %d opening packets before it drained, %d later than drainMs after it", servedBefore, late);
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, heartbeatMs, play);
}
