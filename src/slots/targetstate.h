#pragma once

// What a keeper knows of one target: its own observations first, then probes, which may lag or be wrong.

#include "peer/messages.h"
#include "slots/settings.h"
#include "table/servicetable.h"

#include <optional>

namespace hornbeam {

/** What a target's health endpoint says of it. */
struct HealthReport
{
    double load = 0; // 0 to 1
    uint32_t busy = 0;
    bool draining = false;
    bool cold = false;
};

/** Reads a health answer: the datagram whose options begin at `tailOffset`. Returns nothing when it is malformed. Thread safe. */
std::optional<HealthReport> parseHealth(const Bytes &packet, size_t tailOffset);

/** A confirmable GET /health. Thread safe. */
Bytes buildProbe(uint16_t messageId, const Bytes &token);

/** Not thread safe: the keeper's mutex guards it. */
class TargetState
{
public:
    /** Starts the slow start ramp, for a target that is new or comes back. */
    void beginSlowStart(TimePoint now);
    /** Takes in how a request ended. `mayEject` is false when too many targets are ejected. */
    void recordOutcome(SlotOutcome outcome, const SlotAllocatorSettings &settings, TimePoint now, bool mayEject);
    /** Takes in an answer to a probe. */
    void recordHealth(const HealthReport &report, TimePoint now);
    /** Takes in a probe without a good answer. */
    void recordProbeFailure();

    /** Whether consecutive time-outs have excluded it for now. */
    bool isEjected(TimePoint now) const;
    /** Whether probes fail and no real answer speaks against them. */
    bool isFailed(const SlotAllocatorSettings &settings, TimePoint now) const;
    /** Whether this keeper has had any answer of it: a target that was never heard may have left while another keeper probed it. */
    bool hasResponded() const
    {
        return this->loadAt.has_value() || this->answeredAt.has_value();
    }
    /** Whether it just shed a request. */
    bool isBackingOff(TimePoint now) const;
    /** Whether its health endpoint says that it leaves. */
    bool isDraining() const
    {
        return this->draining;
    }
    /** Slots that may be used now: the row's, or fewer during slow start; at least 1. */
    uint32_t usableSlots(uint32_t slots, const SlotAllocatorSettings &settings, TimePoint now) const;
    /** Slots that the target reports as busy beyond `busy`, discounted by the report's age. */
    double reportedExcess(uint32_t busy, uint32_t slots, const SlotAllocatorSettings &settings, TimePoint now) const;

    // the probe in progress, and notices; kept by the keeper
    uint64_t probeNumber = 0; // 0 when none is in progress
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
