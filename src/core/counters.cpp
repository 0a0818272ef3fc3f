#include "core/counters.h"

namespace hornbeam {

namespace {

constexpr std::string_view counterNames[] = {
    "packets_from_callers", "packets_from_targets",   "packets_from_peers",   "peer_packets_rejected", "stream_messages",
    "stream_rejected",      "control_bytes_sent",     "relay_bytes_sent",     "relays_sent",           "requests_served",
    "echo_values_made",     "repeats_answered",       "records_handed_over",  "records_taken_over",    "slots_granted",
    "slots_reclaimed",      "keeper_rebuilds",        "feeds_opened",         "feeds_closed",          "feeds_moved_in",
    "feeds_moved_out",      "feed_copies_stored",     "notifications_sent",   "targets_probed",        "members_suspected",
    "members_failed",       "table_versions_applied", "table_versions_stale", "table_rows_rejected",   "table_pulls",
    "table_texts_sent",     "platform_calls",         "platform_errors",      "stream_sends_dropped",  "repeats_awaited",
    "store_asks_sent",      "store_asks_unanswered",  "store_news_sent",      "store_news_outdated",   "store_news_taken",
    "answers_unmatched",    "overloads_detected",     "overload_departures",  "overload_recalls",
};
static_assert(std::size(counterNames) == static_cast<size_t>(Counter::Count));

void appendLine(std::string &out, std::string_view name, std::string_view label, std::string_view value, uint64_t count)
{
    out.append("hornbeam_").append(name);
    if (!label.empty()) {
        out.append("{").append(label).append("=\"").append(value).append("\"}");
    }
    out.append(" ").append(std::to_string(count)).append("\n");
}

} // namespace

std::string_view nameOf(Counter counter)
{
    return counterNames[static_cast<size_t>(counter)];
}

std::string Counters::text() const
{
    std::string out;
    for (size_t i = 0; i < this->events.size(); ++i) {
        appendLine(out, std::string(counterNames[i]) + "_total", "", "", this->events.at(i).load(std::memory_order_relaxed));
    }
    for (size_t i = 1; i < this->refusals.size(); ++i) {
        const auto reason = static_cast<Reason>(i);
        appendLine(out, "refusals_total", "reason", nameOf(reason), this->value(reason));
    }
    for (size_t i = 0; i < this->retries.size(); ++i) {
        const auto reason = static_cast<RetryReason>(i);
        appendLine(out, "retries_total", "reason", nameOf(reason), this->value(reason));
    }
    return out + this->latency.text("hornbeam_added_latency_seconds");
}

} // namespace hornbeam
