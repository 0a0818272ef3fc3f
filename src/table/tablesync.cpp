#include "table/tablesync.h"

#include <algorithm>
#include <unordered_map>

namespace hornbeam {

namespace {
constexpr uint64_t watcherKey = 0x7761746368657200ULL;

std::unordered_map<ServiceId, TableVersion> versionsByService(const std::vector<ServiceVersion> &versions)
{
    std::unordered_map<ServiceId, TableVersion> map;
    for (const ServiceVersion &version : versions) {
        map[version.service] = version.version;
    }
    return map;
}
}

TableSync::TableSync(TableStore &store, const MemberDirectory &directory, const Clock &clock, Counters &counters, const TableSyncSettings &settings)
    : store(store), directory(directory), clock(clock), counters(counters), settings(settings), lastExchange(clock.now() - settings.exchangeInterval)
{
}

void TableSync::onMessage(const TableVersions &message, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    this->pullNewer(message, out);
    this->replyWithNewer(message, out);
}

void TableSync::pullNewer(const TableVersions &message, Actions &out)
{
    TablePull pullRequest;
    pullRequest.sender = this->directory.self().id;
    const TimePoint now = this->clock.now();
    for (const ServiceVersion &theirs : message.versions) {
        if (theirs.version <= this->store.seenVersion(theirs.service)) {
            continue;
        }
        Pull &pull = this->pulls[theirs.service];
        const bool isPending = pull.peer != 0 && pull.version >= theirs.version && now - pull.since < this->settings.pullTimeout;
        if (!isPending) {
            pull = { theirs.version, message.sender, now };
            pullRequest.services.push_back(theirs.service);
        }
    }
    if (!pullRequest.services.empty()) {
        this->counters.add(Counter::TablePulls, pullRequest.services.size());
        out.sendToStream(message.sender, pullRequest);
    }
}

void TableSync::replyWithNewer(const TableVersions &message, Actions &out) const
{
    const auto theirs = versionsByService(message.versions);
    TableVersions answer;
    answer.sender = this->directory.self().id;
    for (const ServiceVersion &ours : this->store.versions()) {
        const auto found = theirs.find(ours.service);
        const bool isNewer = found == theirs.end() ? message.isComplete : found->second < ours.version;
        if (isNewer) {
            answer.versions.push_back(ours);
        }
    }
    if (answer.versions.empty()) {
        return;
    }
    if (answer.versions.size() <= this->settings.recentVersions) {
        out.sendToPeer(message.sender, answer);
    } else {
        out.sendToStream(message.sender, answer);
    }
}

void TableSync::onMessage(const TablePull &message, Actions &out)
{
    std::vector<ServiceId> wanted = message.services;
    if (wanted.empty()) {
        for (const ServiceVersion &ours : this->store.versions()) {
            wanted.push_back(ours.service);
        }
    }
    for (const ServiceId service : wanted) {
        const std::optional<TableText> text = this->store.text(service);
        if (text.has_value()) {
            this->counters.add(Counter::TableTextsSent);
            out.sendToStream(message.sender, *text);
        }
    }
}

void TableSync::onMessage(const TableText &message, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const ServiceId service = serviceIdOf(message.service);
    const ApplyResult result = this->store.apply(message.service, message.version, message.text);
    const auto pull = this->pulls.find(service);
    const MemberId peer = pull == this->pulls.end() ? 0 : pull->second.peer;
    if (pull != this->pulls.end() && pull->second.version <= message.version) {
        this->pulls.erase(pull);
    }
    if (result != ApplyResult::Applied) {
        return;
    }
    this->addRecent(service);
    const std::optional<MemberRecord> source = this->directory.find(peer);
    const ZoneId ownZone = this->directory.self().zone;
    if (source.has_value() && source->zone != ownZone) {
        this->notifyZone(ownZone, this->makeVersionsNotice({ service }), out); // the own zone's watchers may be unable to reach the platform
    }
}

void TableSync::onLocalChange(const std::vector<ServiceId> &changed, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    for (const ServiceId service : changed) {
        this->addRecent(service);
    }
    if (changed.empty() || changed.size() > this->settings.recentVersions) {
        return; // initial load: the other members detect the difference by the digests, at a limited rate
    }
    const TableVersions notice = this->makeVersionsNotice(changed);
    const ZoneId ownZone = this->directory.self().zone;
    this->notifyZone(ownZone, notice, out);
    for (const ZoneId zone : this->directory.reachableZones()) {
        const MemberId peer = zone == ownZone ? 0 : this->directory.ownerIn(zone, watcherKey, 0);
        if (peer != 0) {
            out.sendToPeer(peer, notice);
        }
    }
}

void TableSync::tick(const std::vector<MemberId> &differing, Actions &out)
{
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.now();
    std::erase_if(this->pulls, [&](const auto &pull) { return now - pull.second.since >= this->settings.pullTimeout; });
    std::erase_if(this->lastRecentExchange, [&](const auto &last) { return now - last.second >= this->settings.fullExchangeInterval; });
    std::erase_if(this->lastFullExchange, [&](const auto &last) { return now - last.second >= this->settings.fullExchangeInterval; });
    if (differing.empty() || now - this->lastExchange < this->settings.exchangeInterval) {
        return;
    }
    this->lastExchange = now;
    const size_t count = std::min(this->settings.exchangesPerTick, differing.size());
    for (size_t i = 0; i < count; ++i) {
        this->exchange(differing[this->nextPeer++ % differing.size()], out);
    }
}

void TableSync::exchange(MemberId peer, Actions &out)
{
    const MemberId self = this->directory.self().id;
    if (this->store.versions().empty()) {
        const bool isFirst = this->lastFullExchange.empty(); // request all tables from one peer at a time
        if (isFirst) {
            this->lastFullExchange[peer] = this->clock.now();
            out.sendToStream(peer, TablePull{ self, {} });
        }
        return;
    }
    const bool isRecentDue = !this->recent.empty() && !this->lastRecentExchange.contains(peer);
    const bool isFullDue = !this->lastFullExchange.contains(peer) && this->lastFullExchange.size() < this->settings.exchangesPerTick;
    if (!isRecentDue && isFullDue) {
        // The limit on concurrent full exchanges bounds the traffic while many members differ.
        this->lastFullExchange[peer] = this->clock.now();
        out.sendToStream(peer, TableVersions{ self, this->store.versions(), true });
    } else if (!this->recent.empty()) {
        this->lastRecentExchange[peer] = this->clock.now();
        out.sendToPeer(peer, this->makeVersionsNotice(this->recent));
    }
}

void TableSync::addRecent(ServiceId service)
{
    std::erase(this->recent, service);
    this->recent.push_back(service);
    if (this->recent.size() > this->settings.recentVersions) {
        this->recent.erase(this->recent.begin());
    }
}

TableVersions TableSync::makeVersionsNotice(const std::vector<ServiceId> &services) const
{
    TableVersions notice;
    notice.sender = this->directory.self().id;
    for (const ServiceVersion &version : this->store.versions()) {
        if (std::find(services.begin(), services.end(), version.service) != services.end()) {
            notice.versions.push_back(version);
        }
    }
    return notice;
}

void TableSync::notifyZone(ZoneId zone, const TableVersions &notice, Actions &out) const
{
    const MemberId self = this->directory.self().id;
    for (const MemberRecord &member : this->directory.eligibleIn(zone)) {
        if (member.id != self) {
            out.sendToPeer(member.id, notice);
        }
    }
}

bool TableSync::isOwnerAtRank(size_t rank) const
{
    const MemberRecord self = this->directory.self();
    return this->directory.ownerIn(self.zone, watcherKey, rank) == self.id;
}

bool TableSync::isWatcher() const
{
    return this->isOwnerAtRank(0) || this->isOwnerAtRank(1);
}

bool TableSync::isReporter() const
{
    return this->isOwnerAtRank(0);
}

MemberId TableSync::reporter() const
{
    return this->directory.ownerIn(this->directory.self().zone, watcherKey, 0);
}

} // namespace hornbeam
