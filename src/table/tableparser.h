#pragma once

// Parses, validates and serializes a service's table in the JSON format that the platform stores.

#include "core/jsonfields.h"
#include "table/servicetable.h"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeam {

using TableError = Fault;

/** An entry of a table's edit history. */
struct EditRecord
{
    std::string id;   // unique per edit; shows whether an edit was applied if its response was lost
    std::string who;  // the operator
    std::string when; // UTC, ISO 8601
    std::string what; // for example "b1 weight 100 -> 50"

    bool operator==(const EditRecord &) const = default;
};

constexpr size_t maxHistoryEdits = 32;

/** The stored object: the table and its edit history. */
struct TableDocument
{
    ServiceTable table;
    bool isDeleted = false;          // tombstone of a deleted service
    std::string edit;                // identifier of the last edit; empty if the object was written by hand
    std::vector<EditRecord> history; // oldest first, at most maxHistoryEdits
};

/** Either a document or all errors found. */
struct ParsedTable
{
    std::optional<TableDocument> document;
    std::vector<TableError> faults;
};

/** Parses and validates a table. Reports all errors; returns a document only if there are none. Thread safe. */
ParsedTable parseTable(std::string_view text, TableVersion version);

/** Serializes a document as JSON with one row per line. parseTable restores an equal document. Thread safe. */
std::string writeTable(const TableDocument &document);

/** The names used in the JSON format. Thread safe. */
std::string_view nameOf(RowState state);
std::string_view nameOf(Preference preference);

} // namespace hornbeam
