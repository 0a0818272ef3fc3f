#pragma once

// An in-memory store that the instances of a zone share, and an instance's client of it, on a manual clock.

#include "apps/storereadersettings.h"
#include "platform/flowobjects.h"

#include <map>
#include <string>
#include <vector>

namespace hornbeam {

constexpr std::string_view targetKeyPrefix = "targets/";
constexpr std::string_view configurationKeyPrefix = "configurations/";

/** Contents of the store, and the time at which each change was acknowledged. */
struct SharedStore
{
    struct Change
    {
        uint64_t revision = 0;
        TimePoint at;
        std::string_view prefix; // of the object's key
        std::string name;
        bool isRemoved = false;
        RouteConfiguration configuration;
    };

    uint64_t era = 1;
    uint64_t revision = 10;
    std::map<std::string, std::pair<TargetRecord, uint64_t>> targets;
    RouteConfiguration configuration;
    uint64_t configurationRevision = 0;
    bool isConfigurationUsable = true;           // whether instances can parse it
    std::map<std::string, uint64_t> evacuations; // revision by zone name
    uint64_t historyStart = 0;                   // watches from an earlier revision are refused
    std::vector<Change> changes;

    /** Restores the store from an earlier copy of it. */
    void restore(const SharedStore &backup)
    {
        const uint64_t nextEra = this->era + 1;
        *this = backup;
        this->era = nextEra;
    }
    void put(const TargetRecord &record, TimePoint now)
    {
        ++this->revision;
        this->targets[record.name] = { record, this->revision };
        this->changes.push_back({ this->revision, now, targetKeyPrefix, record.name, false, {} });
    }
    void remove(const std::string &name, TimePoint now)
    {
        ++this->revision;
        this->targets.erase(name);
        this->changes.push_back({ this->revision, now, targetKeyPrefix, name, true, {} });
    }
    void evacuate(const std::string &zone, TimePoint now)
    {
        ++this->revision;
        this->evacuations[zone] = this->revision;
        this->changes.push_back({ this->revision, now, evacuationPrefix, zone, false, {} });
    }
    void endEvacuation(const std::string &zone, TimePoint now)
    {
        ++this->revision;
        this->evacuations.erase(zone);
        this->changes.push_back({ this->revision, now, evacuationPrefix, zone, true, {} });
    }
    void configure(const RouteConfiguration &next, TimePoint now)
    {
        ++this->revision;
        this->configuration = next;
        this->configurationRevision = this->revision;
        this->isConfigurationUsable = true;
        this->changes.push_back({ this->revision, now, configurationKeyPrefix, "", false, next });
    }
};

/** One instance's client of the store. */
class FakeStoreClient final : public PlatformApi
{
public:
    enum class State : uint8_t {
        Good,
        Refusing, // every call fails immediately
        Silent,   // calls time out without a response
    };

    FakeStoreClient(const SharedStore &store, const Clock &clock, const StoreReaderSettings &timeouts, const Duration &latency)
        : store(store), clock(clock), callTimeout(timeouts.callTimeout), listTimeout(timeouts.listTimeout), latency(latency)
    {
    }

    void get(const std::string &, PlatformCallback) override
    {
    }
    void put(const std::string &, const std::string &, const PutCondition &, PlatformCallback) override
    {
    }
    void instances(PlatformCallback) override
    {
    }
    void list(const std::string &prefix, PlatformCallback done) override
    {
        ++this->calls;
        this->configurationLists += prefix == configurationKeyPrefix ? 1 : 0;
        this->evacuationCalls += prefix == evacuationPrefix ? 1 : 0;
        this->waiting.push_back({ prefix, 0, true, this->clock.now(), Duration{ 0 }, std::move(done), this->stateOf(prefix), this->store.era });
    }
    void watch(const std::string &prefix, uint64_t after, Duration timeout, PlatformCallback done) override
    {
        ++this->calls;
        this->evacuationCalls += prefix == evacuationPrefix ? 1 : 0;
        this->waiting.push_back({ prefix, after, false, this->clock.now(), timeout, std::move(done), this->stateOf(prefix), this->store.era });
    }

    /** Completes the calls that are due. */
    void tick()
    {
        this->receive();
        std::vector<ReceivedReply> replies;
        replies.swap(this->received);
        for (const ReceivedReply &reply : replies) {
            reply.done(reply.reply);
        }
    }
    /** Sends the responses that are due. A frozen process finds them when it resumes. */
    void receive()
    {
        std::erase_if(this->waiting, [&](Call &call) {
            const bool isDue = this->isDue(call);
            if (isDue) {
                this->received.push_back({ this->replyTo(call), std::move(call.done) });
            }
            return isDue;
        });
    }
    /** Discards pending calls, as when the process ends. */
    void abandonCalls()
    {
        this->waiting.clear();
        this->received.clear();
    }
    void setState(State next)
    {
        this->state = next;
        for (Call &call : this->waiting) {
            call.state = next == State::Good ? call.state : next; // a connection that has gone silent does not recover
        }
    }

    size_t calls = 0;
    size_t configurationLists = 0;
    size_t evacuationCalls = 0;
    std::string_view failingPrefix; // calls for it fail immediately

private:
    struct Call
    {
        std::string prefix;
        uint64_t after = 0;
        bool isList = false;
        TimePoint begun;
        Duration timeout;
        PlatformCallback done;
        State state;
        uint64_t era = 0; // of the store when it began
    };

    struct ReceivedReply
    {
        PlatformReply reply;
        PlatformCallback done;
    };

    State stateOf(const std::string &prefix) const
    {
        return prefix == this->failingPrefix ? State::Refusing : this->state;
    }
    bool isDue(const Call &call) const
    {
        const Duration waited = this->clock.now() - call.begun;
        if (call.state == State::Silent) {
            return waited >= (call.isList ? this->listTimeout : call.timeout + this->callTimeout);
        }
        const bool isImmediate = call.isList || call.state == State::Refusing || this->isHistoryGone(call);
        return waited >= latency && (isImmediate || waited >= call.timeout || !this->changesOf(call).empty());
    }
    bool isHistoryGone(const Call &call) const
    {
        return call.after < this->store.historyStart || call.after > this->store.revision || call.era != this->store.era;
    }
    std::vector<PlatformObject> changesOf(const Call &call) const
    {
        std::vector<PlatformObject> objects;
        for (const SharedStore::Change &change : this->store.changes) {
            if (change.prefix == call.prefix && change.revision > call.after) {
                objects.push_back({ call.prefix + change.name, change.revision, "", change.isRemoved, nullptr });
            }
        }
        return objects;
    }
    PlatformReply replyTo(const Call &call) const
    {
        PlatformReply reply;
        if (call.state != State::Good) {
            return reply;
        }
        reply.era = this->store.era;
        if (!call.isList && this->isHistoryGone(call)) {
            reply.outcome = PlatformOutcome::HistoryGone;
            return reply;
        }
        reply.outcome = PlatformOutcome::Ok;
        reply.revision = this->store.revision;
        if (!call.isList) {
            reply.objects = this->changesOf(call);
        } else if (call.prefix == targetKeyPrefix) {
            for (const auto &[name, target] : this->store.targets) {
                reply.objects.push_back({ call.prefix + name, target.second, "", false, nullptr });
            }
        } else if (call.prefix == evacuationPrefix) {
            for (const auto &[zone, revision] : this->store.evacuations) {
                reply.objects.push_back({ call.prefix + zone, revision, "", false, nullptr });
            }
        } else if (this->store.configurationRevision != 0) {
            reply.objects.push_back({ call.prefix, this->store.configurationRevision, "", false, nullptr });
        }
        return reply;
    }

    const SharedStore &store;
    const Clock &clock;
    const Duration callTimeout;
    const Duration listTimeout;
    const Duration &latency; // of a response
    State state = State::Good;
    std::vector<Call> waiting;
    std::vector<ReceivedReply> received;
};

} // namespace hornbeam
