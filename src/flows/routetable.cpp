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
    if (this->loaded && configuration.version <= this->current) {
        return configuration.version == this->current ? Update::Unchanged : Update::Older;
    }
    std::unordered_map<Endpoint, Route> fresh;
    for (const Route &route : configuration.routes) {
        fresh.insert_or_assign(route.address, route);
    }
    for (const auto &[address, route] : this->routes) {
        this->dropped.insert(address);
    }
    for (const auto &[address, route] : fresh) {
        this->dropped.erase(address);
    }
    this->routes = std::move(fresh);
    this->idle = configuration.idleTimeout;
    this->current = configuration.version;
    this->loaded = true;
    return Update::Applied;
}

bool RouteTable::isLoaded() const
{
    return this->loaded;
}

uint64_t RouteTable::version() const
{
    return this->current;
}

const Route *RouteTable::find(const Endpoint &address) const
{
    const auto found = this->routes.find(address);
    return found == this->routes.end() ? nullptr : &found->second;
}

bool RouteTable::isDropped(const Endpoint &address) const
{
    return this->dropped.contains(address);
}

Duration RouteTable::idleTimeout() const
{
    return this->idle;
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

} // namespace hornbeam
