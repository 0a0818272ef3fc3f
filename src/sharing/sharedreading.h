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

enum class StorePart : uint8_t {
    Targets,
    Configuration,
    Count,
};

std::string_view nameOf(StorePart part);

/** Acts on what the store says, whoever told it. Must not call back. */
class StoreObserver
{
public:
    virtual ~StoreObserver() = default;
    /** What is new about the targets; may be a confirmation only. `source` is the member that told it, 0 for the store itself. */
    virtual void onTargetNews(const TargetNews &news, MemberId source) = 0;
    /** A configuration newer than all before. */
    virtual void onConfigurationNews(const RouteConfiguration &configuration, uint64_t revision, MemberId source) = 0;
    /** The store was asked at `asked` and named no newer configuration. */
    virtual void onConfigurationConfirmed(TimePoint asked) = 0;
    /** Something can't be learnt from members: the store has to be read once. */
    virtual void onReadingWanted(StorePart part) = 0;
    /** The member asked for news is another one; 0 for the store itself. */
    virtual void onSourceChanged(MemberId before, MemberId source, std::string_view reason) = 0;
};

//--- Shared reading

/** Not thread safe: one event loop owns it. */
class SharedReading
{
public:
    /** Precondition: the members, the clock, the counters and the observer outlive this object. */
    SharedReading(const SharingSettings &settings, const MemberDirectory &members, const Clock &clock, Counters &counters, StoreObserver &observer);

    /** Takes an answer of the store about the targets. */
    void onStoreTargets(TargetNews news, Actions &out);
    /** Takes a configuration that the store named. */
    void onStoreConfiguration(const RouteConfiguration &configuration, uint64_t revision, Actions &out);
    /** The store refused a call or did not answer. */
    void onStoreFailure();
    /** The store, asked at `asked`, named no other configuration than those taken. */
    void onStoreConfigurationConfirmed(TimePoint asked);

    /** Answers a member's question, or keeps it until there is news. */
    void onMessage(const StoreAsk &ask, Actions &out);
    /** Takes a member's answer to a question of this process. */
    void onMessage(const StoreNews &news, Actions &out);
    /** Asks, gives up, answers what has waited. Call it about each 20 ms. */
    void tick(Actions &out);

    /** Whether this instance has to follow a part of the store by itself now. */
    bool isReader(StorePart part) const;
    /** The member asked for news; 0 while the store is read. */
    MemberId source() const;
    const TargetView &targetView() const;
    const ConfigurationView &configurationView() const;

private:
    struct Question
    {
        uint64_t sequence = 0; // 0 for none
        TimePoint sentAt;
    };
    struct Waiting
    {
        StoreAsk ask;
        TimePoint arrived;
    };

    MemberId chooseSource(TimePoint now) const;
    void changeSource(MemberId next, std::string_view reason);
    void distrust(MemberId member, std::string_view reason, TimePoint now);
    void ask(TimePoint now, Actions &out);
    bool hasNewsFor(const StoreAsk &ask) const;
    void answer(const Waiting &waiting, TimePoint now, Actions &out);
    void answerWaiting(Actions &out);
    void takeTargets(const StoreNews &news, TimePoint arrived, TimePoint now);
    void takeConfiguration(const StoreNews &news, TimePoint arrived);
    bool isOutdated(StorePart part, TimePoint now) const;
    bool isLoaded() const;

    const SharingSettings settings;
    const MemberDirectory &members;
    const Clock &clock;
    Counters &counters;
    StoreObserver &observer;
    TargetView targets;
    ConfigurationView configurations;

    const TimePoint startedAt;
    MemberId asked = 0; // the member that is asked for news
    Question question;
    TimePoint nextAsk;
    uint64_t nextSequence = 1;
    std::map<MemberId, TimePoint> distrustedUntil;
    std::map<MemberId, Waiting> waiting; // by asker
    TimePoint lastAskedBy;               // when a member last put a question
    bool hasStoreFailed = false;         // since the start
    TimePoint loadedAt;                  // when everything was first known
    TimePoint nextExpiry;
};

} // namespace hornbeam
