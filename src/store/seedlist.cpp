#include "store/seedlist.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
using nlohmann::json;
}

std::vector<Endpoint> parseSeeds(const std::string &text)
{
    std::vector<Endpoint> seeds;
    const json list = json::parse(text, nullptr, false);
    for (size_t i = 0; list.is_array() && i < list.size(); ++i) {
        Endpoint seed;
        if (list[i].is_string() && parseEndpoint(list[i].get<std::string>(), seed) && seed.port != 0) {
            seeds.push_back(seed);
        }
    }
    return seeds;
}

std::string writeSeeds(const std::vector<Endpoint> &seeds)
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
    this->due = clock.now() + (settings.isFirstStart ? settings.firstRead + Duration(jitter(random)) : Duration{ 0 });
}

void SeedList::tick(const std::vector<Endpoint> &live, bool isKeeper)
{
    const TimePoint now = this->clock.now();
    if (this->isBusy || now < this->due) {
        return;
    }
    this->due = now + this->settings.check;
    if (!this->isRead) {
        if (live.empty() || isKeeper) {
            this->read();
        }
        return;
    }
    const auto isLive = [&](const Endpoint &peer) { return peer == this->self || std::find(live.begin(), live.end(), peer) != live.end(); };
    const auto count = static_cast<size_t>(std::count_if(this->named.begin(), this->named.end(), isLive));
    if (isKeeper && count < std::min(this->settings.wanted, live.size() + 1)) {
        this->write(live);
    } else if (live.empty()) {
        this->isRead = false; // others may have started and written meanwhile
    }
}

void SeedList::read()
{
    this->isBusy = true;
    this->api.list(std::string(seedPrefix), [this](const PlatformReply &reply) { this->onRead(reply); });
}

void SeedList::onRead(const PlatformReply &reply)
{
    this->isBusy = false;
    const TimePoint now = this->clock.now();
    if (!reply.isOk() && reply.outcome != PlatformOutcome::NotFound) {
        this->due = now + this->settings.backoff;
        return;
    }
    this->isRead = true; // a kind without objects may not be known to the store
    this->due = now;
    this->version = 0;
    this->named.clear();
    for (const PlatformObject &object : reply.objects) {
        const std::vector<Endpoint> seeds = parseSeeds(object.value);
        if (object.key == this->key) {
            this->version = object.version;
            this->named = seeds;
        }
        for (const Endpoint &seed : seeds) {
            if (!(seed == this->self)) {
                this->onSeed(seed);
            }
        }
    }
    const bool areOthersNamed = std::any_of(this->named.begin(), this->named.end(), [this](const Endpoint &peer) { return !(peer == this->self); });
    if (areOthersNamed) {
        this->due = now + this->settings.backoff; // they are asked first, and may live
    }
}

void SeedList::write(const std::vector<Endpoint> &live)
{
    this->isBusy = true;
    this->named = { this->self };
    for (size_t i = 0; i < live.size() && this->named.size() < this->settings.wanted; ++i) {
        this->named.push_back(live[i]);
    }
    const PutCondition condition = this->version == 0 ? PutCondition::ifAbsent() : PutCondition::ifVersion(this->version);
    this->api.put(this->key, writeSeeds(this->named), condition, [this](const PlatformReply &reply) { this->onWritten(reply); });
}

void SeedList::onWritten(const PlatformReply &reply)
{
    this->isBusy = false;
    if (reply.isOk()) {
        this->version = reply.version;
        return;
    }
    // another instance wrote, or it is not known whether this one did: what stands there is read
    this->isRead = false;
    this->due = this->clock.now() + (reply.outcome == PlatformOutcome::Conflict ? Duration{ 0 } : this->settings.backoff);
}

} // namespace hornbeam
