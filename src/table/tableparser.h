#pragma once

// Reads and writes one service's table as the JSON text that the platform holds, and checks it whole.

#include "core/jsonfields.h"
#include "table/servicetable.h"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

using TableError = Fault;

/** One edit of a table, as its history keeps it. */
struct EditRecord
{
    std::string id;   // unique for each edit; tells an operator whose answer was lost that the edit was done
    std::string who;  // the operator
    std::string when; // UTC, ISO 8601
    std::string what; // for example "b1 weight 100 -> 50"

    bool operator==(const EditRecord &) const = default;
};

constexpr size_t maxHistoryEdits = 32;

/** The whole object: the table that instances use and the edits that led to it. */
struct TableDocument
{
    ServiceTable table;
    bool isDeleted = false;          // a tombstone: the service is no more
    std::string edit;                // identifier of the last edit; empty when the object was written by hand
    std::vector<EditRecord> history; // oldest first, at most maxHistoryEdits
};

/** Either a document, or all faults that were found. */
struct ParsedTable
{
    std::optional<TableDocument> document;
    std::vector<TableError> faults;
};

/** Checks the text of a table. Every fault is reported; with any fault there is no document. Thread safe. */
ParsedTable parseTable(std::string_view text, TableVersion version);

/** Writes a document as JSON, one row a line. What parseTable reads from it is the same document. Thread safe. */
std::string writeTable(const TableDocument &document);

/** The names used in tables. Thread safe. */
std::string_view nameOf(RowState state);
std::string_view nameOf(Preference preference);

} // namespace hornbeam
