#include "flows/targetdirectory.h"

#include <algorithm>
#include <array>
#include <set>

namespace hornbeam {

std::string_view nameOf(TargetPhase phase)
{
    constexpr std::array<std::string_view, static_cast<size_t>(TargetPhase::Count)> names{ "ready", "draining", "missing", "unlisted", "departed" };
    return names[static_cast<size_t>(phase)];
}

RoutingToken routingTokenOf(const TargetRecord &record)
{
    const uint64_t hash = mixHash(hashName(record.name), record.incarnation);
    const auto token = static_cast<RoutingToken>(hash ^ (hash >> 32U));
    return token == 0 ? 1 : token;
}

TargetDirectory::TargetDirectory(const FlowSettings &settings) : settings(settings)
{
}

std::vector<TargetChange> TargetDirectory::updateAll(const std::vector<TargetRecord> &records, TimePoint requestedAt, TimePoint now)
{
    std::vector<TargetChange> changes;
    std::set<std::string> names;
    for (const TargetRecord &record : records) {
        names.insert(record.name);
        this->add(record, now, changes);
    }
    std::vector<TargetPtr> absent;
    for (const auto &[name, target] : this->listed) {
        if (!names.contains(name)) {
            absent.push_back(target);
        }
    }
    for (const TargetPtr &target : absent) {
        this->markMissing(target, now, changes);
    }
    this->loaded = true;
    for (TargetChange &change : this->confirm(requestedAt, now)) {
        changes.push_back(std::move(change));
    }
    return changes;
}

std::vector<TargetChange> TargetDirectory::update(const TargetRecord &record, TimePoint now)
{
    std::vector<TargetChange> changes;
    this->add(record, now, changes);
    return changes;
}

std::vector<TargetChange> TargetDirectory::remove(const std::string &name, TimePoint now)
{
    std::vector<TargetChange> changes;
    const auto found = this->listed.find(name);
    if (found != this->listed.end()) {
        this->markMissing(found->second, now, changes);
    }
    return changes;
}

std::vector<TargetChange> TargetDirectory::confirm(TimePoint requestedAt, TimePoint now)
{
    std::vector<TargetChange> changes;
    this->confirmed = std::max(this->confirmed, requestedAt);
    std::vector<TargetPtr> timedOut;
    for (const auto &[name, target] : this->listed) {
        if (target->phase == TargetPhase::Missing && requestedAt - target->phaseSince >= this->settings.missingTimeout) {
            timedOut.push_back(target);
        }
    }
    for (const TargetPtr &target : timedOut) {
        this->removeFromService(target);
        this->listed.erase(target->record.name);
        this->setPhase(target, TargetPhase::Unlisted, now, changes);
        this->delisted.push_back(target);
    }
    this->markReplacedDeparted(now, changes);
    return changes;
}

std::vector<TargetChange> TargetDirectory::markDeparted(const TargetPtr &target, TimePoint now)
{
    std::vector<TargetChange> changes;
    if (target->phase == TargetPhase::Unlisted) {
        this->setPhase(target, TargetPhase::Departed, now, changes);
    }
    return changes;
}

void TargetDirectory::expire(TimePoint now)
{
    std::erase_if(this->delisted, [&](const TargetPtr &target) {
        if (now - target->phaseSince < this->settings.tokenLifetime) {
            return false;
        }
        const auto found = this->tokens.find(target->token);
        if (found != this->tokens.end() && found->second == target) {
            this->tokens.erase(found);
        }
        return true;
    });
}

bool TargetDirectory::isLoaded() const
{
    return this->loaded;
}

TimePoint TargetDirectory::confirmedAt() const
{
    return this->confirmed;
}

bool TargetDirectory::hasMissing() const
{
    return std::any_of(this->listed.begin(), this->listed.end(), [](const auto &entry) { return entry.second->phase == TargetPhase::Missing; });
}

TimePoint TargetDirectory::listedAt(const Target &target) const
{
    return target.phase == TargetPhase::Ready || target.phase == TargetPhase::Draining ? this->confirmed : TimePoint{};
}

TargetPtr TargetDirectory::findToken(RoutingToken token) const
{
    const auto found = this->tokens.find(token);
    return found == this->tokens.end() ? nullptr : found->second;
}

const std::vector<TargetPtr> &TargetDirectory::targetsOf(const std::string &service) const
{
    static const std::vector<TargetPtr> none;
    const auto found = this->services.find(service);
    return found == this->services.end() ? none : found->second;
}

std::vector<TargetPtr> TargetDirectory::all() const
{
    std::vector<TargetPtr> targets;
    targets.reserve(this->listed.size() + this->delisted.size());
    for (const auto &[name, target] : this->listed) {
        targets.push_back(target);
    }
    targets.insert(targets.end(), this->delisted.begin(), this->delisted.end());
    return targets;
}

void TargetDirectory::add(const TargetRecord &record, TimePoint now, std::vector<TargetChange> &changes)
{
    TargetPtr &slot = this->listed[record.name];
    if (slot != nullptr && slot->record.incarnation > record.incarnation) {
        return; // stale response, sent before the newer process registered
    }
    if (slot != nullptr && (slot->record.incarnation != record.incarnation || slot->record.service != record.service)) {
        // A process that was replaced under the same name has ended.
        const TargetPtr before = slot;
        this->removeFromService(before);
        this->setPhase(before, TargetPhase::Departed, now, changes);
        this->delisted.push_back(before);
        slot = nullptr;
    }
    const bool isNew = slot == nullptr;
    if (isNew) {
        slot = this->restoreOrCreate(record);
        slot->phaseSince = now;
        slot->record = record;
        this->assignToken(slot);
        auto &list = this->services[record.service];
        const auto position = std::find_if(list.begin(), list.end(), [&](const TargetPtr &other) { return other->record.name > record.name; });
        list.insert(position, slot);
        changes.push_back({ slot, TargetPhase::Departed, true });
    }
    slot->record = record;
    slot->coldUntil = record.remainingWarmupMs == 0 ? TimePoint{} : now + milliseconds(record.remainingWarmupMs);
    const TargetPhase phase = record.isDraining ? TargetPhase::Draining : TargetPhase::Ready;
    if (isNew) {
        slot->phase = phase;
    } else if (slot->phase != phase) {
        this->setPhase(slot, phase, now, changes);
    }
}

TargetPtr TargetDirectory::restoreOrCreate(const TargetRecord &record)
{
    const auto same = [&](const TargetPtr &target) { return target->record.name == record.name && target->record.incarnation == record.incarnation; };
    const auto found = std::find_if(this->delisted.begin(), this->delisted.end(), same);
    if (found == this->delisted.end()) {
        return std::make_shared<Target>();
    }
    TargetPtr target = *found;
    this->delisted.erase(found);
    return target;
}

void TargetDirectory::assignToken(const TargetPtr &target)
{
    target->token = routingTokenOf(target->record);
    TargetPtr &holder = this->tokens[target->token];
    const auto registrationOrder = [](const TargetPtr &of) { return std::pair(of->record.incarnation, of->record.name); };
    if (holder != nullptr && holder != target && registrationOrder(holder) < registrationOrder(target)) {
        target->isTokenTaken = true;
        return;
    }
    if (holder != nullptr && holder != target) {
        holder->isTokenTaken = true;
    }
    target->isTokenTaken = false;
    holder = target;
}

void TargetDirectory::setPhase(const TargetPtr &target, TargetPhase phase, TimePoint now, std::vector<TargetChange> &changes)
{
    changes.push_back({ target, target->phase, false });
    target->phase = phase;
    target->phaseSince = now;
}

void TargetDirectory::markMissing(const TargetPtr &target, TimePoint now, std::vector<TargetChange> &changes)
{
    if (target->phase != TargetPhase::Missing) {
        this->setPhase(target, TargetPhase::Missing, now, changes);
    }
}

// A newer process registered at the same address implies that the earlier one has ended. Listed targets that are not silent are never considered replaced.
void TargetDirectory::markReplacedDeparted(TimePoint now, std::vector<TargetChange> &changes)
{
    std::unordered_map<Endpoint, uint64_t> newest; // highest incarnation of the listed processes at each address
    std::vector<TargetPtr> suspects;
    for (const auto &[name, target] : this->listed) {
        const bool isListed = target->phase != TargetPhase::Missing;
        if (isListed && !target->isSilent()) {
            uint64_t &incarnation = newest[target->record.address];
            incarnation = std::max(incarnation, target->record.incarnation);
        } else {
            suspects.push_back(target);
        }
    }
    for (const TargetPtr &target : this->delisted) {
        if (target->phase == TargetPhase::Unlisted) {
            suspects.push_back(target);
        }
    }
    for (const TargetPtr &target : suspects) {
        const auto found = newest.find(target->record.address);
        if (found == newest.end() || found->second <= target->record.incarnation) {
            continue;
        }
        if (target->phase != TargetPhase::Unlisted) {
            this->removeFromService(target);
            this->listed.erase(target->record.name);
            this->delisted.push_back(target);
        }
        this->setPhase(target, TargetPhase::Departed, now, changes);
    }
}

void TargetDirectory::removeFromService(const TargetPtr &target)
{
    std::erase(this->services[target->record.service], target);
}

} // namespace hornbeam
