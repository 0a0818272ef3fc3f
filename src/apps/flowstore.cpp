// Sections: start | store | members | state

#include "apps/flowstore.h"

#include "apps/peerlink.h"
#include "apps/storereadersettings.h"
#include "apps/storereadings.h"
#include "balancing/viewagreement.h"
#include "membership/membership.h"
#include "platform/flowobjects.h"
#include "platform/platformclient.h"
#include "rotation/rotationpolicy.h"
#include "store/objectwatcher.h"
#include "store/seedlist.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace hornbeam {

namespace {

constexpr Duration readNowInterval = seconds(1); // minimum interval between reads that are triggered by packets or members
constexpr Duration memberUpdateInterval = milliseconds(50);
constexpr size_t maxLoggedKinds = 16; // unknown kinds of requests that are remembered, so that each is logged once
constexpr size_t peerWorkers = 1;     // a single event loop owns all state

PlatformClientSettings makePlatformSettings(const DaemonSettings &settings)
{
    PlatformClientSettings store;
    store.endpoint = settings.platform;
    store.callTimeout = makeStoreReaderSettings(*settings.flows).callTimeout;
    store.listTimeout = makeStoreReaderSettings(*settings.flows).listTimeout;
    return store;
}

SeedSettings makeSeedSettings(const FlowServiceSettings &flows)
{
    SeedSettings settings;
    settings.isFirstStart = flows.isFirstStart;
    return settings;
}

// Seeds are known by address only, so member ids are derived from addresses.
MemberId memberIdFor(const Endpoint &peer)
{
    return memberIdOf(toString(peer));
}

MemberRecord makeSelfRecord(const DaemonSettings &settings, const Clock &clock)
{
    MemberRecord self;
    self.peer = { settings.address, settings.peerPort };
    self.id = memberIdFor(self.peer);
    self.zone = zoneIdOf(settings.zone);
    self.incarnation = clock.wallMillis();
    return self;
}

} // namespace

class FlowStore::Impl
{
public:
    Impl(boost::asio::io_context &context, const DaemonSettings &settings, const std::vector<Bytes> &keys, const Clock &clock, uint64_t seed,
         StoreObserver &observer, LogFunction logEvent)
        : clock(clock)
        , observer(observer)
        , logEvent(std::move(logEvent))
        , membership(settings.parts.membership, makeSelfRecord(settings, clock), clock, this->counters, seed)
        , link(
              context, Endpoint{ settings.address, settings.peerPort }, peerWorkers, keys, this->counters,
              [this](const PeerMessage &message) { this->onMessage(message); }, [this](MemberId member) { return this->membership.endpointOf(member); })
        , rotation(RotationSettings{}, zoneIdOf(settings.zone))
        , agreement(AgreementSettings{}, this->membership.self(), clock.now())
        , sharing(makeStoreReaderSettings(*settings.flows).sharing, this->membership, clock, this->counters, observer)
        , client(context, this->counters, makePlatformSettings(settings))
        , targets(
              this->client, clock, seed, std::string(targetPrefix), [this](const ObjectReadResult &read) { this->onTargets(read); },
              makeStoreReaderSettings(*settings.flows).targets)
        , configurations(
              this->client, clock, seed + 1, std::string(configurationPrefix), [this](const ObjectReadResult &read) { this->onConfigurations(read); },
              makeStoreReaderSettings(*settings.flows).configurations)
        , seeds(
              this->client, clock, seed + 2, settings.zone, Endpoint{ settings.address, settings.peerPort },
              [this](const Endpoint &peer) { this->addSeed(peer); }, makeSeedSettings(*settings.flows))
        , hasWarmupBounds(settings.flows->parts.warmupExcess.has_value())
    {
        for (const uint32_t host : settings.flows->seedHosts) {
            this->settingsSeeds.insert(memberIdFor({ host, settings.peerPort }));
            this->addSeed({ host, settings.peerPort });
        }
        this->targets.setFailureCallback([this](const PlatformReply &reply) { this->onFailure(StoreResource::Targets, reply); });
        this->configurations.setFailureCallback([this](const PlatformReply &reply) { this->onFailure(StoreResource::Configuration, reply); });
    }

    //--- Store

    void tick()
    {
        Actions out;
        this->membership.tick(out);
        this->sharing.tick(out);
        this->agreement.tick(this->clock.now(), out);
        this->link.send(out);
        this->updateMembers();
        this->tickWatcher(StoreResource::Targets);
        this->tickWatcher(StoreResource::Configuration);
    }

    void tickWatcher(StoreResource resource)
    {
        ObjectWatcher &watcher = resource == StoreResource::Targets ? this->targets : this->configurations;
        const bool isReader = this->sharing.isReader(resource);
        watcher.tick(isReader);
        bool &wasReader = this->wasReaderOf[static_cast<size_t>(resource)];
        if (isReader != wasReader) {
            wasReader = isReader;
            this->logEvent(isReader ? "store_reading_started" : "store_reading_stopped", this->watcherState(resource));
        }
        const bool isOutdated = this->sharing.isOutdated(resource);
        bool &wasOutdated = this->wasOutdated[static_cast<size_t>(resource)];
        if (isOutdated != wasOutdated) {
            wasOutdated = isOutdated;
            this->logEvent(isOutdated ? "store_data_outdated" : "store_data_current", this->watcherState(resource));
        }
    }

    nlohmann::ordered_json watcherState(StoreResource resource) const
    {
        return describeReading(resource, this->sharing, resource == StoreResource::Targets ? this->targets : this->configurations, this->clock.now());
    }

    void readNow(StoreResource resource)
    {
        TimePoint &last = this->lastReadNow[static_cast<size_t>(resource)];
        const TimePoint now = this->clock.now();
        if (last != TimePoint{} && now - last < readNowInterval) {
            return;
        }
        last = now;
        (resource == StoreResource::Targets ? this->targets : this->configurations).pollNow();
    }

    void onTargets(const ObjectReadResult &read)
    {
        this->recordSuccess(StoreResource::Targets, read);
        std::vector<IgnoredTarget> ignored;
        TargetUpdate update = makeTargetUpdate(read, ignored);
        for (const IgnoredTarget &target : ignored) {
            this->logEvent("target_ignored", { { "target", target.name }, { "revision", target.revision }, { "problem", target.problem } });
        }
        Actions out;
        this->sharing.onStoreTargets(std::move(update), out);
        this->link.send(out);
    }

    void onConfigurations(const ObjectReadResult &read)
    {
        this->recordSuccess(StoreResource::Configuration, read);
        Actions out;
        for (const PlatformObject &object : read.objects) {
            if (object.key != configurationKey || object.isDeleted) {
                continue;
            }
            const ParsedConfiguration configuration = parseConfiguration(object);
            for (const std::string &kind : configuration.unknownKinds) {
                if (this->unknownKinds.size() < maxLoggedKinds && this->unknownKinds.insert(kind).second) {
                    this->logEvent("request_kind_unknown", { { "kind", kind }, { "treated_as", nameOf(RequestKind::NonIdempotent) } });
                }
            }
            if (configuration.configuration.has_value()) {
                this->sharing.onStoreConfiguration(*configuration.configuration, object.version, read.requestedAt, out);
            } else {
                this->sharing.onStoreConfigurationUnusable(object.version);
                this->logEvent("configuration_ignored", { { "revision", object.version }, { "problem", configuration.problem } });
            }
        }
        this->sharing.onStoreConfigurationConfirmed(read.requestedAt);
        this->link.send(out);
    }

    void onFailure(StoreResource resource, const PlatformReply &reply)
    {
        this->isStoreLost[static_cast<size_t>(resource)] = true;
        this->sharing.onStoreFailure();
        this->logEvent("store_lost", { { "reading", nameOf(resource) }, { "outcome", nameOf(reply.outcome) }, { "problem", reply.problem } });
    }

    void recordSuccess(StoreResource resource, const ObjectReadResult &read)
    {
        if (read.unnamedObjects > 0) {
            this->logEvent("entries_ignored", { { "reading", nameOf(resource) }, { "entries", read.unnamedObjects }, { "problem", "the name can't be read" } });
        }
        bool &lost = this->isStoreLost[static_cast<size_t>(resource)];
        if (lost) {
            lost = false;
            this->logEvent("store_regained", { { "reading", nameOf(resource) } });
        }
    }

    //--- Members

    void onMessage(const PeerMessage &message)
    {
        Actions out;
        if (const auto *request = std::get_if<StoreQuery>(&message)) {
            this->membership.addSeed(request->requester.id, request->requester.zone,
                                     request->requester.peer); // makes the sender known, so that a response can be sent
        }
        std::visit(
            [this, &out](const auto &typed) {
                if constexpr (std::is_same_v<std::decay_t<decltype(typed)>, ViewConfirmation>) {
                    this->agreement.onMessage(typed, this->clock.now());
                } else if constexpr (requires { this->membership.onMessage(typed, out); }) {
                    this->membership.onMessage(typed, out);
                } else if constexpr (requires { this->sharing.onMessage(typed, out); }) {
                    this->sharing.onMessage(typed, out);
                } else {
                    this->counters.add(Counter::PeerPacketsRejected); // message type of instances that serve tables
                }
            },
            message);
        this->link.send(out);
    }

    void addSeed(const Endpoint &peer)
    {
        this->membership.addSeed(memberIdFor(peer), unknownZone, peer);
        this->hasSeeds = true;
    }

    SeedContact seedContact() const
    {
        const auto isMet = [this](MemberId seed) { return this->membership.find(seed).has_value(); };
        if (!this->settingsSeeds.empty()) {
            return { this->settingsSeeds.size(), static_cast<size_t>(std::count_if(this->settingsSeeds.begin(), this->settingsSeeds.end(), isMet)) };
        }
        // The seeds in the store may be of instances that have ended long ago: one member of the zone is enough.
        const bool isAlone = this->seeds.hasBeenRead() && !this->hasSeeds;
        const bool knowsOthers = this->membership.eligibleIn(this->membership.self().zone).size() > 1;
        return { 1, isAlone || knowsOthers ? size_t{ 1 } : 0 };
    }

    void updateAgreement(const std::vector<MemberRecord> &members, TimePoint now)
    {
        if (!this->hasWarmupBounds) {
            return;
        }
        this->agreement.setMembers(members, this->seedContact(), now);
        const bool isConfirmed = this->agreement.isConfirmed(now);
        if (this->areSharesNeeded && isConfirmed != this->wasViewConfirmed) {
            this->wasViewConfirmed = isConfirmed;
            this->logEvent(isConfirmed ? "view_confirmed" : "view_unconfirmed",
                           { { "members", this->agreement.holderCount() }, { "quorum", this->agreement.quorum() } });
        }
    }

    void updateSeeds()
    {
        const MemberRecord self = this->membership.self();
        std::vector<Endpoint> live;
        for (const MemberRecord &member : this->membership.eligibleIn(self.zone)) {
            if (member.id != self.id && member.state == MemberState::Alive) {
                live.push_back(member.peer);
            }
        }
        this->seeds.tick(live, this->membership.ownerIn(self.zone, self.zone, 0) == self.id);
    }

    void updateMembers()
    {
        const TimePoint now = this->clock.now();
        if (now < this->nextMemberUpdate) {
            return;
        }
        this->nextMemberUpdate = now + memberUpdateInterval;
        this->updateSeeds();
        const std::vector<MemberRecord> members = this->membership.members();
        this->updateAgreement(members, now);
        this->liveMembers = std::count_if(members.begin(), members.end(), [](const MemberRecord &member) { return isLive(member.state); });
        if (this->rotation.update(members, this->membership.zoneContacts(), now)) {
            this->logEvent(this->rotation.isOutOfRotation() ? "rotation_left" : "rotation_rejoined", { { "members", members.size() } });
        }
        this->membership.setOwnZoneHealth(this->rotation.isZoneHealthy());
    }

    void beginLeave()
    {
        Actions out;
        this->membership.beginLeave(out);
        this->link.send(out);
    }

    void endLeave()
    {
        Actions out;
        this->membership.endLeave(out);
        this->link.send(out);
    }

    //--- State

    std::string metricsText() const
    {
        return this->counters.text() + readingGauges(StoreResource::Targets, this->targets, this->clock.now())
            + readingGauges(StoreResource::Configuration, this->configurations, this->clock.now()) + "hornbeam_members_live "
            + std::to_string(this->liveMembers) + "\nhornbeam_store_reader " + (this->sharing.isReader(StoreResource::Targets) ? "1" : "0")
            + "\nhornbeam_view_confirmed " + (this->agreement.isConfirmed(this->clock.now()) ? "1" : "0") + "\nhornbeam_rotation_aside "
            + (this->rotation.isOutOfRotation() ? "1" : "0") + "\n";
    }

    std::string membersPage() const
    {
        using Json = nlohmann::ordered_json;
        const TimePoint now = this->clock.now();
        Json members = Json::array();
        for (const MemberRecord &member : this->membership.members()) {
            members.push_back({ { "peer", toString(member.peer) },
                                { "zone", member.zone },
                                { "state", nameOf(member.state) },
                                { "incarnation", member.incarnation },
                                { "source", member.id == this->sharing.source() } });
        }
        const TargetView &targetView = this->sharing.targetView();
        const ConfigurationView &configurationView = this->sharing.configurationView();
        const Json page{ { "self", toString(this->membership.self().peer) },
                         { "reads_targets", this->sharing.isReader(StoreResource::Targets) },
                         { "reads_configuration", this->sharing.isReader(StoreResource::Configuration) },
                         { "targets", { { "revision", targetView.revision() }, { "age_ms", ageMillis(targetView.confirmedAt(), now) } } },
                         { "configuration", { { "revision", configurationView.revision() }, { "age_ms", ageMillis(configurationView.confirmedAt(), now) } } },
                         { "store_calls", Json::array({ this->watcherState(StoreResource::Targets), this->watcherState(StoreResource::Configuration) }) },
                         { "members", std::move(members) } };
        return page.dump(2) + "\n";
    }

    const Clock &clock;
    StoreObserver &observer;
    LogFunction logEvent;
    Counters counters;
    Membership membership;
    PeerLink link;
    RotationPolicy rotation;
    ViewAgreement agreement;
    SharedStoreReader sharing;
    PlatformClient client;
    ObjectWatcher targets;
    ObjectWatcher configurations;
    SeedList seeds;
    std::array<bool, static_cast<size_t>(StoreResource::Count)> isStoreLost{};
    std::array<TimePoint, static_cast<size_t>(StoreResource::Count)> lastReadNow{};
    std::array<bool, static_cast<size_t>(StoreResource::Count)> wasReaderOf{}; // as of the last tick
    std::array<bool, static_cast<size_t>(StoreResource::Count)> wasOutdated{ true, true };
    std::set<std::string> unknownKinds; // logged
    const bool hasWarmupBounds;
    std::set<MemberId> settingsSeeds;
    bool hasSeeds = false; // the settings or the store name other instances
    bool areSharesNeeded = false;
    bool wasViewConfirmed = false; // when last logged
    size_t liveMembers = 1;        // of all zones, including this instance
    TimePoint nextMemberUpdate;
};

//--- FlowStore

FlowStore::FlowStore(boost::asio::io_context &context, const DaemonSettings &settings, const std::vector<Bytes> &keys, const Clock &clock, uint64_t seed,
                     StoreObserver &observer, LogFunction logEvent)
    : impl(std::make_unique<Impl>(context, settings, keys, clock, seed, observer, std::move(logEvent)))
{
}

FlowStore::~FlowStore() = default;

const std::string &FlowStore::error() const
{
    return this->impl->link.error();
}

void FlowStore::beginReceive()
{
    this->impl->link.beginReceive();
}

void FlowStore::tick()
{
    this->impl->tick();
}

void FlowStore::readNow(StoreResource resource)
{
    this->impl->readNow(resource);
}

void FlowStore::setUrgent(bool isUrgent)
{
    this->impl->targets.setUrgent(isUrgent);
}

void FlowStore::setEndpoint(const Endpoint &endpoint)
{
    this->impl->client.setEndpoint(endpoint);
}

void FlowStore::updateKeys(const std::vector<Bytes> &keys)
{
    this->impl->link.updateKeys(keys);
}

void FlowStore::beginLeave()
{
    this->impl->beginLeave();
}

void FlowStore::endLeave()
{
    this->impl->endLeave();
}

bool FlowStore::isOutOfRotation() const
{
    return this->impl->rotation.isOutOfRotation();
}

void FlowStore::setSharesNeeded(bool isNeeded)
{
    this->impl->areSharesNeeded = isNeeded;
    this->impl->agreement.setNeeded(isNeeded);
}

const BudgetShares &FlowStore::budgetShares() const
{
    return this->impl->agreement;
}

size_t FlowStore::liveInstances() const
{
    return this->impl->liveMembers;
}

std::string FlowStore::metricsText() const
{
    return this->impl->metricsText();
}

std::string FlowStore::membersPage() const
{
    return this->impl->membersPage();
}

} // namespace hornbeam
