#include "balancing/zoneshares.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr double maxLeavingShare = 0.95;        // while the own zone has usable targets; the rest of the flows shows when they have recovered
constexpr double useBand = 0.25;                // outstanding requests per slot over which steps grow from 0 to the maximum
constexpr double drainSeconds = 1;              // in which the queues of the own zone should be worked off
constexpr double riseFactor = 0.6;              // part of the difference to the needed share per update; 84% of it within 0.5 s
constexpr double freePerUpdate = 0.25;          // part of a zone's free slots that may be taken per update: its reports are three updates old
constexpr double averageWeight = 0.2;           // per update: flows return by the average of about the last 1.2 s, because single values deviate by 30%
constexpr double returnFactor = 0.25;           // part of the flows that may return per update
constexpr double maxLeavingOfDestination = .05; // a zone that sends more of its own flows away is sent none, so that zones don't exchange flows,
constexpr double maxLeavingOfNeeded = 0.5;      // unless this is less than half of what the own zone must send away
constexpr double betterZoneGain = 0.5;          // of the own waiting time: above it no flow is kept at home
constexpr double minShare = 0.01;               // a falling share below it becomes 0
constexpr double bytesPerKilobyte = 1000;

double useOf(const ZoneState &zone)
{
    return zone.slots == 0 ? 1e9 : zone.outstanding / zone.slots;
}

// Of the own zone's callers, in slots.
double demandOf(const ServiceZones &service)
{
    return service.requestsPerSecond * std::chrono::duration<double>(service.serviceTime).count();
}

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}
}

ZoneShares::ZoneShares(const ZoneShareSettings &settings) : settings(settings)
{
}

void ZoneShares::update(const ServiceZones &service)
{
    double lost = 0; // share of zones that can't be used any more
    std::vector<ZoneShare> next;
    for (const ZoneState &zone : service.others) {
        ZoneShare share{ zone.zone, 0, Duration{ 0 }, this->costOf(zone, service.bytesPerRequest) };
        const auto previous = std::find_if(this->shares.begin(), this->shares.end(), [&zone](const ZoneShare &other) { return other.zone == zone.zone; });
        if (previous != this->shares.end() && zone.isReachable && zone.slots > 0) {
            share.share = previous->share;
        } else if (previous != this->shares.end()) {
            lost += previous->share;
        }
        share.gain = service.own.waiting - share.cost;
        next.push_back(share);
    }
    this->shares = std::move(next);
    this->ownZone = service.own.zone;
    this->replaceLostZones(service, lost);
    this->homeWaiting = service.own.waiting;
    if (service.own.slots == 0) {
        this->replaceOwnZone(service);
        return;
    }
    this->adjust(service);
    this->hasBetterZone = false;
    for (size_t i = 0; i < this->shares.size(); ++i) {
        const Duration muchGain = this->settings.minGain + scaled(this->homeWaiting, betterZoneGain);
        const ZoneState &zone = service.others[i];
        const bool hasFreeSlot = zone.isReachable && zone.isReported && useOf(zone) < 1;
        this->hasBetterZone = this->hasBetterZone || (hasFreeSlot && this->shares[i].gain > muchGain);
    }
    const bool hasReports = std::any_of(service.others.begin(), service.others.end(), [](const ZoneState &zone) { return zone.isReported; });
    this->decided = hasReports && (this->leavingShare() > 0 || useOf(service.own) > this->settings.decidedUse);
}

// The flows of a zone that can't be used any more go to the others, as far as these have free slots for them.
void ZoneShares::replaceLostZones(const ServiceZones &service, double lost)
{
    const double demand = demandOf(service);
    double free = 0;
    for (const ZoneState &zone : service.others) {
        free += this->freeSlots(zone);
    }
    if (lost <= 0 || free <= 0 || demand <= 0) {
        return;
    }
    const double moved = std::min(lost, free / demand);
    for (size_t i = 0; i < this->shares.size(); ++i) {
        this->shares[i].share += moved * this->freeSlots(service.others[i]) / free;
    }
}

bool ZoneShares::isDestination(const ZoneState &zone) const
{
    const double maxLeaving = std::max(maxLeavingOfDestination, maxLeavingOfNeeded * this->averageNeeded);
    return zone.isReachable && zone.isReported && zone.slots > 0 && zone.leavingShare <= maxLeaving;
}

// Slots that the zone can use for flows of others; 0 if it can't be sent any.
double ZoneShares::freeSlots(const ZoneState &zone) const
{
    return this->isDestination(zone) ? std::max(0.0, this->settings.maxUse * zone.slots - zone.outstanding) : 0;
}

Duration ZoneShares::costOf(const ZoneState &zone, double bytesPerRequest) const
{
    return std::max(zone.waiting + zone.delay, zone.excess) + scaled(this->settings.pricePerKilobyte, bytesPerRequest / bytesPerKilobyte);
}

// From -1, no free slots, to 1, enough free slots for a full step.
double ZoneShares::roomOf(const ZoneState &zone) const
{
    return std::clamp((this->settings.maxUse - useOf(zone)) / useBand, -1.0, 1.0);
}

// Above which flows leave.
Duration ZoneShares::risingGain() const
{
    return this->settings.minGain + scaled(this->homeWaiting, this->settings.minGainShare);
}

// From -1, the share must fall, to 1, it should rise. 0 within the hysteresis.
double ZoneShares::pressureOf(const ZoneState &zone, const ZoneShare &share) const
{
    if (!this->isDestination(zone)) {
        return -1;
    }
    const double gain = static_cast<double>(share.gain.count());
    const auto rising = static_cast<double>(this->risingGain().count());
    const double falling = rising / 2;
    double pressure = 0;
    if (gain > rising) {
        pressure = std::min(1.0, (gain - rising) / rising);
    } else if (gain < falling) {
        pressure = std::max(-1.0, (gain - falling) / rising);
    }
    return std::min(pressure, this->roomOf(zone));
}

// The share of the requests that the own zone can't serve without using more than `maxUse` of its slots, and while it works off its queues.
double ZoneShares::neededShare(const ServiceZones &service) const
{
    const double seconds = std::chrono::duration<double>(service.serviceTime + service.own.waiting).count();
    if (seconds <= 0 || service.requestsPerSecond <= 0) {
        return 0;
    }
    // Little's law: while all slots are busy, the requests served per second are the outstanding ones divided by the response time.
    const double capacity = std::max<double>(service.own.slots, service.own.outstanding) / seconds;
    const double queued = std::max(0.0, service.own.outstanding - service.own.slots);
    return std::clamp(1 - (this->settings.maxUse * capacity - queued / drainSeconds) / service.requestsPerSecond, 0.0, maxLeavingShare);
}

void ZoneShares::adjust(const ServiceZones &service)
{
    const double before = this->leavingShare();
    if (before > maxLeavingShare) { // the own zone had no targets
        for (ZoneShare &share : this->shares) {
            share.share *= maxLeavingShare / before;
        }
    }
    const double demand = demandOf(service);
    const double needed = this->neededShare(service);
    this->averageNeeded += averageWeight * (needed - this->averageNeeded);
    const double current = this->leavingShare();
    std::vector<double> pressures;
    double free = 0; // slots of the zones whose share may rise
    for (size_t i = 0; i < this->shares.size(); ++i) {
        const ZoneState &zone = service.others[i];
        pressures.push_back(this->pressureOf(zone, this->shares[i]));
        free += pressures[i] > 0 ? this->freeSlots(zone) : 0;
    }
    for (size_t i = 0; i < this->shares.size(); ++i) {
        ZoneShare &share = this->shares[i];
        const ZoneState &zone = service.others[i];
        if (pressures[i] > 0) {
            const double part = this->freeSlots(zone) / free;
            const double rise = std::max(riseFactor * (needed - current), this->settings.step);
            const double limit = demand > 0 ? freePerUpdate * this->freeSlots(zone) / demand : maxLeavingShare;
            share.share += std::min(std::min(maxLeavingShare - current, rise) * pressures[i] * part, limit);
        } else if (pressures[i] < 0) {
            // The own zone takes back what it can serve; if the other one is short or unknown, all of it.
            const bool isClosed = this->freeSlots(zone) <= 0 || current <= 0;
            const double returning = isClosed ? share.share : share.share * std::max(0.0, current - this->averageNeeded) / current;
            share.share += returnFactor * pressures[i] * returning;
            share.share = share.share < minShare ? 0 : share.share;
        }
    }
}

// All flows leave, in proportion to the free slots of the zones that have any.
void ZoneShares::replaceOwnZone(const ServiceZones &service)
{
    std::vector<double> weights(service.others.size());
    for (const bool needsRoom : { true, false }) {
        double sum = 0;
        for (size_t i = 0; i < weights.size(); ++i) {
            const ZoneState &zone = service.others[i];
            const bool isUsable = zone.isReachable && zone.isReported;
            weights[i] = needsRoom ? this->freeSlots(zone) : (isUsable ? zone.slots : 0);
            sum += weights[i];
        }
        for (size_t i = 0; i < weights.size() && sum > 0; ++i) {
            this->shares[i].share = weights[i] / sum;
        }
        this->decided = sum > 0;
        if (this->decided) {
            return;
        }
    }
    for (ZoneShare &share : this->shares) {
        share.share = 0;
    }
}

ZoneChoice ZoneShares::choose(double draw) const
{
    ZoneChoice choice;
    if (!this->decided) {
        return choice;
    }
    choice.leavingShare = this->leavingShare();
    if (!this->hasBetterZone) {
        choice.zone = this->ownZone;
    }
    for (const ZoneShare &share : this->shares) {
        if (draw < share.share) {
            choice.zone = share.zone;
            break;
        }
        draw -= share.share;
    }
    return choice;
}

double ZoneShares::leavingShare() const
{
    double sum = 0;
    for (const ZoneShare &share : this->shares) {
        sum += share.share;
    }
    return sum;
}

Duration ZoneShares::expectedGain() const
{
    Duration sum{ 0 };
    for (const ZoneShare &share : this->shares) {
        sum += scaled(share.gain, share.share);
    }
    return sum;
}

bool ZoneShares::isDecided() const
{
    return this->decided;
}

const std::vector<ZoneShare> &ZoneShares::destinations() const
{
    return this->shares;
}

Duration ZoneShares::ownWaiting() const
{
    return this->homeWaiting;
}

} // namespace hornbeam
