#include "apps/tablecells.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace hornbeam {

namespace {
// a whole number of at most 32 bits; false for anything else
bool readNumber(const std::string &text, uint32_t &number)
{
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && stop == end && !text.empty();
}

std::string setNumber(const std::string &value, uint32_t &cell)
{
    return readNumber(value, cell) ? "" : "a whole number";
}

std::vector<std::string> splitLine(std::string line)
{
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    std::vector<std::string> cells;
    std::istringstream stream(line + ",");
    std::string cell;
    while (std::getline(stream, cell, ',')) {
        const size_t first = cell.find_first_not_of(' ');
        const size_t last = cell.find_last_not_of(' ');
        cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
    }
    return cells;
}

void checkHeader(const std::vector<std::string> &header, std::vector<Fault> &faults)
{
    std::string allowed = "target";
    for (const std::string &column : rowColumns()) {
        allowed += ", " + column;
    }
    std::set<std::string> seen;
    for (const std::string &column : header) {
        const bool isKnown = column == "target" || std::find(rowColumns().begin(), rowColumns().end(), column) != rowColumns().end();
        if (!isKnown || !seen.insert(column).second) {
            faults.push_back({ "line 1", '"' + column + '"', "each of these once: " + allowed });
        }
    }
    if (!seen.contains("target")) {
        faults.push_back({ "line 1", "no column target", allowed });
    }
}

CsvRow makeRow(const std::vector<std::string> &header, const std::vector<std::string> &cells)
{
    CsvRow row;
    for (size_t i = 0; i < header.size(); ++i) {
        if (header[i] == "target") {
            row.target = cells[i];
        } else if (std::find(rowColumns().begin(), rowColumns().end(), header[i]) != rowColumns().end()) { // others are the header's fault, told once
            row.cells[header[i]] = cells[i];
        }
    }
    return row;
}
}

const std::vector<std::string> &rowColumns()
{
    static const std::vector<std::string> columns{ "address", "zone", "weight", "slots", "connections", "state" };
    return columns;
}

const std::vector<std::string> &serviceColumns()
{
    static const std::vector<std::string> columns{ "port", "preference", "queue_limit" };
    return columns;
}

std::string cellOf(const TargetRow &row, const std::string &column)
{
    if (column == "address") {
        return toString(row.endpoint);
    }
    if (column == "zone") {
        return row.zoneName;
    }
    if (column == "state") {
        return std::string(nameOf(row.state));
    }
    return std::to_string(column == "weight" ? row.weight : column == "slots" ? row.slots : row.connections);
}

std::string cellOf(const ServiceTable &table, const std::string &column)
{
    if (column == "preference") {
        return std::string(nameOf(table.preference));
    }
    return std::to_string(column == "port" ? table.port : table.queueLimit);
}

std::string rowText(const TargetRow &row)
{
    std::string text;
    for (const std::string &column : rowColumns()) {
        text += (text.empty() ? "" : " ") + column + "=" + cellOf(row, column);
    }
    return text;
}

std::string setCell(TargetRow &row, const std::string &column, const std::string &value)
{
    if (column == "address") {
        return parseEndpoint(value, row.endpoint) ? "" : "an address and a port as a.b.c.d:port";
    }
    if (column == "zone") {
        row.zoneName = value;
        return "";
    }
    if (column == "state") {
        for (const RowState state : { RowState::Active, RowState::Draining, RowState::Disabled }) {
            if (value == nameOf(state)) {
                row.state = state;
                return "";
            }
        }
        return "active or draining or disabled";
    }
    if (column == "weight") {
        return setNumber(value, row.weight);
    }
    if (column == "slots") {
        return setNumber(value, row.slots);
    }
    return column == "connections" ? setNumber(value, row.connections) : "one of the columns address, zone, weight, slots, connections, state";
}

std::string setCell(ServiceTable &table, const std::string &column, const std::string &value)
{
    if (column == "preference") {
        for (const Preference preference : { Preference::Balance, Preference::Persistence }) {
            if (value == nameOf(preference)) {
                table.preference = preference;
                return "";
            }
        }
        return "balance or persistence";
    }
    if (column == "queue_limit") {
        return setNumber(value, table.queueLimit);
    }
    uint32_t port = 0;
    const bool isPort = readNumber(value, port) && port >= 1 && port <= UINT16_MAX;
    if (column != "port" || !isPort) {
        return column == "port" ? "a whole number from 1 to 65535" : "one of the columns port, preference, queue_limit";
    }
    table.port = static_cast<uint16_t>(port);
    return "";
}

CsvTable readCsv(const std::string &text)
{
    CsvTable table;
    std::istringstream stream(text);
    std::string line;
    std::getline(stream, line);
    const std::vector<std::string> header = splitLine(line);
    checkHeader(header, table.faults);
    std::set<std::string> targets;
    for (size_t number = 2; std::getline(stream, line); ++number) {
        const std::vector<std::string> cells = splitLine(line);
        const std::string path = "line " + std::to_string(number);
        if (line.find_first_not_of(" \r") == std::string::npos) {
            continue;
        }
        if (cells.size() != header.size()) {
            table.faults.push_back({ path, std::to_string(cells.size()) + " cells", std::to_string(header.size()) + " cells as in the header" });
            continue;
        }
        CsvRow row = makeRow(header, cells);
        if (!isValidName(row.target) || !targets.insert(row.target).second) {
            table.faults.push_back({ path, '"' + row.target + '"', "the name of a target, once only" });
        }
        table.rows.push_back(std::move(row));
    }
    return table;
}

std::string writeCsv(const ServiceTable &table)
{
    std::string text = "target";
    for (const std::string &column : rowColumns()) {
        text += "," + column;
    }
    text += "\n";
    for (const TargetRow &row : table.rows) {
        text += row.name;
        for (const std::string &column : rowColumns()) {
            text += "," + cellOf(row, column);
        }
        text += "\n";
    }
    return text;
}

std::string alignColumns(const std::vector<std::vector<std::string>> &lines)
{
    constexpr size_t gap = 2;
    std::vector<size_t> widths;
    for (const auto &line : lines) {
        widths.resize(std::max(widths.size(), line.size()));
        for (size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string text;
    for (const auto &line : lines) {
        std::string padded;
        for (size_t i = 0; i < line.size(); ++i) {
            padded += line[i] + std::string(widths[i] - line[i].size() + gap, ' ');
        }
        padded.erase(padded.find_last_not_of(' ') + 1);
        text += padded + "\n";
    }
    return text;
}

} // namespace hornbeam
