#include "apps/overloadrotation.h"

namespace hornbeam {

namespace {
using Json = nlohmann::ordered_json;

constexpr Duration lateAnswersPeriod = seconds(2); // after the last signal; suspicions are refuted within this time

int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}
}

OverloadRotation::OverloadRotation(const FlowServiceSettings &flows, const MemberRecord &self, const Clock &clock, Counters &counters, LogFunction logEvent)
    : clock(clock)
    , counters(counters)
    , logEvent(std::move(logEvent))
    , isEnabled(flows.canLeaveRotation && flows.canLeaveWhenOverloaded)
    , detector(flows.overload)
    , rotation(flows.overload, self, clock.now())
{
}

void OverloadRotation::addSample(const LoadSample &sample)
{
    this->detector.addSample(sample, this->clock.now());
}

void OverloadRotation::onMessage(const RotationReport &report)
{
    this->rotation.onMessage(report, this->clock.now());
}

void OverloadRotation::update(Membership &membership, const RotationPolicy &policy, Actions &out)
{
    const TimePoint now = this->clock.now();
    for (const ProbeRoundTrip &roundTrip : membership.takeRoundTrips()) {
        this->detector.addRoundTrip(roundTrip.member, roundTrip.time, now);
        this->rotation.addAnswer(roundTrip.member, now);
    }
    if (!this->isEnabled) {
        return;
    }
    const TimePoint phaseSince = this->rotation.phaseSince();
    this->lastVerdict = this->detector.verdict(now);
    if (this->lastVerdict.cause == OverloadCause::RoundTrips) {
        this->answersLateAt = now;
    }
    // While answers are late, RotationPolicy counts members as lost that are not; the number of members that answer is counted in InstanceRotation.
    const bool areAnswersLate = this->answersLateAt != TimePoint{} && now - this->answersLateAt < lateAnswersPeriod;
    const bool isImpaired = policy.isOutOfRotation() || (!policy.isZoneHealthy() && !areAnswersLate);
    const RotationZone zone{ membership.members(), policy.countedInstances(), isImpaired, areAnswersLate };
    const RotationEvent event = this->rotation.update(zone, this->lastVerdict, this->detector.hasPromptAnswer(now), now, out);
    this->logChange(event, this->lastVerdict, now - phaseSince);
}

void OverloadRotation::logChange(RotationEvent event, const OverloadVerdict &verdict, Duration timeInPhase)
{
    const auto membersOut = static_cast<uint64_t>(this->describeMembers().size());
    switch (event) {
    case RotationEvent::None:
    case RotationEvent::Count:
        return;
    case RotationEvent::Overloaded:
        this->counters.add(Counter::OverloadsDetected);
        this->logEvent("overload_detected",
                       { { "cause", nameOf(verdict.cause) }, { "delay_ms", toMillis(verdict.delay) }, { "members_affected", membersOut } });
        return;
    case RotationEvent::Recovered:
        this->logEvent("overload_ended", { { "lasted_ms", toMillis(timeInPhase) } });
        return;
    case RotationEvent::Left:
        this->counters.add(Counter::OverloadDepartures);
        this->logEvent("overload_rotation_left",
                       { { "cause", nameOf(verdict.cause) },
                         { "delay_ms", toMillis(verdict.delay) },
                         { "min_time_out_ms", toMillis(this->rotation.minTimeOut()) },
                         { "members_affected", membersOut } });
        return;
    case RotationEvent::Recalled:
        this->counters.add(Counter::OverloadRecalls);
        [[fallthrough]];
    case RotationEvent::Returned:
        this->logEvent("overload_rotation_rejoined",
                       { { "reason", event == RotationEvent::Recalled ? "limit" : "recovered" },
                         { "out_ms", toMillis(timeInPhase) },
                         { "members_affected", membersOut } });
        return;
    }
}

bool OverloadRotation::isOut() const
{
    return this->isEnabled && this->rotation.isOut();
}

std::string OverloadRotation::gauges() const
{
    size_t membersOut = 0;
    for (const auto &[member, report] : this->rotation.memberReports(this->clock.now())) {
        membersOut += report.phase == RotationPhase::Out ? 1 : 0;
    }
    return "hornbeam_overload_out " + std::string(this->isOut() ? "1" : "0") + "\nhornbeam_overload_members_out " + std::to_string(membersOut)
        + "\nhornbeam_overload_delay_milliseconds " + std::to_string(toMillis(this->lastVerdict.delay)) + "\n";
}

Json OverloadRotation::describeSelf() const
{
    return { { "enabled", this->isEnabled },
             { "phase", nameOf(this->rotation.phase()) },
             { "phase_age_ms", toMillis(this->clock.now() - this->rotation.phaseSince()) },
             { "cause", nameOf(this->lastVerdict.cause) },
             { "delay_ms", toMillis(this->lastVerdict.delay) },
             { "min_time_out_ms", toMillis(this->rotation.minTimeOut()) } };
}

Json OverloadRotation::describeMembers() const
{
    Json members = Json::array();
    for (const auto &[member, report] : this->rotation.memberReports(this->clock.now())) {
        members.push_back({ { "member", member }, { "phase", nameOf(report.phase) }, { "phase_age_ms", report.ageMs }, { "delay_ms", report.delayMs } });
    }
    return members;
}

} // namespace hornbeam
