// hornbeamctl: the operators' table in the terminal.
//
// Sections: arguments | verbs | main

#include "apps/ctlcommands.h"
#include "apps/flowexplain.h"
#include "apps/placementpage.h"
#include "apps/tablecells.h"
#include "platform/blockingplatform.h"
#include "store/httpget.h"

#include <CLI/CLI.hpp>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {
using namespace hornbeam;

constexpr const char *footer = R"(Exit codes:
  0  done
  1  failed: no such service or target, or a value that is not allowed
  2  wrong usage
  3  conflict: another operator changed the same cell; both values are shown
  4  the platform is unreachable
  5  not in force in time

Examples:
  hornbeamctl --platform 127.0.0.1:8080 create booking --port 5683
  hornbeamctl add booking b1 address=127.0.0.1:7001 zone=kl-1 slots=2
  hornbeamctl set booking b1 weight 50 --expect 100
  hornbeamctl set booking - queue_limit 128          (- is the service itself)
  hornbeamctl drain booking b1 && hornbeamctl wait booking --timeout 15
  hornbeamctl show booking --csv > booking.csv
  hornbeamctl diff booking booking.csv
  hornbeamctl apply booking booking.csv              (- reads the standard input)
  hornbeamctl explain "10.0.0.7:40001>198.18.0.1:443" --from 10.1.0.10:9464
  hornbeamctl explain --caller 10.0.0.7:40001 --route order --from 10.1.0.10:9464)";

//--- Arguments

struct Arguments
{
    std::string platform = "127.0.0.1:8080";
    std::string who = "operator";
    bool isCsv = false;
    bool isJson = false;
    std::string service;
    std::string target;
    std::string column;
    std::string value;
    std::string expect;
    std::string file;
    std::string from;
    std::string flow;
    std::string caller;
    std::string route;
    std::vector<std::string> cells;
    uint32_t port = 0;
    uint64_t version = 0;
    uint32_t timeoutSeconds = 15;
};

std::optional<std::string> readInput(const std::string &path)
{
    std::ostringstream content;
    if (path == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "the file " << path << " can't be read\n";
        return std::nullopt;
    }
    content << file.rdbuf();
    return content.str();
}

TableChange setCellChange(const Arguments &arguments, const std::string &column, const std::string &value, bool isExpected)
{
    TableChange change;
    change.target = arguments.target == "-" ? "" : arguments.target;
    change.column = column;
    change.value = value;
    if (isExpected) {
        change.expected = arguments.expect;
    }
    return change;
}

// a row from words such as weight=50; nothing when one of them is not allowed
std::optional<TableChange> addRowChange(const Arguments &arguments)
{
    TableChange change;
    change.kind = ChangeKind::AddRow;
    change.target = arguments.target;
    change.row.name = arguments.target;
    for (const std::string &cell : arguments.cells) {
        const size_t equals = cell.find('=');
        const std::string column = cell.substr(0, equals);
        const std::string allowed = equals == std::string::npos ? "column=value" : setCell(change.row, column, cell.substr(equals + 1));
        if (!allowed.empty()) {
            std::cerr << cell << " is not allowed; allowed: " << allowed << "\n";
            return std::nullopt;
        }
    }
    return change;
}

//--- Verbs

constexpr std::array<std::pair<std::string_view, const char *>, 4> instancePages{
    { { "counters", "/metrics" }, { "targets", "/targets" }, { "routes", "/routes" }, { "flows", "/flows" } }
};

// a page of the instance at --from; says on standard error why there is none
std::optional<std::string> readPage(const Arguments &arguments, const std::string &path, ExitCode &code)
{
    constexpr Duration timeout = seconds(5);
    Endpoint endpoint;
    if (!parseEndpoint(arguments.from, endpoint)) {
        std::cerr << "--from " << arguments.from << " is not a.b.c.d:port\n";
        code = ExitCode::Usage;
        return std::nullopt;
    }
    std::optional<std::string> text = httpGet(endpoint, path, timeout);
    if (!text.has_value()) {
        std::cerr << "the instance at " << arguments.from << " gave no answer for " << path << "\n";
        code = ExitCode::Failed;
    }
    return text;
}

ExitCode runPage(const Arguments &arguments, const std::string &path)
{
    ExitCode code = ExitCode::Done;
    const std::optional<std::string> text = readPage(arguments, path, code);
    std::cout << text.value_or("");
    return code;
}

// where a flow that does not exist yet would go now
ExitCode runPlacement(const Arguments &arguments)
{
    constexpr Duration timeout = seconds(5);
    constexpr unsigned ok = 200;
    Endpoint endpoint;
    if (!parseEndpoint(arguments.from, endpoint)) {
        std::cerr << "--from " << arguments.from << " is not a.b.c.d:port\n";
        return ExitCode::Usage;
    }
    const std::optional<HttpPage> page = httpRead(endpoint, placementPath(arguments.caller, arguments.route), timeout);
    if (!page.has_value()) {
        std::cerr << "the instance at " << arguments.from << " gave no answer\n";
        return ExitCode::Failed;
    }
    const std::string text = placementText(page->body);
    if (page->status != ok || text.empty()) {
        std::cerr << (page->status == ok ? "the instance does not know this page\n" : page->body);
        return ExitCode::Failed;
    }
    std::cout << (arguments.isJson ? page->body : text);
    return ExitCode::Done;
}

// what an instance believes of one flow, of its route and of its target
ExitCode runExplain(const Arguments &arguments)
{
    if (!arguments.caller.empty() || !arguments.route.empty()) {
        if (arguments.caller.empty() || arguments.route.empty() || !arguments.flow.empty()) {
            std::cerr << "explain needs either a flow or both --caller and --route\n";
            return ExitCode::Usage;
        }
        return runPlacement(arguments);
    }
    if (arguments.flow.empty()) {
        std::cerr << "explain needs either a flow or both --caller and --route\n";
        return ExitCode::Usage;
    }
    ExitCode code = ExitCode::Done;
    const std::optional<std::string> flows = readPage(arguments, "/flows", code);
    const std::optional<std::string> targets = flows.has_value() ? readPage(arguments, "/targets", code) : std::nullopt;
    const std::optional<std::string> routes = targets.has_value() ? readPage(arguments, "/routes", code) : std::nullopt;
    if (!routes.has_value()) {
        return code;
    }
    const FlowExplanation explanation = explainFlow(arguments.flow, *flows, *targets, *routes);
    if (!explanation.problem.empty()) {
        std::cerr << explanation.problem << "\n";
        return ExitCode::Failed;
    }
    std::cout << (arguments.isJson ? explanation.json : explanation.text);
    return ExitCode::Done;
}

ExitCode runEdit(CtlCommands &commands, const CLI::App &verb, const Arguments &arguments)
{
    const std::string &name = verb.get_name();
    TableChange change;
    if (name == "set") {
        change = setCellChange(arguments, arguments.column, arguments.value, verb.count("--expect") > 0);
    } else if (name == "drain") {
        change = setCellChange(arguments, "state", "draining", false);
    } else if (name == "create") {
        change.kind = ChangeKind::CreateService;
        change.value = std::to_string(arguments.port);
    } else if (name == "delete") {
        change.kind = ChangeKind::DeleteService;
    } else if (name == "remove") {
        change.kind = ChangeKind::RemoveRow;
        change.target = arguments.target;
    } else {
        const std::optional<TableChange> added = addRowChange(arguments);
        if (!added.has_value()) {
            return ExitCode::Usage;
        }
        change = *added;
    }
    return commands.edit(arguments.service, { change });
}

ExitCode runFile(CtlCommands &commands, const std::string &verb, const Arguments &arguments)
{
    const std::optional<std::string> csv = readInput(arguments.file);
    if (!csv.has_value()) {
        return ExitCode::Usage;
    }
    return verb == "diff" ? commands.diff(arguments.service, *csv) : commands.apply(arguments.service, *csv);
}

ExitCode runVerb(const CLI::App &verb, const Arguments &arguments)
{
    constexpr Duration callTimeout = seconds(5);
    const std::string &name = verb.get_name();
    for (const auto &[page, path] : instancePages) {
        if (name == page) {
            return runPage(arguments, path);
        }
    }
    if (name == "explain") {
        return runExplain(arguments);
    }
    Endpoint endpoint;
    if (!parseEndpoint(arguments.platform, endpoint)) {
        std::cerr << "--platform " << arguments.platform << " is not a.b.c.d:port\n";
        return ExitCode::Usage;
    }
    BlockingPlatform platform(endpoint, callTimeout);
    const SystemClock clock;
    const Format format = arguments.isJson ? Format::Json : arguments.isCsv ? Format::Csv : Format::Aligned;
    CtlCommands commands(platform, clock, std::cout, std::cerr, arguments.who, format);
    if (name == "status") {
        return commands.status();
    }
    if (!isValidName(arguments.service)) {
        std::cerr << "service \"" << arguments.service << "\" is not allowed; allowed: 1 to 64 letters, digits, dots, dashes and underscores\n";
        return ExitCode::Usage;
    }
    if (name == "show") {
        return commands.show(arguments.service);
    }
    if (name == "history") {
        return commands.history(arguments.service);
    }
    if (name == "wait") {
        return commands.wait(arguments.service, arguments.version, seconds(arguments.timeoutSeconds));
    }
    if (name == "diff" || name == "apply") {
        return runFile(commands, name, arguments);
    }
    return runEdit(commands, verb, arguments);
}

void addVerbs(CLI::App &app, Arguments &arguments)
{
    const auto addVerb = [&](const std::string &name, const std::string &text) {
        CLI::App *verb = app.add_subcommand(name, text);
        verb->fallthrough(); // the common options may stand behind the verb
        verb->add_option("service", arguments.service, "name of the service")->required();
        return verb;
    };
    CLI::App *show = addVerb("show", "print a service's table");
    show->add_flag("--csv", arguments.isCsv, "as CSV, which apply reads");
    CLI::App *set = addVerb("set", "set one cell");
    set->add_option("target", arguments.target, "name of the target, or - for the service itself")->required();
    set->add_option("column", arguments.column, "address, zone, weight, slots, connections, state; of the service: port, preference, queue_limit")->required();
    set->add_option("value", arguments.value, "the new value")->required();
    set->add_option("--expect", arguments.expect, "the value that the cell must have now");
    CLI::App *add = addVerb("add", "add a row");
    add->add_option("target", arguments.target, "name of the target")->required();
    add->add_option("cells", arguments.cells, "column=value, address at least")->required();
    addVerb("remove", "remove a row")->add_option("target", arguments.target, "name of the target")->required();
    addVerb("drain", "give a target no new work; it finishes what it has")->add_option("target", arguments.target, "name of the target")->required();
    addVerb("create", "create a service")->add_option("--port", arguments.port, "UDP port that callers use")->required()->check(CLI::Range(1, 65535));
    addVerb("delete", "delete a service and all its rows");
    addVerb("diff", "print what apply would change")->add_option("file", arguments.file, "CSV, or - for the standard input")->required();
    addVerb("apply", "make the rows those of a file")->add_option("file", arguments.file, "CSV, or - for the standard input")->required();
    addVerb("history", "print the last edits");
    CLI::App *wait = addVerb("wait", "wait until a version is in force in every zone");
    wait->add_option("--version", arguments.version, "the version; the present one by default");
    wait->add_option("--timeout", arguments.timeoutSeconds, "in seconds")->capture_default_str();
    app.add_subcommand("status", "print each zone's members, the services that lag there, and the members that lag")->fallthrough();
    const auto addPageVerb = [&](const std::string &name, const std::string &text) {
        CLI::App *verb = app.add_subcommand(name, text);
        verb->fallthrough();
        verb->add_option("--from", arguments.from, "its address and metrics port as a.b.c.d:port")->required();
        return verb;
    };
    addPageVerb("counters", "print the counters of an instance");
    addPageVerb("targets", "print the targets that an instance knows, as JSON");
    addPageVerb("routes", "print the routes that an instance has in force, as JSON");
    addPageVerb("flows", "print the flows that an instance saw last, as JSON");
    CLI::App *explain = addPageVerb("explain", "print what an instance believes of one flow, its route and its target, or where a new flow would go");
    explain->add_option("flow", arguments.flow, "as the logs name it: CALLER:PORT>ADDRESS:PORT");
    explain->add_option("--caller", arguments.caller, "a.b.c.d:port of the caller of a flow that does not exist yet");
    explain->add_option("--route", arguments.route, "its route: a name, or the address as a.b.c.d:port");
}
}

//--- Main

int main(int argc, char **argv)
{
    Arguments arguments;
    const char *user = std::getenv("USER");
    arguments.who = user == nullptr ? arguments.who : user;
    CLI::App app{ "Shows and edits the table of services and targets that hornbeamd balances over." };
    app.footer(footer);
    app.set_version_flag("--version", std::string("hornbeamctl " HORNBEAM_VERSION));
    app.add_option("--platform", arguments.platform, "the platform's object API as a.b.c.d:port")->envname("HORNBEAM_PLATFORM")->capture_default_str();
    app.add_option("--who", arguments.who, "the name that the history shows")->capture_default_str();
    app.add_flag("--json", arguments.isJson, "print JSON");
    app.require_subcommand(1);
    addVerbs(app, arguments);
    try {
        app.parse(argc, argv);
        return static_cast<int>(runVerb(*app.get_subcommands().front(), arguments));
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::Usage);
    } catch (const std::exception &error) {
        std::cerr << "failed: " << error.what() << "\n";
        return static_cast<int>(ExitCode::Failed);
    }
}
