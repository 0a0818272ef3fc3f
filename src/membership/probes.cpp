// The timer-driven part of Membership: direct and indirect probes, suspicions, and detection of pauses of this process.

#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace hornbeam {

namespace {
constexpr size_t maxTimedPings = 256; // 64 are too few when answers take 1 s: members are suspected, and each suspicion causes further pings
}

void Membership::tick(Actions &out)
{
    const std::lock_guard lock(this->mutex);
    if (this->ownRecord.state == MemberState::Left) {
        return;
    }
    const TimePoint now = this->clock.now();
    this->handlePause(now);
    this->checkProbe(now, out);
    this->checkProbeBurst(now, out);
    if (!this->isOwnZoneHealthy && now - this->lastZonePing >= this->settings.probeInterval) {
        this->pingOtherZones(now, out);
    }
    if (now >= this->nextProbe) {
        this->nextProbe = now + this->settings.probeInterval;
        this->startProbe(now, out);
    }
    if (this->table.expireSuspicions(now - this->settings.suspicionTimeout, now)) {
        this->isViewOutdated = true;
        this->sendDigestToOtherZones(out); // other zones take over feeds of the dead member
    }
    this->isViewOutdated = this->table.purgeInactive(now - this->settings.inactiveMemberRetention) || this->isViewOutdated;
    if (now >= this->nextDigest) {
        // when the whole system starts, the seeds may not be up yet, so retry at the shorter interval until one answers
        const bool isAlone = this->table.all().empty() && !this->seeds.empty();
        this->nextDigest = now + (isAlone ? this->settings.probeInterval : this->settings.digestInterval);
        this->remainingLists = this->settings.listsPerDigestInterval;
        this->sendNextZoneDigest(out);
        this->pingSeedsAndDeadMembers(out);
    }
    this->publishView();
}

/** Detects a pause of this process and discards outstanding probes, whose missing answers say nothing about other members. */
void Membership::handlePause(TimePoint now)
{
    const Duration pause = now - this->lastTick;
    this->lastTick = now;
    if (pause <= this->settings.pauseThreshold) {
        return;
    }
    this->probe.subject = 0;
    this->pendingIndirectProbes.clear();
    this->burstProbes.clear();
    this->timedPings.clear(); // their round trips would contain the pause
    this->table.extendSuspicions(pause);
    this->contacts.adjustForPause(pause, now);
}

void Membership::checkProbe(TimePoint now, Actions &out)
{
    const Duration indirectProbeLifetime = this->settings.probeInterval;
    std::erase_if(this->pendingIndirectProbes,
                  [now, indirectProbeLifetime](const IndirectProbe &sentProbe) { return now - sentProbe.sentAt > indirectProbeLifetime; });
    if (this->probe.subject == 0) {
        return;
    }
    const Duration elapsed = now - this->probe.sentAt;
    if (elapsed >= this->settings.probeInterval) {
        this->isViewOutdated = this->table.beginSuspicion(this->probe.subject, now) || this->isViewOutdated;
        this->sendPing(this->probe.subject, this->nextSequence++, out); // lets the member refute the suspicion
        this->probe.subject = 0;
        this->startProbeBurst(now, out);
    } else if (elapsed >= this->settings.probeTimeout && !this->probe.indirectRequested) {
        this->probe.indirectRequested = true;
        this->requestIndirectProbes(out);
    }
}

void Membership::timePing(MemberId peer, uint64_t sequence)
{
    const MemberEntry *entry = this->table.find(peer);
    if (entry == nullptr || entry->record.zone != this->ownRecord.zone) {
        return;
    }
    if (this->timedPings.size() >= maxTimedPings) {
        this->timedPings.pop_front();
    }
    this->timedPings.push_back({ sequence, peer, this->clock.now() });
}

void Membership::timeRoundTrip(const PingAck &ack)
{
    const auto ping = std::find_if(this->timedPings.begin(), this->timedPings.end(), [&ack](const TimedPing &sent) { return sent.sequence == ack.sequence; });
    if (ping == this->timedPings.end() || ping->subject != ack.sender.id) {
        return;
    }
    if (this->roundTrips.size() < maxTimedPings) { // bounds memory when nobody takes them
        this->roundTrips.push_back({ ack.sender.id, this->clock.now() - ping->sentAt });
    }
    this->timedPings.erase(ping); // an answer may arrive twice
}

std::vector<ProbeRoundTrip> Membership::takeRoundTrips()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->roundTrips, {});
}

/** Probes several members at once after a suspicion, so that the loss of half a zone is detected within two intervals instead of a full probe round. */
void Membership::startProbeBurst(TimePoint now, Actions &out)
{
    if (now - this->lastProbeBurst < this->settings.probeInterval) {
        return;
    }
    this->lastProbeBurst = now;
    std::vector<MemberId> subjects;
    for (const auto &[member, entry] : this->table.all()) {
        if (entry.record.zone == this->ownRecord.zone && isLive(entry.record.state) && entry.record.state != MemberState::Suspect) {
            subjects.push_back(member);
        }
    }
    for (const MemberId subject : this->randomSample(std::move(subjects), this->settings.burstProbeCount)) {
        this->burstProbes.push_back({ this->nextSequence, subject, now });
        this->sendPing(subject, this->nextSequence++, out);
    }
}

/** Suspects the members that did not answer and pings them, so that live ones can refute the suspicion. */
void Membership::checkProbeBurst(TimePoint now, Actions &out)
{
    bool isAnySuspected = false;
    std::erase_if(this->burstProbes, [&](const BurstProbe &sentProbe) {
        if (now - sentProbe.sentAt < this->settings.probeInterval) {
            return false;
        }
        isAnySuspected = this->table.beginSuspicion(sentProbe.subject, now) || isAnySuspected;
        this->sendPing(sentProbe.subject, this->nextSequence++, out);
        return true;
    });
    if (isAnySuspected) {
        this->isViewOutdated = true;
        this->startProbeBurst(now, out);
    }
}

/** Pings up to two members of each other zone; the answers report the health of their zones. */
void Membership::pingOtherZones(TimePoint now, Actions &out)
{
    this->lastZonePing = now;
    for (auto &[zone, members] : this->peersByZone()) {
        if (zone == this->ownRecord.zone) {
            continue;
        }
        for (const MemberId member : this->randomSample(std::move(members), 2)) {
            this->sendPing(member, this->nextSequence++, out);
        }
    }
}

void Membership::startProbe(TimePoint now, Actions &out)
{
    const MemberId subject = this->nextProbeSubject();
    if (subject == 0 || this->probe.subject != 0) {
        return;
    }
    this->probe = Probe{ this->nextSequence++, subject, now, false };
    this->sendPing(subject, this->probe.sequence, out);
}

/** The next member in a shuffled round over the live members of the local zone; 0 when there is none. */
MemberId Membership::nextProbeSubject()
{
    for (int round = 0; round < 2; ++round) {
        while (this->nextProbeIndex < this->probeOrder.size()) {
            const MemberId candidate = this->probeOrder[this->nextProbeIndex++];
            const MemberEntry *entry = this->table.find(candidate);
            if (entry != nullptr && isLive(entry->record.state)) {
                return candidate;
            }
        }
        this->probeOrder.clear();
        for (const MemberRecord &record : this->table.liveMembersIn(this->ownRecord.zone)) {
            this->probeOrder.push_back(record.id);
        }
        std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->random);
        this->nextProbeIndex = 0;
    }
    return 0;
}

void Membership::requestIndirectProbes(Actions &out)
{
    const MemberEntry *subject = this->table.find(this->probe.subject);
    if (subject == nullptr) {
        return;
    }
    std::vector<MemberId> intermediaries;
    for (const MemberRecord &record : this->table.liveMembersIn(this->ownRecord.zone)) {
        if (record.id != this->probe.subject) {
            intermediaries.push_back(record.id);
        }
    }
    for (const MemberId intermediary : this->randomSample(std::move(intermediaries), this->settings.indirectProbes)) {
        out.sendToPeer(intermediary, PingRequest{ this->probe.sequence, this->ownRecord, subject->record });
    }
}

std::vector<MemberId> Membership::randomSample(std::vector<MemberId> candidates, size_t maxCount)
{
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    if (candidates.size() > maxCount) {
        candidates.resize(maxCount);
    }
    return candidates;
}

} // namespace hornbeam
