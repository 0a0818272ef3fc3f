#pragma once

// Writes the status object of a zone: the active table versions, and how many members have them in force.

#include "store/platformapi.h"

#include <optional>

namespace hornbeam {

struct ServiceVersionInForce
{
    std::string service;
    uint64_t version = 0;

    bool operator==(const ServiceVersionInForce &) const = default;
};

/** The content of status/<zone>. */
struct ZoneStatus
{
    std::string zone;
    std::string reporter;                        // the member that wrote it
    uint32_t members = 0;                        // known members of the zone
    uint32_t agreeing = 0;                       // members with the reporter's versions in force, including the reporter
    std::vector<std::string> laggards;           // all other members, as a.b.c.d:port of the peer protocol
    std::vector<std::string> refused;            // services whose newest version the reporter rejected
    std::vector<ServiceVersionInForce> services; // the reporter's versions
    uint64_t writtenMs = 0;                      // reporter's wall clock, ms

    /** Whether `version` or a later version of the service is in force at every member. */
    bool isInForce(const std::string &service, uint64_t version) const;
};

/** Returns the JSON text of a status object. Thread safe. */
std::string serializeStatus(const ZoneStatus &status);
/** Parses a status object; returns nothing if it is malformed. Thread safe. */
std::optional<ZoneStatus> parseStatus(const std::string &text);

struct StatusReporterSettings
{
    Duration changeInterval = seconds(1); // minimum time between writes if the status changed
    Duration idleInterval = seconds(60);  // between writes if it did not change
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class StatusReporter
{
public:
    /** Precondition: the API and the clock outlive this object. */
    StatusReporter(PlatformApi &api, const Clock &clock, const StatusReporterSettings &settings = {});

    /** Writes the status when it is due. Call it a few times a second with TableSync::isReporter(). Sets `writtenMs` itself. */
    void tick(bool isReporter, ZoneStatus status);

private:
    PlatformApi &api;
    const Clock &clock;
    const StatusReporterSettings settings;
    std::string lastText; // last status written, without its timestamp
    bool isCallPending = false;
    bool isWritten = false; // the last write succeeded
    TimePoint lastWrite;
};

} // namespace hornbeam
