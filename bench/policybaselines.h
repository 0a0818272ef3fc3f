#pragma once

// Ways to choose targets that the policy is compared with.

#include "node/node.h"

#include <map>
#include <memory>

namespace hornbeam::bench {

enum class Baseline : uint8_t {
    Hash,        // weighted rendezvous hashing without state
    LeastLoaded, // each instance's own least-loaded target
    AllKnowing,  // one dispatcher that sees every slot at once, and queues
};

/** Places in use, as whoever shares this board sees them. */
struct BusyBoard
{
    std::map<std::pair<TargetId, SlotKind>, uint32_t> used;
};

/** Grants and refuses at ticks. Not thread safe. */
class BaselinePlaces final : public SlotProvider
{
public:
    /** Precondition: the references outlive this. */
    BaselinePlaces(Baseline baseline, std::shared_ptr<BusyBoard> board, const Clock &clock, const TableSource &tables);

    void setListeners(SlotListener &requests, SlotListener &feeds) override;

    void acquireSlot(const AcquireParams &want, Actions &out) override;
    void releaseSlot(uint64_t request, SlotOutcome outcome, Duration latency, Actions &out) override;
    void tick(Actions &out) override;

private:
    struct Wish
    {
        AcquireParams want;
        TimePoint deadline;
    };
    struct Held
    {
        TargetId target = 0;
        SlotKind kind = SlotKind::Request;
    };
    const TargetRow *choose(const ServiceTable &table, const AcquireParams &want) const;

    const Baseline baseline;
    const std::shared_ptr<BusyBoard> board;
    const Clock &clock;
    const TableSource &tables;
    SlotListener *requests = nullptr;
    SlotListener *feeds = nullptr;
    std::vector<Wish> wishes;
    std::map<uint64_t, Held> held;
};

} // namespace hornbeam::bench
