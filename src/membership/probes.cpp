// The part of Membership that time drives: probes, direct and through others, suspicions, and pauses of this process.

#include "membership/membership.h"

#include <algorithm>

namespace hornbeam {

void Membership::tick(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->own.state == MemberState::Left) {
        return;
    }
    const TimePoint now = this->clock.now();
    this->noticePause(now);
    this->checkProbe(now, out);
    this->checkGroup(now, out);
    if (!this->isZoneWell && now - this->zonesAskedAt >= this->settings.probeInterval) {
        this->askZones(now, out);
    }
    if (now >= this->nextProbe) {
        this->nextProbe = now + this->settings.probeInterval;
        this->beginProbe(now, out);
    }
    if (this->table.endSuspicions(now - this->settings.suspicion, now)) {
        this->changed = true;
        this->tellOtherZones(out); // they take over feeds of the dead member
    }
    this->changed = this->table.forgetGone(now - this->settings.goneKept) || this->changed;
    if (now >= this->nextDigest) {
        // the others of a system that starts as a whole are not up yet when the first of them looks for its seeds
        const bool isAlone = this->table.all().empty() && !this->seeds.empty();
        this->nextDigest = now + (isAlone ? this->settings.probeInterval : this->settings.digestInterval);
        this->listsLeft = this->settings.listsPerSecond;
        this->tellZone(out);
        this->contactSeeds(out);
    }
    this->publish();
}

/** After a pause of this process its unanswered probes say nothing about others. */
void Membership::noticePause(TimePoint now)
{
    const Duration pause = now - this->lastTick;
    this->lastTick = now;
    if (pause <= this->settings.pauseBound) {
        return;
    }
    this->probe.subject = 0;
    this->indirect.clear();
    this->group.clear();
    this->table.delaySuspicions(pause);
    this->contacts.delay(pause, now);
}

void Membership::checkProbe(TimePoint now, Actions &out)
{
    const Duration indirectKept = this->settings.probeInterval;
    std::erase_if(this->indirect, [now, indirectKept](const IndirectProbe &made) { return now - made.sentAt > indirectKept; });
    if (this->probe.subject == 0) {
        return;
    }
    const Duration waited = now - this->probe.sentAt;
    if (waited >= this->settings.probeInterval) {
        this->changed = this->table.beginSuspicion(this->probe.subject, now) || this->changed;
        this->sendPing(this->probe.subject, this->nextSequence++, out); // it may still refute
        this->probe.subject = 0;
        this->probeGroup(now, out);
    } else if (waited >= this->settings.probeTimeout && !this->probe.asked) {
        this->probe.asked = true;
        this->askOthers(out);
    }
}

/** Probes several members at once after one was suspected, so that the loss of half a zone is seen in two intervals and not in a round of probes. */
void Membership::probeGroup(TimePoint now, Actions &out)
{
    if (now - this->groupProbedAt < this->settings.probeInterval) {
        return;
    }
    this->groupProbedAt = now;
    std::vector<MemberId> subjects;
    for (const auto &[member, entry] : this->table.all()) {
        if (entry.record.zone == this->own.zone && isLive(entry.record.state) && entry.record.state != MemberState::Suspect) {
            subjects.push_back(member);
        }
    }
    for (const MemberId subject : this->someOf(std::move(subjects), this->settings.groupProbes)) {
        this->group.push_back({ this->nextSequence, subject, now });
        this->sendPing(subject, this->nextSequence++, out);
    }
}

/** Suspects those that did not answer; they are told, and refute it when they live. */
void Membership::checkGroup(TimePoint now, Actions &out)
{
    bool isAnySuspected = false;
    std::erase_if(this->group, [&](const GroupProbe &made) {
        if (now - made.sentAt < this->settings.probeInterval) {
            return false;
        }
        isAnySuspected = this->table.beginSuspicion(made.subject, now) || isAnySuspected;
        this->sendPing(made.subject, this->nextSequence++, out);
        return true;
    });
    if (isAnySuspected) {
        this->changed = true;
        this->probeGroup(now, out);
    }
}

/** Asks one member of each other zone how its zone is: the answer says so. */
void Membership::askZones(TimePoint now, Actions &out)
{
    this->zonesAskedAt = now;
    for (auto &[zone, members] : this->contactsByZone()) {
        if (zone == this->own.zone) {
            continue;
        }
        for (const MemberId member : this->someOf(std::move(members), 2)) {
            this->sendPing(member, this->nextSequence++, out);
        }
    }
}

void Membership::beginProbe(TimePoint now, Actions &out)
{
    const MemberId subject = this->nextToProbe();
    if (subject == 0 || this->probe.subject != 0) {
        return;
    }
    this->probe = Probe{ this->nextSequence++, subject, now, false };
    this->sendPing(subject, this->probe.sequence, out);
}

/** The next one of a shuffled round over the zone's live members; 0 when there is none. */
MemberId Membership::nextToProbe()
{
    for (int round = 0; round < 2; ++round) {
        while (this->probeAt < this->probeOrder.size()) {
            const MemberId candidate = this->probeOrder[this->probeAt++];
            const MemberEntry *entry = this->table.find(candidate);
            if (entry != nullptr && isLive(entry->record.state)) {
                return candidate;
            }
        }
        this->probeOrder.clear();
        for (const MemberRecord &record : this->table.liveIn(this->own.zone)) {
            this->probeOrder.push_back(record.id);
        }
        std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
        this->probeAt = 0;
    }
    return 0;
}

void Membership::askOthers(Actions &out)
{
    const MemberEntry *subject = this->table.find(this->probe.subject);
    if (subject == nullptr) {
        return;
    }
    std::vector<MemberId> helpers;
    for (const MemberRecord &record : this->table.liveIn(this->own.zone)) {
        if (record.id != this->probe.subject) {
            helpers.push_back(record.id);
        }
    }
    for (const MemberId helper : this->someOf(std::move(helpers), this->settings.indirectProbes)) {
        out.sendToPeer(helper, PingRequest{ this->probe.sequence, this->own, subject->record });
    }
}

std::vector<MemberId> Membership::someOf(std::vector<MemberId> candidates, size_t most)
{
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    if (candidates.size() > most) {
        candidates.resize(most);
    }
    return candidates;
}

} // namespace hornbeam
