#include "slots/targetstate.h"

#include "core/coap.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {

constexpr uint32_t maxDoublings = 10;
constexpr uint8_t payloadMarker = 0xFF; // RFC 7252, 3

Duration exponentialBackoff(Duration base, uint32_t times, Duration limit)
{
    return std::min(base * (1U << std::min(times, maxDoublings)), limit);
}

/** Decodes an option's delta or length from its 4-bit field (RFC 7252, 3.1); advances `at` past the extended bytes. */
std::optional<size_t> optionLength(const Bytes &packet, size_t &at, uint8_t nibble)
{
    if (nibble < 13) {
        return nibble;
    }
    const size_t extension = nibble == 13 ? 1 : 2;
    if (nibble == 15 || at + extension > packet.size()) {
        return std::nullopt;
    }
    const size_t length = nibble == 13 ? packet[at] + 13U : ((static_cast<size_t>(packet[at]) << 8U) | packet[at + 1]) + 269U;
    at += extension;
    return length;
}

/** Offset of the payload; the size of the datagram when there is none or an option is malformed. */
size_t payloadOffset(const Bytes &packet, size_t tailOffset)
{
    size_t at = tailOffset;
    while (at < packet.size()) {
        const uint8_t head = packet[at++];
        if (head == payloadMarker) {
            return at;
        }
        const auto delta = optionLength(packet, at, head >> 4U);
        const auto length = optionLength(packet, at, head & 15U);
        if (!delta.has_value() || !length.has_value()) {
            return packet.size();
        }
        at += *length;
    }
    return packet.size();
}

bool readFlag(const nlohmann::json &report, const char *name, bool &flag)
{
    const auto found = report.find(name);
    if (found == report.end()) {
        return true;
    }
    flag = found->is_boolean() && found->get<bool>();
    return found->is_boolean();
}

} // namespace

std::optional<HealthReport> parseHealth(const Bytes &packet, size_t tailOffset)
{
    const size_t offset = payloadOffset(packet, tailOffset);
    const auto begin = packet.begin() + static_cast<std::ptrdiff_t>(offset);
    const auto json = nlohmann::json::parse(begin, packet.end(), nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    HealthReport report;
    const auto load = json.find("load");
    const auto busy = json.find("busy");
    if (load == json.end() || !load->is_number() || busy == json.end() || !busy->is_number_unsigned()) {
        return std::nullopt;
    }
    report.load = load->get<double>();
    report.busy = static_cast<uint32_t>(std::min<uint64_t>(busy->get<uint64_t>(), UINT32_MAX));
    const bool inRange = report.load >= 0 && report.load <= 1;
    if (!inRange || !readFlag(json, "draining", report.draining) || !readFlag(json, "cold", report.cold)) {
        return std::nullopt;
    }
    return report;
}

Bytes buildProbe(uint16_t messageId, const Bytes &token)
{
    return buildCoap(CoapType::Confirmable, CoapCode::Get, messageId, token, { { optionUriPath, optionValue(std::string_view("health")) } }, "");
}

void TargetState::beginSlowStart(TimePoint now)
{
    this->rampStart = now;
}

void TargetState::recordOutcome(SlotOutcome outcome, const SlotAllocatorSettings &settings, TimePoint now, bool mayEject)
{
    switch (outcome) {
    case SlotOutcome::Answered:
        this->answeredAt = now;
        this->consecutiveTimeouts = 0;
        this->consecutiveSheds = 0;
        this->consecutiveEjections = 0;
        break;
    case SlotOutcome::Shed:
        this->consecutiveTimeouts = 0; // the target responded
        this->backOffUntil = now + exponentialBackoff(settings.baseShedBackoff, this->consecutiveSheds, settings.maxShedBackoff);
        ++this->consecutiveSheds;
        break;
    case SlotOutcome::TimedOut:
    case SlotOutcome::Reset:
        if (this->isEjected(now)) {
            break; // the request was sent before the ejection
        }
        ++this->consecutiveTimeouts;
        if (this->consecutiveTimeouts >= settings.timeoutsToEject && mayEject) {
            this->ejectedUntil = now + exponentialBackoff(settings.baseEjection, this->consecutiveEjections, settings.maxEjection);
            ++this->consecutiveEjections;
            this->consecutiveTimeouts = 0;
            this->rampStart = this->ejectedUntil; // after the ejection it starts with one slot
        }
        break;
    case SlotOutcome::Cancelled:
        break;
    }
}

void TargetState::recordHealth(const HealthReport &report, TimePoint now)
{
    this->probeFailures = 0;
    this->draining = report.draining;
    this->load = report.load;
    this->loadAt = now;
    if (report.cold && !this->reportsCold) {
        this->rampStart = now; // only on the transition: a target that always reports cold still ramps up to all its slots
    }
    this->reportsCold = report.cold;
}

void TargetState::recordProbeFailure()
{
    ++this->probeFailures;
}

bool TargetState::isEjected(TimePoint now) const
{
    return now < this->ejectedUntil;
}

bool TargetState::isFailed(const SlotAllocatorSettings &settings, TimePoint now) const
{
    const bool hasRecentAnswer = this->answeredAt.has_value() && now - *this->answeredAt <= settings.answerMaxAge;
    return this->probeFailures >= settings.probeFailures && !hasRecentAnswer;
}

bool TargetState::isBackingOff(TimePoint now) const
{
    return now < this->backOffUntil;
}

uint32_t TargetState::usableSlots(uint32_t slots, const SlotAllocatorSettings &settings, TimePoint now) const
{
    if (!this->rampStart.has_value() || now >= *this->rampStart + settings.slowStart) {
        return slots;
    }
    const double share = std::max(0.0, std::chrono::duration<double>(now - *this->rampStart) / std::chrono::duration<double>(settings.slowStart));
    return std::clamp(static_cast<uint32_t>(slots * share), 1U, slots);
}

double TargetState::reportedExcess(uint32_t busy, uint32_t slots, const SlotAllocatorSettings &settings, TimePoint now) const
{
    if (!this->loadAt.has_value() || now - *this->loadAt >= settings.loadReportMaxAge) {
        return 0;
    }
    const double freshness = 1.0 - std::chrono::duration<double>(now - *this->loadAt) / std::chrono::duration<double>(settings.loadReportMaxAge);
    // Whole slots only, so that noise in reports doesn't break ties.
    return std::floor(std::max(0.0, this->load * slots - busy) * freshness);
}

} // namespace hornbeam
