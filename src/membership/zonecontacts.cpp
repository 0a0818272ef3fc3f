#include "membership/zonecontacts.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr Duration perHopAge = milliseconds(10); // added per hop; must exceed the latency of a datagram, or a contact reported in circles would never age
constexpr Duration graceAfterPause = milliseconds(2000); // long enough for a few probes with members that were not paused

} // namespace

ZoneContacts::ZoneContacts(Duration timeout) : timeout(timeout)
{
}

void ZoneContacts::recordDirectContact(ZoneId zone, TimePoint now)
{
    this->lastContact[zone] = now;
}

void ZoneContacts::recordHealth(ZoneId zone, bool isHealthy, TimePoint now)
{
    Health &known = this->health[zone];
    (isHealthy ? known.healthyAt : known.unhealthyAt) = now;
}

void ZoneContacts::recordReportedContacts(const std::vector<ZoneContact> &contacts, TimePoint now)
{
    for (const ZoneContact &contact : contacts) {
        if (contact.healthyAgeMs != neverMs) {
            Health &known = this->health[contact.zone];
            known.healthyAt = std::max(known.healthyAt, now - milliseconds(contact.healthyAgeMs) - perHopAge);
        }
        const Duration age = milliseconds(contact.ageMs) + perHopAge;
        if (age >= this->timeout) {
            continue;
        }
        const auto [it, isNew] = this->lastContact.emplace(contact.zone, now - age);
        if (!isNew) {
            it->second = std::max(it->second, now - age);
        }
    }
}

void ZoneContacts::adjustForPause(Duration pause, TimePoint now)
{
    const Duration grace = std::min(graceAfterPause, this->timeout);
    for (auto &[zone, contactedAt] : this->lastContact) {
        const bool wasReachable = now - pause - contactedAt < this->timeout;
        if (wasReachable) {
            contactedAt = std::max(contactedAt, now - this->timeout + grace);
        }
    }
}

std::vector<ZoneContact> ZoneContacts::report(TimePoint now) const
{
    std::vector<ZoneContact> contacts;
    for (const auto &[zone, contactedAt] : this->lastContact) {
        const Duration age = now - contactedAt;
        if (age < this->timeout) {
            ZoneContact contact{ zone, static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()) };
            const auto known = this->health.find(zone);
            if (known != this->health.end() && known->second.healthyAt > known->second.unhealthyAt) {
                contact.healthyAgeMs = static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(now - known->second.healthyAt).count());
            }
            contacts.push_back(contact);
        }
    }
    return contacts;
}

std::vector<ZoneId> ZoneContacts::reachable(TimePoint now) const
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, contactedAt] : this->lastContact) {
        if (now - contactedAt < this->timeout) {
            zones.push_back(zone);
        }
    }
    return zones;
}

} // namespace hornbeam
