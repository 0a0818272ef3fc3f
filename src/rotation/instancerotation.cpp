#include "rotation/instancerotation.h"

#include <algorithm>
#include <array>
#include <limits>

namespace hornbeam {

namespace {
constexpr uint32_t percent = 100;
constexpr Duration recoveryPeriod = seconds(1);      // without a signal of overload; 5 probes
constexpr Duration excessPeriod = milliseconds(200); // longer than a refuted suspicion
constexpr Duration failedReturnPeriod = seconds(30); // an overload within this time after a return means that the return has failed
constexpr Duration answerRetention = seconds(1);     // of probes' answers as evidence against a suspicion
constexpr uint32_t maxDoublings = 16;                // of the minimum time out; maxTimeOut bounds it earlier
constexpr uint64_t reportBytes = 62;                 // of a sealed report, at most
constexpr uint64_t reportBytesPerSecond = 6000;      // about a third of an instance's control traffic
constexpr uint32_t intervalsUntilExpiry = 6;         // at a loss of a third, one of 700 reports expires while it is repeated
constexpr uint32_t reportsOfChange = 2;              // sent when an instance is ready again; other phases are repeated until they end

uint32_t toMillis(Duration duration)
{
    const auto millis = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<uint32_t>(std::clamp<int64_t>(millis, 0, std::numeric_limits<uint32_t>::max()));
}
}

std::string_view nameOf(RotationPhase phase)
{
    constexpr std::array<std::string_view, 3> names{ "ready", "overloaded", "out" };
    return names.at(static_cast<size_t>(phase));
}

InstanceRotation::InstanceRotation(const OverloadSettings &settings, const MemberRecord &self, TimePoint startedAt)
    : settings(settings), self(self.id), ownZone(self.zone), since(startedAt), mayLeaveFrom(startedAt + settings.minTimeIn), interval(settings.reportInterval)
{
}

void InstanceRotation::onMessage(const RotationReport &report, TimePoint now)
{
    Report &known = this->reports[report.sender];
    const RotationReport &last = known.report;
    const bool isNewer = report.incarnation > last.incarnation || (report.incarnation == last.incarnation && report.sequence > last.sequence);
    if (isNewer) {
        known = { report, now };
    }
}

void InstanceRotation::addAnswer(MemberId member, TimePoint now)
{
    this->answers[member] = now;
}

RotationEvent InstanceRotation::update(const RotationZone &zone, const OverloadVerdict &verdict, bool isRecovered, TimePoint now, Actions &out)
{
    std::erase_if(this->answers, [now](const auto &entry) { return now - entry.second > answerRetention; });
    std::erase_if(this->reports, [&zone](const auto &entry) {
        return std::none_of(zone.members.begin(), zone.members.end(), [&entry](const MemberRecord &member) { return member.id == entry.first; });
    });
    if (verdict.isOverloaded()) {
        this->calmSince = {};
    } else if (this->calmSince == TimePoint{}) {
        this->calmSince = now;
    }
    const RotationEvent event = this->decide(this->count(zone, now), verdict, isRecovered, now);
    if (this->current != RotationPhase::Out && verdict.isOverloaded() && now >= this->nextReportAt) {
        this->reportedDelayMs = toMillis(verdict.delay);
    }
    this->sendReports(zone, now, out);
    return event;
}

InstanceRotation::Counts InstanceRotation::count(const RotationZone &zone, TimePoint now) const
{
    Counts counts;
    for (const MemberRecord &member : zone.members) {
        if (member.zone != this->ownZone || !this->isAlive(zone, member, now)) {
            continue;
        }
        ++counts.alive;
        counts.isSelfAlive = counts.isSelfAlive || member.id == this->self;
        const RotationReport *report = this->validReport(member, now);
        const RotationPhase phase = member.id == this->self ? this->current : report == nullptr ? RotationPhase::Ready : report->phase;
        counts.overloaded += phase == RotationPhase::Overloaded ? 1 : 0;
        counts.out += phase == RotationPhase::Out ? 1 : 0;
        counts.worse += report != nullptr && phase == this->current && this->isWorse(*report) ? 1 : 0;
    }
    const uint32_t minReady = (zone.counted * this->settings.minReadyPercent + percent - 1) / percent;
    if (!zone.isImpaired && counts.alive > minReady) {
        counts.allowedOut = std::min(counts.alive * this->settings.maxOutPercent / percent, counts.alive - minReady);
    }
    return counts;
}

// Suspected members count as lost, unless their answers explain the suspicion: they came, but late.
bool InstanceRotation::isAlive(const RotationZone &zone, const MemberRecord &member, TimePoint now) const
{
    const bool isDoubted = member.state == MemberState::Suspect || member.state == MemberState::Dead;
    const auto answer = this->answers.find(member.id);
    const bool hasAnswered = answer != this->answers.end() && now - answer->second <= answerRetention;
    return member.state == MemberState::Alive || (isDoubted && zone.areAnswersLate && hasAnswered);
}

bool InstanceRotation::isWorse(const RotationReport &report) const
{
    return report.delayMs != this->reportedDelayMs ? report.delayMs > this->reportedDelayMs : report.sender < this->self;
}

const RotationReport *InstanceRotation::validReport(const MemberRecord &member, TimePoint now) const
{
    const auto known = this->reports.find(member.id);
    const bool isValid = known != this->reports.end() && known->second.report.incarnation == member.incarnation
        && now - known->second.receivedAt <= intervalsUntilExpiry * this->interval;
    return isValid ? &known->second.report : nullptr;
}

RotationEvent InstanceRotation::decide(const Counts &counts, const OverloadVerdict &verdict, bool isRecovered, TimePoint now)
{
    switch (this->current) {
    case RotationPhase::Ready:
        if (verdict.isOverloaded() && counts.isSelfAlive && now >= this->mayLeaveFrom) {
            this->enter(RotationPhase::Overloaded, now);
            return RotationEvent::Overloaded;
        }
        return RotationEvent::None;
    case RotationPhase::Overloaded:
        return this->decideOverloaded(counts, verdict, now);
    case RotationPhase::Out:
        break;
    }
    return this->decideOut(counts, isRecovered, now);
}

RotationEvent InstanceRotation::decideOverloaded(const Counts &counts, const OverloadVerdict &verdict, TimePoint now)
{
    if (!verdict.isOverloaded()) {
        if (now - this->calmSince < recoveryPeriod) {
            return RotationEvent::None;
        }
        this->enter(RotationPhase::Ready, now);
        return RotationEvent::Recovered;
    }
    // reports are delayed as much as other packets of overloaded instances
    const Duration agreementDelay = this->settings.agreementDelay + std::min<Duration>(2 * verdict.delay, seconds(1));
    if (!counts.isSelfAlive || now - this->since < agreementDelay || counts.isZoneOverloaded() || counts.out + counts.worse >= counts.allowedOut) {
        return RotationEvent::None;
    }
    const bool hasReturnFailed = this->returnedAt != TimePoint{} && now - this->returnedAt < failedReturnPeriod;
    this->failedReturns = hasReturnFailed ? std::min(this->failedReturns + 1, maxDoublings) : 0;
    this->enter(RotationPhase::Out, now);
    return RotationEvent::Left;
}

RotationEvent InstanceRotation::decideOut(const Counts &counts, bool isRecovered, TimePoint now)
{
    const bool isExcess = counts.out > counts.allowedOut && counts.worse >= counts.allowedOut;
    if (!isExcess) {
        this->excessSince = {};
    } else if (this->excessSince == TimePoint{}) {
        this->excessSince = now;
    }
    const bool isRecalled = isExcess && now - this->excessSince >= excessPeriod;
    const bool isCalm = this->calmSince != TimePoint{} && now - this->calmSince >= recoveryPeriod;
    // When most members are overloaded, their answers are late whatever the state of this instance, and its capacity is needed.
    const bool canReturn = (isCalm && isRecovered) || counts.isZoneOverloaded();
    if (!isRecalled && (!canReturn || now - this->since < this->minTimeOut())) {
        return RotationEvent::None;
    }
    this->enter(RotationPhase::Ready, now);
    this->returnedAt = now;
    this->mayLeaveFrom = now + this->settings.minTimeIn;
    this->excessSince = {};
    return isRecalled ? RotationEvent::Recalled : RotationEvent::Returned;
}

void InstanceRotation::enter(RotationPhase next, TimePoint now)
{
    this->current = next;
    this->since = now;
    this->nextReportAt = now;
    this->changeReports = reportsOfChange;
}

// Reports a change at once and again within `agreementDelay`, in case the first report is lost; then at the interval.
void InstanceRotation::sendReports(const RotationZone &zone, TimePoint now, Actions &out)
{
    std::vector<MemberId> recipients;
    Incarnation incarnation = 0;
    for (const MemberRecord &member : zone.members) {
        const bool isReachable = member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (member.zone == this->ownZone && member.id != this->self && isReachable) {
            recipients.push_back(member.id);
        }
        incarnation = member.id == this->self ? member.incarnation : incarnation;
    }
    const Duration budgeted = milliseconds(recipients.size() * reportBytes * 1000 / reportBytesPerSecond);
    this->interval = std::max(this->settings.reportInterval, budgeted);
    if (now < this->nextReportAt || (this->current == RotationPhase::Ready && this->changeReports == 0)) {
        return;
    }
    this->nextReportAt = now + (this->changeReports > 0 ? std::min(this->settings.agreementDelay / 2, this->interval) : this->interval);
    this->changeReports -= this->changeReports > 0 ? 1 : 0;
    const RotationReport report{ this->self, incarnation, ++this->sequence, this->current, toMillis(now - this->since), this->reportedDelayMs };
    for (const MemberId recipient : recipients) {
        out.sendToPeer(recipient, report);
    }
}

RotationPhase InstanceRotation::phase() const
{
    return this->current;
}

bool InstanceRotation::isOut() const
{
    return this->current == RotationPhase::Out;
}

TimePoint InstanceRotation::phaseSince() const
{
    return this->since;
}

Duration InstanceRotation::minTimeOut() const
{
    return std::min<Duration>(this->settings.minTimeOut * (int64_t(1) << this->failedReturns), this->settings.maxTimeOut);
}

std::map<MemberId, RotationReport> InstanceRotation::memberReports(TimePoint now) const
{
    std::map<MemberId, RotationReport> valid;
    for (const auto &[member, known] : this->reports) {
        if (known.report.phase != RotationPhase::Ready && now - known.receivedAt <= intervalsUntilExpiry * this->interval) {
            valid[member] = known.report;
        }
    }
    return valid;
}

} // namespace hornbeam
