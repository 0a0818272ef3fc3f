// Sections: store | questions of members | answers of members | timers

#include "sharing/sharedreading.h"

#include <algorithm>
#include <array>

namespace hornbeam {

namespace {
constexpr uint64_t readerKey = 0x7265616465720000ULL; // of rendezvous hashing: another order than that of the keepers
constexpr Duration expiryInterval = seconds(1);
}

std::string_view nameOf(StorePart part)
{
    constexpr std::array<std::string_view, static_cast<size_t>(StorePart::Count)> names{ "targets", "configuration" };
    return names[static_cast<size_t>(part)];
}

SharedReading::SharedReading(const SharingSettings &settings, const MemberDirectory &members, const Clock &clock, Counters &counters, StoreObserver &observer)
    : settings(settings)
    , members(members)
    , clock(clock)
    , counters(counters)
    , observer(observer)
    , targets(settings.removalsKept)
    , configurations(settings.configurationsKept, settings.mostRoutesTold)
    , startedAt(clock.now())
{
}

//--- Store

void SharedReading::onStoreTargets(TargetNews news, Actions &out)
{
    const std::optional<TargetNews> fresh = this->targets.update(std::move(news), this->clock.now());
    if (!fresh.has_value()) {
        this->observer.onReadingWanted(StorePart::Targets);
        return;
    }
    this->observer.onTargetNews(*fresh, 0);
    this->answerWaiting(out);
}

void SharedReading::onStoreConfiguration(const RouteConfiguration &configuration, uint64_t revision, Actions &out)
{
    if (this->configurations.update(configuration, revision)) {
        this->observer.onConfigurationNews(configuration, revision, 0);
        this->answerWaiting(out);
    }
}

void SharedReading::onStoreConfigurationConfirmed(TimePoint asked)
{
    this->configurations.confirm(this->configurations.revision(), asked);
}

void SharedReading::onStoreFailure()
{
    this->hasStoreFailed = true;
}

//--- Questions of members

void SharedReading::onMessage(const StoreAsk &ask, Actions &out)
{
    const TimePoint now = this->clock.now();
    this->lastAskedBy = now;
    const Waiting next{ ask, now };
    if (this->hasNewsFor(ask)) {
        this->waiting.erase(ask.asker.id);
        this->answer(next, now, out);
    } else {
        this->waiting[ask.asker.id] = next;
    }
}

bool SharedReading::hasNewsFor(const StoreAsk &ask) const
{
    const bool mayTell = this->isLoaded() && (ask.wantsWhole || ask.targetsRevision != 0);
    return mayTell && (this->configurations.revision() > ask.configurationRevision || this->targets.hasChangedSince(ask.targetsRevision));
}

void SharedReading::answer(const Waiting &waiting, TimePoint now, Actions &out)
{
    const StoreAsk &ask = waiting.ask;
    StoreNews news;
    news.sequence = ask.sequence;
    news.sender = this->members.self().id;
    news.incarnation = ask.asker.incarnation;
    news.heldMs = static_cast<uint32_t>(std::chrono::floor<milliseconds>(now - waiting.arrived).count());
    if (ask.wantsWhole || ask.targetsRevision != 0) {
        news.targets = this->targets.changesSince(ask.targetsRevision, now);
        news.configuration = this->configurations.changesSince(ask.configurationRevision, ask.wantsWhole, now);
    }
    this->counters.add(Counter::StoreNewsSent);
    const size_t entries = news.targets.updated.size() + news.targets.removed.size() + news.configuration.routes.size() + news.configuration.removed.size();
    if (entries <= this->settings.mostEntriesPerDatagram) {
        out.sendToPeer(ask.asker.id, std::move(news));
    } else {
        out.sendToStream(ask.asker.id, std::move(news));
    }
}

void SharedReading::answerWaiting(Actions &out)
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->waiting, [&](const auto &entry) {
        const bool isDue = this->hasNewsFor(entry.second.ask) || now - entry.second.arrived >= this->settings.hold;
        if (isDue) {
            this->answer(entry.second, now, out);
        }
        return isDue;
    });
}

//--- Answers of members

void SharedReading::onMessage(const StoreNews &news, Actions &out)
{
    const bool isExpected = this->question.sequence != 0 && news.sequence == this->question.sequence && news.sender == this->asked
        && news.incarnation == this->members.self().incarnation;
    if (!isExpected) {
        return; // the member was given up meanwhile, or the question was of an earlier process
    }
    const TimePoint now = this->clock.now();
    const TimePoint arrived = std::min(now, this->question.sentAt + milliseconds(news.heldMs)); // the earliest moment of the answer by the own clock
    this->question = {};
    this->takeTargets(news, arrived, now);
    this->takeConfiguration(news, arrived);
    this->answerWaiting(out);
    const bool isEmpty = news.configuration.revision == 0; // the member has just started
    if (isEmpty || this->isOutdated(StorePart::Targets, now) || this->isOutdated(StorePart::Configuration, now)) {
        this->counters.add(Counter::StoreNewsOutdated);
        this->distrust(news.sender, isEmpty ? "knows_nothing" : "outdated", now);
    }
    // what can't be told is read from the store: until then each further question would be answered at once with nothing
    const bool isUntold = news.targets.revision == 0 || news.configuration.revision > this->configurations.revision();
    this->nextAsk = isUntold ? now + this->settings.hold : now;
    if (this->asked != 0 && !isUntold) {
        this->ask(now, out);
    }
}

void SharedReading::takeTargets(const StoreNews &news, TimePoint arrived, TimePoint now)
{
    if (news.targets.revision == 0) {
        if (this->targets.isLoaded() && news.configuration.revision != 0) {
            this->observer.onReadingWanted(StorePart::Targets); // the member no longer knows what changed since
        }
        return;
    }
    TargetNews told;
    told.isWhole = news.targets.from == 0;
    told.from = news.targets.from;
    told.revision = news.targets.revision;
    told.asked = arrived - milliseconds(news.targets.ageMs);
    told.removed = news.targets.removed;
    for (const StoreTarget &target : news.targets.updated) {
        told.updated.push_back(fromMessage(target));
    }
    const std::optional<TargetNews> fresh = this->targets.update(std::move(told), now);
    if (fresh.has_value()) {
        this->counters.add(Counter::StoreNewsTaken, fresh->updated.empty() && fresh->removed.empty() ? 0 : 1);
        this->observer.onTargetNews(*fresh, news.sender);
    }
}

void SharedReading::takeConfiguration(const StoreNews &news, TimePoint arrived)
{
    const StoreConfigurationChanges &changes = news.configuration;
    if (changes.revision > this->configurations.revision()) {
        const std::optional<RouteConfiguration> next = this->configurations.apply(changes);
        if (!next.has_value()) {
            this->observer.onReadingWanted(StorePart::Configuration);
            return;
        }
        this->configurations.update(*next, changes.revision);
        this->counters.add(Counter::StoreNewsTaken);
        this->observer.onConfigurationNews(*next, changes.revision, news.sender);
    }
    if (changes.revision != 0 && changes.revision >= this->configurations.revision()) {
        const TimePoint asked = arrived - milliseconds(changes.ageMs);
        this->configurations.confirm(changes.revision, asked);
        this->observer.onConfigurationConfirmed(asked);
    }
}

//--- Timers

void SharedReading::tick(Actions &out)
{
    const TimePoint now = this->clock.now();
    if (this->loadedAt == TimePoint{} && this->isLoaded()) {
        this->loadedAt = now;
    }
    if (this->question.sequence != 0 && now - this->question.sentAt > this->settings.hold + this->settings.answerPatience) {
        this->counters.add(Counter::StoreAsksUnanswered);
        this->distrust(this->asked, "silent", now);
    }
    const MemberId next = this->chooseSource(now);
    if (next != this->asked) {
        this->changeSource(next, "members_changed");
    }
    if (this->asked != 0 && this->question.sequence == 0 && now >= this->nextAsk) {
        this->ask(now, out);
    }
    this->answerWaiting(out);
    if (now >= this->nextExpiry) {
        this->nextExpiry = now + expiryInterval;
        this->targets.expire(now);
        std::erase_if(this->distrustedUntil, [now](const auto &entry) { return entry.second <= now; });
    }
}

// the first member by rendezvous hashing that is trusted; 0 when that is this one, or when nothing has to be asked yet. One that the store doesn't answer
// asks the others, even when it comes first
MemberId SharedReading::chooseSource(TimePoint now) const
{
    const Duration patience = this->hasStoreFailed ? this->settings.failedPatience : this->settings.wholePatience;
    if (!this->isLoaded() && now - this->startedAt < patience) {
        return 0; // everything from a member costs its link as much as the list costs the store's
    }
    const bool isUpToDate = this->isLoaded() && !this->isOutdated(StorePart::Targets, now) && !this->isOutdated(StorePart::Configuration, now);
    const MemberRecord self = this->members.self();
    const uint64_t key = mixHash(readerKey, self.zone);
    for (size_t rank = 0; rank < this->settings.readerCandidates; ++rank) {
        const MemberId member = this->members.ownerIn(self.zone, key, rank);
        const auto distrusted = this->distrustedUntil.find(member);
        const bool isTrusted = distrusted == this->distrustedUntil.end() || distrusted->second <= now;
        if (member == self.id && isUpToDate) {
            return 0;
        }
        if (member != 0 && member != self.id && isTrusted) {
            return member;
        }
    }
    return 0;
}

void SharedReading::changeSource(MemberId next, std::string_view reason)
{
    const MemberId before = this->asked;
    this->asked = next;
    this->question = {};
    this->nextAsk = {};
    this->observer.onSourceChanged(before, next, reason);
}

void SharedReading::distrust(MemberId member, std::string_view reason, TimePoint now)
{
    this->distrustedUntil[member] = now + this->settings.distrust;
    this->changeSource(this->chooseSource(now), reason);
}

void SharedReading::ask(TimePoint now, Actions &out)
{
    this->question = { this->nextSequence++, now };
    StoreAsk ask;
    ask.sequence = this->question.sequence;
    ask.asker = this->members.self();
    ask.targetsRevision = this->targets.revision();
    ask.configurationRevision = this->configurations.revision();
    ask.wantsWhole = !this->isLoaded();
    this->counters.add(Counter::StoreAsksSent);
    out.sendToPeer(this->asked, ask);
}

//--- State

bool SharedReading::isReader(StorePart part) const
{
    const TimePoint now = this->clock.now();
    const bool isKnown = part == StorePart::Targets ? this->targets.isLoaded() : this->configurations.isLoaded();
    const bool isAsked = this->lastAskedBy != TimePoint{} && now - this->lastAskedBy < this->settings.readerFor;
    // other members are found within the settling time, and then no call was begun in vain
    const bool isSettled = this->loadedAt != TimePoint{} && now - this->loadedAt >= this->settings.settling;
    return !isKnown || isAsked || (this->asked == 0 && isSettled) || this->isOutdated(part, now);
}

bool SharedReading::isOutdated(StorePart part, TimePoint now) const
{
    const bool isTargets = part == StorePart::Targets;
    const Duration bound = isTargets ? this->settings.targetsOutdated : this->settings.configurationOutdated;
    return now - (isTargets ? this->targets.confirmedAt() : this->configurations.confirmedAt()) > bound;
}

bool SharedReading::isLoaded() const
{
    return this->targets.isLoaded() && this->configurations.isLoaded();
}

MemberId SharedReading::source() const
{
    return this->asked;
}

const TargetView &SharedReading::targetView() const
{
    return this->targets;
}

const ConfigurationView &SharedReading::configurationView() const
{
    return this->configurations;
}

} // namespace hornbeam
