#include "membership/zonecontacts.h"

#include <algorithm>

namespace hornbeam {

namespace {

constexpr Duration hopAge = milliseconds(10);            // added for each hop: more than a datagram takes, or a contact told in circles would never age
constexpr Duration graceAfterPause = milliseconds(2000); // a few probes with members that did not pause

} // namespace

ZoneContacts::ZoneContacts(Duration silence) : silence(silence)
{
}

void ZoneContacts::addDirect(ZoneId zone, TimePoint now)
{
    this->heard[zone] = now;
}

void ZoneContacts::addHealth(ZoneId zone, bool isWell, TimePoint now)
{
    Health &known = this->health[zone];
    (isWell ? known.wellAt : known.hurtAt) = now;
}

void ZoneContacts::addReported(const std::vector<ZoneContact> &contacts, TimePoint now)
{
    for (const ZoneContact &contact : contacts) {
        if (contact.wellAgeMs != neverMs) {
            Health &known = this->health[contact.zone];
            known.wellAt = std::max(known.wellAt, now - milliseconds(contact.wellAgeMs) - hopAge);
        }
        const Duration age = milliseconds(contact.ageMs) + hopAge;
        if (age >= this->silence) {
            continue;
        }
        const auto [at, isNew] = this->heard.emplace(contact.zone, now - age);
        if (!isNew) {
            at->second = std::max(at->second, now - age);
        }
    }
}

void ZoneContacts::delay(Duration pause, TimePoint now)
{
    const Duration grace = std::min(graceAfterPause, this->silence);
    for (auto &[zone, at] : this->heard) {
        const bool wasReachable = now - pause - at < this->silence;
        if (wasReachable) {
            at = std::max(at, now - this->silence + grace);
        }
    }
}

std::vector<ZoneContact> ZoneContacts::report(TimePoint now) const
{
    std::vector<ZoneContact> contacts;
    for (const auto &[zone, at] : this->heard) {
        const Duration age = now - at;
        if (age < this->silence) {
            ZoneContact contact{ zone, static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(age).count()) };
            const auto known = this->health.find(zone);
            if (known != this->health.end() && known->second.wellAt > known->second.hurtAt) {
                contact.wellAgeMs = static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(now - known->second.wellAt).count());
            }
            contacts.push_back(contact);
        }
    }
    return contacts;
}

std::vector<ZoneId> ZoneContacts::reachable(TimePoint now) const
{
    std::vector<ZoneId> zones;
    for (const auto &[zone, at] : this->heard) {
        if (now - at < this->silence) {
            zones.push_back(zone);
        }
    }
    return zones;
}

} // namespace hornbeam
