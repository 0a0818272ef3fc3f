#pragma once

// The verbs of hornbeamctl, apart from its command line.

#include "apps/editsession.h"
#include "store/statusreporter.h"

#include <iosfwd>

namespace hornbeam {

enum class ExitCode : uint8_t {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
    NotInForce = 5,
};

enum class Format : uint8_t {
    Aligned,
    Csv,
    Json,
};

/** Not thread safe. Results go to `out`, faults to `err`. */
class CtlCommands
{
public:
    /** Precondition: all references outlive this object. */
    CtlCommands(BlockingPlatformApi &platform, const Clock &clock, std::ostream &out, std::ostream &err, std::string who, Format format);

    /** Prints a service's table. */
    ExitCode show(const std::string &service);
    /** Prints the last edits of a service. */
    ExitCode history(const std::string &service);
    /** Prints what `apply` would change. */
    ExitCode diff(const std::string &service, const std::string &csv);
    /** Makes a table's rows those of a CSV file. */
    ExitCode apply(const std::string &service, const std::string &csv);
    /** Carries out changes. */
    ExitCode edit(const std::string &service, const std::vector<TableChange> &changes);
    /** Waits until every zone has the version in force; the platform's present one when `version` is 0. */
    ExitCode wait(const std::string &service, uint64_t version, Duration timeout);
    /** Prints each zone's members, and which services lag there. */
    ExitCode status();

private:
    std::optional<TableDocument> read(const std::string &service, ExitCode &code);
    void printEither(const std::string &asJson, const std::string &asText);
    ExitCode failCall(const PlatformReply &reply);
    ExitCode printFaults(const std::vector<Fault> &faults);
    std::vector<std::string> findLagging(const PlatformReply &statuses, const std::string &service, uint64_t version) const;
    std::vector<std::string> statusLine(const ZoneStatus &status, const std::vector<PlatformObject> &tables) const;

    BlockingPlatformApi &platform;
    const Clock &clock;
    std::ostream &out;
    std::ostream &err;
    const std::string who;
    const Format format;
};

} // namespace hornbeam
