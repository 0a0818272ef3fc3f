#include "world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeam;
using namespace hornbeam::bench;

namespace {

constexpr size_t instanceCount = 6;
constexpr size_t targetCount = 4;
constexpr uint32_t slotsPerTarget = 2;

std::string instanceName(size_t index)
{
    return "i" + std::to_string(1 + index % instanceCount);
}

std::string targetName(size_t index)
{
    return "b" + std::to_string(1 + index % targetCount);
}

/** Two zones, two services, callers of all kinds. */
std::unique_ptr<World> makeWorld(uint64_t seed)
{
    WorldSettings settings;
    settings.seed = seed;
    auto world = std::make_unique<World>(settings);
    world->addService("booking", 5683, Preference::Balance, 8);
    world->addService("catalogue", 5684);
    for (size_t i = 0; i < targetCount; ++i) {
        TargetOptions options;
        options.name = targetName(i);
        options.slots = slotsPerTarget;
        options.serviceMs = 150;
        world->addTarget("booking", i < 2 ? "kl-1" : "kl-2", options);
    }
    TargetOptions catalogue;
    catalogue.name = "c1";
    world->addTarget("catalogue", "kl-1", catalogue);
    for (size_t i = 0; i < instanceCount; ++i) {
        world->addInstance(instanceName(i), i < 3 ? "kl-1" : "kl-2");
    }
    world->run(seconds(6));
    world->addCallers("booking", CallerKind::Order, 20, milliseconds(100));
    world->addCallers("booking", CallerKind::Feed, 10, milliseconds(100));
    world->addCallers("catalogue", CallerKind::Read, 5, milliseconds(200));
    return world;
}

/** One fault, picked by `kind`; what was broken is mended when its turn comes again. */
void applyFault(World &world, uint32_t kind, size_t index)
{
    Instance &instance = *world.instance(instanceName(index));
    const Target &target = *world.target(targetName(index));
    switch (kind % 10) {
    case 0:
        instance.state == ProcessState::Ended ? world.startInstance(instance.name) : world.killInstance(instance.name);
        break;
    case 1:
        if (instance.state != ProcessState::Ended) {
            instance.state == ProcessState::Frozen ? world.wakeInstance(instance.name) : world.freezeInstance(instance.name);
        }
        break;
    case 2:
        if (instance.state == ProcessState::Running) {
            world.stopInstance(instance.name);
        }
        break;
    case 3:
        world.cut("kl-1", "kl-2");
        break;
    case 4:
        world.mend("kl-1", "kl-2");
        break;
    case 5: // a restart that takes longer than a duplicate lives
        if (target.isRunning) {
            world.killTarget(target.options.name);
            world.run(milliseconds(1200));
        }
        world.startTarget(target.options.name);
        break;
    case 6:
        if (target.isRunning) {
            world.drainTarget(target.options.name);
        }
        break;
    case 7:
        world.platform().setOut(!world.platform().isOut);
        break;
    case 8:
        world.edit("ana", "booking", { { ChangeKind::SetCell, targetName(index), "weight", std::to_string(10 + index), std::nullopt, {} } });
        break;
    default:
        world.rates().loss = 0.01 * static_cast<double>(index % 6);
        break;
    }
}

/** Runs one random schedule to its end. */
std::unique_ptr<World> runSchedule(uint64_t seed, const std::vector<std::pair<uint32_t, size_t>> &faults)
{
    auto world = makeWorld(seed);
    world->rates().duplicates = 0.1;
    world->rates().reorders = 0.1;
    for (const auto &[kind, index] : faults) {
        world->run(seconds(2));
        applyFault(*world, kind, index);
    }
    world->run(seconds(10));
    return world;
}

} // namespace

TEST_CASE("what must always hold, under random schedules of faults", "[world]")
{
    rc::check("at most once, not run is true, own answers, no crossing, versions rise", [] {
        const auto seed = *rc::gen::inRange<uint64_t>(1, 1000000);
        const auto faults = *rc::gen::resize(
            10,
            rc::gen::container<std::vector<std::pair<uint32_t, size_t>>>(rc::gen::pair(rc::gen::inRange<uint32_t>(0, 10), rc::gen::inRange<size_t>(0, 24))));
        const auto world = runSchedule(seed, faults);
        const Ledger &ledger = world->ledger();
        for (const auto &[identity, order] : ledger.orders) {
            const bool isOnce = order.executions <= 1;
            const bool isTrue = !order.isTold || order.told != Outcome::NotRun || order.executions == 0;
            const bool hasRun = !order.isTold || order.told != Outcome::Answered || order.executions == 1;
            if (!isOnce || !isTrue || !hasRun) {
                RC_LOG(identity + " executions " + std::to_string(order.executions) + "\n" + world->trace().of(order.flow) + world->trace().of("instances"));
            }
            RC_ASSERT(isOnce);
            RC_ASSERT(isTrue);
            RC_ASSERT(hasRun);
        }
        const bool isOwn = ledger.requests.at(static_cast<size_t>(Outcome::Torn)) == 0;
        const bool isWhole = ledger.strangers == 0 && ledger.undecodable == 0;
        const bool rises = ledger.versionFalls == 0;
        RC_ASSERT(isOwn);
        RC_ASSERT(isWhole);
        RC_ASSERT(rises);
        for (const auto &target : world->targets()) {
            const bool isUncrossed = target->model->report().misdelivered == 0;
            RC_ASSERT(isUncrossed);
        }
    });
}

TEST_CASE("the same seed gives the same trace", "[world]")
{
    const auto first = runSchedule(5, { { 0, 1 }, { 3, 0 }, { 9, 2 }, { 4, 0 } });
    const auto second = runSchedule(5, { { 0, 1 }, { 3, 0 }, { 9, 2 }, { 4, 0 } });
    CHECK(first->trace().digest() == second->trace().digest());
    CHECK(runSchedule(6, { { 0, 1 } })->trace().digest() != first->trace().digest());
}
