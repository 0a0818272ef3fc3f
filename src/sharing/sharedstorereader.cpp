// Sections: store | requests from members | responses from members | timers | state

#include "sharing/sharedstorereader.h"

#include <algorithm>
#include <array>

namespace hornbeam {

namespace {
constexpr uint64_t readerKey = 0x7265616465720000ULL; // rendezvous hashing key; gives a different order than that of the slot allocators
constexpr Duration expiryInterval = seconds(1);
}

std::string_view nameOf(StoreResource resource)
{
    constexpr std::array<std::string_view, static_cast<size_t>(StoreResource::Count)> names{ "targets", "configuration" };
    return names[static_cast<size_t>(resource)];
}

SharedStoreReader::SharedStoreReader(const SharingSettings &settings, const MemberDirectory &members, const Clock &clock, Counters &counters,
                                     StoreObserver &observer)
    : settings(settings)
    , members(members)
    , clock(clock)
    , counters(counters)
    , observer(observer)
    , targets(settings.removalRetention)
    , configurations(settings.configurationHistorySize, settings.maxRoutesPerUpdate)
    , startedAt(clock.now())
{
}

//--- Store

void SharedStoreReader::onStoreTargets(TargetUpdate update, Actions &out)
{
    const std::optional<TargetUpdate> applied = this->targets.update(std::move(update), this->clock.now());
    if (!applied.has_value()) {
        this->observer.onStoreReadNeeded(StoreResource::Targets);
        return;
    }
    this->observer.onTargetUpdate(*applied, 0);
    this->answerHeldRequests(out);
}

void SharedStoreReader::onStoreConfiguration(const RouteConfiguration &configuration, uint64_t revision, TimePoint requestedAt, Actions &out)
{
    if (this->configurations.update(configuration, revision)) {
        this->observer.onConfigurationUpdate(configuration, revision, requestedAt, 0);
        this->answerHeldRequests(out);
    }
}

void SharedStoreReader::onStoreConfigurationUnusable(uint64_t revision)
{
    this->unusableRevision = std::max(this->unusableRevision, revision);
}

void SharedStoreReader::onStoreConfigurationConfirmed(TimePoint requestedAt)
{
    this->confirmConfiguration(this->configurations.revision(), requestedAt);
}

void SharedStoreReader::confirmConfiguration(uint64_t revision, TimePoint requestedAt)
{
    this->configurations.confirm(revision, requestedAt); // members would learn nothing newer by reading the store themselves
    if (this->unusableRevision <= this->configurations.revision()) {
        this->observer.onConfigurationConfirmed(requestedAt);
    }
}

void SharedStoreReader::onStoreFailure()
{
    this->hasStoreFailed = true;
}

//--- Requests from members

void SharedStoreReader::onMessage(const StoreQuery &request, Actions &out)
{
    const TimePoint now = this->clock.now();
    this->lastRequestReceivedAt = now;
    const HeldRequest next{ request, now };
    if (this->hasUpdatesFor(request)) {
        this->heldRequests.erase(request.requester.id);
        this->sendResponse(next, now, out);
    } else {
        this->heldRequests[request.requester.id] = next;
    }
}

bool SharedStoreReader::hasUpdatesFor(const StoreQuery &request) const
{
    const bool canAnswer = this->isLoaded() && (request.wantsSnapshot || request.targetsRevision != 0);
    return canAnswer && (this->configurations.revision() > request.configurationRevision || this->targets.hasChangedSince(request.targetsRevision));
}

void SharedStoreReader::sendResponse(const HeldRequest &held, TimePoint now, Actions &out)
{
    const StoreQuery &request = held.request;
    StoreResponse response;
    response.sequence = request.sequence;
    response.sender = this->members.self().id;
    response.incarnation = request.requester.incarnation;
    response.heldMs = static_cast<uint32_t>(std::chrono::floor<milliseconds>(now - held.arrived).count());
    if (request.wantsSnapshot || request.targetsRevision != 0) {
        response.targets = this->targets.changesSince(request.targetsRevision, now);
        response.configuration = this->configurations.changesSince(request.configurationRevision, request.wantsSnapshot, now);
        response.configuration.unusableRevision = this->unusableRevision;
    }
    this->counters.add(Counter::StoreNewsSent);
    const size_t entries =
        response.targets.updated.size() + response.targets.removed.size() + response.configuration.routes.size() + response.configuration.removed.size();
    if (entries <= this->settings.maxEntriesPerDatagram) {
        out.sendToPeer(request.requester.id, std::move(response));
    } else {
        out.sendToStream(request.requester.id, std::move(response));
    }
}

void SharedStoreReader::answerHeldRequests(Actions &out)
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->heldRequests, [&](const auto &entry) {
        const bool isDue = this->hasUpdatesFor(entry.second.request) || now - entry.second.arrived >= this->settings.longPollTimeout;
        if (isDue) {
            this->sendResponse(entry.second, now, out);
        }
        return isDue;
    });
}

//--- Responses from members

void SharedStoreReader::onMessage(const StoreResponse &response, Actions &out)
{
    const bool isExpected = this->pendingRequest.sequence != 0 && response.sequence == this->pendingRequest.sequence && response.sender == this->currentSource
        && response.incarnation == this->members.self().incarnation;
    if (!isExpected) {
        return; // the request timed out meanwhile, or was sent by a previous process
    }
    const TimePoint now = this->clock.now();
    const TimePoint arrived =
        std::min(now, this->pendingRequest.sentAt + milliseconds(response.heldMs)); // earliest possible send time of the response by the local clock
    this->pendingRequest = {};
    this->applyTargets(response, arrived, now);
    this->applyConfiguration(response, arrived);
    this->answerHeldRequests(out);
    const bool isEmpty = response.configuration.revision == 0; // the member has just started and has no data
    if (isEmpty || this->isOutdated(StoreResource::Targets, now) || this->isOutdated(StoreResource::Configuration, now)) {
        this->counters.add(Counter::StoreNewsOutdated);
        this->suspendSource(response.sender, isEmpty ? "knows_nothing" : "outdated", now);
    }
    // Data that the member can't send is read from the store. Until then, every further request would get an immediate response without content.
    const bool isStoreReadNeeded = response.targets.revision == 0 || response.configuration.revision > this->configurations.revision();
    this->nextRequestAt = isStoreReadNeeded ? now + this->settings.longPollTimeout : now;
    if (this->currentSource != 0 && !isStoreReadNeeded) {
        this->sendRequest(now, out);
    }
}

void SharedStoreReader::applyTargets(const StoreResponse &response, TimePoint arrived, TimePoint now)
{
    if (response.targets.revision == 0) {
        if (this->targets.isLoaded() && response.configuration.revision != 0) {
            this->observer.onStoreReadNeeded(StoreResource::Targets); // the member's history no longer covers our revision
        }
        return;
    }
    TargetUpdate update;
    update.isSnapshot = response.targets.from == 0;
    update.from = response.targets.from;
    update.revision = response.targets.revision;
    update.requestedAt = arrived - milliseconds(response.targets.ageMs);
    update.removed = response.targets.removed;
    for (const StoreTarget &target : response.targets.updated) {
        update.updated.push_back(fromMessage(target));
    }
    const std::optional<TargetUpdate> applied = this->targets.update(std::move(update), now);
    if (applied.has_value()) {
        this->counters.add(Counter::StoreNewsTaken, applied->updated.empty() && applied->removed.empty() ? 0 : 1);
        this->observer.onTargetUpdate(*applied, response.sender);
    }
}

void SharedStoreReader::applyConfiguration(const StoreResponse &response, TimePoint arrived)
{
    const StoreConfigurationChanges &changes = response.configuration;
    const TimePoint requestedAt = arrived - milliseconds(changes.ageMs);
    this->unusableRevision = std::max(this->unusableRevision, changes.unusableRevision);
    if (changes.revision > this->configurations.revision()) {
        const std::optional<RouteConfiguration> next = this->configurations.apply(changes);
        if (!next.has_value()) {
            this->observer.onStoreReadNeeded(StoreResource::Configuration);
            return;
        }
        this->configurations.update(*next, changes.revision);
        this->counters.add(Counter::StoreNewsTaken);
        this->observer.onConfigurationUpdate(*next, changes.revision, requestedAt, response.sender);
    }
    if (changes.revision != 0 && changes.revision >= this->configurations.revision()) {
        this->confirmConfiguration(changes.revision, requestedAt);
    }
}

//--- Timers

void SharedStoreReader::tick(Actions &out)
{
    const TimePoint now = this->clock.now();
    if (this->loadedAt == TimePoint{} && this->isLoaded()) {
        this->loadedAt = now;
    }
    if (this->pendingRequest.sequence != 0 && now - this->pendingRequest.sentAt > this->settings.longPollTimeout + this->settings.responseTimeout) {
        this->counters.add(Counter::StoreAsksUnanswered);
        this->suspendSource(this->currentSource, "silent", now);
    }
    const MemberId next = this->chooseSource(now);
    if (next != this->currentSource) {
        this->changeSource(next, "members_changed");
    }
    if (this->currentSource != 0 && this->pendingRequest.sequence == 0 && now >= this->nextRequestAt) {
        this->sendRequest(now, out);
    }
    this->answerHeldRequests(out);
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->targets.expire(now);
        std::erase_if(this->suspendedUntil, [now](const auto &entry) { return entry.second <= now; });
    }
}

// Returns the first member by rendezvous hashing that is not suspended, or 0 if that is this instance or no source is needed yet. An instance whose store
// calls fail uses the other members as sources even if it is ranked first.
MemberId SharedStoreReader::chooseSource(TimePoint now) const
{
    const Duration delay = this->hasStoreFailed ? this->settings.fullSyncDelayAfterFailure : this->settings.fullSyncDelay;
    if (!this->isLoaded() && now - this->startedAt < delay) {
        return 0; // a full copy loads the member's link as much as a list loads the store's link
    }
    if (this->isLoaded() && !this->settings.isShared) {
        return 0;
    }
    const bool isUpToDate = this->isLoaded() && !this->isOutdated(StoreResource::Targets, now) && !this->isOutdated(StoreResource::Configuration, now);
    const MemberRecord self = this->members.self();
    const uint64_t key = mixHash(readerKey, self.zone);
    for (size_t rank = 0; rank < this->settings.readerCandidates; ++rank) {
        const MemberId member = this->members.ownerIn(self.zone, key, rank);
        const auto suspended = this->suspendedUntil.find(member);
        const bool isUsable = suspended == this->suspendedUntil.end() || suspended->second <= now;
        if (member == self.id && isUpToDate) {
            return 0;
        }
        if (member != 0 && member != self.id && isUsable) {
            return member;
        }
    }
    return 0;
}

void SharedStoreReader::changeSource(MemberId next, std::string_view reason)
{
    const MemberId before = this->currentSource;
    this->currentSource = next;
    this->pendingRequest = {};
    this->nextRequestAt = {};
    this->observer.onSourceChanged(before, next, reason);
}

void SharedStoreReader::suspendSource(MemberId member, std::string_view reason, TimePoint now)
{
    this->suspendedUntil[member] = now + this->settings.sourceSuspension;
    this->changeSource(this->chooseSource(now), reason);
}

void SharedStoreReader::sendRequest(TimePoint now, Actions &out)
{
    this->pendingRequest = { this->nextSequence++, now };
    StoreQuery request;
    request.sequence = this->pendingRequest.sequence;
    request.requester = this->members.self();
    request.targetsRevision = this->targets.revision();
    request.configurationRevision = this->configurations.revision();
    request.wantsSnapshot = !this->isLoaded();
    this->counters.add(Counter::StoreAsksSent);
    out.sendToPeer(this->currentSource, request);
}

//--- State

bool SharedStoreReader::isReader(StoreResource resource) const
{
    const TimePoint now = this->clock.now();
    const bool isKnown = resource == StoreResource::Targets ? this->targets.isLoaded() : this->configurations.isLoaded();
    const bool hasRequesters = this->lastRequestReceivedAt != TimePoint{} && now - this->lastRequestReceivedAt < this->settings.readerRoleDuration;
    // Other members are normally discovered within the settling time; waiting for it avoids an unnecessary watch call.
    const bool isSettled = this->loadedAt != TimePoint{} && now - this->loadedAt >= this->settings.settlingTime;
    return !this->settings.isShared || !isKnown || hasRequesters || (this->currentSource == 0 && isSettled) || this->isOutdated(resource, now);
}

bool SharedStoreReader::isOutdated(StoreResource resource) const
{
    return this->isOutdated(resource, this->clock.now());
}

bool SharedStoreReader::isOutdated(StoreResource resource, TimePoint now) const
{
    const bool isTargets = resource == StoreResource::Targets;
    const Duration bound = isTargets ? this->settings.maxTargetsAge : this->settings.maxConfigurationAge;
    return now - (isTargets ? this->targets.confirmedAt() : this->configurations.confirmedAt()) > bound;
}

bool SharedStoreReader::isLoaded() const
{
    return this->targets.isLoaded() && this->configurations.isLoaded();
}

MemberId SharedStoreReader::source() const
{
    return this->currentSource;
}

const TargetView &SharedStoreReader::targetView() const
{
    return this->targets;
}

const ConfigurationView &SharedStoreReader::configurationView() const
{
    return this->configurations;
}

} // namespace hornbeam
