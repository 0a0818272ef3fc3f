#include "rotation/rotationpolicy.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr uint32_t percent = 100;

// a leaving instance is not ready, but forwards what routers still send to it
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
    const std::map<ZoneId, Zone> zones = this->countZones(members, now);
    const auto own = zones.find(this->ownZone);
    const bool isLost = own != zones.end() && this->isHurt(own->second);
    if (!isLost) {
        this->hurtSince = {};
    } else if (this->hurtSince == TimePoint{}) {
        this->hurtSince = now;
    }
    const bool isConfirmed = isLost && now - this->hurtSince >= this->settings.confirmation;
    const bool isWanted = isConfirmed && this->canTakeOver(zones, contacts, now);
    if (isWanted == this->aside || (this->aside && now - this->changedAt < this->settings.shortestAbsence)) {
        return false;
    }
    this->aside = isWanted;
    this->changedAt = now;
    return true;
}

std::map<ZoneId, RotationPolicy::Zone> RotationPolicy::countZones(const std::vector<MemberRecord> &members, TimePoint now)
{
    std::map<ZoneId, Zone> zones;
    std::map<MemberId, Absence> still;
    for (const MemberRecord &member : members) {
        Zone &zone = zones[member.zone];
        if (isServing(member.state)) {
            ++zone.serving;
            ++zone.counted;
            continue;
        }
        const auto known = this->absences.find(member.id);
        const bool isNew = known == this->absences.end() || known->second.state != member.state;
        const Absence absence = isNew ? Absence{ member.state, now } : known->second;
        still[member.id] = absence;
        const Duration counted = member.state == MemberState::Left ? this->settings.leftCounted : this->settings.deadCounted;
        zone.counted += now - absence.since < counted ? 1 : 0;
    }
    this->absences = std::move(still);
    return zones;
}

bool RotationPolicy::isHurt(const Zone &zone) const
{
    return zone.serving * percent < zone.counted * this->settings.leastServingPercent;
}

bool RotationPolicy::canTakeOver(const std::map<ZoneId, Zone> &zones, const std::vector<ZoneContact> &contacts, TimePoint now) const
{
    uint32_t taking = 0;
    uint32_t usual = 0;
    for (const auto &[id, zone] : zones) {
        usual += zone.counted;
        if (id == this->ownZone || zone.serving == 0 || this->isHurt(zone)) {
            continue;
        }
        const auto contact = std::find_if(contacts.begin(), contacts.end(), [id = id](const ZoneContact &heard) { return heard.zone == id; });
        if (contact == contacts.end()) {
            continue;
        }
        const bool isTold = contact->wellAgeMs != neverMs && milliseconds(contact->wellAgeMs) <= this->settings.wellAge;
        const bool isTrusted = isTold && now - milliseconds(contact->wellAgeMs) > this->hurtSince; // one fault may hit several zones
        taking += isTrusted ? zone.serving : 0;
    }
    return taking > 0 && usual * percent <= taking * this->settings.mostLoadPercent;
}

bool RotationPolicy::isZoneWell() const
{
    return this->hurtSince == TimePoint{};
}

bool RotationPolicy::isAside() const
{
    return this->aside;
}

} // namespace hornbeam
