#include "sharing/targetview.h"

#include <algorithm>
#include <set>

namespace hornbeam {

namespace {
constexpr size_t gapsKept = 16;
constexpr Duration countdownDrift = seconds(2); // of an entry's remaining time, from the write to the reading
}

StoreTarget toMessage(const TargetEntry &entry, Duration sinceRead)
{
    const TargetRecord &record = entry.record;
    const Duration warmupLeft = std::max(Duration{ 0 }, record.warmupLeft - sinceRead);
    StoreTarget target;
    target.name = record.name;
    target.service = record.service;
    target.address = record.address;
    target.zone = record.zone;
    target.deliveryId = record.deliveryId;
    target.incarnation = record.incarnation;
    target.slots = record.slots;
    target.isDraining = record.isDraining;
    target.coldForMs = static_cast<uint32_t>(std::chrono::duration_cast<milliseconds>(warmupLeft).count());
    target.revision = entry.revision;
    return target;
}

TargetEntry fromMessage(const StoreTarget &target)
{
    TargetEntry entry;
    entry.record.name = target.name;
    entry.record.service = target.service;
    entry.record.address = target.address;
    entry.record.zone = target.zone;
    entry.record.deliveryId = target.deliveryId;
    entry.record.incarnation = target.incarnation;
    entry.record.slots = std::max(1U, target.slots);
    entry.record.isDraining = target.isDraining;
    entry.record.warmupLeft = milliseconds(target.coldForMs);
    entry.revision = target.revision;
    return entry;
}

TargetView::TargetView(Duration removalsKept) : removalsKept(removalsKept)
{
}

std::optional<TargetNews> TargetView::update(TargetNews news, TimePoint now)
{
    if (!news.isWhole && (!this->isLoaded() || news.from > this->covered)) {
        return std::nullopt;
    }
    if (news.revision < this->covered) {
        return TargetNews{ false, this->covered, this->covered, TimePoint{}, {}, {} };
    }
    this->confirmed = std::max(this->confirmed, news.asked);
    if (news.isWhole) {
        return this->takeWhole(std::move(news), now);
    }
    std::erase_if(news.updated, [&](const TargetEntry &entry) {
        const auto known = this->entries.find(entry.record.name);
        return known != this->entries.end() && (known->second.entry.revision >= entry.revision || isCountdown(known->second, entry, now));
    });
    for (const TargetEntry &entry : news.updated) {
        this->add(entry, now);
    }
    std::erase_if(news.removed, [&](const std::string &name) { return !this->remove(name, news.revision, now); });
    this->covered = news.revision;
    return news;
}

TargetNews TargetView::takeWhole(TargetNews news, TimePoint now)
{
    std::set<std::string> names;
    for (const TargetEntry &entry : news.updated) {
        names.insert(entry.record.name);
        const auto known = this->entries.find(entry.record.name);
        if (known == this->entries.end() || !isCountdown(known->second, entry, now)) {
            this->add(entry, now);
        }
    }
    std::vector<std::string> absent;
    for (const auto &[name, known] : this->entries) {
        if (!names.contains(name)) {
            absent.push_back(name);
        }
    }
    for (const std::string &name : absent) {
        this->remove(name, news.revision, now);
    }
    if (this->covered == 0) {
        this->floor = news.revision;
    } else {
        this->addGap(this->covered, news.revision);
    }
    this->covered = news.revision;
    return news;
}

// a cold target rewrites its entry with less time left: that needs neither to be acted upon nor told
bool TargetView::isCountdown(const Known &known, const TargetEntry &entry, TimePoint now)
{
    TargetRecord expected = known.entry.record;
    expected.warmupLeft = entry.record.warmupLeft;
    const Duration left = std::max(Duration{ 0 }, known.entry.record.warmupLeft - (now - known.readAt));
    const Duration drift = left > entry.record.warmupLeft ? left - entry.record.warmupLeft : entry.record.warmupLeft - left;
    return expected == entry.record && drift <= countdownDrift;
}

void TargetView::add(const TargetEntry &entry, TimePoint now)
{
    this->entries[entry.record.name] = Known{ entry, now };
    this->removals.erase(entry.record.name);
    this->changed = std::max(this->changed, entry.revision);
}

// remembered for names that were never seen here, too: another member may have read their entry before it was removed
bool TargetView::remove(const std::string &name, uint64_t revision, TimePoint now)
{
    Removal &removal = this->removals[name];
    removal = { std::max(removal.revision, revision), now };
    this->changed = std::max(this->changed, revision);
    return this->entries.erase(name) > 0;
}

void TargetView::addGap(uint64_t after, uint64_t before)
{
    if (before - after < 2) {
        return; // no revision lies between
    }
    this->gaps.push_back({ after, before });
    if (this->gaps.size() > gapsKept) {
        this->floor = std::max(this->floor, this->gaps.front().before);
        this->gaps.erase(this->gaps.begin());
    }
}

StoreTargetChanges TargetView::changesSince(uint64_t revision, TimePoint now) const
{
    StoreTargetChanges changes;
    const bool isInGap = std::any_of(this->gaps.begin(), this->gaps.end(), [&](const Gap &gap) { return gap.after < revision && revision < gap.before; });
    const bool isTold = this->isLoaded() && (revision == 0 || (revision >= this->floor && !isInGap));
    if (!isTold) {
        return changes;
    }
    changes.from = revision;
    changes.revision = this->covered;
    // rounded up: what is told may look older than it is, never newer
    changes.ageMs = static_cast<uint32_t>(std::chrono::ceil<milliseconds>(now - this->confirmed).count());
    for (const auto &[name, known] : this->entries) {
        if (known.entry.revision > revision) {
            changes.updated.push_back(toMessage(known.entry, now - known.readAt));
        }
    }
    for (const auto &[name, removal] : this->removals) {
        if (revision != 0 && removal.revision > revision) {
            changes.removed.push_back(name);
        }
    }
    return changes;
}

bool TargetView::hasChangedSince(uint64_t revision) const
{
    return this->changed > revision;
}

void TargetView::expire(TimePoint now)
{
    std::erase_if(this->removals, [&](const auto &removal) {
        if (now - removal.second.at < this->removalsKept) {
            return false;
        }
        this->floor = std::max(this->floor, removal.second.revision);
        return true;
    });
}

bool TargetView::isLoaded() const
{
    return this->covered != 0;
}

uint64_t TargetView::revision() const
{
    return this->covered;
}

TimePoint TargetView::confirmedAt() const
{
    return this->confirmed;
}

} // namespace hornbeam
