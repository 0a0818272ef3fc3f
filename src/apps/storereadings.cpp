#include "apps/storereadings.h"

#include "membership/membership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hornbeam {

namespace {
int64_t millisUntilCall(const ObjectWatcher &watcher, TimePoint now)
{
    const Duration untilCall = watcher.isWaiting() ? Duration{ 0 } : std::max(Duration{ 0 }, Duration(watcher.nextCallTime() - now));
    return std::chrono::duration_cast<milliseconds>(untilCall).count();
}
}

int64_t ageMillis(TimePoint since, TimePoint now)
{
    return since == TimePoint{} ? -1 : std::chrono::duration_cast<milliseconds>(now - since).count();
}

nlohmann::ordered_json describeReading(StoreResource resource, const SharedStoreReader &sharing, const ObjectWatcher &watcher, TimePoint now)
{
    const bool isTargets = resource == StoreResource::Targets;
    const TimePoint confirmedAt = isTargets ? sharing.targetView().confirmedAt() : sharing.configurationView().confirmedAt();
    nlohmann::ordered_json fields{ { "reading", nameOf(resource) } };
    fields["age_ms"] = ageMillis(confirmedAt, now);
    fields["source"] = sharing.source();
    fields["failures"] = watcher.failureCount();
    fields["call_waiting"] = watcher.isWaiting();
    fields["next_call_ms"] = millisUntilCall(watcher, now);
    return fields;
}

std::string readingGauges(StoreResource resource, const ObjectWatcher &watcher, TimePoint now)
{
    const std::string label = "{reading=\"" + std::string(nameOf(resource)) + "\"} ";
    return "hornbeam_store_next_call_milliseconds" + label + std::to_string(millisUntilCall(watcher, now)) + "\nhornbeam_store_call_failures" + label
        + std::to_string(watcher.failureCount()) + "\n";
}

nlohmann::ordered_json describeMembers(const std::vector<MemberRecord> &members, MemberId source)
{
    auto list = nlohmann::ordered_json::array();
    for (const MemberRecord &member : members) {
        list.push_back({ { "peer", toString(member.peer) },
                         { "zone", member.zone },
                         { "state", nameOf(member.state) },
                         { "incarnation", member.incarnation },
                         { "source", member.id == source } });
    }
    return list;
}

} // namespace hornbeam
