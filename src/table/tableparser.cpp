#include "table/tableparser.h"

#include "core/jsontext.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace hornbeam {

namespace {
using nlohmann::json;

constexpr size_t maxTableBytes = 1'000'000;
constexpr uint64_t maxPort = 65535;
constexpr uint64_t maxWeight = 10000;
constexpr uint64_t maxSlots = 100000;
constexpr uint64_t maxConnections = 1000000;
constexpr uint64_t maxQueue = 100000;
const std::vector<std::string_view> stateNames{ "active", "draining", "disabled" };
const std::vector<std::string_view> preferenceNames{ "balance", "persistence" };

void readNumber(JsonFields &fields, const std::string &key, uint64_t low, uint64_t high, uint32_t &value)
{
    uint64_t number = value;
    fields.number(key, low, high, number);
    value = static_cast<uint32_t>(number);
}

void readAddress(JsonFields &fields, Endpoint &endpoint)
{
    constexpr const char *allowed = "an address and a port as a.b.c.d:port, port 1 to 65535";
    std::string text;
    if (!fields.require("address", allowed)) {
        return;
    }
    fields.text("address", text);
    if (!text.empty() && (!parseEndpoint(text, endpoint) || endpoint.port == 0)) {
        fields.fault("address", allowed);
    }
}

TargetRow readRow(const json &object, const std::string &service, const std::string &path, std::vector<TableError> &faults)
{
    TargetRow row;
    if (!object.is_object()) {
        faults.push_back({ path, abbreviatedText(object), "an object with target and address" });
        return row;
    }
    JsonFields fields(object, path, faults);
    fields.require("target", "a name");
    fields.name("target", row.name);
    readAddress(fields, row.endpoint);
    fields.name("zone", row.zoneName);
    readNumber(fields, "weight", 0, maxWeight, row.weight);
    readNumber(fields, "slots", 1, maxSlots, row.slots);
    readNumber(fields, "connections", 0, maxConnections, row.connections);
    size_t state = 0;
    fields.choice("state", stateNames, state);
    row.state = static_cast<RowState>(state);
    fields.finish();
    row.id = targetIdOf(service, row.name);
    row.zone = row.zoneName.empty() ? 0 : zoneIdOf(row.zoneName);
    return row;
}

void checkDuplicates(const std::vector<TargetRow> &rows, std::vector<TableError> &faults)
{
    std::set<std::string> names;
    std::set<uint64_t> endpoints;
    for (size_t i = 0; i < rows.size(); ++i) {
        const std::string path = "targets[" + std::to_string(i) + "].";
        if (!rows[i].name.empty() && !names.insert(rows[i].name).second) {
            faults.push_back({ path + "target", '"' + rows[i].name + '"', "a target name that is unique in the table" });
        }
        if (rows[i].endpoint.port != 0 && !endpoints.insert(rows[i].endpoint.key()).second) {
            faults.push_back({ path + "address", '"' + toString(rows[i].endpoint) + '"', "an address that is unique in the table" });
        }
    }
}

void readRows(JsonFields &fields, ServiceTable &table, std::vector<TableError> &faults)
{
    const json *rows = fields.array("targets");
    if (rows == nullptr) {
        return;
    }
    for (const json &row : *rows) {
        table.rows.push_back(readRow(row, table.name, "targets[" + std::to_string(table.rows.size()) + "]", faults));
    }
    checkDuplicates(table.rows, faults);
}

void readHistory(JsonFields &fields, TableDocument &document, std::vector<TableError> &faults)
{
    const json *history = fields.array("history");
    if (history == nullptr) {
        return;
    }
    if (history->size() > maxHistoryEdits) {
        fields.fault("history", "at most " + std::to_string(maxHistoryEdits) + " edits");
        return;
    }
    for (const json &object : *history) {
        const std::string path = "history[" + std::to_string(document.history.size()) + "]";
        EditRecord record;
        if (!object.is_object()) {
            faults.push_back({ path, abbreviatedText(object), "an object with id, who, when and what" });
            continue;
        }
        JsonFields entry(object, path, faults);
        entry.text("id", record.id);
        entry.text("who", record.who);
        entry.text("when", record.when);
        entry.text("what", record.what);
        entry.finish();
        document.history.push_back(record);
    }
}

void readDocument(const json &object, TableDocument &document, std::vector<TableError> &faults)
{
    JsonFields fields(object, "", faults);
    ServiceTable &table = document.table;
    fields.require("service", "a name");
    fields.name("service", table.name);
    table.id = serviceIdOf(table.name);
    fields.flag("deleted", document.isDeleted);
    if (!document.isDeleted) {
        fields.require("port", "a whole number from 1 to 65535");
    }
    uint64_t port = 0;
    fields.number("port", 1, maxPort, port);
    table.port = static_cast<uint16_t>(port);
    size_t preference = 0;
    fields.choice("preference", preferenceNames, preference);
    table.preference = static_cast<Preference>(preference);
    readNumber(fields, "queue_limit", 0, maxQueue, table.queueLimit);
    fields.text("edit", document.edit);
    readHistory(fields, document, faults);
    readRows(fields, table, faults);
    fields.finish();
}

json rowToJson(const TargetRow &row)
{
    json object{ { "target", row.name }, { "address", toString(row.endpoint) }, { "weight", row.weight },
                 { "slots", row.slots }, { "connections", row.connections },    { "state", nameOf(row.state) } };
    if (!row.zoneName.empty()) {
        object["zone"] = row.zoneName;
    }
    return object;
}

// One element per line, so that a diff of two versions shows the changed rows.
std::string writeList(const std::vector<json> &elements)
{
    std::string text = "[";
    for (size_t i = 0; i < elements.size(); ++i) {
        text += (i == 0 ? "\n  " : ",\n  ") + elements[i].dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return text + "]";
}
}

std::string_view nameOf(RowState state)
{
    return stateNames[static_cast<size_t>(state)];
}

std::string_view nameOf(Preference preference)
{
    return preferenceNames[static_cast<size_t>(preference)];
}

ParsedTable parseTable(std::string_view text, TableVersion version)
{
    ParsedTable parsed;
    if (text.size() > maxTableBytes) {
        parsed.faults.push_back({ "", std::to_string(text.size()) + " bytes", "at most " + std::to_string(maxTableBytes) + " bytes" });
        return parsed;
    }
    const json object = parseJson(text);
    if (!object.is_object()) {
        parsed.faults.push_back({ "", object.is_discarded() ? std::string(unparsableJson) : abbreviatedText(object), "a JSON object" });
        return parsed;
    }
    TableDocument document;
    readDocument(object, document, parsed.faults);
    document.table.version = version;
    if (parsed.faults.empty()) {
        parsed.document = std::move(document);
    }
    return parsed;
}

std::string writeTable(const TableDocument &document)
{
    const ServiceTable &table = document.table;
    json head{ { "service", table.name }, { "preference", nameOf(table.preference) }, { "queue_limit", table.queueLimit }, { "edit", document.edit } };
    if (table.port != 0) {
        head["port"] = table.port;
    }
    if (document.isDeleted) {
        head["deleted"] = true;
    }
    std::vector<json> rows;
    for (const TargetRow &row : table.rows) {
        rows.push_back(rowToJson(row));
    }
    std::vector<json> history;
    for (const EditRecord &record : document.history) {
        history.push_back({ { "id", record.id }, { "who", record.who }, { "when", record.when }, { "what", record.what } });
    }
    std::string text = head.dump(-1, ' ', false, json::error_handler_t::replace);
    text.pop_back(); // the closing brace follows the lists
    return text + ",\n \"targets\":" + writeList(rows) + ",\n \"history\":" + writeList(history) + "}\n";
}

} // namespace hornbeam
