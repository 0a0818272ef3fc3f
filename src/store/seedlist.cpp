#include "store/seedlist.h"

#include "core/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using nlohmann::json;
}

std::vector<Endpoint> parseSeeds(const std::string &text)
{
    std::vector<Endpoint> seeds;
    const json list = parseJson(text);
    for (size_t i = 0; list.is_array() && i < list.size(); ++i) {
        Endpoint seed;
        if (list[i].is_string() && parseEndpoint(list[i].get<std::string>(), seed) && seed.port != 0) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

std::string serializeSeeds(const std::vector<Endpoint> &seeds)
{
    json list = json::array();
    for (const Endpoint &seed : seeds) {
        list.push_back(toString(seed));
    }
    return list.dump();
}

SeedList::SeedList(PlatformApi &api, const Clock &clock, uint64_t seed, const std::string &zone, const Endpoint &self, SeedCallback onSeed,
                   const SeedSettings &settings)
    : api(api), clock(clock), key(std::string(seedPrefix) + zone), self(self), onSeed(std::move(onSeed)), settings(settings)
{
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
    std::uniform_int_distribution<Duration::rep> jitter(0, settings.jitter.count());
    this->nextCallAt = clock.now() + (settings.isFirstStart ? settings.initialReadDelay + Duration(jitter(random)) : Duration{ 0 });
}

void SeedList::tick(const std::vector<Endpoint> &live, bool isKeeper)
{
    const TimePoint now = this->clock.now();
    if (this->isCallPending || now < this->nextCallAt) {
        return;
    }
    this->nextCallAt = now + this->settings.checkInterval;
    if (!this->isRead) {
        if (live.empty() || isKeeper) {
            this->read();
        }
        return;
    }
    const auto isLive = [&](const Endpoint &peer) { return peer == this->self || std::find(live.begin(), live.end(), peer) != live.end(); };
    const auto count = static_cast<size_t>(std::count_if(this->listedSeeds.begin(), this->listedSeeds.end(), isLive));
    if (isKeeper && count < std::min(this->settings.seedsPerZone, live.size() + 1)) {
        this->write(live);
    } else if (live.empty()) {
        this->isRead = false; // other instances may have started and written meanwhile
    }
}

bool SeedList::hasBeenRead() const
{
    return this->wasRead;
}

void SeedList::read()
{
    this->isCallPending = true;
    this->api.list(std::string(seedPrefix), [this](const PlatformReply &reply) { this->onRead(reply); });
}

void SeedList::onRead(const PlatformReply &reply)
{
    this->isCallPending = false;
    const TimePoint now = this->clock.now();
    if (!reply.isOk() && reply.outcome != PlatformOutcome::NotFound) {
        this->nextCallAt = now + this->settings.retryDelay;
        return;
    }
    this->wasRead = true;
    this->isRead = true; // NotFound counts as empty: the store may not know a prefix without objects
    this->nextCallAt = now;
    this->version = 0;
    this->listedSeeds.clear();
    for (const PlatformObject &object : reply.objects) {
        const std::vector<Endpoint> seeds = parseSeeds(object.value);
        if (object.key == this->key) {
            this->version = object.version;
            this->listedSeeds = seeds;
        }
        for (const Endpoint &seed : seeds) {
            if (!(seed == this->self)) {
                this->onSeed(seed);
            }
        }
    }
    const bool areOthersNamed = std::any_of(this->listedSeeds.begin(), this->listedSeeds.end(), [this](const Endpoint &peer) { return !(peer == this->self); });
    if (areOthersNamed) {
        this->nextCallAt = now + this->settings.retryDelay; // the listed instances are contacted first and may be live
    }
}

void SeedList::write(const std::vector<Endpoint> &live)
{
    this->isCallPending = true;
    this->listedSeeds = { this->self };
    for (size_t i = 0; i < live.size() && this->listedSeeds.size() < this->settings.seedsPerZone; ++i) {
        this->listedSeeds.push_back(live[i]);
    }
    const PutCondition condition = this->version == 0 ? PutCondition::ifAbsent() : PutCondition::ifVersion(this->version);
    this->api.put(this->key, serializeSeeds(this->listedSeeds), condition, [this](const PlatformReply &reply) { this->onWritten(reply); });
}

void SeedList::onWritten(const PlatformReply &reply)
{
    this->isCallPending = false;
    if (reply.isOk()) {
        this->version = reply.version;
        return;
    }
    // Another instance wrote, or the outcome of this write is unknown: read the current object.
    this->isRead = false;
    this->nextCallAt = this->clock.now() + (reply.outcome == PlatformOutcome::Conflict ? Duration{ 0 } : this->settings.retryDelay);
}

} // namespace hornbeam
