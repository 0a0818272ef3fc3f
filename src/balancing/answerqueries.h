#pragma once

// Queries to all other members whether a target that refuses connections has answered flows of theirs. An instance that has few flows of a target can't tell
// one that callers of other instances have filled from one that has ended.
//
// A query is sent `rounds` times, because datagrams get lost and answers come meanwhile. Only members with recent answers respond. Queries of several targets
// share datagrams. Traffic: `rounds` datagrams of 24 bytes and 9 bytes more per target to each member, while a target is suspected; nothing otherwise.

#include "core/clock.h"
#include "peer/actions.h"
#include "peer/directory.h"

#include <map>

namespace hornbeam {

struct AnswerQuerySettings
{
    uint32_t rounds = 2;                   // datagrams of a query to each member
    Duration interval = milliseconds(80);  // between two rounds, and from the last one to the result; several round trips between zones
    Duration lifetime = milliseconds(200); // of a result; the check that uses it may take 50 ms
    size_t maxTargets = 100;               // per datagram
    double maxRoundsPerSecond = 20;        // datagrams to each member; further queries wait
};

/** What the other members have said about a target. */
enum class AnswerEvidence : uint8_t {
    Unqueried,  // no query has been started, or its result is too old
    Pending,    // the query has not ended
    Unanswered, // no member has reported an answer within the time of the query, or there are no other members
    Answered,   // a member has
};

/** Knows which targets have answered the flows of this instance. */
class AnswerSource
{
public:
    virtual ~AnswerSource() = default;

    /** When a target last answered a flow of this instance; TimePoint{} if it never has. */
    virtual TimePoint lastAnswerOf(uint32_t token) const = 0;
};

/** Not thread safe: owned by one event loop. */
class AnswerQueries
{
public:
    /** Precondition: the directory and the clock outlive this object. */
    AnswerQueries(const AnswerQuerySettings &settings, const MemberDirectory &members, const Clock &clock);

    /** Sets who knows the answers to this instance's flows; may be null. Precondition: the source outlives its use. */
    void setSource(const AnswerSource *source);
    /** Starts a query about a target, unless one is pending. `within`: maximum age of an answer that counts at the end of the query. */
    void begin(uint32_t token, Duration within);
    /** The result of the latest query about a target. */
    AnswerEvidence evidenceOf(uint32_t token) const;
    /** Ends a query about a target and discards its result. No effect without one. */
    void discard(uint32_t token);
    /** From begin() to the result, if datagrams may be sent at once. */
    Duration duration() const;

    /** Sends the datagrams that are due. Call it about every 20 ms. */
    void tick(Actions &out);
    void onMessage(const AnswerQuery &query, Actions &out) const;
    void onMessage(const AnswerResponse &response);

    /** Queries begun, and those that ended with a member's answer, in the Prometheus text format. */
    std::string metricsText() const;

private:
    struct Query
    {
        Duration within{ 0 };
        uint32_t sent = 0;          // rounds
        uint64_t firstSequence = 0; // of the first round
        TimePoint lastSent;
        TimePoint answeredAt; // the latest answer that a member has reported; TimePoint{} if none has
    };

    bool hasEnded(const Query &query, TimePoint now) const;
    std::vector<MemberId> otherMembers() const;

    const AnswerQuerySettings settings;
    const MemberDirectory &members;
    const Clock &clock;
    const AnswerSource *source = nullptr;
    std::map<uint32_t, Query> queries; // by routing token
    uint64_t nextSequence;
    double allowedRounds; // token bucket
    TimePoint lastTick;
    uint64_t begun = 0;
    uint64_t answered = 0;
};

} // namespace hornbeam
