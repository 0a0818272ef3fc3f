#include "apps/tablediff.h"

#include "apps/tablecells.h"

#include <algorithm>

namespace hornbeam {

std::vector<TableChange> diffTable(const ServiceTable &table, const std::string &csv, std::vector<Fault> &faults)
{
    const CsvTable file = readCsv(csv);
    faults.insert(faults.end(), file.faults.begin(), file.faults.end());
    std::vector<TableChange> changes;
    for (const TargetRow &row : table.rows) {
        const bool stays = std::any_of(file.rows.begin(), file.rows.end(), [&](const CsvRow &other) { return other.target == row.name; });
        if (!stays) {
            changes.push_back({ ChangeKind::RemoveRow, row.name, "", "", rowText(row), {} });
        }
    }
    for (const CsvRow &wanted : file.rows) {
        const auto known = std::find_if(table.rows.begin(), table.rows.end(), [&](const TargetRow &row) { return row.name == wanted.target; });
        TargetRow added;
        added.name = wanted.target;
        for (const auto &[column, value] : wanted.cells) {
            const std::string allowed = setCell(added, column, value);
            if (!allowed.empty()) {
                faults.push_back({ wanted.target + "." + column, '"' + value + '"', allowed });
            } else if (known != table.rows.end() && cellOf(*known, column) != value) {
                changes.push_back({ ChangeKind::SetCell, wanted.target, column, value, cellOf(*known, column), {} });
            }
        }
        if (known == table.rows.end()) {
            changes.push_back({ ChangeKind::AddRow, wanted.target, "", "", std::nullopt, added });
        }
    }
    return changes;
}

} // namespace hornbeam
