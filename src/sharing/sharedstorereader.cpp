// Sections: store | requests from members | responses from members | timers | state

#include "sharing/sharedstorereader.h"

#include <algorithm>
#include <array>

namespace hornbeam {

namespace {
constexpr uint64_t readerKey = 0x7265616465720000ULL; // rendezvous hashing key; gives a different order than that of the slot allocators
constexpr Duration expiryInterval = seconds(1);

// Members of earlier versions state no eras; their revisions are taken as of the era that this instance knows.
void assumeEra(uint64_t &era, const ResourceView &view)
{
    era = era == 0 ? view.position().era : era;
}

template<typename Record>
void assumeEras(StoreEntryChanges<Record> &changes, const ResourceView &view)
{
    assumeEra(changes.fromEra, view);
    assumeEra(changes.era, view);
    for (Record &entry : changes.updated) {
        assumeEra(entry.era, view);
    }
}
}

std::string_view nameOf(StoreResource resource)
{
    constexpr std::array<std::string_view, static_cast<size_t>(StoreResource::Count)> names{ "targets", "configuration", "evacuations" };
    return names[static_cast<size_t>(resource)];
}

SharedStoreReader::SharedStoreReader(const SharingSettings &settings, const MemberDirectory &members, const Clock &clock, Counters &counters,
                                     StoreObserver &observer)
    : settings(settings)
    , members(members)
    , clock(clock)
    , counters(counters)
    , observer(observer)
    , targets(settings.removalRetention, settings.restoredRetention)
    , configurations(settings.configurationHistorySize, settings.maxRoutesPerUpdate)
    , evacuations(settings.removalRetention, settings.restoredRetention)
    , startedAt(clock.now())
{
}

//--- Store

void SharedStoreReader::onStoreTargets(TargetUpdate update, Actions &out)
{
    this->applyFromStore(StoreResource::Targets, this->targets, std::move(update), out);
}

void SharedStoreReader::onStoreEvacuations(EvacuationUpdate update, Actions &out)
{
    this->applyFromStore(StoreResource::Evacuations, this->evacuations, std::move(update), out);
}

template<typename Record>
void SharedStoreReader::applyFromStore(StoreResource resource, EntryView<Record> &view, EntryUpdate<Record> update, Actions &out)
{
    const auto applied = view.update(std::move(update), this->clock.now());
    if (!applied.has_value()) {
        this->observer.onStoreReadNeeded(resource);
        return;
    }
    this->notify(*applied, 0);
    this->answerHeldRequests(out);
}

void SharedStoreReader::notify(const TargetUpdate &update, MemberId source)
{
    this->observer.onTargetUpdate(update, source);
}

void SharedStoreReader::notify(const EvacuationUpdate &update, MemberId source)
{
    this->observer.onEvacuationUpdate(update, source);
}

void SharedStoreReader::onStoreConfiguration(const RouteConfiguration &configuration, const StorePosition &position, TimePoint requestedAt, Actions &out)
{
    if (this->configurations.update(configuration, position)) {
        this->observer.onConfigurationUpdate(configuration, position, requestedAt, 0);
        this->answerHeldRequests(out);
    }
}

void SharedStoreReader::onStoreConfigurationUnusable(const StorePosition &position)
{
    this->unusable = std::max(this->unusable, position);
}

void SharedStoreReader::onStoreConfigurationConfirmed(TimePoint requestedAt)
{
    this->confirmConfiguration(this->configurations.position(), requestedAt);
}

void SharedStoreReader::confirmConfiguration(const StorePosition &position, TimePoint requestedAt)
{
    this->configurations.confirm(position, requestedAt); // members would learn nothing newer by reading the store themselves
    if (this->unusable <= this->configurations.position()) {
        this->observer.onConfigurationConfirmed(requestedAt);
    }
}

void SharedStoreReader::onStoreFailure()
{
    this->hasStoreFailed = true;
}

//--- Requests from members

void SharedStoreReader::onMessage(StoreQuery request, Actions &out)
{
    const TimePoint now = this->clock.now();
    this->lastRequestReceivedAt = now;
    assumeEra(request.targetsEra, this->targets);
    assumeEra(request.configurationEra, this->configurations);
    assumeEra(request.evacuationsEra, this->evacuations);
    const HeldRequest next{ request, now };
    if (this->hasUpdatesFor(next.request)) {
        this->heldRequests.erase(next.request.requester.id);
        this->sendResponse(next, now, out);
    } else {
        this->heldRequests[next.request.requester.id] = next;
    }
}

bool SharedStoreReader::hasUpdatesFor(const StoreQuery &request) const
{
    const bool canAnswer = this->isLoaded() && (request.wantsSnapshot || request.targetsRevision != 0);
    // A requester that doesn't read evacuations has no revision of them; changes of theirs are no updates for it.
    const bool isMissingEvacuations = request.wantsSnapshot && request.evacuationsRevision == 0 && this->evacuations.isLoaded();
    const bool hasEvacuations = isMissingEvacuations || (request.evacuationsRevision != 0 && this->evacuations.hasChangedSince(request.evacuationsPosition()));
    return canAnswer
        && (this->configurations.position() > request.configurationPosition() || this->targets.hasChangedSince(request.targetsPosition()) || hasEvacuations);
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
        response.targets = this->targets.changesSince(request.targetsPosition(), now);
        response.configuration = this->configurations.changesSince(request.configurationPosition(), request.wantsSnapshot, now);
        response.configuration.setUnusable(this->unusable);
    }
    if (request.wantsSnapshot || request.evacuationsRevision != 0) {
        response.evacuations = this->evacuations.changesSince(request.evacuationsPosition(), now);
        if (response.evacuations.revision == 0) { // the history doesn't reach back; the whole set is small
            response.evacuations = this->evacuations.changesSince(StorePosition{}, now);
        }
    }
    this->counters.add(Counter::StoreNewsSent);
    const size_t entries = response.targets.updated.size() + response.targets.removed.size() + response.configuration.routes.size()
        + response.configuration.removed.size() + response.evacuations.updated.size() + response.evacuations.removed.size();
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

void SharedStoreReader::onMessage(StoreResponse response, Actions &out)
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
    this->assumeEras(response);
    const bool isEmpty = response.configuration.revision == 0; // the member has just started and has no data
    if (response.targets.revision == 0 && this->targets.isLoaded() && !isEmpty) {
        this->observer.onStoreReadNeeded(StoreResource::Targets); // the member's history no longer covers our revision
    }
    this->applyFromMember(this->targets, response.targets, response.sender, arrived);
    this->applyConfiguration(response, arrived);
    if (this->settings.readsEvacuations) {
        this->applyFromMember(this->evacuations, response.evacuations, response.sender, arrived);
        this->isSourceWithoutEvacuations = !isEmpty && response.evacuations.revision == 0;
    }
    this->answerHeldRequests(out);
    // A source without evacuations is good for the other resources; the evacuations are then read from the store.
    const bool isOutdated = this->isOutdated(StoreResource::Targets, now) || this->isOutdated(StoreResource::Configuration, now)
        || (response.evacuations.revision != 0 && this->isOutdated(StoreResource::Evacuations, now));
    if (isEmpty || isOutdated) {
        this->counters.add(Counter::StoreNewsOutdated);
        this->suspendSource(response.sender, isEmpty ? "knows_nothing" : "outdated", now);
    }
    // Data that the member can't send is read from the store. Until then, every further request would get an immediate response without content.
    const bool isStoreReadNeeded = response.targets.revision == 0 || response.configuration.position() > this->configurations.position();
    this->nextRequestAt = isStoreReadNeeded ? now + this->settings.longPollTimeout : now;
    if (this->currentSource != 0 && !isStoreReadNeeded) {
        this->sendRequest(now, out);
    }
}

void SharedStoreReader::assumeEras(StoreResponse &response) const
{
    hornbeam::assumeEras(response.targets, this->targets);
    hornbeam::assumeEras(response.evacuations, this->evacuations);
    StoreConfigurationChanges &configuration = response.configuration;
    for (uint64_t *era : { &configuration.fromEra, &configuration.era, &configuration.unusableEra }) {
        assumeEra(*era, this->configurations);
    }
}

template<typename Record>
void SharedStoreReader::applyFromMember(EntryView<Record> &view, const typename EntryView<Record>::Changes &changes, MemberId sender, TimePoint arrived)
{
    if (changes.revision == 0) {
        return;
    }
    const TimePoint requestedAt = arrived - milliseconds(changes.ageMs);
    EntryUpdate<Record> update{ changes.from == 0, changes.fromPosition(), changes.position(), requestedAt, {}, changes.removed };
    for (const auto &entry : changes.updated) {
        update.updated.push_back(fromMessage(entry));
    }
    const auto applied = view.update(std::move(update), this->clock.now());
    if (applied.has_value()) {
        this->counters.add(Counter::StoreNewsTaken, applied->updated.empty() && applied->removed.empty() ? 0 : 1);
        this->notify(*applied, sender);
    }
}

void SharedStoreReader::applyConfiguration(const StoreResponse &response, TimePoint arrived)
{
    const StoreConfigurationChanges &changes = response.configuration;
    const TimePoint requestedAt = arrived - milliseconds(changes.ageMs);
    this->unusable = std::max(this->unusable, changes.unusablePosition());
    if (changes.position() > this->configurations.position()) {
        const std::optional<RouteConfiguration> next = this->configurations.apply(changes);
        if (!next.has_value()) {
            this->observer.onStoreReadNeeded(StoreResource::Configuration);
            return;
        }
        this->configurations.update(*next, changes.position());
        this->counters.add(Counter::StoreNewsTaken);
        this->observer.onConfigurationUpdate(*next, changes.position(), requestedAt, response.sender);
    }
    if (changes.revision != 0 && changes.position() >= this->configurations.position()) {
        this->confirmConfiguration(changes.position(), requestedAt);
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
        const EvacuationUpdate expired = this->evacuations.expire(now);
        if (!expired.removed.empty()) {
            this->notify(expired, 0);
        }
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
    const bool isUpToDate = this->isLoaded() && !this->isAnyOutdated(now);
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
    this->isSourceWithoutEvacuations = false;
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
    request.targetsRevision = this->targets.position().revision;
    request.targetsEra = this->targets.position().era;
    request.configurationRevision = this->configurations.position().revision;
    request.configurationEra = this->configurations.position().era;
    request.evacuationsRevision = this->evacuations.position().revision;
    request.evacuationsEra = this->evacuations.position().era;
    request.wantsSnapshot = !this->isLoaded() || (this->settings.readsEvacuations && !this->evacuations.isLoaded());
    this->counters.add(Counter::StoreAsksSent);
    out.sendToPeer(this->currentSource, request);
}

//--- State

bool SharedStoreReader::isRead(StoreResource resource) const
{
    return resource != StoreResource::Evacuations || this->settings.readsEvacuations;
}

bool SharedStoreReader::isReader(StoreResource resource) const
{
    const TimePoint now = this->clock.now();
    const bool hasRequesters = this->lastRequestReceivedAt != TimePoint{} && now - this->lastRequestReceivedAt < this->settings.readerRoleDuration;
    // Other members are normally discovered within the settling time; waiting for it avoids an unnecessary watch call.
    const bool isSettled = this->loadedAt != TimePoint{} && now - this->loadedAt >= this->settings.settlingTime;
    const bool isMissingAtSource = resource == StoreResource::Evacuations && this->isSourceWithoutEvacuations;
    return this->isRead(resource)
        && (!this->settings.isShared || !this->view(resource).isLoaded() || hasRequesters || (this->currentSource == 0 && isSettled) || isMissingAtSource
            || this->isOutdated(resource, now));
}

bool SharedStoreReader::isOutdated(StoreResource resource) const
{
    return this->isOutdated(resource, this->clock.now());
}

bool SharedStoreReader::isOutdated(StoreResource resource, TimePoint now) const
{
    const std::array<Duration, static_cast<size_t>(StoreResource::Count)> bounds{ this->settings.maxTargetsAge, this->settings.maxConfigurationAge,
                                                                                  this->settings.maxEvacuationsAge };
    return this->isRead(resource) && now - this->view(resource).confirmedAt() > bounds[static_cast<size_t>(resource)];
}

// Evacuations that were never loaded don't count: a store that serves only the other resources must not end the sharing of those.
bool SharedStoreReader::isAnyOutdated(TimePoint now) const
{
    return this->isOutdated(StoreResource::Targets, now) || this->isOutdated(StoreResource::Configuration, now)
        || (this->evacuations.isLoaded() && this->isOutdated(StoreResource::Evacuations, now));
}

bool SharedStoreReader::isLoaded() const
{
    return this->targets.isLoaded() && this->configurations.isLoaded();
}

MemberId SharedStoreReader::source() const
{
    return this->currentSource;
}

const ResourceView &SharedStoreReader::view(StoreResource resource) const
{
    const std::array<const ResourceView *, static_cast<size_t>(StoreResource::Count)> views{ &this->targets, &this->configurations, &this->evacuations };
    return *views[static_cast<size_t>(resource)];
}

const TargetView &SharedStoreReader::targetView() const
{
    return this->targets;
}

const ConfigurationView &SharedStoreReader::configurationView() const
{
    return this->configurations;
}

const EvacuationView &SharedStoreReader::evacuationView() const
{
    return this->evacuations;
}

} // namespace hornbeam
