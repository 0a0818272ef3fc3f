#include "balancing/answerqueries.h"

#include <algorithm>

namespace hornbeam {

namespace {
constexpr uint64_t clockUnit = 1000; // sequence numbers start at the wall clock in ms times this, so that they increase across restarts
constexpr Duration tickInterval = milliseconds(20);
constexpr uint64_t maxAgeMs = 60'000; // bound of received times

uint32_t toMillis(Duration duration)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(std::chrono::duration_cast<milliseconds>(duration).count(), 0, static_cast<int64_t>(maxAgeMs)));
}
}

AnswerQueries::AnswerQueries(const AnswerQuerySettings &settings, const MemberDirectory &members, const Clock &clock)
    : settings(settings)
    , members(members)
    , clock(clock)
    , nextSequence(clock.wallMillis() * clockUnit + 1)
    , allowedRounds(settings.maxRoundsPerSecond)
    , lastTick(clock.now())
{
}

void AnswerQueries::setSource(const AnswerSource *source)
{
    this->source = source;
}

//--- Queries

void AnswerQueries::begin(uint32_t token, Duration within)
{
    const auto [entry, isNew] = this->queries.try_emplace(token);
    if (!isNew && !this->hasEnded(entry->second, this->clock.now())) {
        return;
    }
    entry->second = {};
    entry->second.within = within;
    ++this->begun;
}

AnswerEvidence AnswerQueries::evidenceOf(uint32_t token) const
{
    const TimePoint now = this->clock.now();
    const auto found = this->queries.find(token);
    if (found == this->queries.end()) {
        return this->otherMembers().empty() ? AnswerEvidence::Unanswered : AnswerEvidence::Unqueried;
    }
    const Query &query = found->second;
    if (!this->hasEnded(query, now)) {
        return AnswerEvidence::Pending;
    }
    if (now - query.lastSent > this->settings.interval + this->settings.lifetime) {
        return AnswerEvidence::Unqueried;
    }
    const bool isAnswered = query.answeredAt != TimePoint{} && now - query.answeredAt < query.within;
    return isAnswered ? AnswerEvidence::Answered : AnswerEvidence::Unanswered;
}

void AnswerQueries::discard(uint32_t token)
{
    this->queries.erase(token);
}

Duration AnswerQueries::duration() const
{
    return this->settings.interval * static_cast<int64_t>(this->settings.rounds) + tickInterval;
}

bool AnswerQueries::hasEnded(const Query &query, TimePoint now) const
{
    return query.sent >= this->settings.rounds && now - query.lastSent >= this->settings.interval;
}

std::vector<MemberId> AnswerQueries::otherMembers() const
{
    const MemberId self = this->members.self().id;
    std::vector<MemberId> others;
    for (const ZoneId zone : this->members.reachableZones()) {
        for (const MemberRecord &member : this->members.eligibleIn(zone)) {
            if (member.id != self) {
                others.push_back(member.id);
            }
        }
    }
    return others;
}

//--- Messages

void AnswerQueries::tick(Actions &out)
{
    const TimePoint now = this->clock.now();
    const double elapsed = std::chrono::duration<double>(now - this->lastTick).count();
    this->lastTick = now;
    this->allowedRounds = std::min(this->settings.maxRoundsPerSecond, this->allowedRounds + elapsed * this->settings.maxRoundsPerSecond);
    std::erase_if(this->queries, [this, now](const auto &entry) {
        return this->hasEnded(entry.second, now) && now - entry.second.lastSent > this->settings.interval + this->settings.lifetime;
    });
    const auto isDue = [this, now](const Query &query) {
        return query.sent == 0 || (query.sent < this->settings.rounds && now - query.lastSent >= this->settings.interval);
    };
    AnswerQuery message{ this->members.self().id, this->nextSequence, {} };
    for (auto &[token, query] : this->queries) {
        if (this->allowedRounds < 1 || message.targets.size() >= this->settings.maxTargets) {
            break;
        }
        if (isDue(query)) {
            query.firstSequence = query.sent == 0 ? message.sequence : query.firstSequence;
            query.lastSent = now;
            ++query.sent;
            message.targets.push_back({ token, toMillis(query.within) });
        }
    }
    if (message.targets.empty()) {
        return;
    }
    --this->allowedRounds;
    ++this->nextSequence;
    for (const MemberId member : this->otherMembers()) {
        out.sendToPeer(member, message);
    }
}

void AnswerQueries::onMessage(const AnswerQuery &query, Actions &out) const
{
    if (this->source == nullptr || query.sender == this->members.self().id) {
        return;
    }
    const TimePoint now = this->clock.now();
    AnswerResponse response{ query.sequence, {} };
    for (const SuspectTarget &target : query.targets) {
        const TimePoint answeredAt = this->source->lastAnswerOf(target.token);
        const Duration within = milliseconds(std::min<uint64_t>(target.withinMs, maxAgeMs));
        if (answeredAt != TimePoint{} && now - answeredAt < within) {
            response.targets.push_back({ target.token, toMillis(now - answeredAt) });
        }
    }
    if (!response.targets.empty()) {
        out.sendToPeer(query.sender, std::move(response));
    }
}

// The age leaves out the time that the response took, which makes an answer look newer by a few milliseconds.
void AnswerQueries::onMessage(const AnswerResponse &response)
{
    const TimePoint now = this->clock.now();
    for (const TargetAnswer &answer : response.targets) {
        const auto found = this->queries.find(answer.token);
        if (found == this->queries.end()) {
            continue;
        }
        Query &query = found->second;
        const bool isOfQuery = query.sent > 0 && response.sequence >= query.firstSequence && response.sequence < this->nextSequence;
        if (isOfQuery && answer.ageMs < maxAgeMs) {
            this->answered += query.answeredAt == TimePoint{} ? 1 : 0;
            query.answeredAt = std::max(query.answeredAt, now - milliseconds(answer.ageMs));
        }
    }
}

std::string AnswerQueries::metricsText() const
{
    return "hornbeam_answer_queries_total " + std::to_string(this->begun) + "\nhornbeam_answer_queries_answered_total " + std::to_string(this->answered) + "\n";
}

} // namespace hornbeam
