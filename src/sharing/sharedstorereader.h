#pragma once

// Shares store reads between the instances of a zone. The member ranked first by rendezvous hashing reads the store. The others use it as their source,
// fall back to the next ranked members when it is silent or outdated, and read the store themselves when their data gets too old. A member that receives
// requests reads the store, so that updates never pass through more than one member.
//
// Ages: a response states how long the member held the request and how old its data is. Measured from the time the request was sent, this is an upper
// bound on the age, which holds regardless of delays of the response, of the member or of this process.
//
// Sections: interfaces | shared store reader

#include "core/counters.h"
#include "peer/actions.h"
#include "peer/directory.h"
#include "sharing/configurationview.h"
#include "sharing/entryview.h"
#include "sharing/sharingsettings.h"

#include <array>
#include <map>

namespace hornbeam {

//--- Interfaces

enum class StoreResource : uint8_t {
    Targets,
    Configuration,
    Evacuations, // read only if SharingSettings::readsEvacuations is set
    Count,
};

constexpr std::array<StoreResource, static_cast<size_t>(StoreResource::Count)> storeResources{ StoreResource::Targets, StoreResource::Configuration,
                                                                                               StoreResource::Evacuations };

std::string_view nameOf(StoreResource resource);

/** Receives store updates, whether they come from the store or from a member. Must not call back into the reader. */
class StoreObserver
{
public:
    virtual ~StoreObserver() = default;
    /** New target data; without changes it only confirms the current state. `source` is the member that sent it, 0 for the store itself. */
    virtual void onTargetUpdate(const TargetUpdate &update, MemberId source) = 0;
    /** New evacuations; without changes it only confirms the current ones. `source` as above. */
    virtual void onEvacuationUpdate(const EvacuationUpdate &update, MemberId source) = 0;
    /** A configuration newer than all previous ones, returned by the store to a request begun at `requestedAt` or later. After the store was restored from a
     * backup its version may be lower. */
    virtual void onConfigurationUpdate(const RouteConfiguration &configuration, const StorePosition &position, TimePoint requestedAt, MemberId source) = 0;
    /** A store request begun at `requestedAt` returned no newer configuration, usable or not. */
    virtual void onConfigurationConfirmed(TimePoint requestedAt) = 0;
    /** Members can't provide the missing data: the store has to be read once. */
    virtual void onStoreReadNeeded(StoreResource resource) = 0;
    /** The source of updates changed; 0 stands for the store itself. */
    virtual void onSourceChanged(MemberId before, MemberId source, std::string_view reason) = 0;
};

//--- Shared store reader

/** Not thread safe: one event loop owns it. */
class SharedStoreReader
{
public:
    /** Precondition: the members, the clock, the counters and the observer outlive this object. */
    SharedStoreReader(const SharingSettings &settings, const MemberDirectory &members, const Clock &clock, Counters &counters, StoreObserver &observer);

    /** Handles a target update from the store. */
    void onStoreTargets(TargetUpdate update, Actions &out);
    /** Handles an update of the evacuations from the store. */
    void onStoreEvacuations(EvacuationUpdate update, Actions &out);
    /** Handles a configuration from the store's response to a request begun at `requestedAt`. */
    void onStoreConfiguration(const RouteConfiguration &configuration, const StorePosition &position, TimePoint requestedAt, Actions &out);
    /** Records that a store call failed or timed out. */
    void onStoreFailure();
    /** Records that the store holds a configuration that can't be parsed. The one in force isn't confirmed until a newer one is parsed. */
    void onStoreConfigurationUnusable(const StorePosition &position);
    /** Records that a store request begun at `requestedAt` returned no configuration other than those already handled. */
    void onStoreConfigurationConfirmed(TimePoint requestedAt);

    /** Answers a member's request, or holds it until there are updates. */
    void onMessage(StoreQuery request, Actions &out);
    /** Handles a member's response to a request of this process. */
    void onMessage(StoreResponse response, Actions &out);
    /** Sends requests, times them out, and answers held requests. Call it about every 20 ms. */
    void tick(Actions &out);

    /** Whether the deployment uses the resource. */
    bool isRead(StoreResource resource) const;
    /** Whether this instance currently has to watch the resource in the store itself. */
    bool isReader(StoreResource resource) const;
    /** Whether the data of the resource is so old, or has not been loaded, that this instance has to read it from the store itself. */
    bool isOutdated(StoreResource resource) const;
    /** The member used as the source of updates; 0 while the store is read directly. */
    MemberId source() const;
    const ResourceView &view(StoreResource resource) const;
    const TargetView &targetView() const;
    const ConfigurationView &configurationView() const;
    const EvacuationView &evacuationView() const;

private:
    struct PendingRequest
    {
        uint64_t sequence = 0; // 0: no request is pending
        TimePoint sentAt;
    };
    struct HeldRequest
    {
        StoreQuery request;
        TimePoint arrived;
    };

    MemberId chooseSource(TimePoint now) const;
    void changeSource(MemberId next, std::string_view reason);
    void suspendSource(MemberId member, std::string_view reason, TimePoint now);
    void sendRequest(TimePoint now, Actions &out);
    bool hasUpdatesFor(const StoreQuery &request) const;
    void sendResponse(const HeldRequest &held, TimePoint now, Actions &out);
    void answerHeldRequests(Actions &out);
    void notify(const TargetUpdate &update, MemberId source);
    void notify(const EvacuationUpdate &update, MemberId source);
    template<typename Record>
    void applyFromStore(StoreResource resource, EntryView<Record> &view, EntryUpdate<Record> update, Actions &out);
    void assumeEras(StoreResponse &response) const;
    template<typename Record>
    void applyFromMember(EntryView<Record> &view, const typename EntryView<Record>::Changes &changes, MemberId sender, TimePoint arrived);
    void applyConfiguration(const StoreResponse &response, TimePoint arrived);
    void confirmConfiguration(const StorePosition &position, TimePoint requestedAt);
    bool isOutdated(StoreResource resource, TimePoint now) const;
    bool isAnyOutdated(TimePoint now) const;
    bool isLoaded() const;

    const SharingSettings settings;
    const MemberDirectory &members;
    const Clock &clock;
    Counters &counters;
    StoreObserver &observer;
    TargetView targets;
    ConfigurationView configurations;
    EvacuationView evacuations;
    StorePosition unusable; // of the newest configuration that can't be parsed, by this instance or by its source

    const TimePoint startedAt;
    MemberId currentSource = 0;              // 0: the store
    bool isSourceWithoutEvacuations = false; // it runs without the setting or has not read them yet
    PendingRequest pendingRequest;
    TimePoint nextRequestAt;
    uint64_t nextSequence = 1;
    std::map<MemberId, TimePoint> suspendedUntil;
    std::map<MemberId, HeldRequest> heldRequests; // by requesting member
    TimePoint lastRequestReceivedAt;              // from any member
    bool hasStoreFailed = false;                  // since startup
    TimePoint loadedAt;                           // when the initial load was complete
    TimePoint nextExpiry;
};

} // namespace hornbeam
