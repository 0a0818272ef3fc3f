#pragma once

// Writes one zone's status object: which table versions are in force at how many of its members.

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
    uint32_t members = 0;                        // known in the zone
    uint32_t agreeing = 0;                       // of those, how many have the reporter's versions in force, itself included
    std::vector<std::string> laggards;           // the others, as a.b.c.d:port of their peer protocol
    std::vector<std::string> refused;            // services whose newest version the reporter refused
    std::vector<ServiceVersionInForce> services; // the reporter's versions
    uint64_t writtenMs = 0;                      // wall clock of the reporter

    /** Whether a version of a service, or a later one, is in force at every member. */
    bool isInForce(const std::string &service, uint64_t version) const;
};

/** The JSON text of a status object. Thread safe. */
std::string serializeStatus(const ZoneStatus &status);
/** Reads it; nothing when it is malformed. Thread safe. */
std::optional<ZoneStatus> parseStatus(const std::string &text);

struct StatusReporterSettings
{
    Duration changeInterval = seconds(1); // between two writes when something changed
    Duration idleInterval = seconds(60);  // between two writes when nothing did
};

/** Not thread safe: the event loop that owns the PlatformApi owns it too, and it outlives its calls. */
class StatusReporter
{
public:
    /** Precondition: the API and the clock outlive this object. */
    StatusReporter(PlatformApi &api, const Clock &clock, const StatusReporterSettings &settings = {});

    /** Writes the status when it is due. Call it a few times a second with TableSync::isReporter(); writtenMs is filled in here. */
    void tick(bool isReporter, ZoneStatus status);

private:
    PlatformApi &api;
    const Clock &clock;
    const StatusReporterSettings settings;
    std::string lastText; // the last status written, without its time
    bool isCallPending = false;
    bool isWritten = false; // the last write succeeded
    TimePoint lastWrite;
};

} // namespace hornbeam
