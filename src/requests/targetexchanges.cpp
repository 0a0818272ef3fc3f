#include "requests/targetexchanges.h"

namespace hornbeam {

namespace {

constexpr uint16_t requestIdMask = 0x3FFF; // the two high bits 00 mark exchanges of requests
constexpr size_t maxCounters = 65536;      // targets, including those of earlier tables

uint64_t exchangeKey(const Endpoint &target, uint16_t messageId)
{
    return (target.key() << 16U) | messageId;
}

} // namespace

TargetExchanges::TargetExchanges(uint64_t seed) : seed(seed)
{
}

uint16_t TargetExchanges::add(const Endpoint &target, uint64_t attempt)
{
    const std::lock_guard lock(this->mutex);
    if (this->counters.size() >= maxCounters) {
        this->counters.clear();
    }
    const auto initialId = static_cast<uint16_t>(mixHash(this->seed, target.key()));
    uint16_t &counter = this->counters.try_emplace(target, initialId).first->second;
    do {
        counter = static_cast<uint16_t>((counter + 1U) & requestIdMask);
    } while (counter != 0 && this->attempts.contains(exchangeKey(target, counter)));
    this->attempts[exchangeKey(target, counter)] = attempt;
    return counter;
}

std::optional<uint64_t> TargetExchanges::find(const Endpoint &target, uint16_t messageId) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->attempts.find(exchangeKey(target, messageId));
    if (found == this->attempts.end()) {
        return std::nullopt;
    }
    return found->second;
}

void TargetExchanges::remove(const Endpoint &target, uint16_t messageId)
{
    const std::lock_guard lock(this->mutex);
    this->attempts.erase(exchangeKey(target, messageId));
}

} // namespace hornbeam
