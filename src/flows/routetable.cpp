#include "flows/routetable.h"

#include <algorithm>
#include <array>

namespace hornbeam {

std::string_view nameOf(RequestKind kind)
{
    constexpr std::array<std::string_view, static_cast<size_t>(RequestKind::Count)> names{ "idempotent", "non_idempotent" };
    return names[static_cast<size_t>(kind)];
}

RouteTable::Update RouteTable::update(const RouteConfiguration &configuration)
{
    if (this->loaded && configuration.version <= this->currentVersion) {
        return configuration.version == this->currentVersion ? Update::Unchanged : Update::Older;
    }
    std::unordered_map<Endpoint, Route> newRoutes;
    for (const Route &route : configuration.routes) {
        newRoutes.insert_or_assign(route.address, route);
    }
    for (const auto &[address, route] : this->routes) {
        this->droppedAddresses.insert(address);
    }
    for (const auto &[address, route] : newRoutes) {
        this->droppedAddresses.erase(address);
    }
    this->routes = std::move(newRoutes);
    this->flowIdleTimeout = configuration.idleTimeout;
    this->connectionLimits = configuration.connectionLimits;
    this->warmups = configuration.warmups;
    this->currentVersion = configuration.version;
    this->loaded = true;
    return Update::Applied;
}

bool RouteTable::isLoaded() const
{
    return this->loaded;
}

uint64_t RouteTable::version() const
{
    return this->currentVersion;
}

const Route *RouteTable::find(const Endpoint &address) const
{
    const auto found = this->routes.find(address);
    return found == this->routes.end() ? nullptr : &found->second;
}

bool RouteTable::isDropped(const Endpoint &address) const
{
    return this->droppedAddresses.contains(address);
}

Duration RouteTable::idleTimeout() const
{
    return this->flowIdleTimeout;
}

const ServiceWarmup &RouteTable::warmupOf(const std::string &service) const
{
    static const ServiceWarmup none;
    const auto found = this->warmups.find(service);
    return found == this->warmups.end() ? none : found->second;
}

uint32_t RouteTable::connectionLimitOf(const std::string &service) const
{
    const auto found = this->connectionLimits.find(service);
    return found == this->connectionLimits.end() ? 0 : found->second;
}

size_t RouteTable::size() const
{
    return this->routes.size();
}

std::vector<Route> RouteTable::all() const
{
    std::vector<Route> found;
    for (const auto &[address, route] : this->routes) {
        found.push_back(route);
    }
    std::sort(found.begin(), found.end(), [](const Route &a, const Route &b) { return a.name < b.name; });
    return found;
}

const std::string *RouteTable::serviceOf(const Route &route, const FlowKey &flow)
{
    uint64_t total = 0;
    for (const RouteShare &share : route.shares) {
        total += share.weight;
    }
    if (total == 0) {
        return nullptr;
    }
    uint64_t point = std::hash<FlowKey>()(flow) % total;
    for (const RouteShare &share : route.shares) {
        if (point < share.weight) {
            return &share.service;
        }
        point -= share.weight;
    }
    return nullptr;
}

bool RouteTable::hasShare(const Route &route, const std::string &service)
{
    return std::any_of(route.shares.begin(), route.shares.end(), [&](const RouteShare &share) { return share.service == service && share.weight > 0; });
}

} // namespace hornbeam
