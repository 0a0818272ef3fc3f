#pragma once

// What an operator's CSV file would change in a table.

#include "apps/editsession.h"

namespace hornbeam {

/** The changes that turn a table's rows into those of a CSV file; columns that the file has not stay. Faults are added to `faults`. Thread safe. */
std::vector<TableChange> diffTable(const ServiceTable &table, const std::string &csv, std::vector<Fault> &faults);

} // namespace hornbeam
