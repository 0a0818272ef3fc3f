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
    nlohmann::ordered_json fields{ { "reading", nameOf(resource) } };
    fields["age_ms"] = ageMillis(sharing.view(resource).confirmedAt(), now);
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

std::string ageGauge(std::string_view name, TimePoint confirmedAt, TimePoint now)
{
    const double age = confirmedAt == TimePoint{} ? -1 : std::chrono::duration<double>(now - confirmedAt).count();
    return "hornbeam_" + std::string(name) + "_age_seconds " + nlohmann::json(age).dump() + "\n";
}

std::string membersPageOf(const MemberRecord &self, const std::vector<MemberRecord> &members, const SharedStoreReader &sharing, nlohmann::ordered_json calls,
                          const nlohmann::ordered_json &furtherFields, TimePoint now)
{
    using Json = nlohmann::ordered_json;
    Json list = Json::array();
    for (const MemberRecord &member : members) {
        list.push_back({ { "peer", toString(member.peer) },
                         { "zone", member.zone },
                         { "state", nameOf(member.state) },
                         { "incarnation", member.incarnation },
                         { "source", member.id == sharing.source() } });
    }
    Json page{ { "self", toString(self.peer) } };
    for (const StoreResource resource : storeResources) {
        if (sharing.isRead(resource)) {
            page["reads_" + std::string(nameOf(resource))] = sharing.isReader(resource);
        }
    }
    for (const StoreResource resource : storeResources) {
        if (sharing.isRead(resource)) {
            const ResourceView &view = sharing.view(resource);
            page[std::string(nameOf(resource))] = { { "era", view.position().era },
                                                    { "revision", view.position().revision },
                                                    { "age_ms", ageMillis(view.confirmedAt(), now) } };
        }
    }
    if (sharing.isRead(StoreResource::Evacuations)) {
        Json zones = Json::array();
        for (const auto &[name, entry] : sharing.evacuationView().all()) {
            zones.push_back(name);
        }
        page["evacuations"]["zones"] = std::move(zones);
    }
    page["store_calls"] = std::move(calls);
    page.update(furtherFields);
    page["members"] = std::move(list);
    return page.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace hornbeam
