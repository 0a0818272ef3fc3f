#pragma once

// The evacuated zones as the store names them, with the log events of their changes.

#include "sharing/sharedstorereader.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

namespace hornbeam {

/** Not thread safe: one event loop owns it. */
class EvacuatedZones
{
public:
    /** Logs an event with its fields. */
    using LogFunction = std::function<void(const std::string &event, const nlohmann::ordered_json &fields)>;

    /** Precondition: the clock outlives this object. */
    EvacuatedZones(const Clock &clock, LogFunction logEvent);

    /** Applies an update and logs the evacuations that begin and end with it. Returns how many begin. */
    size_t apply(const EvacuationUpdate &update, MemberId source);
    /** Logs once that new flows are placed although the evacuations are unknown. */
    void logUnknown();
    /** The identifiers of the evacuated zones. */
    std::set<ZoneId> zones() const;

private:
    void begin(const EvacuationRecord &record, nlohmann::ordered_json fields);
    void end(const std::string &name, nlohmann::ordered_json fields);

    struct Evacuation
    {
        StorePosition position;
        TimePoint appliedAt;
    };

    const Clock &clock;
    const LogFunction logEvent;
    std::map<std::string, Evacuation> evacuations; // by zone name
    bool isLoaded = false;
    bool isUnknownLogged = false;
};

} // namespace hornbeam
