#include "tunables.h"

#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {

/** One number of the settings; durations are in ms. */
struct Tunable
{
    const char *group;
    const char *key;
    uint64_t low;
    uint64_t high;
    uint64_t (*get)(const NodeSettings &node);
    void (*set)(NodeSettings &node, uint64_t number);
};

uint64_t toNumber(Duration duration)
{
    return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(duration).count());
}

template<typename Number>
uint64_t toNumber(Number number)
{
    return static_cast<uint64_t>(number);
}

void assign(Duration &field, uint64_t number)
{
    field = milliseconds(number);
}

template<typename Number>
void assign(Number &field, uint64_t number)
{
    field = static_cast<Number>(number);
}

template<auto Part, auto Field>
constexpr Tunable tunable(const char *group, const char *key, uint64_t low, uint64_t high)
{
    return { group,
             key,
             low,
             high,
             [](const NodeSettings &node) { return toNumber(node.*Part.*Field); },
             [](NodeSettings &node, uint64_t number) { assign(node.*Part.*Field, number); } };
}

constexpr uint64_t maxBytes = 1ULL << 30U;
constexpr uint64_t hourMs = 3600'000;
constexpr uint64_t minuteMs = 60'000;

constexpr Tunable tunables[] = {
    tunable<&NodeSettings::requests, &RequestSettings::queueTimeout>("requests", "queue_patience_ms", 1, 60000),
    tunable<&NodeSettings::requests, &RequestSettings::responseTimeout>("requests", "answer_patience_ms", 1, 120000),
    tunable<&NodeSettings::requests, &RequestSettings::attemptTimeout>("requests", "attempt_patience_ms", 1, 120000),
    tunable<&NodeSettings::requests, &RequestSettings::maxRecordBytes>("requests", "record_bytes", 1U << 20U, maxBytes),
    tunable<&NodeSettings::requests, &RequestSettings::maxInProgress>("requests", "max_in_progress", 1, 1U << 20U),
    tunable<&NodeSettings::requests, &RequestSettings::maxRetries>("requests", "max_retries", 0, 10),
    tunable<&NodeSettings::feeds, &FeedSettings::refreshInterval>("feeds", "silence_ms", 1000, hourMs),
    tunable<&NodeSettings::feeds, &FeedSettings::answerAttempts>("feeds", "answer_attempts", 1, 10),
    tunable<&NodeSettings::feeds, &FeedSettings::confirmInterval>("feeds", "confirm_interval_ms", 1000, 24 * hourMs),
    tunable<&NodeSettings::feeds, &FeedSettings::confirmAttempts>("feeds", "confirm_attempts", 1, 10),
    tunable<&NodeSettings::feeds, &FeedSettings::moveBytesPerSecond>("feeds", "move_bytes_per_second", 100, 1'000'000),
    tunable<&NodeSettings::feeds, &FeedSettings::copyBytes>("feeds", "copy_bytes", 1U << 20U, maxBytes),
    tunable<&NodeSettings::slotAllocator, &SlotAllocatorSettings::rebuildWait>("slots", "rebuild_wait_ms", 100, 60000),
    tunable<&NodeSettings::slotAllocator, &SlotAllocatorSettings::slowStart>("slots", "cold_start_ms", 1, 10 * minuteMs),
    tunable<&NodeSettings::slotAllocator, &SlotAllocatorSettings::maxEjectedPercent>("slots", "most_ejected_percent", 0, 100),
    tunable<&NodeSettings::slotAllocator, &SlotAllocatorSettings::boundedLoadPercent>("slots", "bounded_load_percent", 100, 1000),
    tunable<&NodeSettings::membership, &MembershipSettings::probeInterval>("membership", "probe_interval_ms", 100, 5000),
    tunable<&NodeSettings::membership, &MembershipSettings::probeTimeout>("membership", "probe_timeout_ms", 10, 4999),
    tunable<&NodeSettings::membership, &MembershipSettings::suspicionTimeout>("membership", "suspicion_ms", 500, 30000),
    tunable<&NodeSettings::membership, &MembershipSettings::digestInterval>("membership", "digest_interval_ms", 200, 10000),
    tunable<&NodeSettings::membership, &MembershipSettings::zoneTimeout>("membership", "zone_silence_ms", 601, 60000),
    tunable<&NodeSettings::membership, &MembershipSettings::indirectProbes>("membership", "indirect_probes", 1, 10),
};

/** One number of a part of the settings of the flows; durations are in ms. */
template<typename Part>
struct PartTunable
{
    const char *key;
    uint64_t low;
    uint64_t high;
    uint64_t (*get)(const Part &part);
    void (*set)(Part &part, uint64_t number);
};

template<typename Part, auto Field>
constexpr PartTunable<Part> partTunable(const char *key, uint64_t low, uint64_t high)
{
    return { key, low, high, [](const Part &part) { return toNumber(part.*Field); }, [](Part &part, uint64_t number) { assign(part.*Field, number); } };
}

template<auto Field>
constexpr PartTunable<FlowSettings> flowTunable(const char *key, uint64_t low, uint64_t high)
{
    return partTunable<FlowSettings, Field>(key, low, high);
}

template<auto Field>
constexpr PartTunable<OverloadSettings> overloadTunable(const char *key, uint64_t low, uint64_t high)
{
    return partTunable<OverloadSettings, Field>(key, low, high);
}

template<auto Part, auto Field>
constexpr PartTunable<FlowSettings> flowPartTunable(const char *key, uint64_t low, uint64_t high)
{
    return { key, low, high, [](const FlowSettings &flows) { return toNumber(flows.*Part.*Field); },
             [](FlowSettings &flows, uint64_t number) { assign(flows.*Part.*Field, number); } };
}

constexpr PartTunable<OverloadSettings> overloadTunables[] = {
    overloadTunable<&OverloadSettings::maxDelay>("overload_delay_ms", 10, 5000),
    overloadTunable<&OverloadSettings::confirmationPeriod>("overload_period_ms", 100, minuteMs),
    overloadTunable<&OverloadSettings::stalledPercent>("overload_stalled_percent", 1, 100),
    overloadTunable<&OverloadSettings::refusedPercent>("overload_refused_percent", 1, 100),
    overloadTunable<&OverloadSettings::maxOutPercent>("overload_out_percent", 0, 50),
    overloadTunable<&OverloadSettings::minReadyPercent>("overload_ready_percent", 50, 100),
    overloadTunable<&OverloadSettings::agreementDelay>("overload_agreement_ms", 50, 10'000),
    overloadTunable<&OverloadSettings::reportInterval>("overload_report_ms", 100, 10'000),
    overloadTunable<&OverloadSettings::minTimeOut>("overload_min_out_ms", 500, 10 * minuteMs),
    overloadTunable<&OverloadSettings::maxTimeOut>("overload_max_out_ms", 500, 10 * minuteMs),
    overloadTunable<&OverloadSettings::minTimeIn>("overload_min_in_ms", 500, 10 * minuteMs),
};

constexpr PartTunable<FlowSettings> flowTunables[] = {
    flowTunable<&FlowSettings::missingTimeout>("absence_ms", 100, minuteMs),
    flowTunable<&FlowSettings::entryExpiryDelay>("entry_lapse_ms", 100, minuteMs),
    flowTunable<&FlowSettings::tokenLifetime>("token_lifetime_ms", 1000, hourMs),
    flowTunable<&FlowSettings::freshnessLifetime>("freshness_ms", 100, minuteMs),
    flowTunable<&FlowSettings::openingTimeout>("opening_patience_ms", 5, 1000),
    flowTunable<&FlowSettings::minAnswerTimeout>("answer_patience_ms", 5, 60'000),
    flowTunable<&FlowSettings::answerTimeoutFactor>("late_factor", 1, 100),
    flowTunable<&FlowSettings::maxRelatedChecks>("sweep_checks", 0, 10'000),
    flowTunable<&FlowSettings::refusalGrace>("ending_patience_ms", 0, 60'000),
    flowTunable<&FlowSettings::recentAnswerAge>("recent_answer_ms", 0, 60'000),
    flowTunable<&FlowSettings::overloadAnswerAge>("overload_answer_age_ms", 0, 60'000),
    flowTunable<&FlowSettings::overloadGrace>("overload_grace_ms", 0, 60'000),
    flowTunable<&FlowSettings::overloadGracePerInstance>("overload_grace_instance_ms", 0, 60'000),
    flowTunable<&FlowSettings::maxOverloadGrace>("overload_grace_max_ms", 0, 60'000),
    flowTunable<&FlowSettings::memberAnswerAge>("member_answer_age_ms", 0, 60'000),
    flowTunable<&FlowSettings::fullTargetMargin>("full_target_margin", 0, 1000),
    flowTunable<&FlowSettings::checkInterval>("check_interval_ms", 10, minuteMs),
    flowTunable<&FlowSettings::checkTimeout>("check_timeout_ms", 10, 5000),
    flowTunable<&FlowSettings::longCheckTimeout>("long_check_timeout_ms", 10, 5000),
    flowTunable<&FlowSettings::checkFailureThreshold>("checks_to_fail", 1, 10),
    flowTunable<&FlowSettings::initialRecheckDelay>("silent_check_ms", 10, minuteMs),
    flowTunable<&FlowSettings::maxRecheckDelay>("silent_check_max_ms", 10, minuteMs),
    flowTunable<&FlowSettings::outstandingTimeout>("outstanding_timeout_ms", 10, hourMs),
    flowTunable<&FlowSettings::openFlowPercent>("open_flow_percent", 0, 1000),
    flowTunable<&FlowSettings::maxOpeningMoves>("opening_moves", 0, 10),
    flowTunable<&FlowSettings::ownZonePercent>("own_zone_percent", 100, 1'000'000),
    flowTunable<&FlowSettings::zoneRouting>("zone_routing", 0, 1),
    flowTunable<&FlowSettings::zoneMinGain>("zone_min_gain_ms", 0, minuteMs),
    flowTunable<&FlowSettings::zoneBytePrice>("zone_price_ms_per_kb", 0, minuteMs),
    flowTunable<&FlowSettings::zoneMaxUsePercent>("zone_max_use_percent", 1, 1000),
    flowTunable<&FlowSettings::zoneStepPercent>("zone_step_percent", 1, 100),
    flowTunable<&FlowSettings::zoneReportInterval>("zone_report_interval_ms", 100, 5000),
    flowTunable<&FlowSettings::maxSlowness>("slowness_cap", 1, 100),
    flowTunable<&FlowSettings::minAnswersForSlowness>("answers_to_judge", 1, 1000),
    flowTunable<&FlowSettings::congestionLimitPercent>("congestion_limit_percent", 1, 1'000'000),
    flowTunable<&FlowSettings::overloadLimitPercent>("overload_limit_percent", 1, 1'000'000),
    flowTunable<&FlowSettings::overloadRejectedPercent>("overload_rejected_percent", 1, 100),
    flowTunable<&FlowSettings::minAnswersForAdmission>("answers_to_admit", 1, 1'000'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::limitPercent>("waiting_limit_percent", 0, 1'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::overloadLimitPercent>("waiting_overload_percent", 0, 100),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::preferredDemandPercent>("preferred_demand_percent", 0, 1'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::targetQueue>("target_queue", 1, 10'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::minAnswers>("answers_to_expect", 1, 1'000'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::responseAge>("response_age_ms", 50, 60'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::overflowPercent>("share_overflow_percent", 0, 100),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::window>("waiting_window_ms", 20, 10'000),
    flowPartTunable<&FlowSettings::waiting, &WaitingSettings::ackDelay>("ack_delay_ms", 0, 1'000),
    flowPartTunable<&FlowSettings::reports, &LoadReportSettings::loadPercent>("report_load_percent", 0, 1'000),
    flowPartTunable<&FlowSettings::reports, &LoadReportSettings::bytesPerSecond>("report_bytes_per_second", 500, 1'000'000),
    flowPartTunable<&FlowSettings::reports, &LoadReportSettings::interval>("report_interval_ms", 50, 10'000),
    flowPartTunable<&FlowSettings::reports, &LoadReportSettings::lifetime>("report_lifetime_ms", 100, 60'000),
    flowTunable<&FlowSettings::choiceCandidates>("choice_candidates", 0, 100),
    flowTunable<&FlowSettings::warmupWindow>("warmup_window_ms", 1000, 10'000),
    flowTunable<&FlowSettings::maxFlows>("max_flows", 1, 1U << 24U),
};

template<typename Rows, typename Part>
void readPart(const Rows &rows, JsonFields &fields, Part &part)
{
    for (const auto &row : rows) {
        uint64_t number = row.get(part);
        fields.number(row.key, row.low, row.high, number);
        if (fields.has(row.key)) { // a default that follows from a bound may be a fraction
            row.set(part, number);
        }
    }
}

template<typename Rows, typename Part>
void writePart(const Rows &rows, const Part &part, nlohmann::json &object)
{
    for (const auto &row : rows) {
        object[row.key] = row.get(part);
    }
}

/** What the ranges of single values can't say. */
void checkTogether(const std::string &group, const NodeSettings &node, JsonFields &part)
{
    if (group == "requests" && node.requests.attemptTimeout > node.requests.responseTimeout) {
        part.fault("attempt_patience_ms", "at most answer_patience_ms");
    }
    if (group == "membership" && node.membership.probeTimeout >= node.membership.probeInterval) {
        part.fault("probe_timeout_ms", "less than probe_interval_ms");
    }
    if (group == "membership" && node.membership.zoneTimeout <= 3 * node.membership.digestInterval) {
        part.fault("zone_silence_ms", "more than 3 times digest_interval_ms");
    }
}

} // namespace

void readTunables(JsonFields &fields, NodeSettings &node, std::vector<Fault> &faults)
{
    for (const std::string group : { "requests", "feeds", "slots", "membership" }) {
        const nlohmann::json *object = fields.object(group);
        if (object == nullptr) {
            continue;
        }
        JsonFields part(*object, group, faults);
        for (const Tunable &row : tunables) {
            if (group != row.group) {
                continue;
            }
            uint64_t number = row.get(node);
            part.number(row.key, row.low, row.high, number);
            row.set(node, number);
        }
        checkTogether(group, node, part);
        part.finish();
    }
}

void readFlowTunables(JsonFields &fields, FlowSettings &flows)
{
    readPart(flowTunables, fields, flows);
    if (fields.has("warmup_excess")) {
        constexpr double highestExcess = 1000;
        flows.warmupExcess = 1;
        fields.decimal("warmup_excess", 0, highestExcess, *flows.warmupExcess);
    }
    constexpr double highestSlack = 1'000'000;
    fields.decimal("warmup_slack", 0, highestSlack, flows.warmupSlack);
}

void writeFlowTunables(const FlowSettings &flows, nlohmann::json &object)
{
    writePart(flowTunables, flows, object);
    if (flows.warmupExcess.has_value()) {
        object["warmup_excess"] = decimalToJson(*flows.warmupExcess);
    }
    object["warmup_slack"] = decimalToJson(flows.warmupSlack);
}

void readOverloadTunables(JsonFields &fields, OverloadSettings &overload)
{
    readPart(overloadTunables, fields, overload);
}

void writeOverloadTunables(const OverloadSettings &overload, nlohmann::json &object)
{
    writePart(overloadTunables, overload, object);
}

void writeTunables(const NodeSettings &node, nlohmann::json &object)
{
    for (const Tunable &row : tunables) {
        object[row.group][row.key] = row.get(node);
    }
}

} // namespace hornbeam
