#pragma once

// What an instance shows of its reading of the store, in logs, pages and metrics.

#include "sharing/sharedstorereader.h"
#include "store/objectwatcher.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hornbeam {

/** Milliseconds since a time; -1 if it is not set. Thread safe. */
int64_t ageMillis(TimePoint since, TimePoint now);
/** What decides when the store is read next: age of the data, source, failures, whether a call waits, time until the next one (0 while one waits or is due).
 * Thread safe if nothing changes the arguments meanwhile. */
nlohmann::ordered_json describeReading(StoreResource resource, const SharedStoreReader &sharing, const ObjectWatcher &watcher, TimePoint now);
/** Time until the next call and failures since the last successful one, in the Prometheus text format. Thread safe if nothing changes the watcher meanwhile. */
std::string readingGauges(StoreResource resource, const ObjectWatcher &watcher, TimePoint now);

/** Seconds since the store last confirmed some data; -1 if it has not. Thread safe. */
std::string ageGauge(std::string_view name, TimePoint confirmedAt, TimePoint now);
/** The members, the current source of store data, the state of the calls, the revision and age of each resource, and `furtherFields`, as JSON. Thread safe if
 * nothing changes the arguments meanwhile. */
std::string membersPageOf(const MemberRecord &self, const std::vector<MemberRecord> &members, const SharedStoreReader &sharing, nlohmann::ordered_json calls,
                          const nlohmann::ordered_json &furtherFields, TimePoint now);

} // namespace hornbeam
