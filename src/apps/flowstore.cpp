// Sections: start | store | members | state

#include "apps/flowstore.h"

#include "apps/overloadrotation.h"
#include "apps/peerlink.h"
#include "apps/resourcereading.h"
#include "apps/storereadersettings.h"
#include "apps/storereadings.h"
#include "balancing/answerqueries.h"
#include "balancing/loadreports.h"
#include "balancing/memberbudgetshares.h"
#include "balancing/zoneloads.h"
#include "membership/membership.h"
#include "platform/flowobjects.h"
#include "platform/platformclient.h"
#include "rotation/rotationpolicy.h"
#include "store/seedlist.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace hornbeam {

namespace {

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
        , overload(*settings.flows, this->membership.self(), clock, this->counters, this->logEvent)
        , warmupShares(BudgetShareSettings{}, this->membership.self(), clock.now())
        , sharing(makeStoreReaderSettings(*settings.flows).sharing, this->membership, clock, this->counters, observer)
        , loadReports(settings.flows->parts.reports, this->membership, clock)
        , zoneLoads(makeZoneLoadSettings(*settings.flows), this->membership, clock, seed + 3)
        , answerQueries(AnswerQuerySettings{}, this->membership, clock)
        , client(context, this->counters, makePlatformSettings(settings))
        , seeds(
              this->client, clock, seed + 2, settings.zone, Endpoint{ settings.address, settings.peerPort },
              [this](const Endpoint &peer) { this->addSeed(peer); }, SeedSettings{ .isFirstStart = settings.flows->isFirstStart })
        , hasWarmupBounds(settings.flows->parts.warmupExcess.has_value())
    {
        for (const uint32_t host : settings.flows->seedHosts) {
            this->settingsSeeds.insert(memberIdFor({ host, settings.peerPort }));
            this->addSeed({ host, settings.peerPort });
        }
        const StoreReaderSettings reading = makeStoreReaderSettings(*settings.flows);
        this->addReading(StoreResource::Targets, targetPrefix, reading.targets, seed, [this](const ObjectReadResult &read) { this->onTargets(read); });
        this->addReading(StoreResource::Configuration, configurationPrefix, reading.configurations, seed + 1,
                         [this](const ObjectReadResult &read) { this->onConfigurations(read); });
        this->addReading(StoreResource::Evacuations, evacuationPrefix, reading.evacuations, seed + 3,
                         [this](const ObjectReadResult &read) { this->onEvacuations(read); });
    }

    void addReading(StoreResource resource, std::string_view prefix, const WatcherSettings &settings, uint64_t seed, ObjectWatcher::ObjectsCallback onObjects)
    {
        if (this->sharing.isRead(resource)) {
            const ReadingContext reading{ this->client, this->clock, this->sharing, this->logEvent };
            this->readings[resource] = std::make_unique<ResourceReading>(reading, resource, prefix, settings, seed, std::move(onObjects));
        }
    }

    //--- Store

    void tick(const LoadSample &load)
    {
        this->overload.addSample(load);
        Actions out;
        this->membership.tick(out);
        this->sharing.tick(out);
        this->loadReports.tick(this->ownLoad, out);
        this->zoneLoads.tick(out);
        this->answerQueries.tick(out);
        this->link.send(out);
        this->updateMembers();
        for (const auto &[resource, reading] : this->readings) {
            reading->tick();
        }
    }

    void onTargets(const ObjectReadResult &read)
    {
        std::vector<IgnoredEntry> ignored;
        TargetUpdate update = makeTargetUpdate(read, ignored);
        this->logIgnored("target_ignored", "target", ignored);
        Actions out;
        this->sharing.onStoreTargets(std::move(update), out);
        this->link.send(out);
    }

    void onEvacuations(const ObjectReadResult &read)
    {
        std::vector<IgnoredEntry> ignored;
        EvacuationUpdate update = makeEvacuationUpdate(read, ignored);
        this->logIgnored("evacuation_ignored", "zone", ignored);
        Actions out;
        this->sharing.onStoreEvacuations(std::move(update), out);
        this->link.send(out);
    }

    void logIgnored(const char *event, const char *kind, const std::vector<IgnoredEntry> &ignored)
    {
        for (const IgnoredEntry &entry : ignored) {
            this->logEvent(event, { { kind, entry.name }, { "revision", entry.revision }, { "problem", entry.problem } });
        }
    }

    void onConfigurations(const ObjectReadResult &read)
    {
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
                this->sharing.onStoreConfiguration(*configuration.configuration, { read.era, object.version }, read.requestedAt, out);
            } else {
                this->sharing.onStoreConfigurationUnusable({ read.era, object.version });
                this->logEvent("configuration_ignored", { { "revision", object.version }, { "problem", configuration.problem } });
            }
        }
        this->sharing.onStoreConfigurationConfirmed(read.requestedAt);
        this->link.send(out);
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
                if constexpr (requires { this->overload.onMessage(typed); }) {
                    this->overload.onMessage(typed);
                } else if constexpr (requires { this->membership.onMessage(typed, out); }) {
                    this->membership.onMessage(typed, out);
                } else if constexpr (requires { this->sharing.onMessage(typed, out); }) {
                    this->sharing.onMessage(typed, out);
                } else if constexpr (requires { this->loadReports.onMessage(typed); }) {
                    this->loadReports.onMessage(typed);
                } else if constexpr (requires { this->zoneLoads.onMessage(typed, out); }) {
                    this->zoneLoads.onMessage(typed, out);
                } else if constexpr (requires { this->answerQueries.onMessage(typed, out); }) {
                    this->answerQueries.onMessage(typed, out);
                } else if constexpr (requires { this->answerQueries.onMessage(typed); }) {
                    this->answerQueries.onMessage(typed);
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

    void updateWarmupShares(const std::vector<MemberRecord> &members, TimePoint now)
    {
        if (!this->hasWarmupBounds) {
            return;
        }
        this->warmupShares.setMembers(members, this->seedContact(), now);
        const bool isSettled = this->warmupShares.isSettled(now);
        if (this->areSharesNeeded && isSettled != this->wereSharesSettled) {
            this->wereSharesSettled = isSettled;
            this->logEvent(isSettled ? "warmup_shares_settled" : "warmup_shares_unsettled",
                           { { "live", this->warmupShares.liveMembers() }, { "known", this->warmupShares.knownMembers() } });
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
        this->updateWarmupShares(members, now);
        this->liveMembers = std::count_if(members.begin(), members.end(), [](const MemberRecord &member) { return isLive(member.state); });
        this->liveZoneMembers = std::count_if(
            members.begin(), members.end(), [this](const MemberRecord &member) { return isLive(member.state) && member.zone == this->membership.self().zone; });
        if (this->rotation.update(members, this->membership.zoneContacts(), now)) {
            this->logEvent(this->rotation.isOutOfRotation() ? "rotation_left" : "rotation_rejoined", { { "members", members.size() } });
        }
        this->membership.setOwnZoneHealth(this->rotation.isZoneHealthy());
        Actions out;
        this->overload.update(this->membership, this->rotation, out);
        this->link.send(out);
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
        std::string text = this->counters.text();
        for (const auto &[resource, reading] : this->readings) {
            text += reading->gauges();
        }
        if (this->sharing.isRead(StoreResource::Evacuations)) {
            text += ageGauge("flow_evacuations", this->sharing.evacuationView().confirmedAt(), this->clock.now());
        }
        return text + "hornbeam_members_live " + std::to_string(this->liveMembers) + "\nhornbeam_store_reader "
            + (this->sharing.isReader(StoreResource::Targets) ? "1" : "0") + "\nhornbeam_rotation_aside " + (this->rotation.isOutOfRotation() ? "1" : "0")
            + "\nhornbeam_warmup_shares_settled " + (this->warmupShares.isSettled(this->clock.now()) ? "1" : "0") + "\nhornbeam_load_reports_fresh "
            + std::to_string(this->loadReports.reported().reports) + "\nhornbeam_load_report_bytes_total " + std::to_string(this->loadReports.bytesSent())
            + "\n" + this->answerQueries.metricsText() + this->overload.gauges();
    }

    std::string membersPage() const
    {
        nlohmann::ordered_json calls = nlohmann::ordered_json::array();
        for (const auto &[resource, reading] : this->readings) {
            calls.push_back(reading->state());
        }
        const nlohmann::ordered_json overloadFields{ { "overload", this->overload.describeSelf() },
                                                     { "overloaded_members", this->overload.describeMembers() } };
        return membersPageOf(this->membership.self(), this->membership.members(), this->sharing, std::move(calls), overloadFields, this->clock.now());
    }

    const Clock &clock;
    StoreObserver &observer;
    LogFunction logEvent;
    Counters counters;
    Membership membership;
    PeerLink link;
    RotationPolicy rotation;
    OverloadRotation overload;
    MemberBudgetShares warmupShares;
    SharedStoreReader sharing;
    LoadReports loadReports;
    OwnLoad ownLoad; // to be reported
    ZoneLoads zoneLoads;
    AnswerQueries answerQueries;
    PlatformClient client;
    std::map<StoreResource, std::unique_ptr<ResourceReading>> readings; // of the resources that the deployment uses
    SeedList seeds;
    std::set<std::string> unknownKinds; // logged
    const bool hasWarmupBounds;
    std::set<MemberId> settingsSeeds;
    bool hasSeeds = false; // the settings or the store name other instances
    bool areSharesNeeded = false;
    bool wereSharesSettled = false; // when last logged
    size_t liveMembers = 1;         // of all zones, including this instance
    size_t liveZoneMembers = 1;     // of the own zone, including this instance
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

void FlowStore::tick(const LoadSample &load)
{
    this->impl->tick(load);
}

void FlowStore::readNow(StoreResource resource)
{
    this->impl->readings.at(resource)->readNow();
}

void FlowStore::setUrgent(bool isUrgent)
{
    this->impl->readings.at(StoreResource::Targets)->setUrgent(isUrgent);
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
    return this->impl->rotation.isOutOfRotation() || this->impl->overload.isOut();
}

ZoneLoads &FlowStore::zoneLoads()
{
    return this->impl->zoneLoads;
}

AnswerQueries &FlowStore::answerQueries()
{
    return this->impl->answerQueries;
}

void FlowStore::setSharesNeeded(bool isNeeded)
{
    this->impl->areSharesNeeded = isNeeded;
}

const BudgetShares &FlowStore::budgetShares() const
{
    return this->impl->warmupShares;
}

size_t FlowStore::liveInstances() const
{
    return this->impl->liveMembers;
}

void FlowStore::setOwnLoad(OwnLoad load)
{
    this->impl->ownLoad = std::move(load);
}

const ReportedLoad &FlowStore::reportedLoad() const
{
    return this->impl->loadReports.reported();
}

size_t FlowStore::liveZoneInstances() const
{
    return this->impl->liveZoneMembers;
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
