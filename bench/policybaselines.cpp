#include "policybaselines.h"

#include "slots/slotclient.h"
#include "slots/targetchoice.h"

#include <algorithm>

namespace hornbeam::bench {

BaselinePlaces::BaselinePlaces(Baseline baseline, std::shared_ptr<BusyBoard> board, const Clock &clock, const TableSource &tables)
    : baseline(baseline), board(std::move(board)), clock(clock), tables(tables)
{
}

void BaselinePlaces::setListeners(SlotListener &requests, SlotListener &feeds)
{
    this->requests = &requests;
    this->feeds = &feeds;
}

void BaselinePlaces::acquireSlot(const AcquireParams &want, Actions &)
{
    this->wishes.push_back({ want, this->clock.now() + want.queueTimeout });
}

void BaselinePlaces::releaseSlot(uint64_t request, SlotOutcome, Duration, Actions &)
{
    std::erase_if(this->wishes, [request](const Wish &wish) { return wish.want.request == request; });
    const auto found = this->held.find(request);
    if (found != this->held.end()) {
        --this->board->used[{ found->second.target, found->second.kind }];
        this->held.erase(found);
    }
}

const TargetRow *BaselinePlaces::choose(const ServiceTable &table, const AcquireParams &want) const
{
    std::vector<Candidate> candidates;
    for (const TargetRow &row : table.rows) {
        if (row.state != RowState::Active || row.weight == 0 || row.id == want.avoid) {
            continue;
        }
        const uint32_t slots = want.kind == SlotKind::Request ? row.slots : row.connections;
        const auto used = this->board->used.find({ row.id, want.kind });
        const uint32_t busy = used == this->board->used.end() ? 0 : used->second;
        // the busier a target, the lower its rank; only the all-knowing dispatcher holds requests back
        const bool mayOverbook = this->baseline != Baseline::AllKnowing;
        candidates.push_back({ &row, busy, mayOverbook ? std::max(slots, busy + 1) : slots, 0 });
    }
    if (this->baseline != Baseline::Hash) {
        return chooseForRequest(candidates, want.flow, Preference::Balance);
    }
    const auto best = std::max_element(candidates.begin(), candidates.end(), [&want](const Candidate &a, const Candidate &b) {
        return rendezvousScore(want.flow, a.row->id, a.row->weight) < rendezvousScore(want.flow, b.row->id, b.row->weight);
    });
    return best == candidates.end() ? nullptr : best->row;
}

void BaselinePlaces::tick(Actions &out)
{
    const std::vector<Wish> waiting = std::exchange(this->wishes, {});
    for (const Wish &wish : waiting) {
        const AcquireParams &want = wish.want;
        SlotListener &listener = (want.request & feedRequestBit) != 0 ? *this->feeds : *this->requests;
        const auto table = this->tables.find(want.service);
        const TargetRow *row = table == nullptr ? nullptr : this->choose(*table, want);
        if (row != nullptr) {
            ++this->board->used[{ row->id, want.kind }];
            this->held[want.request] = { row->id, want.kind };
            listener.slotGranted({ want.request, want.service, row->zone, row->id, row->endpoint }, out);
        } else if (this->clock.now() >= wish.deadline) {
            listener.slotRefused(want.request, table == nullptr ? Reason::NoTable : Reason::QueueDeadline, Duration::zero(), out);
        } else {
            this->wishes.push_back(wish);
        }
    }
}

} // namespace hornbeam::bench
