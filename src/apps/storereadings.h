#pragma once

// What an instance shows of its reading of the store and of the members, in logs, pages and metrics.

#include "sharing/sharedstorereader.h"
#include "store/objectwatcher.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace hornbeam {

/** Milliseconds since a time; -1 if it is not set. Thread safe. */
int64_t ageMillis(TimePoint since, TimePoint now);
/** What decides when the store is read next: age of the data, source, failures, whether a call waits, time until the next one (0 while one waits or is due).
 * Thread safe if nothing changes the arguments meanwhile. */
nlohmann::ordered_json describeReading(StoreResource resource, const SharedStoreReader &sharing, const ObjectWatcher &watcher, TimePoint now);
/** Time until the next call and failures since the last successful one, in the Prometheus text format. Thread safe if nothing changes the watcher meanwhile. */
std::string readingGauges(StoreResource resource, const ObjectWatcher &watcher, TimePoint now);

/** The members with their states, as a JSON array. `source`: the member that this instance sends its requests to. Thread safe. */
nlohmann::ordered_json describeMembers(const std::vector<MemberRecord> &members, MemberId source);

} // namespace hornbeam
