#include "platformloop.h"

#include <random>

namespace hornbeam {

namespace {

constexpr milliseconds tickInterval(200);
constexpr seconds instanceListInterval(5);

} // namespace

PlatformLoop::PlatformLoop(const DaemonSettings &settings, Node &node, const Clock &clock, Counters &counters, ActionsHandler perform)
    : settings(settings)
    , node(node)
    , clock(clock)
    , perform(std::move(perform))
    , client(this->context, counters, PlatformClientSettings{ settings.platform })
    , tableWatcher(this->client, clock, std::random_device()(), std::string(tablePrefix),
                   [this](const ObjectReadResult &read) { this->onTables(read.objects); })
    , statusReporter(this->client, clock)
    , timer(this->context)
{
}

void PlatformLoop::run()
{
    this->tick();
    this->context.run();
}

void PlatformLoop::stop()
{
    this->context.stop();
}

bool PlatformLoop::isReachable() const
{
    return this->reachable;
}

void PlatformLoop::tick()
{
    this->tableWatcher.tick(this->node.tableSync().isWatcher());
    this->reachable = this->tableWatcher.isReachable();
    this->statusReporter.tick(this->node.tableSync().isReporter(), this->zoneStatus());
    if (this->clock.now() >= this->nextInstanceList) {
        this->nextInstanceList = this->clock.now() + instanceListInterval;
        this->client.instances([this](const PlatformReply &reply) { this->onInstances(reply); });
    }
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            this->tick();
        }
    });
}

void PlatformLoop::onTables(const std::vector<PlatformObject> &objects)
{
    for (const PlatformObject &object : objects) {
        Actions out;
        this->node.onTable(object.key.substr(tablePrefix.size()), object.version, object.value, out);
        this->perform(out);
    }
}

void PlatformLoop::onInstances(const PlatformReply &reply)
{
    for (const PlatformInstance &instance : reply.instances) {
        Endpoint peer;
        if (instance.state == "live" && parseEndpoint(instance.address, peer)) {
            this->node.addSeed(memberIdOf(instance.name), zoneIdOf(instance.zone), peer);
        }
    }
}

ZoneStatus PlatformLoop::zoneStatus() const
{
    ZoneStatus status;
    status.zone = this->settings.zone;
    status.reporter = this->settings.name;
    const TableAgreement agreement = this->node.tableAgreement();
    status.members = agreement.members;
    status.agreeing = agreement.agreeing;
    for (const Endpoint &laggard : agreement.laggards) {
        status.laggards.push_back(toString(laggard));
    }
    for (const TableState &state : this->node.tables().states()) {
        status.services.push_back({ state.service, state.version });
        if (state.refusedVersion > state.version) {
            status.refused.push_back(state.service);
        }
    }
    return status;
}

} // namespace hornbeam
