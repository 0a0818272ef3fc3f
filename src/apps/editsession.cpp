// Sections: changes | applying | reading | writing | session

#include "apps/editsession.h"

#include "apps/tablecells.h"
#include "table/tablestore.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <random>

namespace hornbeam {

namespace {

//--- Changes

TargetRow *findRow(ServiceTable &table, const std::string &target)
{
    const auto found = std::find_if(table.rows.begin(), table.rows.end(), [&](const TargetRow &row) { return row.name == target; });
    return found == table.rows.end() ? nullptr : &*found;
}

std::string isoTime(uint64_t wallMillis)
{
    const auto moment = static_cast<std::time_t>(wallMillis / 1000);
    std::tm parts{};
    ::gmtime_r(&moment, &parts);
    std::array<char, 32> text{};
    const size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return { text.data(), size };
}

bool mayClash(const TableChange &change)
{
    const bool isPlace = change.column == "address" || change.column == "port";
    return change.kind == ChangeKind::CreateService || change.kind == ChangeKind::AddRow || (change.kind == ChangeKind::SetCell && isPlace);
}

//--- Applying

/** What became of one change. */
enum class ChangeOutcome : uint8_t {
    Changed,
    Unchanged,
    Stopped, // `result` says why
};

ChangeOutcome stop(EditResult &result, EditOutcome outcome, const std::string &problem)
{
    result.outcome = outcome;
    result.problem = problem;
    return ChangeOutcome::Stopped;
}

ChangeOutcome conflict(EditResult &result, const TableChange &change, const std::string &found)
{
    const std::string cell = change.column.empty() ? "row " + change.target : (change.target.empty() ? "service" : change.target) + " " + change.column;
    const std::string wanted = change.kind == ChangeKind::SetCell ? "your value \"" + change.value + "\"" : "your edit (" + describe(change) + ")";
    return stop(result, EditOutcome::Conflict, cell + " was \"" + *change.expected + "\" and is \"" + found + "\" now; " + wanted + " was not written");
}

template<typename Holder>
ChangeOutcome applyCell(Holder &holder, TableChange &change, EditResult &result)
{
    const std::string found = cellOf(holder, change.column);
    if (!change.expected.has_value()) {
        change.expected = found; // the first read
    }
    if (found == change.value) {
        return ChangeOutcome::Unchanged;
    }
    if (found != *change.expected) {
        return conflict(result, change, found);
    }
    const std::string allowed = setCell(holder, change.column, change.value);
    if (!allowed.empty()) {
        result.faults.push_back({ change.target.empty() ? change.column : change.target + "." + change.column, '"' + change.value + '"', allowed });
        return stop(result, EditOutcome::Invalid, "the value is not allowed");
    }
    return ChangeOutcome::Changed;
}

ChangeOutcome applySetCell(ServiceTable &table, TableChange &change, EditResult &result)
{
    const std::vector<std::string> &columns = change.target.empty() ? serviceColumns() : rowColumns();
    if (std::find(columns.begin(), columns.end(), change.column) == columns.end()) {
        std::string allowed;
        for (const std::string &column : columns) {
            allowed += (allowed.empty() ? "the columns " : ", ") + column;
        }
        result.faults.push_back({ "column", '"' + change.column + '"', allowed });
        return stop(result, EditOutcome::Invalid, "there is no such column");
    }
    if (change.target.empty()) {
        return applyCell(table, change, result);
    }
    TargetRow *row = findRow(table, change.target);
    if (row != nullptr) {
        return applyCell(*row, change, result);
    }
    if (change.expected.has_value()) {
        return conflict(result, change, "removed");
    }
    return stop(result, EditOutcome::NotFound, "service " + table.name + " has no target " + change.target);
}

ChangeOutcome applyAddRow(ServiceTable &table, const TableChange &change, EditResult &result)
{
    const TargetRow *row = findRow(table, change.target);
    if (row == nullptr) {
        table.rows.push_back(change.row);
        return ChangeOutcome::Changed;
    }
    return stop(result, EditOutcome::Conflict,
                "target " + change.target + " is there already with " + rowText(*row) + "; your row " + rowText(change.row) + " was not written");
}

ChangeOutcome applyRemoveRow(ServiceTable &table, TableChange &change, EditResult &result)
{
    const TargetRow *row = findRow(table, change.target);
    if (row == nullptr && !change.expected.has_value()) {
        return stop(result, EditOutcome::NotFound, "service " + table.name + " has no target " + change.target);
    }
    if (row == nullptr) {
        return ChangeOutcome::Unchanged; // another operator removed it
    }
    const std::string found = rowText(*row);
    if (!change.expected.has_value()) {
        change.expected = found;
    }
    if (found != *change.expected) {
        return conflict(result, change, found);
    }
    std::erase_if(table.rows, [&](const TargetRow &other) { return other.name == change.target; });
    return ChangeOutcome::Changed;
}

ChangeOutcome applyChange(TableDocument &document, TableChange &change, EditResult &result)
{
    switch (change.kind) {
    case ChangeKind::CreateService:
        document.isDeleted = false;
        document.table.rows.clear();
        change.column = "port";
        change.expected = cellOf(document.table, "port");
        return applyCell(document.table, change, result) == ChangeOutcome::Stopped ? ChangeOutcome::Stopped : ChangeOutcome::Changed;
    case ChangeKind::DeleteService:
        document.isDeleted = true;
        document.table.rows.clear();
        return ChangeOutcome::Changed;
    case ChangeKind::SetCell:
        return applySetCell(document.table, change, result);
    case ChangeKind::AddRow:
        return applyAddRow(document.table, change, result);
    case ChangeKind::RemoveRow:
        return applyRemoveRow(document.table, change, result);
    }
    return ChangeOutcome::Stopped;
}
}

std::string describe(const TableChange &change)
{
    const std::string cell = (change.target.empty() ? "service" : change.target) + " " + change.column;
    switch (change.kind) {
    case ChangeKind::CreateService:
        return "created with port " + change.value;
    case ChangeKind::DeleteService:
        return "deleted";
    case ChangeKind::SetCell:
        return cell + " " + change.expected.value_or("?") + " -> " + change.value;
    case ChangeKind::AddRow:
        return "added " + change.target + " " + rowText(change.row);
    case ChangeKind::RemoveRow:
        return "removed " + change.target;
    }
    return "";
}

EditSession::EditSession(BlockingPlatformApi &platform, const Clock &clock, std::string who, std::string edit, const EditSettings &settings)
    : platform(platform), clock(clock), who(std::move(who)), edit(std::move(edit)), settings(settings), nextPause(settings.firstPause)
{
}

std::string EditSession::makeEditId()
{
    constexpr size_t digits = 16;
    std::random_device source;
    std::string id;
    while (id.size() < digits) {
        id += "0123456789abcdef"[source() % 16];
    }
    return id;
}

bool EditSession::applyChanges(std::vector<TableChange> &changes, TableDocument &document, EditResult &result) const
{
    bool isChanged = false;
    for (TableChange &change : changes) {
        const ChangeOutcome outcome = applyChange(document, change, result);
        if (outcome == ChangeOutcome::Stopped) {
            return false;
        }
        isChanged = isChanged || outcome == ChangeOutcome::Changed;
    }
    if (!isChanged) {
        result.outcome = EditOutcome::Unchanged;
    }
    return isChanged;
}

void EditSession::addHistory(const std::vector<TableChange> &changes, TableDocument &document) const
{
    constexpr size_t maxWhatBytes = 300;
    std::string what;
    for (const TableChange &change : changes) {
        what += (what.empty() ? "" : "; ") + describe(change);
    }
    if (what.size() > maxWhatBytes) {
        what = what.substr(0, maxWhatBytes) + "...";
    }
    document.edit = this->edit;
    document.history.push_back({ this->edit, this->who, isoTime(this->clock.wallMillis()), what });
    if (document.history.size() > maxHistoryEdits) {
        document.history.erase(document.history.begin());
    }
}

//--- Reading

EditSession::Step EditSession::readDocument(const PlatformReply &reply, const std::string &service, const std::vector<TableChange> &changes,
                                            TableDocument &document, EditResult &result) const
{
    const bool isCreation = !changes.empty() && changes.front().kind == ChangeKind::CreateService;
    document.table.name = service;
    if (reply.outcome == PlatformOutcome::NotFound) {
        result.outcome = EditOutcome::NotFound;
        result.problem = "there is no service " + service + "; \"hornbeamctl create\" makes one";
        return isCreation ? Step::Again : Step::Finished;
    }
    const ParsedTable parsed = parseTable(reply.objects.at(0).value, reply.version);
    if (!parsed.document.has_value()) {
        result.outcome = EditOutcome::Failed;
        result.faults = parsed.faults;
        result.problem = "the object in the platform has faults";
        return Step::Finished;
    }
    document = *parsed.document;
    const bool isOurs = std::any_of(document.history.begin(), document.history.end(), [&](const EditRecord &record) { return record.id == this->edit; });
    if (isOurs) {
        result.outcome = EditOutcome::Done;
        result.version = reply.version;
        return Step::Finished;
    }
    if (document.isDeleted != isCreation) {
        result.outcome = isCreation ? EditOutcome::Conflict : EditOutcome::NotFound;
        result.problem = isCreation ? "service " + service + " is there already with port " + std::to_string(document.table.port)
                                    : "service " + service + " was deleted; \"hornbeamctl create\" makes it anew";
        return Step::Finished;
    }
    return Step::Again;
}

//--- Writing

EditSession::Step EditSession::checkOtherServices(const std::string &service, const std::string &text, EditResult &result)
{
    const PlatformReply reply = this->platform.list(std::string(tablePrefix));
    if (!reply.isOk()) {
        return this->failCall(result);
    }
    Counters counters;
    TableStore store(this->clock, counters);
    for (const PlatformObject &object : reply.objects) {
        const std::string name = object.key.substr(tablePrefix.size());
        if (name != service) {
            store.apply(name, object.version, object.value);
        }
    }
    if (store.apply(service, reply.revision + 1, text) == ApplyResult::Applied) {
        return Step::Again;
    }
    for (const TableState &state : store.states()) {
        if (state.service == service) {
            result.faults = state.faults;
        }
    }
    result.outcome = EditOutcome::Invalid;
    result.problem = "the table clashes with another service";
    return Step::Finished;
}

EditSession::Step EditSession::write(const std::string &service, uint64_t readVersion, const std::string &text, EditResult &result)
{
    const PutCondition condition = readVersion == 0 ? PutCondition::ifAbsent() : PutCondition::ifVersion(readVersion);
    const PlatformReply reply = this->platform.put(tableKey(service), text, condition);
    switch (reply.outcome) {
    case PlatformOutcome::Ok:
        result.outcome = EditOutcome::Done;
        result.version = reply.version;
        return Step::Finished;
    case PlatformOutcome::Conflict:
        return Step::Again; // another edit came between; the next read shows whether it touched the same cells
    case PlatformOutcome::Unknown:
        result.isUncertain = true; // the next read shows whether the edit is there
        return this->failCall(result);
    case PlatformOutcome::Unavailable:
        return this->failCall(result);
    default:
        break;
    }
    result.outcome = EditOutcome::Failed;
    result.problem = "the platform rejected the write: " + reply.problem;
    return Step::Finished;
}

EditSession::Step EditSession::failCall(EditResult &result)
{
    result.outcome = EditOutcome::Unreachable;
    this->platform.sleep(this->nextPause);
    this->nextPause = std::min(this->settings.maxPause, this->nextPause * 2);
    return Step::Again;
}

//--- Session

EditSession::Step EditSession::runOnce(const std::string &service, std::vector<TableChange> &changes, EditResult &result)
{
    const PlatformReply reply = this->platform.get(tableKey(service));
    if (!reply.isOk() && reply.outcome != PlatformOutcome::NotFound) {
        return this->failCall(result);
    }
    TableDocument document;
    if (this->readDocument(reply, service, changes, document, result) == Step::Finished) {
        return Step::Finished;
    }
    if (!this->applyChanges(changes, document, result)) {
        result.version = reply.version;
        return Step::Finished;
    }
    this->addHistory(changes, document);
    const std::string text = writeTable(document);
    result.faults = parseTable(text, reply.version).faults;
    if (!result.faults.empty()) {
        result.outcome = EditOutcome::Invalid;
        result.problem = "the table would have faults";
        return Step::Finished;
    }
    const bool needsCheck = std::any_of(changes.begin(), changes.end(), mayClash);
    if (needsCheck) {
        const Step step = this->checkOtherServices(service, text, result);
        if (step == Step::Finished || result.outcome == EditOutcome::Unreachable) {
            return step;
        }
    }
    return this->write(service, reply.version, text, result);
}

EditResult EditSession::run(const std::string &service, std::vector<TableChange> changes)
{
    EditResult result;
    result.edit = this->edit;
    for (uint32_t tries = 0; tries < this->settings.maxTries; ++tries) {
        result.outcome = EditOutcome::Failed;
        result.problem = "other operators' edits came between each time";
        if (this->runOnce(service, changes, result) == Step::Finished) {
            result.isUncertain = false;
            return result;
        }
    }
    if (result.outcome == EditOutcome::Unreachable) {
        result.problem = result.isUncertain ? "the platform does not answer; the edit may have taken effect, see \"hornbeamctl history\" for " + this->edit
                                            : "the platform does not answer; nothing was written";
    }
    return result;
}

} // namespace hornbeam
