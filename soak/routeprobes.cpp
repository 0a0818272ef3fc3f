#include "routeprobes.h"

#include <algorithm>

namespace hornbeam::soak {

namespace {
constexpr uint32_t routeNetwork = 0xC6130000; // 198.19.0.0, kept for tests of networks
constexpr uint16_t routePort = 1;
constexpr milliseconds regressionSlack(250); // from the first effect of a version to the last flow by an older one
constexpr seconds reportInterval(1);
constexpr uint16_t firstPort = 1024;
constexpr uint16_t portCount = 18'000; // callers' ports are above
}

std::string probedServiceName(size_t service)
{
    return "probed-" + std::to_string(service);
}

RouteProbes::RouteProbes(const Clock &clock, Findings &findings, Hooks hooks) : clock(clock), findings(findings), hooks(std::move(hooks))
{
    for (uint32_t i = 0; i < probedRoutes; ++i) {
        this->routes[{ routeNetwork + i, routePort }] = { Span{ .service = i } };
    }
}

void RouteProbes::move(uint32_t subject)
{
    std::deque<Span> &spans = std::next(this->routes.begin(), subject % probedRoutes)->second;
    const size_t next = (spans.back().service + 1) % probedServices;
    if (spans.back().firstVersion == 0) {
        spans.back().service = next; // no version sent the route there
    } else {
        spans.push_back({ .service = next });
    }
}

std::vector<Route> RouteProbes::routesFor(uint64_t version)
{
    std::vector<Route> written;
    for (auto &[address, spans] : this->routes) {
        if (spans.back().firstVersion == 0) {
            spans.back().firstVersion = version;
            if (spans.size() > 1) {
                spans[spans.size() - 2].endVersion = version;
            }
        }
        const std::string name = "probed-" + toString(address);
        written.push_back({ name, address, RequestKind::Idempotent, milliseconds(200), seconds(2), { { probedServiceName(spans.back().service), 1 } } });
    }
    return written;
}

void RouteProbes::onAcknowledged()
{
    for (auto &[address, spans] : this->routes) {
        for (Span &span : spans) {
            if (span.endVersion != 0 && span.replaced == TimePoint{}) {
                span.replaced = this->clock.now();
            }
        }
        while (spans.size() > probedServices) {
            spans.pop_front();
        }
    }
}

bool RouteProbes::isProbed(const Endpoint &address) const
{
    return this->routes.contains(address);
}

std::vector<FlowPacket> RouteProbes::nextPackets(uint32_t callerAddress)
{
    std::vector<FlowPacket> packets;
    for (const auto &[address, spans] : this->routes) {
        ++this->packetCount;
        FlowPacket packet;
        packet.flow = { { callerAddress, static_cast<uint16_t>(firstPort + this->packetCount % portCount) }, address };
        packet.sequence = this->packetCount;
        packet.isOpening = true;
        packets.push_back(packet);
    }
    return packets;
}

void RouteProbes::onOpening(const Endpoint &address, const std::string &service, uint32_t instanceAddress)
{
    const TimePoint now = this->clock.now();
    const std::deque<Span> &spans = this->routes.at(address);
    const auto span = std::find_if(spans.rbegin(), spans.rend(), [&](const Span &candidate) { return probedServiceName(candidate.service) == service; });
    if (span == spans.rend()) {
        this->report(instanceAddress,
                     "sent a flow of " + toString(address) + " to " + service + ", which the last " + std::to_string(spans.size())
                         + " services of the route don't include");
        return;
    }
    const auto lateMs = std::chrono::duration_cast<milliseconds>(now - span->replaced).count();
    const std::string handled = "sent a flow of " + toString(address) + " to " + service + " as only versions before " + std::to_string(span->endVersion)
        + " allow, which was acknowledged ";
    if (span->replaced != TimePoint{} && now - span->replaced > changeBound && this->hooks.isInTouch(instanceAddress, now)) {
        this->report(instanceAddress, handled + std::to_string(lateMs) + " ms before");
    }
    const uint64_t process = this->hooks.processOf(instanceAddress);
    Effect &effect = this->effects[instanceAddress];
    if (effect.process != process) {
        effect = { process, 0, now };
    }
    if (span->endVersion != 0 && span->endVersion <= effect.version && now - effect.at > regressionSlack) {
        this->report(instanceAddress, handled + std::to_string(lateMs) + " ms before, although it had forwarded by version " + std::to_string(effect.version));
    }
    if (span->firstVersion > effect.version) {
        effect = { process, span->firstVersion, now };
    }
}

void RouteProbes::onReset(const Endpoint &address, uint32_t instanceAddress)
{
    if (this->hooks.isInTouch(instanceAddress, this->clock.now())) {
        this->report(instanceAddress, "reset a flow of " + toString(address) + " although each version has the route");
    }
}

void RouteProbes::report(uint32_t instanceAddress, const std::string &problem)
{
    const TimePoint now = this->clock.now();
    TimePoint &last = this->reported[instanceAddress];
    if (last == TimePoint{} || now - last >= reportInterval) {
        last = now;
        this->findings.add(now, "instance " + toString({ instanceAddress, 0 }) + " " + problem);
    }
}

} // namespace hornbeam::soak
