#pragma once

// An allocator's state of one target. Outcomes of requests take precedence over probes, which may be late or wrong.

#include "peer/messages.h"
#include "slots/settings.h"
#include "table/servicetable.h"

#include <optional>

namespace hornbeam {

/** The content of a health probe's answer. */
struct HealthReport
{
    double load = 0; // 0 to 1
    uint32_t busy = 0;
    bool draining = false;
    bool cold = false;
};

/** Parses the answer to a health probe: a datagram whose options begin at `tailOffset`. Returns nullopt when it is malformed. Thread safe. */
std::optional<HealthReport> parseHealth(const Bytes &packet, size_t tailOffset);

/** Builds a confirmable GET /health. Thread safe. */
Bytes buildProbe(uint16_t messageId, const Bytes &token);

/** Not thread safe: guarded by the mutex of SlotAllocator. */
class TargetState
{
public:
    /** Begins slow start, for a target that is new or has recovered. */
    void beginSlowStart(TimePoint now);
    /** Records the outcome of a request. `mayEject` is false when the limit on ejected targets is reached. */
    void recordOutcome(SlotOutcome outcome, const SlotAllocatorSettings &settings, TimePoint now, bool mayEject);
    /** Records a valid answer to a probe. */
    void recordHealth(const HealthReport &report, TimePoint now);
    /** Records a probe with no answer or an invalid one. */
    void recordProbeFailure();

    /** Whether the target is ejected because of consecutive timeouts or resets. */
    bool isEjected(TimePoint now) const;
    /** Whether probes fail and no recent answer to a request contradicts them. */
    bool isFailed(const SlotAllocatorSettings &settings, TimePoint now) const;
    /** Whether this allocator has had any answer of the target. One that never answered may have left while another allocator probed it. */
    bool hasResponded() const
    {
        return this->loadAt.has_value() || this->answeredAt.has_value();
    }
    /** Whether the target is in backoff after it shed a request. */
    bool isBackingOff(TimePoint now) const;
    /** Whether the health endpoint reports that the target is draining. */
    bool isDraining() const
    {
        return this->draining;
    }
    /** Number of slots that may be used now: `slots`, or fewer during slow start; at least 1. */
    uint32_t usableSlots(uint32_t slots, const SlotAllocatorSettings &settings, TimePoint now) const;
    /** Number of slots that the target reports as busy beyond `busy`, discounted by the report's age. */
    double reportedExcess(uint32_t busy, uint32_t slots, const SlotAllocatorSettings &settings, TimePoint now) const;

    // Outstanding probe and sent notices, managed by ServiceAllocator.
    uint64_t probeNumber = 0; // 0 when no probe is outstanding
    TimePoint probeSentAt;
    TimePoint nextProbeAt;
    bool leaveNoticeSent = false;
    bool failureNoticeSent = false;
    TimePoint nextNoticeAt;

private:
    std::optional<TimePoint> rampStart;
    bool reportsCold = false;
    bool draining = false;
    double load = 0;
    std::optional<TimePoint> loadAt;
    uint32_t probeFailures = 0;
    std::optional<TimePoint> answeredAt;
    uint32_t consecutiveTimeouts = 0;
    uint32_t consecutiveEjections = 0;
    TimePoint ejectedUntil;
    uint32_t consecutiveSheds = 0;
    TimePoint backOffUntil;
};

} // namespace hornbeam
