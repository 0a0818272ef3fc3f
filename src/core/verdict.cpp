#include "core/verdict.h"

#include <array>
#include <cstddef>

namespace hornbeam {

namespace {

struct ReasonRow
{
    Reason reason;
    Verdict verdict;
    std::string_view name;
};

constexpr std::array reasonRows{
    ReasonRow{ Reason::None, Verdict::Ran, "none" },
    ReasonRow{ Reason::NoTable, Verdict::NotRun, "no_table" },
    ReasonRow{ Reason::NoTarget, Verdict::NotRun, "no_target" },
    ReasonRow{ Reason::NoSlot, Verdict::NotRun, "no_slot" },
    ReasonRow{ Reason::QueueDeadline, Verdict::NotRun, "queue_deadline" },
    ReasonRow{ Reason::DeadlinePassed, Verdict::NotRun, "deadline_passed" },
    ReasonRow{ Reason::KeeperUnreachable, Verdict::NotRun, "keeper_unreachable" },
    ReasonRow{ Reason::RecordsFull, Verdict::NotRun, "records_full" },
    ReasonRow{ Reason::RetryBudget, Verdict::NotRun, "retry_budget" },
    ReasonRow{ Reason::TargetShed, Verdict::NotRun, "target_shed" },
    ReasonRow{ Reason::Draining, Verdict::NotRun, "draining" },
    ReasonRow{ Reason::WrongService, Verdict::NotRun, "wrong_service" },
    ReasonRow{ Reason::MalformedPacket, Verdict::NotRun, "malformed_packet" },
    ReasonRow{ Reason::MessageTooLarge, Verdict::NotRun, "message_too_large" },
    ReasonRow{ Reason::TargetTimeout, Verdict::MayHaveRun, "target_timeout" },
    ReasonRow{ Reason::TargetReset, Verdict::MayHaveRun, "target_reset" },
    ReasonRow{ Reason::MakerGone, Verdict::MayHaveRun, "maker_gone" },
    ReasonRow{ Reason::MakerUnreachable, Verdict::MayHaveRun, "maker_unreachable" },
    ReasonRow{ Reason::RecordExpired, Verdict::MayHaveRun, "record_expired" },
    ReasonRow{ Reason::Cancelled, Verdict::MayHaveRun, "cancelled" },
    ReasonRow{ Reason::ForeignEcho, Verdict::MayHaveRun, "foreign_echo" },
};
static_assert(reasonRows.size() == static_cast<size_t>(Reason::Count));

constexpr std::array<std::string_view, 3> verdictNames{ "not_run", "may_have_run", "ran" };

constexpr std::array<std::string_view, 7> retryNames{
    "target_shed", "keeper_changed", "keeper_silent", "idempotent_lost", "feed_silent", "target_draining", "owner_changed",
};
static_assert(retryNames.size() == static_cast<size_t>(RetryReason::Count));

} // namespace

Verdict verdictOf(Reason reason)
{
    return reasonRows.at(static_cast<size_t>(reason)).verdict;
}

std::string_view nameOf(Verdict verdict)
{
    return verdictNames.at(static_cast<size_t>(verdict));
}

std::string_view nameOf(Reason reason)
{
    return reasonRows.at(static_cast<size_t>(reason)).name;
}

std::string_view nameOf(RetryReason reason)
{
    return retryNames.at(static_cast<size_t>(reason));
}

} // namespace hornbeam
