#include "sharing/configurationview.h"

#include <algorithm>
#include <map>

namespace hornbeam {

namespace {

uint32_t toMillis(Duration duration)
{
    return static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(duration).count());
}

StoreRoute toMessage(const Route &route)
{
    StoreRoute message{ route.name, route.address, route.kind == RequestKind::Idempotent, toMillis(route.latencyTarget), toMillis(route.timeout),
                        {},         route.priority };
    for (const RouteShare &share : route.shares) {
        message.shares.push_back({ share.service, share.weight });
    }
    return message;
}

Route fromMessage(const StoreRoute &message)
{
    Route route;
    route.name = message.name;
    route.address = message.address;
    route.kind = message.isIdempotent ? RequestKind::Idempotent : RequestKind::NonIdempotent;
    route.latencyTarget = milliseconds(message.latencyTargetMs);
    route.timeout = milliseconds(message.timeoutMs);
    route.priority = message.priority;
    for (const StoreShare &share : message.shares) {
        route.shares.push_back({ share.service, share.weight });
    }
    return route;
}

std::map<Endpoint, Route> byAddress(const RouteConfiguration &configuration)
{
    std::map<Endpoint, Route> routes;
    for (const Route &route : configuration.routes) {
        routes[route.address] = route;
    }
    return routes;
}

} // namespace

ConfigurationView::ConfigurationView(size_t historySize, size_t maxRoutesPerUpdate) : historySize(historySize), maxRoutesPerUpdate(maxRoutesPerUpdate)
{
}

bool ConfigurationView::update(const RouteConfiguration &configuration, const StorePosition &position)
{
    if (position <= this->position()) {
        return false;
    }
    this->history.push_back({ position, configuration });
    if (this->history.size() > this->historySize) {
        this->history.pop_front();
    }
    return true;
}

void ConfigurationView::confirm(const StorePosition &position, TimePoint requestedAt)
{
    if (position >= this->position()) {
        this->confirmed = std::max(this->confirmed, requestedAt);
    }
}

StoreConfigurationChanges ConfigurationView::changesSince(const StorePosition &base, bool wantsSnapshot, TimePoint now) const
{
    StoreConfigurationChanges changes;
    if (!this->isLoaded()) {
        return changes;
    }
    const RouteConfiguration &newest = this->history.back().configuration;
    changes.setFrom(base);
    changes.setPosition(this->position());
    changes.ageMs = static_cast<uint32_t>(std::chrono::ceil<milliseconds>(now - this->confirmed).count());
    changes.version = newest.version;
    changes.flowIdleTimeoutMs = toMillis(newest.idleTimeout);
    const StoredConfiguration *known = this->find(base);
    if (base >= this->position() || (known == nullptr && (base.isSet() || !wantsSnapshot))) {
        return changes;
    }
    std::map<Endpoint, Route> before = known == nullptr ? std::map<Endpoint, Route>() : byAddress(known->configuration);
    for (const auto &[address, route] : byAddress(newest)) {
        const auto previous = before.find(address);
        if (previous == before.end() || !(previous->second == route)) {
            changes.routes.push_back(toMessage(route));
        }
        if (previous != before.end()) {
            before.erase(previous);
        }
    }
    for (const auto &[address, route] : before) {
        changes.removed.push_back(address);
    }
    changes.hasContent = known == nullptr || changes.routes.size() + changes.removed.size() <= this->maxRoutesPerUpdate;
    if (!changes.hasContent) {
        changes.routes.clear();
        changes.removed.clear();
        return changes;
    }
    for (const auto &[service, connections] : newest.connectionLimits) {
        changes.connectionLimits.push_back({ service, connections });
    }
    for (const auto &[service, warmup] : newest.warmups) {
        changes.warmups.push_back({ service, warmup.ratePerMille.has_value(), warmup.ratePerMille.value_or(0), toMillis(warmup.time) });
    }
    return changes;
}

std::optional<RouteConfiguration> ConfigurationView::apply(const StoreConfigurationChanges &changes) const
{
    const StoredConfiguration *base = this->find(changes.fromPosition());
    if (!changes.hasContent || (base == nullptr && changes.from != 0)) {
        return std::nullopt;
    }
    std::map<Endpoint, Route> routes = base == nullptr ? std::map<Endpoint, Route>() : byAddress(base->configuration);
    for (const Endpoint &address : changes.removed) {
        routes.erase(address);
    }
    for (const StoreRoute &message : changes.routes) {
        routes[message.address] = fromMessage(message);
    }
    RouteConfiguration configuration;
    configuration.version = changes.version;
    configuration.idleTimeout = milliseconds(changes.flowIdleTimeoutMs);
    for (const StoreConnectionLimit &limit : changes.connectionLimits) {
        configuration.connectionLimits[limit.service] = limit.connections;
    }
    for (const StoreWarmup &warmup : changes.warmups) {
        configuration.warmups[warmup.service] = { warmup.hasRate ? std::optional(warmup.ratePerMille) : std::nullopt, milliseconds(warmup.timeMs) };
    }
    for (auto &[address, route] : routes) {
        configuration.routes.push_back(std::move(route));
    }
    return configuration;
}

const ConfigurationView::StoredConfiguration *ConfigurationView::find(const StorePosition &position) const
{
    const auto found = std::find_if(this->history.begin(), this->history.end(), [&](const StoredConfiguration &known) { return known.position == position; });
    return found == this->history.end() ? nullptr : &*found;
}

bool ConfigurationView::isLoaded() const
{
    return !this->history.empty();
}

StorePosition ConfigurationView::position() const
{
    return this->history.empty() ? StorePosition{} : this->history.back().position;
}

TimePoint ConfigurationView::confirmedAt() const
{
    return this->confirmed;
}

} // namespace hornbeam
