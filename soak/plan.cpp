#include "plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace hornbeam::soak {

namespace {
constexpr milliseconds shortestGap(200); // between the beginnings of two steps: most overlap
constexpr milliseconds longestGap(2500);
constexpr milliseconds oddEntryGap(8000);
constexpr milliseconds shortestFault(300);
constexpr milliseconds longestFault(3500);
constexpr milliseconds shortestMoveGap(400);
constexpr milliseconds longestMoveGap(2500);
constexpr milliseconds shortestRefusal(2000);
constexpr milliseconds longestRefusal(9000);
constexpr milliseconds longestEvacuationGap(4000); // between the end of an evacuation and the next one: never two at a time
constexpr milliseconds shortestEvacuation(1000);
constexpr milliseconds longestEvacuation(9000); // several seconds longer than its bound
constexpr milliseconds shortestSlowness(3000);  // an overloaded instance leaves the rotation within 2 s
constexpr milliseconds longestSlowness(7000);
constexpr milliseconds firstSlowness(2000);
}

std::string_view nameOf(StepKind kind)
{
    constexpr std::array<std::string_view, static_cast<size_t>(StepKind::Count)> names{
        "restart_instance", "roll_instances", "reload_settings", "replace_target", "add_route",     "drop_route",  "change_storm",
        "kill_instance",    "kill_half",      "pause_instance",  "crash_target",   "freeze_target", "cut_link",    "silence_store",
        "reset_store",      "delay_store",    "cut_store",       "lapse_entry",    "lose_writes",   "pause_store", "odd_entry",
        "move_route",       "refuse_store",   "evacuate_zone",   "slow_instance"
    };
    return names[static_cast<size_t>(kind)];
}

std::vector<std::string> namesOfSteps()
{
    std::vector<std::string> names;
    names.reserve(static_cast<size_t>(StepKind::Count));
    for (int kind = 0; kind < static_cast<int>(StepKind::Count); ++kind) {
        names.emplace_back(nameOf(static_cast<StepKind>(kind)));
    }
    return names;
}

bool isPlanned(StepKind kind)
{
    return kind <= StepKind::ChangeStorm || kind == StepKind::OddEntry || kind == StepKind::MoveRoute || kind == StepKind::EvacuateZone
        || kind == StepKind::SlowInstance;
}

// Drawn apart from the other steps, so that each seed keeps those.
Plan withOddEntries(Plan plan, uint64_t seed, Duration length)
{
    std::mt19937_64 random(~seed);
    const auto between = [&random](milliseconds low, milliseconds high) {
        return milliseconds(std::uniform_int_distribution<int64_t>(low.count(), high.count())(random));
    };
    for (Duration at = between(shortestGap, oddEntryGap); at < length; at += between(shortestGap, oddEntryGap)) {
        plan.push_back({ at, StepKind::OddEntry, static_cast<uint32_t>(random()), between(shortestFault, longestFault) });
    }
    return plan;
}

// Drawn apart as well.
Plan withConfigurationSteps(Plan plan, uint64_t seed, Duration length, Duration calm)
{
    std::mt19937_64 random(seed ^ 0x636F6E66ULL);
    const auto between = [&random](milliseconds low, milliseconds high) {
        return milliseconds(std::uniform_int_distribution<int64_t>(low.count(), high.count())(random));
    };
    for (Duration at = shortestMoveGap; at < length; at += between(shortestMoveGap, longestMoveGap)) {
        plan.push_back({ at, StepKind::MoveRoute, static_cast<uint32_t>(random()), Duration{ 0 } });
    }
    for (Duration at = between(shortestGap, longestGap); at < length - calm;) {
        const Duration lasts = between(shortestRefusal, longestRefusal);
        if (at + lasts <= length - calm) {
            plan.push_back({ at, StepKind::RefuseStore, static_cast<uint32_t>(random()), lasts });
        }
        at += lasts + between(shortestGap, longestGap);
    }
    return plan;
}

// Drawn apart as well.
Plan withEvacuations(Plan plan, uint64_t seed, Duration length)
{
    std::mt19937_64 random(seed ^ 0x65766163ULL);
    const auto between = [&random](milliseconds low, milliseconds high) {
        return milliseconds(std::uniform_int_distribution<int64_t>(low.count(), high.count())(random));
    };
    for (Duration at = between(shortestGap, longestEvacuationGap); at < length;) {
        const Duration lasts = between(shortestEvacuation, longestEvacuation);
        plan.push_back({ at, StepKind::EvacuateZone, static_cast<uint32_t>(random()), lasts });
        at += lasts + between(shortestGap, longestEvacuationGap);
    }
    return plan;
}

// Drawn apart as well: one instance is slow once.
Plan withSlowInstance(Plan plan, uint64_t seed, Duration length, Duration calm)
{
    std::mt19937_64 random(seed ^ 0x736C6F77ULL);
    const auto between = [&random](milliseconds low, milliseconds high) {
        return milliseconds(std::uniform_int_distribution<int64_t>(low.count(), high.count())(random));
    };
    const milliseconds lasts = between(shortestSlowness, longestSlowness);
    const auto latest = std::chrono::duration_cast<milliseconds>(length - calm) - lasts;
    const auto subject = static_cast<uint32_t>(random());
    if (latest >= firstSlowness) {
        plan.push_back({ between(firstSlowness, latest), StepKind::SlowInstance, subject, lasts });
    }
    return plan;
}

Plan sorted(Plan plan)
{
    std::stable_sort(plan.begin(), plan.end(), [](const Step &a, const Step &b) { return a.at < b.at; });
    return plan;
}

Plan drawPlan(uint64_t seed, Duration length, Duration calm)
{
    std::mt19937_64 random(seed);
    const auto between = [&random](milliseconds low, milliseconds high) {
        return milliseconds(std::uniform_int_distribution<int64_t>(low.count(), high.count())(random));
    };
    // in each run an edit has to come into force and a target has to leave while nothing is disturbed
    Plan plan{ { milliseconds(500), StepKind::AddRoute, 0, Duration{ 0 } } };
    const Step lastRelease{ length - calm, StepKind::ReplaceTarget, static_cast<uint32_t>(random()), Duration{ 0 } };
    const Step lastEdit{ length - calm, StepKind::AddRoute, static_cast<uint32_t>(random()), Duration{ 0 } };
    Duration at = seconds(1);
    while (true) {
        Step step;
        step.at = at;
        step.kind = static_cast<StepKind>(std::uniform_int_distribution<int>(0, static_cast<int>(StepKind::OddEntry) - 1)(random));
        step.subject = static_cast<uint32_t>(random());
        step.lasts = between(shortestFault, longestFault);
        at += between(shortestGap, longestGap);
        if (step.at + step.lasts > length - calm) {
            plan.push_back(lastRelease);
            plan.push_back(lastEdit);
            plan = withConfigurationSteps(withOddEntries(std::move(plan), seed, length), seed, length, calm);
            return sorted(withSlowInstance(withEvacuations(std::move(plan), seed, length), seed, length, calm));
        }
        plan.push_back(step);
    }
}

std::string toText(const Plan &plan)
{
    std::string text;
    for (const Step &step : plan) {
        text += "  " + std::to_string(std::chrono::duration_cast<milliseconds>(step.at).count()) + " ms " + std::string(nameOf(step.kind)) + " "
            + std::to_string(step.subject) + " for " + std::to_string(std::chrono::duration_cast<milliseconds>(step.lasts).count()) + " ms\n";
    }
    return text;
}

} // namespace hornbeam::soak
