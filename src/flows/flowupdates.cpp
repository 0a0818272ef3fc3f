// What the store, members and connection checks tell the forwarder.
//
// Sections: store updates | load and limits | checks

#include "flows/flowforwarder.h"
#include "flows/refusalevidence.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr Duration coldTargetInterval = milliseconds(100); // until a target that has become cold is counted and reported
}

//--- Store updates

RouteTable::Update FlowForwarder::onConfiguration(const RouteConfiguration &configuration, FlowActions &)
{
    const RouteTable::Update update = this->routes.update(configuration);
    if (update == RouteTable::Update::Applied) {
        this->placement.onRoutes(this->routes);
    }
    this->beginEvacuationWait();
    return update;
}

void FlowForwarder::onConfigurationConfirmed(TimePoint answeredAt)
{
    this->configurationConfirmed = std::max(this->configurationConfirmed, answeredAt);
}

void FlowForwarder::onTargets(const std::vector<TargetRecord> &records, TimePoint requestedAt, FlowActions &out)
{
    this->handleTargetChanges(this->directory.updateAll(records, requestedAt, this->clock.now()), out);
    this->placement.onTargetsChanged(); // also records without a change of phase
    this->beginEvacuationWait();
}

void FlowForwarder::onEvacuations(const std::set<ZoneId> &zones)
{
    this->evacuations.update(zones);
    this->placement.onTargetsChanged();
}

void FlowForwarder::beginEvacuationWait()
{
    if (this->routes.isLoaded() && this->directory.isLoaded()) {
        this->evacuations.beginWait(this->clock.now());
    }
}

void FlowForwarder::onTargetChanges(const std::vector<TargetRecord> &updated, const std::vector<std::string> &removed, TimePoint requestedAt, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    for (const TargetRecord &record : updated) {
        this->handleTargetChanges(this->directory.update(record, now), out);
    }
    for (const std::string &name : removed) {
        this->handleTargetChanges(this->directory.remove(name, now), out);
    }
    if (!updated.empty()) {
        this->placement.onTargetsChanged(); // also records without a change of phase
    }
    this->handleTargetChanges(this->directory.confirm(requestedAt, now), out);
}

void FlowForwarder::handleTargetChanges(const std::vector<TargetChange> &changes, FlowActions &out)
{
    if (!changes.empty()) {
        this->placement.onTargetsChanged();
    }
    for (const TargetChange &change : changes) {
        this->observer.onTargetChange(change);
        const TargetPtr &target = change.target;
        if (change.isNew) {
            this->warmup.onListed(*target, this->clock.now());
            if (target->isSilent()) {
                this->scheduleRecheck(target); // a known silent target whose entry has returned
            }
        } else if (target->phase == TargetPhase::Departed) {
            this->resetFlows(target, ResetReason::TargetDeparted, out);
        } else if (target->phase == TargetPhase::Unlisted && target->isSilent()) {
            this->handleTargetChanges(this->directory.markDeparted(target, this->clock.now()), out);
        } else if (target->phase == TargetPhase::Unlisted && !target->isChecking && target->openFlows > 0) {
            this->beginCheck(target, out);
        }
    }
}

//--- Load and limits

void FlowForwarder::setZoneLoads(ZoneLoads *loads)
{
    this->placement.zoneRouting().setLoads(loads);
}

void FlowForwarder::setInstanceCounts(size_t allZones, size_t ownZone)
{
    this->instanceCount = allZones;
    this->placement.setInstanceCounts(allZones, ownZone);
}

OwnLoad FlowForwarder::ownLoad() const
{
    return this->placement.ownLoad();
}

void FlowForwarder::onReportedLoad(const ReportedLoad &load)
{
    this->placement.onReportedLoad(load);
}

void FlowForwarder::setAnswerQueries(AnswerQueries *queries)
{
    this->answerQueries = queries;
}

TimePoint FlowForwarder::lastAnswerOf(uint32_t token) const
{
    const TargetPtr target = this->directory.findToken(token);
    return target != nullptr ? target->lastProgress : TimePoint{};
}

void FlowForwarder::setBudgetShares(const BudgetShares &shares)
{
    this->warmup.setShares(shares);
}

void FlowForwarder::countColdOpening(const Target &target, TimePoint now)
{
    this->counters.add(FlowCounter::ColdOpenings, target.isCold(now) ? 1 : 0);
}

void FlowForwarder::updateColdTargets(TimePoint now)
{
    if (now < this->nextColdUpdate) {
        return;
    }
    this->nextColdUpdate = now + coldTargetInterval;
    const std::vector<TargetPtr> targets = this->directory.all();
    for (const TargetPtr &target : targets) {
        if (target->wasCold != target->isCold(now)) {
            target->wasCold = !target->wasCold;
            this->observer.onTargetWarmup(*target, target->wasCold, this->warmup.limitOf(*target));
        }
    }
    this->cold = this->warmup.count(targets, now);
}

//--- Checks

void FlowForwarder::endCheck(const TargetPtr &target, CheckOutcome outcome, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    const bool wasSilent = target->isSilent();
    const CheckContext context = this->checkContextOf(*target, outcome);
    const HealthVerdict verdict = this->health.endCheck(*target, outcome, context, now);
    this->updateQuery(*target, verdict);
    if (wasSilent != target->isSilent()) {
        this->placement.onTargetsChanged();
        this->observer.onTargetHealth(*target, outcome);
    }
    if (target->isSilent() && target->phase == TargetPhase::Unlisted) {
        this->handleTargetChanges(this->directory.markDeparted(target, now), out);
    } else if (verdict == HealthVerdict::Silent) {
        this->resetFlows(target, ResetReason::TargetSilent, out);
        this->scheduleRecheck(target);
        this->checkRelatedTargets(*target, out);
    } else if (verdict == HealthVerdict::QueryMembers || verdict == HealthVerdict::AwaitMembers || verdict == HealthVerdict::AnsweringOthers) {
        this->scheduleRecheck(target);
    } else if (verdict == HealthVerdict::CheckLater) {
        this->counters.add(FlowCounter::ChecksInconclusive, target->isOverloadSuspected ? 1 : 0);
        if (target->isOverloadSuspected && target->refusedAt == now) {
            this->observer.onTargetSuspected(*target, context.overloadGrace);
        }
        this->scheduleRecheck(target);
    } else if (verdict == HealthVerdict::StillSilent) {
        this->resetFlows(target, ResetReason::TargetSilent, out); // flows that arrived during the check
    } else if (verdict == HealthVerdict::CheckAgain) {
        this->beginCheck(target, out);
        this->checkReferenceTarget(target, out);
    }
}

CheckContext FlowForwarder::checkContextOf(const Target &target, CheckOutcome outcome) const
{
    CheckContext context;
    context.listed = this->directory.listedAt(target);
    if (outcome == CheckOutcome::Refused) {
        const LoadView view{ this->instanceCount, this->ownZone };
        context.mayBeFull = this->mayBeFull(target);
        context.mayBeOverloaded = mayBeOverloaded(target, this->directory.targetsOf(target.record.service), view, this->settings, this->clock.now());
        context.overloadGrace = overloadGraceOf(target, view, this->settings);
        // The entry of an unlisted target has expired, so its process has ended. The connection to another zone may be cut, although members there are
        // answered.
        const bool mayAskMembers = target.phase != TargetPhase::Unlisted && target.record.zone == this->ownZone;
        if (this->answerQueries != nullptr && this->settings.memberAnswerAge > Duration{ 0 } && mayAskMembers) {
            context.otherMembers = this->answerQueries->evidenceOf(target.token);
            context.queryDuration = this->answerQueries->duration();
        }
    }
    return context;
}

// The result of a query only counts for the refusals that it was begun for: after any other outcome, the target may have been filled again.
void FlowForwarder::updateQuery(const Target &target, HealthVerdict verdict)
{
    if (this->answerQueries == nullptr || verdict == HealthVerdict::AwaitMembers) {
        return;
    }
    if (verdict == HealthVerdict::QueryMembers) {
        const Duration answerAge = memberAnswerAgeOf(target, this->settings);
        this->answerQueries->begin(target.token, answerAge);
        this->counters.add(FlowCounter::MembersQueried);
        this->observer.onMembersQueried(target, answerAge);
        return;
    }
    this->answerQueries->discard(target.token);
    if (verdict == HealthVerdict::AnsweringOthers) {
        this->counters.add(FlowCounter::AnsweringOthers);
        this->observer.onAnsweringOthers(target);
    }
}

// This instance sees only its own share of the target's flows.
bool FlowForwarder::mayBeFull(const Target &target) const
{
    const uint32_t limit = this->routes.connectionLimitOf(target.record.service);
    return limit > 0 && this->instanceCount * target.openFlows * this->settings.fullTargetMargin >= limit;
}

// Checks the target with the most recent answer, to find out whether connections get through the own link at all.
void FlowForwarder::checkReferenceTarget(const TargetPtr &suspect, FlowActions &out)
{
    TargetPtr reference;
    for (const TargetPtr &target : this->directory.all()) {
        const bool isUsable = target != suspect && target->phase != TargetPhase::Departed && !target->isSilent() && !target->isChecking;
        if (isUsable && (reference == nullptr || target->lastProgress > reference->lastProgress)) {
            reference = target;
        }
    }
    if (reference != nullptr) {
        this->beginCheck(reference, out);
    }
}

// Faults of hosts, racks and links usually affect several targets, and idle flows reveal nothing until their next request.
void FlowForwarder::checkRelatedTargets(const Target &failed, FlowActions &out)
{
    const TimePoint now = this->clock.now();
    uint32_t left = this->settings.maxRelatedChecks;
    const std::vector<TargetPtr> targets = this->directory.all();
    for (const bool isSameZone : { true, false }) {
        for (const TargetPtr &target : targets) {
            const bool isCandidate = target->phase != TargetPhase::Departed && !target->isSilent() && target->openFlows > 0;
            const bool isSelected = left > 0 && (target->record.zone == failed.record.zone) == isSameZone;
            if (isCandidate && isSelected && this->health.needsCheck(*target, now, now)) {
                --left;
                this->beginCheck(target, out);
            }
        }
    }
}

void FlowForwarder::resetFlows(const TargetPtr &target, ResetReason reason, FlowActions &out)
{
    for (FlowState *state : this->tracker.flowsOf(target)) {
        if (state->isReset || state->isClosing) {
            continue;
        }
        this->counters.add(reason);
        const FlowReset reset{ state->flow, state->isOpen ? state->acknowledged : state->openingSequence };
        out.resets.push_back(reset);
        this->observer.onReset(reset, reason, state);
        this->tracker.markReset(*state);
    }
}

void FlowForwarder::scheduleRecheck(const TargetPtr &target)
{
    if (std::find(this->rechecks.begin(), this->rechecks.end(), target) == this->rechecks.end()) {
        this->rechecks.push_back(target);
    }
}

void FlowForwarder::beginCheck(const TargetPtr &target, FlowActions &out)
{
    out.checks.push_back({ target, this->health.beginCheck(*target, this->clock.now()) });
}

} // namespace hornbeam
