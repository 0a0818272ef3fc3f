#pragma once

// The table as a spreadsheet: cells by column name, CSV, and aligned columns for a terminal.

#include "table/tableparser.h"

#include <map>
#include <string>
#include <vector>

namespace hornbeam {

/** The columns of a row behind its target, in the order in which they are shown. */
const std::vector<std::string> &rowColumns();
/** The cells of the service itself: port, preference, queue_limit. */
const std::vector<std::string> &serviceColumns();

/** The text of a cell. Precondition: the column is one of rowColumns. Thread safe. */
std::string cellOf(const TargetRow &row, const std::string &column);
std::string cellOf(const ServiceTable &table, const std::string &column);

/** A whole row as column=value words. Thread safe. */
std::string rowText(const TargetRow &row);

/** Sets a cell from its text. Returns what is allowed there when the text is not, else an empty string. Bounds are parseTable's matter. Thread safe. */
std::string setCell(TargetRow &row, const std::string &column, const std::string &value);
std::string setCell(ServiceTable &table, const std::string &column, const std::string &value);

/** One row of a CSV file; only the columns that the file has. */
struct CsvRow
{
    std::string target;
    std::map<std::string, std::string> cells;
};

struct CsvTable
{
    std::vector<CsvRow> rows;
    std::vector<Fault> faults;
};

/** Reads CSV with a header line. Commas separate; there are no quotes, as no cell may hold a comma. Thread safe. */
CsvTable readCsv(const std::string &text);
/** Writes the rows as CSV with a header line. Thread safe. */
std::string writeCsv(const ServiceTable &table);

/** Lines of cells, each column as wide as its widest cell. Thread safe. */
std::string alignColumns(const std::vector<std::vector<std::string>> &lines);

} // namespace hornbeam
