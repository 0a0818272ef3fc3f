#include "flows/zonerouting.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {
constexpr double loggedChange = 0.1; // of the share that leaves the zone
constexpr double percent = 100;
constexpr double ownQueueUse = 1.5;                  // own requests per slot that random arrivals hardly ever reach without a queue
constexpr uint64_t drawSalt = 0x7A6F6E6573686172ULL; // so that the draw is independent of the choice of the service
constexpr int drawBits = 53;                         // of a double's mantissa

ZoneShareSettings makeShareSettings(const FlowSettings &settings)
{
    ZoneShareSettings shares;
    shares.minGain = settings.zoneMinGain;
    shares.pricePerKilobyte = settings.zoneBytePrice;
    shares.maxUse = settings.zoneMaxUsePercent / percent;
    shares.step = settings.zoneStepPercent / percent;
    return shares;
}
}

ZoneRouting::ZoneRouting(const FlowSettings &settings, const TargetDirectory &directory, ZoneId ownZone)
    : settings(settings), directory(directory), ownZone(ownZone)
{
}

void ZoneRouting::setLoads(ZoneLoads *source)
{
    this->loads = source;
}

void ZoneRouting::addRoundTrip(Target &target, Duration elapsed)
{
    target.observed.overheadSeconds += std::chrono::duration<double>(elapsed).count();
}

void ZoneRouting::addAnswer(const Endpoint &route, Target &target, const AnswerParts &times, uint32_t bytes)
{
    target.observed.bytes += bytes;
    target.observed.overheadSeconds += std::chrono::duration<double>(times.overhead).count();
    if (!times.isRejection) {
        this->baseTimes.add(route, target.record.zone == this->ownZone, times.inTarget, target.observed);
    }
}

std::vector<ZoneShareChange> ZoneRouting::tick(const std::vector<PlacementRule *> &rules, TimePoint now)
{
    std::vector<ZoneShareChange> changes;
    if (!this->settings.zoneRouting || this->loads == nullptr || now < this->nextUpdate) {
        return changes;
    }
    this->nextUpdate = now + zoneShareInterval;
    const Duration interval = this->lastUpdate == TimePoint{} ? Duration{ 0 } : now - this->lastUpdate;
    this->lastUpdate = now;
    const auto totals = this->collect(rules, now);
    this->updateUnreachable(totals);
    std::vector<OwnZoneLoad> ownLoads;
    for (const auto &[name, zones] : totals) {
        Service &service = this->services[name];
        for (const auto &[zone, total] : zones) {
            service.waiting.add(zone, total.traffic, total.outstanding, interval, now);
        }
        ZoneShares &share = this->shares.try_emplace(name, makeShareSettings(this->settings)).first->second;
        share.update(this->describe(name, zones, service.waiting, now));
        this->reportChange(name, service, share, changes);
        const auto own = zones.find(this->ownZone);
        const uint32_t slots = own == zones.end() ? 0 : own->second.slots;
        const double outstanding = service.waiting.outstandingIn(this->ownZone) * static_cast<double>(this->loads->ownMembers());
        ownLoads.push_back({ serviceIdOf(name), slots, outstanding, service.waiting.waitingIn(this->ownZone, outstanding, slots, now), share.leavingShare(),
                             service.waiting.requestsPerSecond() * static_cast<double>(this->loads->ownMembers()) });
    }
    this->loads->setOwnLoads(std::move(ownLoads));
    std::erase_if(this->services, [&totals](const auto &entry) { return totals.count(entry.first) == 0; });
    std::erase_if(this->shares, [&totals](const auto &entry) { return totals.count(entry.first) == 0; });
    return changes;
}

std::map<std::string, std::map<ZoneId, ZoneRouting::ZoneTotals>> ZoneRouting::collect(const std::vector<PlacementRule *> &rules, TimePoint now) const
{
    std::map<std::string, std::map<ZoneId, ZoneTotals>> totals;
    const CandidateFilter filter(rules, now);
    for (const TargetPtr &target : this->directory.all()) {
        ZoneTotals &zone = totals[target->record.service][target->record.zone];
        const bool isUsable = target->phase == TargetPhase::Ready && !target->isSilent() && !target->isTokenTaken && filter.isEligible(*target);
        zone.slots += isUsable ? target->record.slots : 0;
        zone.outstanding += target->outstandingRequests;
        zone.traffic.add(target->observed);
        target->observed = {};
    }
    return totals;
}

void ZoneRouting::updateUnreachable(const std::map<std::string, std::map<ZoneId, ZoneTotals>> &totals)
{
    this->unreachable.clear();
    if (!this->loads->isReachable(this->ownZone)) {
        return; // the membership is not known yet
    }
    for (const auto &[service, zones] : totals) {
        for (const auto &[zone, total] : zones) {
            if (!this->loads->isReachable(zone)) {
                this->unreachable.insert(zone);
            }
        }
    }
}

ServiceZones ZoneRouting::describe(const std::string &service, const std::map<ZoneId, ZoneTotals> &totals, const ZoneWaiting &waiting, TimePoint now) const
{
    const double members = static_cast<double>(this->loads->ownMembers());
    ServiceZones result;
    result.own.zone = this->ownZone;
    result.bytesPerRequest = waiting.bytesPerRequest();
    result.serviceTime = waiting.serviceTime();
    const ReportedZoneLoad *ownReport = this->loads->find(this->ownZone, serviceIdOf(service));
    result.requestsPerSecond = ownReport == nullptr ? waiting.requestsPerSecond() * members : ownReport->requestsPerSecond;
    for (const auto &[zone, total] : totals) {
        ZoneState state;
        state.zone = zone;
        state.slots = total.slots;
        state.isReachable = zone == this->ownZone || this->loads->isReachable(zone);
        state.outstanding = waiting.outstandingIn(zone) * members;
        const ReportedZoneLoad *report = this->loads->find(zone, serviceIdOf(service));
        state.isReported = report != nullptr;
        if (zone == this->ownZone) {
            // Reports are about 1 s older than the own values, which show first that a queue has begun to grow.
            state.waiting = waiting.waitingIn(zone, state.outstanding, state.slots, now);
            if (report != nullptr && state.outstanding > ownQueueUse * state.slots) {
                state.waiting = std::max(state.waiting, report->waiting);
                state.outstanding = std::max(state.outstanding, report->outstanding);
            } else if (report != nullptr) {
                state.waiting = report->waiting;
                state.outstanding = report->outstanding;
            }
            result.own = state;
            continue;
        }
        if (report != nullptr) {
            state.outstanding += report->outstanding;
            state.slots = std::min(state.slots, static_cast<uint32_t>(std::lround(report->slots)));
            state.leavingShare = report->leavingShare;
            state.waiting = report->waiting;
        }
        state.delay = this->loads->delayTo(zone);
        state.excess = waiting.excessIn(zone, now);
        result.others.push_back(state);
    }
    return result;
}

void ZoneRouting::reportChange(const std::string &name, Service &service, const ZoneShares &decision, std::vector<ZoneShareChange> &changes) const
{
    const double share = decision.leavingShare();
    const bool hasEnded = share == 0 && service.loggedShare > 0;
    if (!hasEnded && std::abs(share - service.loggedShare) < loggedChange) {
        return;
    }
    changes.push_back({ name, service.loggedShare, share, decision.ownWaiting(), decision.expectedGain(), decision.destinations() });
    service.loggedShare = share;
}

ZoneChoice ZoneRouting::choose(const std::string &service, const FlowKey &flow) const
{
    const auto found = this->shares.find(service);
    if (found == this->shares.end()) {
        return {};
    }
    const uint64_t hash = mixHash(drawSalt, mixHash(flow.caller.key(), flow.service.key()));
    return found->second.choose(std::ldexp(static_cast<double>(hash >> (64 - drawBits)), -drawBits));
}

const std::set<ZoneId> &ZoneRouting::unreachableZones() const
{
    return this->unreachable;
}

const std::map<std::string, ZoneShares> &ZoneRouting::decisions() const
{
    return this->shares;
}

} // namespace hornbeam
