#pragma once

// Logs the decisions of the flow forwarder with the state that they are based on.

#include "apps/eventlog.h"
#include "flows/flowforwarder.h"

namespace hornbeam {

/** Not thread safe: one event loop owns it. */
class FlowLog final : public FlowObserver
{
public:
    /** Precondition: the log and the clock outlive this object. */
    FlowLog(EventLog &log, const Clock &clock);

    void onPlaced(const FlowState &state, const Route &route, const PlacementInputs &inputs) override;
    void onOpeningRepeated(const FlowState &state, const Route &route, uint64_t version) override;
    void onNotAdmitted(const FlowReset &reset, const Route &route, const Target &target, const AdmissionVerdict &verdict) override;
    void onRestricted(const FlowReset &reset, ResetReason reason, const Route &route, const Placement &placement) override;
    void onReset(const FlowReset &reset, ResetReason reason, const FlowState *state) override;
    void onDropped(const FlowPacket &packet, DropReason reason) override;
    void onTargetChange(const TargetChange &change) override;
    void onTargetHealth(const Target &target, CheckOutcome outcome) override;
    void onMembersQueried(const Target &target, Duration answerAge) override;
    void onAnsweringOthers(const Target &target) override;
    void onTargetSuspected(const Target &target, Duration grace) override;
    void onZoneShareChange(const ZoneShareChange &change) override;
    void onTargetWarmup(const Target &target, bool isCold, std::optional<uint32_t> limit) override;

private:
    int64_t ageMillis(TimePoint since) const;

    EventLog &log;
    const Clock &clock;
};

} // namespace hornbeam
