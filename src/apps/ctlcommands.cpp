// Sections: shared | reading verbs | editing verbs | zones

#include "apps/ctlcommands.h"

#include "apps/tablecells.h"
#include "apps/tablediff.h"
#include "core/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

namespace hornbeam {

namespace {
using nlohmann::json;

constexpr uint64_t maxStatusAgeMs = 180'000; // three idle writes of a reporter

uint64_t ageMs(const ZoneStatus &status, const Clock &clock)
{
    const uint64_t now = clock.wallMillis();
    return now > status.writtenMs ? now - status.writtenMs : 0;
}
}

CtlCommands::CtlCommands(BlockingPlatformApi &platform, const Clock &clock, std::ostream &out, std::ostream &err, std::string who, Format format)
    : platform(platform), clock(clock), out(out), err(err), who(std::move(who)), format(format)
{
}

//--- Shared

ExitCode CtlCommands::failCall(const PlatformReply &reply)
{
    this->err << "the platform gave no answer: " << nameOf(reply.outcome) << " " << reply.problem << "\n";
    return reply.outcome == PlatformOutcome::Malformed ? ExitCode::Failed : ExitCode::Unreachable;
}

ExitCode CtlCommands::printFaults(const std::vector<Fault> &faults)
{
    for (const Fault &fault : faults) {
        this->err << toString(fault) << "\n";
    }
    return ExitCode::Failed;
}

std::optional<TableDocument> CtlCommands::read(const std::string &service, ExitCode &code)
{
    const PlatformReply reply = this->platform.get(tableKey(service));
    if (reply.outcome == PlatformOutcome::NotFound) {
        this->err << "there is no service " << service << "\n";
        code = ExitCode::Failed;
        return std::nullopt;
    }
    if (!reply.isOk()) {
        code = this->failCall(reply);
        return std::nullopt;
    }
    ParsedTable parsed = parseTable(reply.objects.at(0).value, reply.version);
    code = parsed.faults.empty() ? ExitCode::Done : this->printFaults(parsed.faults);
    return parsed.document;
}

//--- Reading verbs

ExitCode CtlCommands::show(const std::string &service)
{
    ExitCode code = ExitCode::Done;
    const std::optional<TableDocument> document = this->read(service, code);
    if (!document.has_value()) {
        return code;
    }
    const ServiceTable &table = document->table;
    if (this->format == Format::Json) {
        this->out << writeTable(*document);
        return code;
    }
    if (this->format == Format::Csv) {
        this->out << writeCsv(table);
        return code;
    }
    this->out << "service " << table.name << (document->isDeleted ? " (deleted)" : "") << "  version " << table.version;
    for (const std::string &column : serviceColumns()) {
        this->out << "  " << column << " " << cellOf(table, column);
    }
    std::vector<std::vector<std::string>> lines{ { "target" } };
    lines[0].insert(lines[0].end(), rowColumns().begin(), rowColumns().end());
    for (const TargetRow &row : table.rows) {
        std::vector<std::string> line{ row.name };
        for (const std::string &column : rowColumns()) {
            line.push_back(cellOf(row, column));
        }
        lines.push_back(line);
    }
    this->out << "\n" << alignColumns(lines);
    return code;
}

ExitCode CtlCommands::history(const std::string &service)
{
    ExitCode code = ExitCode::Done;
    const std::optional<TableDocument> document = this->read(service, code);
    if (!document.has_value()) {
        return code;
    }
    std::vector<std::vector<std::string>> lines{ { "when", "who", "edit", "what" } };
    json entries = json::array();
    for (const EditRecord &record : document->history) {
        lines.push_back({ record.when, record.who, record.id, record.what });
        entries.push_back({ { "when", record.when }, { "who", record.who }, { "edit", record.id }, { "what", record.what } });
    }
    this->printEither(entries.dump() + "\n", alignColumns(lines));
    return code;
}

ExitCode CtlCommands::diff(const std::string &service, const std::string &csv)
{
    ExitCode code = ExitCode::Done;
    const std::optional<TableDocument> document = this->read(service, code);
    if (!document.has_value()) {
        return code;
    }
    std::vector<Fault> faults;
    const std::vector<TableChange> changes = diffTable(document->table, csv, faults);
    if (!faults.empty()) {
        return this->printFaults(faults);
    }
    json entries = json::array();
    for (const TableChange &change : changes) {
        entries.push_back(describe(change));
    }
    std::string lines;
    for (const TableChange &change : changes) {
        lines += describe(change) + "\n";
    }
    this->printEither(entries.dump() + "\n", lines);
    return code;
}

void CtlCommands::printEither(const std::string &asJson, const std::string &asText)
{
    this->out << (this->format == Format::Json ? asJson : asText);
}

//--- Editing verbs

ExitCode CtlCommands::apply(const std::string &service, const std::string &csv)
{
    ExitCode code = ExitCode::Done;
    const std::optional<TableDocument> document = this->read(service, code);
    if (!document.has_value()) {
        return code;
    }
    std::vector<Fault> faults;
    const std::vector<TableChange> changes = diffTable(document->table, csv, faults);
    return faults.empty() ? this->edit(service, changes) : this->printFaults(faults);
}

ExitCode CtlCommands::edit(const std::string &service, const std::vector<TableChange> &changes)
{
    EditSession session(this->platform, this->clock, this->who, EditSession::makeEditId());
    const EditResult result = session.run(service, changes);
    const bool isDone = result.outcome == EditOutcome::Done || result.outcome == EditOutcome::Unchanged;
    if (isDone && this->format == Format::Json) {
        this->out << json{ { "service", service }, { "version", result.version }, { "edit", result.edit }, { "changed", result.outcome == EditOutcome::Done } }
                  << "\n";
    } else if (isDone) {
        this->out << (result.outcome == EditOutcome::Done ? "done" : "unchanged") << " service " << service << " version " << result.version << " edit "
                  << result.edit << "\n";
    }
    if (isDone) {
        return ExitCode::Done;
    }
    this->err << result.problem << "\n";
    this->printFaults(result.faults);
    if (result.outcome == EditOutcome::Conflict) {
        return ExitCode::Conflict;
    }
    return result.outcome == EditOutcome::Unreachable ? ExitCode::Unreachable : ExitCode::Failed;
}

//--- Zones

std::vector<std::string> CtlCommands::findLagging(const PlatformReply &statuses, const std::string &service, uint64_t version) const
{
    std::vector<std::string> lagging;
    for (const PlatformObject &object : statuses.objects) {
        const std::optional<ZoneStatus> status = parseStatus(object.value);
        const std::string zone = object.key.substr(statusPrefix.size());
        if (!status.has_value()) {
            lagging.push_back(zone + " (its status can't be read)");
        } else if (ageMs(*status, this->clock) > maxStatusAgeMs) {
            lagging.push_back(zone + " (not heard of for " + std::to_string(ageMs(*status, this->clock) / 1000) + " s)");
        } else if (!status->isInForce(service, version)) {
            lagging.push_back(zone + " (" + std::to_string(status->agreeing) + " of " + std::to_string(status->members) + " members agree)");
        }
    }
    if (statuses.objects.empty()) {
        lagging.emplace_back("no zone has reported");
    }
    return lagging;
}

ExitCode CtlCommands::wait(const std::string &service, uint64_t version, Duration timeout)
{
    constexpr Duration longestWatch = seconds(5); // a zone may also fall silent meanwhile
    ExitCode code = ExitCode::Done;
    const std::optional<TableDocument> document = this->read(service, code);
    if (!document.has_value()) {
        return code;
    }
    const uint64_t wanted = version == 0 ? document->table.version : version;
    const TimePoint end = this->clock.now() + timeout;
    while (true) {
        const PlatformReply statuses = this->platform.list(std::string(statusPrefix));
        const TimePoint now = this->clock.now();
        const std::vector<std::string> lagging = this->findLagging(statuses, service, wanted);
        if (statuses.isOk() && lagging.empty()) {
            this->out << "in force: service " << service << " version " << wanted << "\n";
            return ExitCode::Done;
        }
        if (now >= end && !statuses.isOk()) {
            return this->failCall(statuses);
        }
        if (now >= end) {
            for (const std::string &zone : lagging) {
                this->err << "service " << service << " version " << wanted << " is not in force: " << zone << "\n";
            }
            return ExitCode::NotInForce;
        }
        const Duration longest = std::min(end - now, longestWatch);
        const bool isWatched = statuses.isOk() && this->platform.watch(std::string(statusPrefix), statuses.revision, longest).isOk();
        if (!isWatched) {
            this->platform.sleep(std::min<Duration>(end - now, seconds(1)));
        }
    }
}

std::vector<std::string> CtlCommands::statusLine(const ZoneStatus &status, const std::vector<PlatformObject> &tables) const
{
    std::string behind;
    for (const PlatformObject &table : tables) {
        const std::string service = table.key.substr(tablePrefix.size());
        const auto known =
            std::find_if(status.services.begin(), status.services.end(), [&](const ServiceVersionInForce &other) { return other.service == service; });
        const uint64_t version = known == status.services.end() ? 0 : known->version;
        if (version < table.version) {
            behind += (behind.empty() ? "" : " ") + service + ":" + std::to_string(version) + "<" + std::to_string(table.version);
        }
    }
    std::string laggards;
    for (const std::string &laggard : status.laggards) {
        laggards += (laggards.empty() ? "" : " ") + laggard;
    }
    return { status.zone,
             std::to_string(status.members),
             std::to_string(status.agreeing),
             std::to_string(ageMs(status, this->clock) / 1000) + "s",
             behind.empty() ? "-" : behind,
             laggards.empty() ? "-" : laggards };
}

ExitCode CtlCommands::status()
{
    const PlatformReply tables = this->platform.list(std::string(tablePrefix));
    const PlatformReply statuses = tables.isOk() ? this->platform.list(std::string(statusPrefix)) : tables;
    if (!statuses.isOk()) {
        return this->failCall(statuses);
    }
    const std::vector<std::string> head{ "zone", "members", "agreeing", "age", "behind", "laggards" };
    std::vector<std::vector<std::string>> lines{ head };
    json entries = json::array();
    for (const PlatformObject &object : statuses.objects) {
        const std::optional<ZoneStatus> status = parseStatus(object.value);
        if (!status.has_value()) {
            this->err << object.key << " can't be read\n";
            continue;
        }
        lines.push_back(this->statusLine(*status, tables.objects));
        json entry = parseJson(object.value);
        entry["behind"] = lines.back()[4];
        entries.push_back(std::move(entry));
    }
    this->printEither(entries.dump() + "\n", alignColumns(lines));
    return ExitCode::Done;
}

} // namespace hornbeam
