#pragma once

// One edit of a service's table: reads it, changes only its own cells or rows, writes it under a condition, and tries again when another
// operator's edit came between. The edit's identifier is kept in the object, so that an edit whose answer was lost is recognised as done.

#include "core/clock.h"
#include "store/blockingplatformapi.h"
#include "table/tableparser.h"

#include <string>
#include <vector>

namespace hornbeam {

//--- Changes

enum class ChangeKind : uint8_t {
    CreateService, // with the table's own cells as in `row`-less form: value is the port
    DeleteService, // leaves a tombstone
    SetCell,       // of a row, or of the service when target is empty
    AddRow,
    RemoveRow,
};

/** One change of one cell or row. */
struct TableChange
{
    ChangeKind kind = ChangeKind::SetCell;
    std::string target;                  // empty for a cell of the service itself
    std::string column;                  // SetCell
    std::string value;                   // SetCell: the new value; CreateService: the port
    std::optional<std::string> expected; // the value that the operator saw; filled in at the first read when empty
    TargetRow row;                       // AddRow
};

/** "b1 weight 100 -> 50" and the like. Thread safe. */
std::string describe(const TableChange &change);

//--- Outcome

enum class EditOutcome : uint8_t {
    Done,        // in the platform's object; `version` holds it
    Unchanged,   // the object had these values already
    Conflict,    // another operator changed the same cell or row; nothing was written
    Invalid,     // the table would have faults; nothing was written
    NotFound,    // there is no such service or target, or there is one already
    Unreachable, // the platform did not answer; see isUncertain
    Failed,      // the object can't be read
};

struct EditResult
{
    EditOutcome outcome = EditOutcome::Failed;
    std::string edit;         // its identifier
    TableVersion version = 0; // of the object that holds it
    std::vector<Fault> faults;
    std::string problem;      // for people
    bool isUncertain = false; // Unreachable only: the edit may have taken effect
};

struct EditSettings
{
    uint32_t maxTries = 12;                 // reads and writes together, before the platform counts as unreachable
    Duration firstPause = milliseconds(50); // doubled after each failed call
    Duration maxPause = seconds(1);
};

//--- Session

/** Not thread safe. */
class EditSession
{
public:
    /** Precondition: the platform and the clock outlive the session; `edit` is unique. */
    EditSession(BlockingPlatformApi &platform, const Clock &clock, std::string who, std::string edit, const EditSettings &settings = {});

    /** Carries out all changes at once or none. */
    EditResult run(const std::string &service, std::vector<TableChange> changes);

    /** A fresh identifier of an edit. Thread safe. */
    static std::string makeEditId();

private:
    enum class Step : uint8_t {
        Again,
        Finished,
    };

    Step runOnce(const std::string &service, std::vector<TableChange> &changes, EditResult &result);
    Step readDocument(const PlatformReply &reply, const std::string &service, const std::vector<TableChange> &changes, TableDocument &document,
                      EditResult &result) const;
    bool applyChanges(std::vector<TableChange> &changes, TableDocument &document, EditResult &result) const;
    Step checkOtherServices(const std::string &service, const std::string &text, EditResult &result);
    Step write(const std::string &service, uint64_t readVersion, const std::string &text, EditResult &result);
    Step failCall(EditResult &result);
    void addHistory(const std::vector<TableChange> &changes, TableDocument &document) const;

    BlockingPlatformApi &platform;
    const Clock &clock;
    const std::string who;
    const std::string edit;
    const EditSettings settings;
    Duration nextPause;
};

} // namespace hornbeam
