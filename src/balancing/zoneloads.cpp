#include "balancing/zoneloads.h"

#include <algorithm>
#include <cmath>

namespace hornbeam {

namespace {
constexpr double reportWeight = 0.25;   // of a new report in the average: three reports per interval average the last 1.2 s
constexpr size_t roundTripSamples = 16; // 8 s of round trips; the shortest one is free of delays in the two processes
constexpr size_t maxSenders = 4096;     // whose sequence numbers are remembered
constexpr size_t maxReports = 1024;     // zones times services
constexpr double permille = 1000;
constexpr double maxCount = 1e9;
constexpr uint64_t maxReportMs = 60'000; // bound of received times
// A process begins with 1,000 times the wall clock in ms, and counts its messages. If its clock was set back before a restart, the number is lower by much more
// than the messages that can be delayed or duplicated.
constexpr uint64_t clockUnit = 1000;
constexpr uint64_t maxReorder = 100'000;

uint32_t toMillis(Duration duration)
{
    const auto millis = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(millis, 0, static_cast<int64_t>(maxReportMs)));
}

uint32_t toCount(double value)
{
    return static_cast<uint32_t>(std::lround(std::clamp(value, 0.0, maxCount)));
}

ZoneLoadEntry makeEntry(const std::pair<ZoneId, ServiceId> &key, const ReportedZoneLoad &load, uint32_t ageMs)
{
    return { key.first,
             key.second,
             toCount(load.slots),
             toCount(load.outstanding),
             toMillis(load.waiting),
             toCount(std::clamp(load.leavingShare, 0.0, 1.0) * permille),
             ageMs,
             toCount(load.requestsPerSecond) };
}
}

ZoneLoads::ZoneLoads(const ZoneLoadSettings &settings, const MemberDirectory &members, const Clock &clock, uint64_t seed)
    : settings(settings)
    , members(members)
    , clock(clock)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , nextSequence(clock.wallMillis() * clockUnit + 1)
    , nextReport(clock.now())
{
}

void ZoneLoads::setOwnLoads(std::vector<OwnZoneLoad> loads)
{
    this->ownLoads = std::move(loads);
}

//--- Sending

void ZoneLoads::tick(Actions &out)
{
    const TimePoint now = this->clock.now();
    if (!this->settings.isEnabled || now < this->nextReport) {
        return;
    }
    this->nextReport = now + this->settings.interval;
    const MemberRecord self = this->members.self();
    this->reachable = this->members.reachableZones();
    this->memberCount = std::max<size_t>(1, this->members.eligibleIn(self.zone).size());
    for (const OwnZoneLoad &load : this->ownLoads) {
        this->blend({ self.zone, load.service },
                    { static_cast<double>(load.slots), load.outstanding, load.waiting, load.leavingShare, load.requestsPerSecond, now }, reportWeight);
    }
    for (const ZoneId zone : this->reachable) {
        const MemberId peer = this->randomMember(zone);
        if (peer != 0) {
            this->send(peer, zone == self.zone, 0, out);
        }
    }
    this->firstService += this->settings.maxServices;
    std::erase_if(this->reports, [this, now](const auto &entry) { return now - entry.second.measuredAt > this->settings.timeout; });
    std::erase_if(this->roundTrips, [this](const auto &entry) { return !this->isReachable(entry.first); });
}

void ZoneLoads::send(MemberId peer, bool isOwnZone, uint64_t echo, Actions &out)
{
    const MemberRecord self = this->members.self();
    ZoneLoad message{ self.id, self.zone, this->nextSequence++, echo, this->ownEntries() };
    if (isOwnZone) {
        this->appendReported(message.entries);
    } else if (echo == 0) {
        const std::optional<MemberRecord> record = this->members.find(peer);
        RoundTrips &trips = this->roundTrips[record.has_value() ? record->zone : 0];
        trips.sequence = message.sequence;
        trips.sentAt = this->clock.now();
    }
    out.sendToPeer(peer, std::move(message));
}

// This instance's own estimates, not the averages: an average that contains reports of other instances would be counted several times.
std::vector<ZoneLoadEntry> ZoneLoads::ownEntries() const
{
    std::vector<ZoneLoadEntry> entries;
    const ZoneId zone = this->members.self().zone;
    const size_t count = std::min(this->ownLoads.size(), this->settings.maxServices);
    for (size_t i = 0; i < count; ++i) {
        const OwnZoneLoad &load = this->ownLoads[(this->firstService + i) % this->ownLoads.size()];
        entries.push_back(makeEntry({ zone, load.service },
                                    { static_cast<double>(load.slots), load.outstanding, load.waiting, load.leavingShare, load.requestsPerSecond, {} }, 0));
    }
    return entries;
}

void ZoneLoads::appendReported(std::vector<ZoneLoadEntry> &entries) const
{
    const TimePoint now = this->clock.now();
    std::vector<ZoneLoadEntry> passedOn;
    for (const ZoneLoadEntry &own : entries) {
        for (const auto &[key, load] : this->reports) {
            if (key.first != own.zone && key.second == own.service && now - load.measuredAt <= this->settings.timeout) {
                passedOn.push_back(makeEntry(key, load, toMillis(now - load.measuredAt) + 1)); // rounded up
            }
        }
    }
    entries.insert(entries.end(), passedOn.begin(), passedOn.end());
}

MemberId ZoneLoads::randomMember(ZoneId zone)
{
    std::vector<MemberRecord> candidates = this->members.eligibleIn(zone);
    const MemberId self = this->members.self().id;
    std::erase_if(candidates, [self](const MemberRecord &record) { return record.id == self; });
    return candidates.empty() ? 0 : candidates[this->random() % candidates.size()].id;
}

//--- Receiving

// Datagrams may arrive twice or in a different order.
bool ZoneLoads::isReplayed(const ZoneLoad &message)
{
    if (this->lastSequences.size() >= maxSenders && this->lastSequences.count(message.sender) == 0) {
        this->lastSequences.clear();
    }
    uint64_t &last = this->lastSequences[message.sender];
    if (message.sequence <= last && last - message.sequence < maxReorder) {
        return true;
    }
    last = message.sequence;
    return false;
}

void ZoneLoads::onMessage(const ZoneLoad &message, Actions &out)
{
    const MemberRecord self = this->members.self();
    const std::optional<MemberRecord> sender = this->members.find(message.sender);
    if (message.sender == self.id || !sender.has_value() || sender->zone != message.zone || this->isReplayed(message)) {
        return;
    }
    for (const ZoneLoadEntry &entry : message.entries) {
        this->apply(entry, message.zone);
    }
    if (message.zone == self.zone) {
        return;
    }
    if (message.echo == 0) {
        this->send(message.sender, false, message.sequence, out);
        return;
    }
    const auto found = this->roundTrips.find(message.zone);
    if (found == this->roundTrips.end() || found->second.sequence != message.echo) {
        return;
    }
    RoundTrips &trips = found->second;
    trips.sequence = 0;
    const Duration elapsed = this->clock.now() - trips.sentAt;
    if (trips.recent.size() < roundTripSamples) {
        trips.recent.push_back(elapsed);
    } else {
        trips.recent[trips.next++ % roundTripSamples] = elapsed;
    }
}

void ZoneLoads::apply(const ZoneLoadEntry &entry, ZoneId senderZone)
{
    const TimePoint now = this->clock.now();
    const ZoneId ownZone = this->members.self().zone;
    const bool isFirstHand = entry.zone == senderZone;
    if ((senderZone != ownZone && !isFirstHand) || entry.leavingPermille > permille || entry.ageMs > toMillis(this->settings.timeout)) {
        return; // only members of the own zone pass on reports of further zones
    }
    if (!isFirstHand && entry.zone == ownZone) {
        return;
    }
    const Duration waiting = milliseconds(std::min<uint64_t>(entry.waitingMs, maxReportMs));
    this->blend({ entry.zone, entry.service },
                { static_cast<double>(entry.slots), static_cast<double>(entry.outstanding), waiting, entry.leavingPermille / permille,
                  static_cast<double>(entry.requests), now - milliseconds(entry.ageMs) },
                reportWeight);
}

void ZoneLoads::blend(const Key &key, const ReportedZoneLoad &load, double weight)
{
    const auto found = this->reports.find(key);
    if (found == this->reports.end() || this->clock.now() - found->second.measuredAt > this->settings.timeout) {
        if (found != this->reports.end() || this->reports.size() < maxReports) {
            this->reports[key] = load;
        }
        return;
    }
    ReportedZoneLoad &average = found->second;
    const auto move = [weight](double &value, double to) { value += weight * (to - value); };
    move(average.slots, load.slots);
    move(average.outstanding, load.outstanding);
    move(average.leavingShare, load.leavingShare);
    move(average.requestsPerSecond, load.requestsPerSecond);
    average.waiting += Duration(static_cast<Duration::rep>(weight * static_cast<double>((load.waiting - average.waiting).count())));
    average.measuredAt = std::max(average.measuredAt, load.measuredAt);
}

//--- Queries

const ReportedZoneLoad *ZoneLoads::find(ZoneId zone, ServiceId service) const
{
    const auto found = this->reports.find({ zone, service });
    const bool isUsable = found != this->reports.end() && this->clock.now() - found->second.measuredAt <= this->settings.timeout;
    return isUsable ? &found->second : nullptr;
}

bool ZoneLoads::isReachable(ZoneId zone) const
{
    return std::find(this->reachable.begin(), this->reachable.end(), zone) != this->reachable.end();
}

Duration ZoneLoads::delayTo(ZoneId zone) const
{
    const auto found = this->roundTrips.find(zone);
    if (found == this->roundTrips.end() || found->second.recent.empty()) {
        return Duration{ 0 };
    }
    return *std::min_element(found->second.recent.begin(), found->second.recent.end());
}

size_t ZoneLoads::ownMembers() const
{
    return this->memberCount;
}

} // namespace hornbeam
