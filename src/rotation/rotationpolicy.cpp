#include "rotation/rotationpolicy.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr uint32_t percent = 100;

// A leaving instance is not ready, but forwards packets that routers still send to it.
bool isServing(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Leaving;
}
}

RotationPolicy::RotationPolicy(const RotationSettings &settings, ZoneId ownZone) : settings(settings), ownZone(ownZone)
{
}

bool RotationPolicy::update(const std::vector<MemberRecord> &members, const std::vector<ZoneContact> &contacts, TimePoint now)
{
    const std::map<ZoneId, ZoneCounts> zones = this->countZones(members, now);
    const auto own = zones.find(this->ownZone);
    this->ownZoneCounted = own == zones.end() ? 0 : own->second.counted;
    const bool isZoneDegraded = own != zones.end() && this->isDegraded(own->second);
    if (!isZoneDegraded) {
        this->degradedSince = {};
    } else if (this->degradedSince == TimePoint{}) {
        this->degradedSince = now;
    }
    const bool isConfirmed = isZoneDegraded && now - this->degradedSince >= this->settings.confirmationPeriod;
    const bool shouldLeave = isConfirmed && this->canTakeOver(zones, contacts, now);
    if (shouldLeave == this->outOfRotation || (this->outOfRotation && now - this->changedAt < this->settings.minTimeOutOfRotation)) {
        return false;
    }
    this->outOfRotation = shouldLeave;
    this->changedAt = now;
    return true;
}

std::map<ZoneId, RotationPolicy::ZoneCounts> RotationPolicy::countZones(const std::vector<MemberRecord> &members, TimePoint now)
{
    std::map<ZoneId, ZoneCounts> zones;
    std::map<MemberId, NonServingMember> stillNonServing;
    for (const MemberRecord &member : members) {
        ZoneCounts &zone = zones[member.zone];
        if (isServing(member.state)) {
            ++zone.serving;
            ++zone.counted;
            continue;
        }
        const auto known = this->nonServingMembers.find(member.id);
        const bool isNew = known == this->nonServingMembers.end() || known->second.state != member.state;
        const NonServingMember nonServing = isNew ? NonServingMember{ member.state, now } : known->second;
        stillNonServing[member.id] = nonServing;
        const Duration counted = member.state == MemberState::Left ? this->settings.leftMemberRetention : this->settings.deadMemberRetention;
        zone.counted += now - nonServing.since < counted ? 1 : 0;
    }
    this->nonServingMembers = std::move(stillNonServing);
    return zones;
}

bool RotationPolicy::isDegraded(const ZoneCounts &zone) const
{
    return zone.serving * percent < zone.counted * this->settings.minServingPercent;
}

bool RotationPolicy::canTakeOver(const std::map<ZoneId, ZoneCounts> &zones, const std::vector<ZoneContact> &contacts, TimePoint now) const
{
    uint32_t takeoverCapacity = 0;
    uint32_t usualCount = 0;
    for (const auto &[id, zone] : zones) {
        usualCount += zone.counted;
        if (id == this->ownZone || zone.serving == 0 || this->isDegraded(zone)) {
            continue;
        }
        const auto contact = std::find_if(contacts.begin(), contacts.end(), [id = id](const ZoneContact &candidate) { return candidate.zone == id; });
        if (contact == contacts.end()) {
            continue;
        }
        const bool hasRecentReport = contact->healthyAgeMs != neverMs && milliseconds(contact->healthyAgeMs) <= this->settings.maxHealthReportAge;
        // A single fault may affect several zones, so a report from before the loss does not count.
        const bool isReportedAfterLoss = hasRecentReport && now - milliseconds(contact->healthyAgeMs) > this->degradedSince;
        takeoverCapacity += isReportedAfterLoss ? zone.serving : 0;
    }
    return takeoverCapacity > 0 && usualCount * percent <= takeoverCapacity * this->settings.maxTakeoverLoadPercent;
}

bool RotationPolicy::isZoneHealthy() const
{
    return this->degradedSince == TimePoint{};
}

uint32_t RotationPolicy::countedInstances() const
{
    return this->ownZoneCounted;
}

bool RotationPolicy::isOutOfRotation() const
{
    return this->outOfRotation;
}

} // namespace hornbeam
