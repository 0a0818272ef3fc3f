#pragma once

// One reading of the store for the instances of a zone. The member that comes first by rendezvous hashing reads the store; the others ask it, and the
// next ones when it is silent or out of date, and read the store themselves when what they know grows old. Whoever is asked reads the store, so that news
// never goes through two members.
//
// Ages: an answer says how long the member held the question and how old its knowledge is. Counted from when the question was sent, that is a bound which
// no delay of the answer, of the member or of this process can break.
//
// Sections: interfaces | shared reading

#include "core/counters.h"
#include "peer/actions.h"
#include "peer/directory.h"
#include "sharing/configurationview.h"
#include "sharing/sharingsettings.h"
#include "sharing/targetview.h"

#include <map>

namespace hornbeam {

//--- Interfaces

enum class StoreResource : uint8_t {
    Targets,
    Configuration,
    Count,
};

std::string_view nameOf(StoreResource part);

/** Acts on what the store says, whoever told it. Must not call back. */
class StoreObserver
{
public:
    virtual ~StoreObserver() = default;
    /** What is new about the targets; may be a confirmation only. `source` is the member that told it, 0 for the store itself. */
    virtual void onTargetUpdate(const TargetUpdate &news, MemberId source) = 0;
    /** A configuration newer than all before. */
    virtual void onConfigurationUpdate(const RouteConfiguration &configuration, uint64_t revision, MemberId source) = 0;
    /** The store was asked at `asked` and named no newer configuration. */
    virtual void onConfigurationConfirmed(TimePoint requestedAt) = 0;
    /** Something can't be learnt from members: the store has to be read once. */
    virtual void onStoreReadNeeded(StoreResource part) = 0;
    /** The member asked for news is another one; 0 for the store itself. */
    virtual void onSourceChanged(MemberId before, MemberId source, std::string_view reason) = 0;
};

//--- Shared reading

/** Not thread safe: one event loop owns it. */
class SharedStoreReader
{
public:
    /** Precondition: the members, the clock, the counters and the observer outlive this object. */
    SharedStoreReader(const SharingSettings &settings, const MemberDirectory &members, const Clock &clock, Counters &counters, StoreObserver &observer);

    /** Takes an answer of the store about the targets. */
    void onStoreTargets(TargetUpdate news, Actions &out);
    /** Takes a configuration that the store named. */
    void onStoreConfiguration(const RouteConfiguration &configuration, uint64_t revision, Actions &out);
    /** The store refused a call or did not answer. */
    void onStoreFailure();
    /** The store, asked at `asked`, named no other configuration than those taken. */
    void onStoreConfigurationConfirmed(TimePoint requestedAt);

    /** Answers a member's question, or keeps it until there is news. */
    void onMessage(const StoreAsk &request, Actions &out);
    /** Takes a member's answer to a question of this process. */
    void onMessage(const StoreNews &news, Actions &out);
    /** Asks, gives up, answers what has waited. Call it about each 20 ms. */
    void tick(Actions &out);

    /** Whether this instance has to follow a part of the store by itself now. */
    bool isReader(StoreResource part) const;
    /** The member asked for news; 0 while the store is read. */
    MemberId source() const;
    const TargetView &targetView() const;
    const ConfigurationView &configurationView() const;

private:
    struct PendingRequest
    {
        uint64_t sequence = 0; // 0 for none
        TimePoint sentAt;
    };
    struct HeldRequest
    {
        StoreAsk request;
        TimePoint arrived;
    };

    MemberId chooseSource(TimePoint now) const;
    void changeSource(MemberId next, std::string_view reason);
    void suspendSource(MemberId member, std::string_view reason, TimePoint now);
    void sendRequest(TimePoint now, Actions &out);
    bool hasUpdatesFor(const StoreAsk &request) const;
    void answer(const HeldRequest &held, TimePoint now, Actions &out);
    void answerHeldRequests(Actions &out);
    void applyTargets(const StoreNews &news, TimePoint arrived, TimePoint now);
    void applyConfiguration(const StoreNews &news, TimePoint arrived);
    bool isOutdated(StoreResource part, TimePoint now) const;
    bool isLoaded() const;

    const SharingSettings settings;
    const MemberDirectory &members;
    const Clock &clock;
    Counters &counters;
    StoreObserver &observer;
    TargetView targets;
    ConfigurationView configurations;

    const TimePoint startedAt;
    MemberId currentSource = 0; // the member that is asked for news
    PendingRequest pendingRequest;
    TimePoint nextRequestAt;
    uint64_t nextSequence = 1;
    std::map<MemberId, TimePoint> suspendedUntil;
    std::map<MemberId, HeldRequest> heldRequests; // by asker
    TimePoint lastRequestReceivedAt;              // when a member last put a question
    bool hasStoreFailed = false;                  // since the start
    TimePoint loadedAt;                           // when everything was first known
    TimePoint nextExpiry;
};

} // namespace hornbeam
