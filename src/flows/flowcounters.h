#pragma once

// Counters of the forwarding of flows: one for each reason for which a packet is not forwarded or a caller is sent a reset.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeam {

/** Why a packet was dropped without an answer. */
enum class DropReason : uint8_t {
    None,
    Malformed,         // not a packet of a flow
    NoConfiguration,   // no configuration has been read yet
    NoTargets,         // no list of targets has been read yet
    RouteUnconfirmed,  // no route is known, and the configuration may be out of date
    TargetUnconfirmed, // the token names no known target, and the list may be out of date
    NoToken,           // a packet that does not open a flow carries no token
    Count,
};

/** Why a caller was sent a reset. */
enum class ResetReason : uint8_t {
    None,
    RouteUnknown,   // no route has the address
    RouteDropped,   // the configuration in force no longer has the flow's route
    NoTarget,       // no target of the service can take a new flow
    TargetDeparted, // the flow's target is gone
    TargetSilent,   // the flow's target doesn't answer and can't be connected to
    TargetUnknown,  // no target has the token, also after the list was read anew
    Count,
};

enum class FlowCounter : uint8_t {
    PacketsForwarded,
    FlowsPlaced,     // opening packets sent to a target that was chosen for them
    FlowsMoved,      // repeated opening packets sent to another target than the first
    FlowsForgotten,  // flows dropped from the memory because it was full
    PlacedOtherZone, // flows placed at a target of another availability zone
    ChecksBegun,     // connection checks of targets
    ChecksFailed,
    TargetsSilenced,  // targets that were found silent
    TargetsRecovered, // silent targets that answer again
    SendsRefused,     // datagrams that the kernel did not take
    Count,
};

std::string_view nameOf(DropReason reason);
std::string_view nameOf(ResetReason reason);
std::string_view nameOf(FlowCounter counter);

/** Not thread safe: one event loop owns it. */
struct FlowCounters
{
    std::array<uint64_t, static_cast<size_t>(DropReason::Count)> drops{};
    std::array<uint64_t, static_cast<size_t>(ResetReason::Count)> resets{};
    std::array<uint64_t, static_cast<size_t>(FlowCounter::Count)> events{};

    void add(DropReason reason)
    {
        ++this->drops[static_cast<size_t>(reason)];
    }
    void add(ResetReason reason)
    {
        ++this->resets[static_cast<size_t>(reason)];
    }
    void add(FlowCounter counter, uint64_t amount = 1)
    {
        this->events[static_cast<size_t>(counter)] += amount;
    }
    uint64_t value(DropReason reason) const
    {
        return this->drops[static_cast<size_t>(reason)];
    }
    uint64_t value(ResetReason reason) const
    {
        return this->resets[static_cast<size_t>(reason)];
    }
    uint64_t value(FlowCounter counter) const
    {
        return this->events[static_cast<size_t>(counter)];
    }
    /** All counters in the text exposition format that monitoring systems read. */
    std::string text() const;
};

} // namespace hornbeam
