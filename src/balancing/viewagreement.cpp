#include "balancing/viewagreement.h"

#include "core/types.h"
#include "membership/memberview.h"

#include <algorithm>

namespace hornbeam {

namespace {
size_t twoThirds(size_t count)
{
    return (2 * count + 2) / 3;
}
}

ViewAgreement::ViewAgreement(const AgreementSettings &settings, const MemberRecord &self, TimePoint now) : settings(settings), self(self)
{
    this->setMembers({ self }, { 1, 0 }, now); // until the seeds are known
}

void ViewAgreement::setMembers(const std::vector<MemberRecord> &members, const SeedContact &contact, TimePoint now)
{
    const Duration validityBefore = this->validity();
    this->hasMetSeeds = contact.met >= twoThirds(contact.seeds);
    this->holders.clear();
    for (const MemberRecord &member : members) {
        if (member.zone != this->self.zone) {
            continue;
        }
        if (isEligible(member.state)) {
            this->holders.push_back(member);
        }
        if (isEligible(member.state) || member.state == MemberState::Dead) {
            this->known[member.id] = now;
        } else {
            this->known.erase(member.id); // it has announced that it ends
        }
    }
    std::erase_if(this->known, [&](const auto &entry) { return now - entry.second >= this->settings.memberRetention; });
    std::erase_if(this->peers, [&](const auto &entry) { return !this->known.contains(entry.first); });
    std::sort(this->holders.begin(), this->holders.end(), [](const MemberRecord &a, const MemberRecord &b) { return a.id < b.id; });
    this->isHolder = std::any_of(this->holders.begin(), this->holders.end(), [&](const MemberRecord &member) { return member.id == this->self.id; });
    const uint64_t hash = this->hashOfView();
    if (hash != this->viewHash) {
        // Members may use the view that this one has confirmed until then.
        this->mayConfirmFrom = std::max(this->mayConfirmFrom, now + std::max(validityBefore, this->validity()) + this->settings.window);
        this->viewHash = hash;
        this->ranks.clear();
    }
    this->updateConfirmedUntil();
}

void ViewAgreement::setNeeded(bool isNeeded)
{
    this->isNeeded = isNeeded;
}

void ViewAgreement::onMessage(const ViewConfirmation &confirmation, TimePoint now)
{
    if (!this->known.contains(confirmation.sender) || confirmation.sender == this->self.id) {
        return;
    }
    Peer &peer = this->peers[confirmation.sender];
    if (confirmation.incarnation > peer.incarnation) {
        peer = {};
        peer.incarnation = confirmation.incarnation;
    }
    if (confirmation.incarnation < peer.incarnation || confirmation.sequence <= peer.sequence) {
        return; // overtaken by a later one
    }
    peer.sequence = confirmation.sequence;
    peer.viewHash = confirmation.viewHash;
    peer.isHeld = confirmation.isHeld;
    const bool isEcho = confirmation.echoIncarnation == this->self.incarnation;
    const auto round =
        std::find_if(this->rounds.begin(), this->rounds.end(), [&](const Round &sent) { return isEcho && sent.sequence == confirmation.echoSequence; });
    peer.confirmedAt = round == this->rounds.end() ? TimePoint{} : round->sentAt;
    if (confirmation.isNeeded) {
        this->neededUntil = now + this->settings.needTimeout;
    }
    this->updateConfirmedUntil();
}

void ViewAgreement::tick(TimePoint now, Actions &out)
{
    if ((!this->isNeeded && now >= this->neededUntil) || now < this->nextRound) {
        return;
    }
    this->nextRound = now + this->intervalOf(this->holders.size());
    this->rounds.push_back({ ++this->sequence, now });
    while (now - this->rounds.front().sentAt > this->validity()) {
        this->rounds.pop_front();
    }
    ViewConfirmation confirmation;
    confirmation.sender = this->self.id;
    confirmation.incarnation = this->self.incarnation;
    confirmation.sequence = this->sequence;
    confirmation.viewHash = this->viewHash;
    confirmation.isHeld = now >= this->mayConfirmFrom;
    confirmation.isNeeded = this->isNeeded;
    for (const MemberRecord &member : this->holders) {
        if (member.id == this->self.id) {
            continue;
        }
        const auto peer = this->peers.find(member.id);
        confirmation.echoIncarnation = peer == this->peers.end() ? 0 : peer->second.incarnation;
        confirmation.echoSequence = peer == this->peers.end() ? 0 : peer->second.sequence;
        out.sendToPeer(member.id, confirmation);
    }
}

bool ViewAgreement::isConfirmed(TimePoint now) const
{
    return this->isHolder && this->hasMetSeeds && now >= this->mayConfirmFrom && now < this->confirmedUntil;
}

uint32_t ViewAgreement::shareOf(uint64_t key, uint32_t total, TimePoint now) const
{
    if (total == 0 || !this->isConfirmed(now)) {
        return 0;
    }
    const auto holdersOfKey = static_cast<uint32_t>(std::min<size_t>({ this->settings.holdersPerKey, this->holders.size(), total }));
    const size_t rank = this->rankOf(key);
    return rank >= holdersOfKey ? 0 : total / holdersOfKey + (rank < total % holdersOfKey ? 1 : 0);
}

// Two quorums of two thirds have a member in common if the sets of members that they are taken from differ by less than a third.
size_t ViewAgreement::quorum() const
{
    return twoThirds(this->known.size());
}

size_t ViewAgreement::holderCount() const
{
    return this->holders.size();
}

Duration ViewAgreement::intervalOf(size_t members) const
{
    const Duration round = Duration(seconds(1)) * static_cast<int64_t>(members * this->settings.confirmationBytes) / this->settings.bytesPerSecond;
    return std::max(this->settings.interval, round);
}

Duration ViewAgreement::validity() const
{
    return this->settings.validIntervals * this->intervalOf(this->holders.size());
}

uint64_t ViewAgreement::hashOfView() const
{
    uint64_t hash = this->holders.size();
    for (const MemberRecord &member : this->holders) {
        hash = mixHash(mixHash(hash, member.id), member.incarnation);
    }
    return hash;
}

size_t ViewAgreement::rankOf(uint64_t key) const
{
    const auto [cached, isNew] = this->ranks.try_emplace(key, 0);
    if (isNew) {
        const uint64_t own = mixHash(key, this->self.id);
        cached->second = static_cast<size_t>(
            std::count_if(this->holders.begin(), this->holders.end(), [&](const MemberRecord &member) { return mixHash(key, member.id) > own; }));
    }
    return cached->second;
}

void ViewAgreement::updateConfirmedUntil()
{
    const size_t needed = this->quorum();
    if (needed <= 1) {
        this->confirmedUntil = TimePoint::max();
        return;
    }
    std::vector<TimePoint> times;
    for (const auto &[member, peer] : this->peers) {
        if (peer.isHeld && peer.viewHash == this->viewHash && peer.confirmedAt != TimePoint{}) {
            times.push_back(peer.confirmedAt);
        }
    }
    const size_t others = needed - 1; // besides this instance
    if (times.size() < others) {
        this->confirmedUntil = TimePoint{};
        return;
    }
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(others - 1);
    std::nth_element(times.begin(), last, times.end(), std::greater<>());
    this->confirmedUntil = *last + this->validity();
}

} // namespace hornbeam
