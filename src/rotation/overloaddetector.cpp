#include "rotation/overloaddetector.h"

#include <algorithm>
#include <array>
#include <set>

namespace hornbeam {

namespace {
constexpr uint32_t percent = 100;
constexpr size_t maxEntries = 256;                // of each kind; bounds memory when messages are replayed
constexpr size_t minStalls = 4;                   // of a series; fewer are pauses
constexpr size_t minRoundTrips = 4;               // one probe is sent every 200 ms
constexpr size_t minProbedMembers = 3;            // whose answers were late; a smaller zone is too small to leave
constexpr uint32_t minRefusals = 10;              // single refusals are lost packets
constexpr Duration stallsGap = milliseconds(500); // undisturbed time that ends a series of stalls
constexpr Duration stallMemory = seconds(5);
constexpr Duration observation = seconds(1); // of round trips and sends

template<typename Entry, typename TimeOf>
void trim(std::deque<Entry> &entries, TimePoint cutoff, TimeOf timeOf)
{
    while (!entries.empty() && (timeOf(entries.front()) < cutoff || entries.size() > maxEntries)) {
        entries.pop_front();
    }
}
}

std::string_view nameOf(OverloadCause cause)
{
    constexpr std::array<std::string_view, static_cast<size_t>(OverloadCause::Count)> names{ "none", "stalls", "backlog", "round_trips", "refused_sends" };
    return names.at(static_cast<size_t>(cause));
}

OverloadDetector::OverloadDetector(const OverloadSettings &settings) : settings(settings)
{
}

void OverloadDetector::addSample(const LoadSample &sample, TimePoint now)
{
    if (sample.tickDelay > this->settings.maxDelay) {
        this->stalls.push_back({ now, sample.tickDelay });
    }
    if (!sample.isBacklogged) {
        this->backloggedSince = {};
    } else if (this->backloggedSince == TimePoint{}) {
        this->backloggedSince = now;
    }
    if (sample.packetsSent + sample.sendsRefused > 0) {
        this->sends.push_back({ now, sample.packetsSent, sample.sendsRefused });
    }
    trim(this->stalls, now - stallMemory, [](const Stall &stall) { return stall.end; });
    trim(this->sends, now - observation, [](const Sends &entry) { return entry.at; });
    trim(this->roundTrips, now - observation, [](const RoundTrip &entry) { return entry.at; });
}

void OverloadDetector::addRoundTrip(MemberId member, Duration roundTrip, TimePoint now)
{
    this->roundTrips.push_back({ now, member, roundTrip });
    trim(this->roundTrips, now - observation, [](const RoundTrip &entry) { return entry.at; });
}

OverloadVerdict OverloadDetector::verdict(TimePoint now) const
{
    const std::pair<OverloadCause, Duration> signals[] = { { OverloadCause::Stalls, this->stallDelay(now) },
                                                           { OverloadCause::Backlog, this->backlogDelay(now) },
                                                           { OverloadCause::RoundTrips, this->roundTripDelay(now) },
                                                           { OverloadCause::RefusedSends, this->refusalDelay(now) } };
    OverloadVerdict worst;
    for (const auto &[cause, delay] : signals) {
        if (delay > worst.delay) {
            worst = { cause, delay };
        }
    }
    return worst;
}

bool OverloadDetector::hasPromptAnswer(TimePoint now) const
{
    return std::any_of(this->roundTrips.begin(), this->roundTrips.end(),
                       [&](const RoundTrip &entry) { return entry.time <= this->settings.maxDelay && now - entry.at <= observation; });
}

// The mean length of the latest series of stalls without its longest one; 0 if the process was held up too little.
Duration OverloadDetector::stallDelay(TimePoint now) const
{
    TimePoint begin = now;
    Duration total{ 0 };
    Duration longest{ 0 };
    size_t count = 0;
    for (auto stall = this->stalls.rbegin(); stall != this->stalls.rend() && begin - stall->end <= stallsGap; ++stall) {
        begin = stall->end - stall->length;
        total += stall->length;
        longest = std::max(longest, stall->length);
        ++count;
    }
    const Duration observed = now - begin - longest;
    const Duration stalled = total - longest;
    if (count < minStalls || observed < this->settings.confirmationPeriod || stalled * percent < observed * this->settings.stalledPercent) {
        return Duration{ 0 };
    }
    return stalled / (count - 1);
}

Duration OverloadDetector::backlogDelay(TimePoint now) const
{
    const bool isLasting = this->backloggedSince != TimePoint{} && now - this->backloggedSince >= this->settings.confirmationPeriod;
    return isLasting ? now - this->backloggedSince : Duration{ 0 };
}

// The shortest round trip of the last second; 0 if one was prompt or there are too few.
Duration OverloadDetector::roundTripDelay(TimePoint now) const
{
    TimePoint first = now;
    TimePoint last;
    Duration shortest = Duration::max();
    std::set<MemberId> members;
    size_t count = 0;
    for (const RoundTrip &entry : this->roundTrips) {
        if (now - entry.at <= observation) {
            first = std::min(first, entry.at);
            last = entry.at;
            shortest = std::min(shortest, entry.time);
            members.insert(entry.member);
            ++count;
        }
    }
    const bool isConclusive = count >= minRoundTrips && members.size() >= minProbedMembers && last - first >= this->settings.confirmationPeriod;
    return isConclusive && shortest > this->settings.maxDelay ? shortest : Duration{ 0 };
}

// The kernel refuses packets when its buffer is full, so that the others wait at least as long as the refusals have lasted.
Duration OverloadDetector::refusalDelay(TimePoint now) const
{
    uint64_t sent = 0;
    uint64_t refused = 0;
    TimePoint first;
    TimePoint last;
    for (const Sends &entry : this->sends) {
        if (now - entry.at > observation) {
            continue;
        }
        sent += entry.sent;
        refused += entry.refused;
        if (entry.refused > 0) {
            first = first == TimePoint{} ? entry.at : first;
            last = entry.at;
        }
    }
    const bool isLasting = last - first >= this->settings.confirmationPeriod;
    const bool isConclusive = refused >= minRefusals && refused * percent >= (sent + refused) * this->settings.refusedPercent;
    return isLasting && isConclusive ? last - first : Duration{ 0 };
}

} // namespace hornbeam
