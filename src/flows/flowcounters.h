#pragma once

// Counters for flow forwarding, including one for each reason to drop a packet or to send a reset to a caller.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeam {

/** Why a packet was dropped without a reply. */
enum class DropReason : uint8_t {
    None,
    Malformed,         // not a valid flow packet
    NoConfiguration,   // the configuration has not been loaded yet
    NoTargets,         // the target list has not been loaded yet
    RouteUnconfirmed,  // no matching route, but the configuration may be stale
    TargetUnconfirmed, // the token matches no known target, but the target list may be stale
    NoToken,           // a packet other than an opening packet carries no token
    NoEvacuations,     // the evacuated zones have not been loaded yet
    AlreadyOpen,       // a late copy of an open flow's opening packet, whose target may not be sent one now
    Count,
};

/** Why a caller was sent a reset. */
enum class ResetReason : uint8_t {
    None,
    RouteUnknown,   // no route matches the address
    RouteDropped,   // the active configuration no longer contains the flow's route
    NoTarget,       // no target of the service accepts new flows
    TargetDeparted, // the process of the flow's target has ended
    TargetSilent,   // the flow's target does not answer and connection checks of it fail
    TargetUnknown,  // the token matches no target, even after the target list was reloaded
    Overloaded,     // the service's targets are congested; the flow was not opened
    Restricted,     // all usable targets are excluded from new flows, by an evacuation or while they warm up
    Evacuated,      // all usable targets are in evacuated zones
    Count,
};

enum class FlowCounter : uint8_t {
    PacketsForwarded,
    FlowsPlaced,     // opening packets of new flows sent to a target
    FlowsMoved,      // retransmitted opening packets sent to a different target
    FlowsForgotten,  // flow states evicted because the flow table was full
    PlacedOtherZone, // flows placed on a target in another availability zone
    ChecksBegun,     // connection checks of targets started
    ChecksFailed,
    TargetsSilenced,    // targets marked silent
    TargetsRecovered,   // silent targets back in use
    SendsRefused,       // datagrams rejected by the kernel
    EvacuationsBegun,   // evacuations of a zone that came into force here
    ColdOpenings,       // opening packets sent to cold targets
    WarmupLimited,      // opening packets refused because all usable targets are cold and have received their limit
    ChecksInconclusive, // refused checks of targets that may be overloaded
    RefusedByWaiting,   // new flows refused because of the expected waiting time of their service
    PlacedOtherShare,   // flows placed on another service of their route because the selected one had no capacity
    PlacedByZoneShare,  // flows placed in another availability zone because of the zone's share
    MembersQueried,     // queries to other members whether a target that refuses connections answers them
    AnsweringOthers,    // such targets that had answered another member
    Count,
};

std::string_view nameOf(DropReason reason);
std::string_view nameOf(ResetReason reason);
std::string_view nameOf(FlowCounter counter);

/** Not thread safe: owned by one event loop. */
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
    /** All counters in the Prometheus text exposition format. */
    std::string text() const;
};

} // namespace hornbeam
