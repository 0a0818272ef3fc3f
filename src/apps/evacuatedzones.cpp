#include "apps/evacuatedzones.h"

#include "apps/storereadings.h"

#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using Fields = nlohmann::ordered_json;
}

EvacuatedZones::EvacuatedZones(const Clock &clock, LogFunction logEvent) : clock(clock), logEvent(std::move(logEvent))
{
}

size_t EvacuatedZones::apply(const EvacuationUpdate &update, MemberId source)
{
    Fields fields{ { "source", source == 0 ? "store" : "member" }, { "age_ms", ageMillis(update.requestedAt, this->clock.now()) } };
    size_t begun = 0;
    std::map<std::string, Evacuation> kept; // of a snapshot
    for (const EvacuationEntry &entry : update.updated) {
        const auto known = this->evacuations.find(entry.record.name);
        // an object of the same revision in a later era is the same evacuation, which the restored store still has
        const bool isNew = known == this->evacuations.end() || known->second.position.revision != entry.record.position.revision;
        if (isNew) {
            ++begun;
            this->begin(entry.record, fields);
        }
        kept[entry.record.name] = this->evacuations[entry.record.name];
    }
    std::vector<std::string> ended = update.removed;
    for (const auto &[name, evacuation] : this->evacuations) {
        if (update.isSnapshot && !kept.contains(name)) {
            ended.push_back(name);
        }
    }
    for (const std::string &name : ended) {
        this->end(name, fields);
    }
    if (!this->isLoaded) {
        this->isLoaded = true;
        fields["zones"] = this->evacuations.size();
        this->logEvent("evacuations_loaded", fields);
    }
    return begun;
}

void EvacuatedZones::begin(const EvacuationRecord &record, Fields fields)
{
    this->evacuations[record.name] = { record.position, this->clock.now() };
    fields["zone"] = record.name;
    fields["era"] = record.position.era;
    fields["revision"] = record.position.revision;
    this->logEvent("evacuation_begun", fields);
}

void EvacuatedZones::end(const std::string &name, Fields fields)
{
    const auto known = this->evacuations.find(name);
    if (known == this->evacuations.end()) {
        return;
    }
    fields["zone"] = name;
    fields["era"] = known->second.position.era;
    fields["revision"] = known->second.position.revision;
    fields["lasted_ms"] = ageMillis(known->second.appliedAt, this->clock.now());
    this->evacuations.erase(known);
    this->logEvent("evacuation_ended", fields);
}

void EvacuatedZones::logUnknown()
{
    if (!this->isLoaded && !this->isUnknownLogged) {
        this->isUnknownLogged = true;
        this->logEvent("evacuations_unknown", Fields::object());
    }
}

std::set<ZoneId> EvacuatedZones::zones() const
{
    std::set<ZoneId> zones;
    for (const auto &[name, evacuation] : this->evacuations) {
        zones.insert(zoneIdOf(name));
    }
    return zones;
}

} // namespace hornbeam
