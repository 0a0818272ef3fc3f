#pragma once

// Divides limits among the members of the own zone, so that two members never use the same share within a second, whatever their views of the zone are:
// docs/design/warm-up.md.

#include "balancing/budgetshares.h"
#include "core/clock.h"
#include "peer/actions.h"
#include "peer/messages.h"

#include <deque>
#include <limits>
#include <map>
#include <unordered_map>
#include <vector>

namespace hornbeam {

/** How many of the instances that the settings or the store name this one has heard of. */
struct SeedContact
{
    size_t seeds = 0;
    size_t met = 0;
};

struct AgreementSettings
{
    Duration interval = milliseconds(500);            // between two rounds of confirmations
    uint32_t confirmationBytes = 100;                 // of a confirmation on the wire, with all headers
    uint32_t bytesPerSecond = 6000;                   // sent by an instance; zones in which a round takes more have longer intervals
    uint32_t validIntervals = 3;                      // how long a confirmation counts, in intervals
    Duration window = milliseconds(1100);             // a second, and the time by which the delays of two packets to a target may differ
    Duration needTimeout = seconds(3);                // a member that asked for confirmations gets them for this long
    Duration memberRetention = std::chrono::hours(1); // a dead member counts towards the size of the zone for this long
    uint32_t holdersPerKey = 4;                       // members that share the limit of one key
};

/**
 * The members of a zone send each other hashes of their views. A member uses its shares while two thirds of all known members have confirmed its view within
 * the last `validIntervals`, and if it has met two thirds of its seeds, so that an instance that was never connected uses none. A member confirms a view only
 * when the confirmations that it has given to earlier ones have expired for longer than `window`. So two views that differ by less than a third of their
 * members are never in use within the same window. Not thread safe: owned by one event loop.
 */
class ViewAgreement final : public BudgetShares
{
public:
    /** Precondition: `self` has an identifier, a zone and an incarnation that differs from that of earlier processes with the identifier. */
    ViewAgreement(const AgreementSettings &settings, const MemberRecord &self, TimePoint now);

    /** Sets the records of the members of all zones, including this one. */
    void setMembers(const std::vector<MemberRecord> &members, const SeedContact &contact, TimePoint now);
    /** Whether this instance needs shares now. */
    void setNeeded(bool isNeeded);
    void onMessage(const ViewConfirmation &confirmation, TimePoint now);
    /** Sends confirmations that are due. */
    void tick(TimePoint now, Actions &out);

    /** Whether enough members agree with this one's view. */
    bool isConfirmed(TimePoint now) const;
    uint32_t shareOf(uint64_t key, uint32_t total, TimePoint now) const override;
    /** Members that must agree, including this one. */
    size_t quorum() const;
    /** Members of the zone that share limits. */
    size_t holderCount() const;

private:
    struct Peer
    {
        Incarnation incarnation = 0;
        uint64_t sequence = 0; // of its latest confirmation
        TimePoint confirmedAt; // it sent that no earlier than this; TimePoint{} if that is unknown
        uint64_t viewHash = 0; // that it confirmed
        bool isHeld = false;
    };
    struct Round
    {
        uint64_t sequence = 0;
        TimePoint sentAt;
    };

    Duration intervalOf(size_t members) const;
    uint64_t hashOfView() const;
    size_t rankOf(uint64_t key) const;
    Duration validity() const;
    void updateConfirmedUntil();

    const AgreementSettings settings;
    const MemberRecord self;
    std::vector<MemberRecord> holders;   // sorted by identifier
    std::map<MemberId, TimePoint> known; // members that may be running, with the time when they were last listed
    uint64_t viewHash = 0;
    bool isHolder = false;
    bool hasMetSeeds = true;
    TimePoint mayConfirmFrom;
    TimePoint confirmedUntil;
    std::map<MemberId, Peer> peers;
    std::deque<Round> rounds; // recent ones, oldest first
    uint64_t sequence = 0;
    TimePoint nextRound;
    TimePoint neededUntil; // by another member
    bool isNeeded = false;
    mutable std::unordered_map<uint64_t, size_t> ranks; // cache for the current view
};

} // namespace hornbeam
