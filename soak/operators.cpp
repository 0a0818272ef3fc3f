// Sections: writes | entries | routes

#include "operators.h"

#include "flowwire.h"
#include "oddentry.h"
#include "platform/flowobjects.h"
#include "platform/platformcodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace hornbeam::soak {

namespace {
constexpr seconds callTimeout(3);
constexpr uint16_t firstRoutes = 3; // of the first configuration: in force from the start
}

Operators::Operators(const Clock &clock, Findings &findings, RouteProbes &probes, const Endpoint &store, uint64_t seed)
    : clock(clock), findings(findings), probes(probes), store(store), client(store, callTimeout), random(static_cast<std::minstd_rand::result_type>(seed))
{
}

//--- Writes

void Operators::awaitStore(Duration patience)
{
    const TimePoint begun = this->clock.now();
    while (!this->client.list(std::string(targetPrefix)).isOk() && this->clock.now() - begun < patience) {
        std::this_thread::sleep_for(milliseconds(20));
    }
}

void Operators::setStorePaused(bool isPaused)
{
    this->isStorePaused = isPaused;
    this->write([] {});
}

void Operators::write(std::function<void()> change)
{
    this->writes.push_back(std::move(change));
    while (!this->isStorePaused && !this->writes.empty()) {
        const std::function<void()> next = std::move(this->writes.front());
        this->writes.pop_front();
        next();
    }
}

void Operators::put(const std::string &key, const std::string &value)
{
    const PlatformReply reply = this->client.put(key, value, {});
    if (!reply.isOk()) {
        this->findings.add(this->clock.now(), "the store's stand-in did not take " + key + ": " + reply.problem);
    }
}

void Operators::call(boost::beast::http::verb verb, const std::string &path, const std::string &body)
{
    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    boost::asio::io_context own;
    boost::beast::tcp_stream stream(own);
    stream.connect(tcp::endpoint(boost::asio::ip::address_v4(this->store.address), this->store.port));
    http::request<http::string_body> request(verb, path, 11, body);
    request.prepare_payload();
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
}

//--- Entries

void Operators::list(SoakTarget &target)
{
    target.isListed = true;
    this->write([this, &target] { this->putEntry(target); });
}

void Operators::putEntry(SoakTarget &target)
{
    const Duration cold = std::max(Duration{ 0 }, target.coldUntil - this->clock.now());
    target.record.remainingWarmupMs = static_cast<uint32_t>(std::chrono::ceil<milliseconds>(cold).count());
    this->put(std::string(targetPrefix) + target.record.name, standins::writeTarget(target.record));
}

void Operators::unlist(SoakTarget &target, bool isGone)
{
    target.isListed = false;
    this->write([this, &target, isGone] {
        this->call(boost::beast::http::verb::delete_, objectPath(std::string(targetPrefix) + target.record.name), "");
        if (isGone && target.refusesSince == TimePoint{}) {
            target.refusesSince = this->clock.now();
        }
    });
}

void Operators::drain(SoakTarget &target, std::function<void()> done)
{
    target.record.isDraining = true;
    this->write([this, &target, done = std::move(done)] {
        this->putEntry(target);
        target.refusesSince = this->clock.now();
        done();
    });
}

std::string Operators::addOddEntry(uint32_t kind)
{
    std::string key = std::string(targetPrefix) + "0dd" + std::to_string(this->oddEntries++);
    this->write([this, key, text = standins::oddEntry(kind)] { this->call(boost::beast::http::verb::put, "/raw/" + key, text); });
    return key;
}

void Operators::removeEntry(const std::string &key)
{
    this->write([this, key] { this->call(boost::beast::http::verb::delete_, objectPath(key), ""); });
}

void Operators::evacuate(const std::string &zone)
{
    this->write([this, zone] {
        this->put(std::string(evacuationPrefix) + zone, "{}");
        this->evacuations[zone] = this->clock.now();
    });
}

void Operators::endEvacuation(const std::string &zone)
{
    this->write([this, zone] {
        this->evacuations.erase(zone); // it may take effect before the store acknowledges it
        this->call(boost::beast::http::verb::delete_, objectPath(std::string(evacuationPrefix) + zone), "");
    });
}

bool Operators::isEvacuatedForLong(const std::string &zone, TimePoint now) const
{
    const auto found = this->evacuations.find(zone);
    return found != this->evacuations.end() && now - found->second > evacuationBound;
}

//--- Routes

void Operators::addRoute(const std::string &name, RequestKind kind, const std::string &service)
{
    RouteLife life;
    constexpr uint32_t routeAddress = 0xC6120001; // 198.18.0.1, kept for tests of networks
    life.route = { name, { routeAddress, static_cast<uint16_t>(this->routes.size() + 1) }, kind, milliseconds(200), seconds(2), { { service, 1 } } };
    this->routes.push_back(std::move(life));
}

void Operators::addExtraRoute(RequestKind kind)
{
    this->addRoute("extra-" + std::to_string(this->routes.size()), kind, "booking");
    this->writeConfiguration();
}

void Operators::dropRoute(uint32_t subject)
{
    std::vector<const RouteLife *> extra;
    for (const RouteLife &life : this->routes) {
        if (life.route.name.starts_with("extra") && life.dropped == TimePoint{}) {
            extra.push_back(&life);
        }
    }
    if (!extra.empty()) {
        this->dropping.insert(extra[subject % extra.size()]->route.name);
        this->writeConfiguration();
    }
}

void Operators::writeConfiguration()
{
    this->write([this] {
        RouteConfiguration configuration;
        this->version += 1 + this->random() % 5;
        configuration.version = this->version;
        configuration.idleTimeout = seconds(15);
        constexpr uint32_t perMille = 1000;
        configuration.warmups = { { "booking", { warmupRate * perMille, warmupTime } }, { "catalogue", { warmupRate * perMille, warmupTime } } };
        for (const RouteLife &life : this->routes) {
            if (life.dropped == TimePoint{} && !this->isDropping(life)) {
                configuration.routes.push_back(life.route);
            }
        }
        for (Route &route : this->probes.routesFor(this->version)) {
            configuration.routes.push_back(std::move(route));
        }
        this->put(std::string(configurationKey), standins::writeConfiguration(configuration));
        this->probes.onAcknowledged();
        const TimePoint now = this->clock.now();
        for (RouteLife &life : this->routes) {
            if (this->isDropping(life) && life.dropped == TimePoint{}) {
                life.dropped = now;
            } else if (life.acknowledged == TimePoint{}) {
                life.acknowledged = now;
            }
        }
    });
}

bool Operators::isDropping(const RouteLife &life) const
{
    return this->dropping.contains(life.route.name);
}

const Operators::RouteLife *Operators::findLife(const Endpoint &address) const
{
    for (const RouteLife &life : this->routes) {
        if (life.route.address == address) {
            return &life;
        }
    }
    return nullptr;
}

const Route *Operators::findRoute(const Endpoint &address) const
{
    const RouteLife *life = this->findLife(address);
    return life == nullptr ? nullptr : &life->route;
}

bool Operators::isDropped(const Endpoint &address) const
{
    return this->findLife(address)->dropped != TimePoint{};
}

bool Operators::isDroppedForLong(const Endpoint &address, TimePoint now) const
{
    const RouteLife *life = this->findLife(address);
    return life != nullptr && life->dropped != TimePoint{} && now - life->dropped > changeBound;
}

const Route *Operators::pickRoute(RequestKind kind, std::minstd_rand &choice) const
{
    std::vector<const Route *> fit;
    for (const RouteLife &life : this->routes) {
        const bool isInForce = life.acknowledged != TimePoint{} && this->clock.now() - life.acknowledged > changeBound;
        const bool isFirst = life.route.address.port <= firstRoutes;
        if (life.route.kind == kind && life.dropped == TimePoint{} && (isInForce || isFirst)) {
            fit.push_back(&life.route);
        }
    }
    return fit.empty() ? nullptr : fit[choice() % fit.size()];
}

} // namespace hornbeam::soak
