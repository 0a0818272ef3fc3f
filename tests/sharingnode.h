#pragma once

// One instance of a SharingNetwork, which records what is reported to the observer of its reader.

#include "fakedirectory.h"
#include "sharedstore.h"
#include "sharing/sharedstorereader.h"
#include "store/objectwatcher.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeam {

struct SharingNode final : StoreObserver
{
    void onTargetUpdate(const TargetUpdate &update, MemberId /*source*/) override
    {
        if (update.isSnapshot) {
            this->targets.clear();
        }
        for (const TargetEntry &entry : update.updated) {
            this->targets[entry.record.name] = entry.record;
        }
        for (const std::string &name : update.removed) {
            this->targets.erase(name);
        }
    }
    void onEvacuationUpdate(const EvacuationUpdate &update, MemberId source) override
    {
        if (update.isSnapshot) {
            this->evacuated.clear();
        }
        for (const EvacuationEntry &entry : update.updated) {
            this->evacuated[entry.record.name] = entry.record.position.revision;
        }
        for (const std::string &name : update.removed) {
            this->evacuated.erase(name);
        }
        this->evacuationSource = source;
    }
    void onConfigurationUpdate(const RouteConfiguration &next, const StorePosition & /*position*/, TimePoint /*requestedAt*/, MemberId source) override
    {
        this->configuration = next;
        this->configurationsFromMembers += source == 0 ? 0 : 1;
    }
    void onConfigurationConfirmed(TimePoint requestedAt) override
    {
        this->configurationConfirmed = std::max(this->configurationConfirmed, requestedAt);
    }
    void onStoreReadNeeded(StoreResource resource) override
    {
        this->watchers[static_cast<size_t>(resource)]->pollNow();
    }
    void onSourceChanged(MemberId /*before*/, MemberId /*source*/, std::string_view reason) override
    {
        this->reasons.emplace_back(reason);
    }

    FakeDirectory directory;
    Counters counters;
    std::unique_ptr<FakeStoreClient> store;
    std::unique_ptr<SharedStoreReader> sharing;
    std::array<std::unique_ptr<ObjectWatcher>, static_cast<size_t>(StoreResource::Count)> watchers;
    std::map<std::string, TargetRecord> targets; // as reported to the observer
    std::map<std::string, uint64_t> evacuated;   // as reported to the observer: revision by zone name
    MemberId evacuationSource = 0;               // of the last update
    bool readsEvacuations = true;                // if the deployment evacuates zones
    RouteConfiguration configuration;
    TimePoint configurationConfirmed; // as reported to the observer
    std::vector<std::string> reasons;
    size_t configurationsFromMembers = 0; // received from other members
    bool isFrozen = false;
    bool isStopped = false;
    size_t largestDatagram = 0;
};

} // namespace hornbeam
