#include "scenario.h"

#include "mechanisms.h"
#include "world.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace hornbeam;
using namespace hornbeam::bench;

namespace {

using Words = std::vector<std::string>;

Words split(const std::string &line)
{
    std::istringstream stream(line.substr(0, line.find('#')));
    Words words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

/** "5s", "200ms" or a number of ms. */
Duration durationOf(const std::string &word)
{
    size_t end = 0;
    const double number = std::stod(word, &end);
    const std::string unit = word.substr(end);
    const double scale = unit == "s" ? 1e9 : unit == "m" ? 60e9 : 1e6;
    return Duration(static_cast<Duration::rep>(number * scale));
}

class Failed : public std::runtime_error
{
public:
    Failed(const std::string &what, std::string flow) : std::runtime_error(what), flow(std::move(flow))
    {
    }
    std::string flow; // whose trace tells more
};

/** Fails an expectation. `flow`: whose trace tells more. */
void require(bool holds, const std::string &seen, const std::string &flow = "instances")
{
    if (!holds) {
        throw Failed(seen, flow);
    }
}

class Interpreter
{
public:
    explicit Interpreter(const WorldSettings &settings) : world(settings)
    {
    }
    void runLine(const Words &words);
    /** The trace kept at the first fault of a flow or outcome, or else its newest events. */
    std::string traceOf(const std::string &flow)
    {
        const auto &kept = this->world.ledger().firstTraces;
        return kept.contains(flow) ? kept.at(flow) : this->world.trace().of(flow);
    }
    World world;

private:
    void build(const Words &words);
    void changeTarget(const Words &words);
    void changeLink(const Words &words);
    void changePlatform(const Words &words);
    void edit(const Words &words);
    void expect(const Words &words);
    void expectOrders(const std::string &what);
    void expectFeeds(const Words &words);
    void expectTargets(const Words &words);
    void expectTables(const Words &words);
    Instance &instance(const std::string &name);
    Target &target(const std::string &name);

    std::string service(const std::string &targetName)
    {
        return this->target(targetName).options.service;
    }
};

std::optional<CallerKind> kindOf(const std::string &word)
{
    const std::array<std::string, 4> names{ "reads", "orders", "brochures", "feeds" };
    const auto found = std::find(names.begin(), names.end(), word);
    return found == names.end() ? std::nullopt : std::optional(static_cast<CallerKind>(found - names.begin()));
}

/** The value after a word, or a default. */
std::string valueAfter(const Words &words, const std::string &word, const std::string &otherwise)
{
    const auto found = std::find(words.begin(), words.end(), word);
    return found == words.end() ? otherwise : *(found + 1);
}

[[noreturn]] void reject(const std::string &what)
{
    throw std::invalid_argument(what);
}

Instance &Interpreter::instance(const std::string &name)
{
    Instance *found = this->world.instance(name);
    if (found == nullptr) {
        reject("no instance " + name);
    }
    return *found;
}

Target &Interpreter::target(const std::string &name)
{
    Target *found = this->world.target(name);
    if (found == nullptr) {
        reject("no target " + name);
    }
    return *found;
}

//--- Verbs

void Interpreter::runLine(const Words &words)
{
    const std::string &verb = words.at(0);
    const auto forEachName = [&](const std::function<void(const std::string &)> &work) {
        for (size_t i = 1; i < words.size(); ++i) {
            (void)this->instance(words[i]);
            work(words[i]);
        }
    };
    if (verb == "run") {
        this->world.run(durationOf(words.at(1)));
    } else if (verb == "kill") {
        forEachName([this](const std::string &name) { this->world.killInstance(name); });
    } else if (verb == "freeze") {
        forEachName([this](const std::string &name) { this->world.freezeInstance(name); });
    } else if (verb == "wake") {
        forEachName([this](const std::string &name) { this->world.wakeInstance(name); });
    } else if (verb == "stop") {
        forEachName([this](const std::string &name) { this->world.stopInstance(name); });
    } else if (verb == "start") {
        forEachName([this](const std::string &name) { this->world.startInstance(name); });
    } else if (verb == "expect") {
        this->expect(words);
    } else if (verb == "dump") { // for whoever looks for a cause
        forEachName([this](const std::string &name) { std::cout << name << " " << this->instance(name).node->dump(); });
    } else if (verb == "replace") { // planned stop, then a new process under the name once the old one has ended
        forEachName([this](const std::string &name) { this->world.stopInstance(name); });
        forEachName([this](const std::string &name) {
            const bool ended = this->world.runUntil(seconds(40), [&] { return this->instance(name).state == ProcessState::Ended; });
            require(ended, name + " still runs 40 s after its planned stop");
            this->world.startInstance(name);
        });
    } else if (verb == "edit" || verb == "race-edit") {
        this->edit(words);
    } else if (verb == "cut" || verb == "mend" || verb == "loss" || verb == "duplicates" || verb == "reorders") {
        this->changeLink(words);
    } else if (verb == "outage" || verb == "slow" || verb == "lose-answers") {
        this->changePlatform(words);
    } else if (verb.ends_with("-target") || verb == "lie" || verb.ends_with("-address")) {
        this->changeTarget(words);
    } else {
        this->build(words);
    }
}

void Interpreter::build(const Words &words)
{
    const std::string &verb = words.at(0);
    const auto inAt = std::find(words.begin(), words.end(), "in");
    if (verb == "zone") {
        return; // zones exist by being named; the line tells the reader
    }
    if (verb == "service") {
        const bool persists = std::find(words.begin(), words.end(), "persistence") != words.end();
        this->world.addService(words.at(1), static_cast<uint16_t>(std::stoul(words.at(2))), persists ? Preference::Persistence : Preference::Balance,
                               static_cast<uint32_t>(std::stoul(valueAfter(words, "queue", "64"))));
    } else if (verb == "instance") {
        for (auto name = words.begin() + 1; name != inAt; ++name) {
            this->world.addInstance(*name, *(inAt + 1));
        }
    } else if (verb == "target") {
        const auto ofAt = std::find(words.begin(), words.end(), "of");
        for (auto name = words.begin() + 1; name != ofAt; ++name) {
            TargetOptions options;
            options.name = *name;
            options.slots = static_cast<uint32_t>(std::stoul(valueAfter(words, "slots", "2")));
            options.serviceMs = static_cast<uint32_t>(std::stoul(valueAfter(words, "work", "40")));
            options.coldMs = static_cast<uint32_t>(std::stoul(valueAfter(words, "cold", "0")));
            options.drainMs = static_cast<uint32_t>(std::stoul(valueAfter(words, "drain", "3000")));
            this->world.addTarget(*(ofAt + 1), *(inAt + 1), options);
        }
    } else if (verb == "end") {
        this->world.endCallers(words.at(3), kindOf(words.at(1)).value());
    } else if (kindOf(verb)) {
        this->world.addCallers(words.at(3), *kindOf(verb), std::stoul(words.at(1)), durationOf(valueAfter(words, "think", "200")));
    } else {
        reject("unknown verb " + verb);
    }
}

void Interpreter::changeTarget(const Words &words)
{
    const std::string &verb = words.at(0);
    if (verb == "lie") {
        this->target(words.at(1)).model->tunables().lie = words.at(2) == "up" ? HealthLie::AlwaysUp
            : words.at(2) == "bad"                                            ? HealthLie::AlwaysBad
                                                                              : HealthLie::None;
        return;
    }
    if (verb == "release-address") { // its row leaves the table, then its process ends as it is idle
        const EditResult removed = this->world.edit("ana", this->service(words.at(1)), { { ChangeKind::RemoveRow, words.at(1), "", "", std::nullopt, {} } });
        require(removed.outcome == EditOutcome::Done, "the row was not removed: " + removed.problem, "tables");
        return;
    }
    if (verb == "reuse-address") { // TARGET for SERVICE as NAME
        const Target &old = this->target(words.at(1));
        TargetRow row;
        row.name = words.at(5);
        row.endpoint = old.options.listen;
        row.zoneName = old.zone;
        row.slots = old.options.slots;
        this->world.replaceTarget(words.at(1), words.at(3), words.at(5));
        const EditResult added = this->world.edit("ana", words.at(3), { { ChangeKind::AddRow, words.at(5), "", "", std::nullopt, row } });
        require(added.outcome == EditOutcome::Done, "the row was not added: " + added.problem, "tables");
        return;
    }
    for (size_t i = 1; i < words.size(); ++i) {
        (void)this->target(words[i]);
        if (verb == "kill-target") {
            this->world.killTarget(words[i]);
        } else if (verb == "start-target") {
            this->world.startTarget(words[i]);
        } else if (verb == "drain-target") {
            this->world.drainTarget(words[i]);
        } else {
            reject("unknown verb " + verb);
        }
    }
}

void Interpreter::changeLink(const Words &words)
{
    const std::string &verb = words.at(0);
    WorldSettings &rates = this->world.rates();
    if (verb == "cut") {
        this->world.cut(words.at(1), words.at(2));
    } else if (verb == "mend") {
        this->world.mend(words.at(1), words.at(2));
    } else if (verb == "loss") {
        rates.loss = std::stod(words.at(1));
    } else if (verb == "duplicates") {
        rates.duplicates = std::stod(words.at(1));
        rates.duplicateDelay = words.size() > 2 ? durationOf(words[2]) : rates.duplicateDelay;
    } else {
        rates.reorders = std::stod(words.at(1));
        rates.reorderDelay = words.size() > 2 ? durationOf(words[2]) : rates.reorderDelay;
    }
}

void Interpreter::changePlatform(const Words &words)
{
    WorldPlatform &platform = this->world.platform();
    if (words[0] == "outage") {
        platform.setOut(words.at(1) == "on");
    } else if (words[0] == "slow") {
        platform.slowness = durationOf(words.at(1));
    } else {
        platform.answersToLose = static_cast<uint32_t>(std::stoul(words.at(1)));
    }
}

/** edit WHO SERVICE TARGET COLUMN VALUE [OUTCOME]; race-edit the same: runs between the next edit's read and its write. */
void Interpreter::edit(const Words &words)
{
    const std::array<std::string, 7> names{ "done", "unchanged", "conflict", "invalid", "not-found", "unreachable", "failed" };
    const auto work = [this, words, names] {
        const EditResult result =
            this->world.edit(words.at(1), words.at(2), { { ChangeKind::SetCell, words.at(3), words.at(4), words.at(5), std::nullopt, {} } });
        const std::string wanted = words.size() > 6 ? words[6] : "done";
        const std::string &seen = names.at(static_cast<size_t>(result.outcome));
        require(wanted == "any" || seen == wanted, "the edit's outcome is " + seen + " " + result.problem, "tables");
    };
    if (words[0] == "edit") {
        work();
    } else {
        this->world.platform().beforePut = work;
    }
}

//--- Expectations

void Interpreter::expect(const Words &words)
{
    const std::string &what = words.at(1);
    const Ledger &ledger = this->world.ledger();
    if (what == "at-most-once" || what == "not-run-true" || what == "orders-answered") {
        this->expectOrders(what);
    } else if (what == "feeds") {
        this->expectFeeds(words);
    } else if (what == "no-late-work" || what == "no-misdelivery" || what == "busy" || what == "work-at") {
        this->expectTargets(words);
    } else if (what == "in-force" || what == "versions-rise") {
        this->expectTables(words);
    } else if (what == "own-answers") {
        const uint64_t torn = ledger.requests.at(static_cast<size_t>(Outcome::Torn));
        require(torn == 0, std::to_string(torn) + " answers were not whole or not the caller's own", "torn");
    } else if (what == "stopped") {
        for (size_t i = 2; i < words.size(); ++i) {
            require(this->instance(words[i]).state == ProcessState::Ended, words[i] + " still runs");
        }
    } else if (what == "none" || what == "some") { // expect none|some OUTCOME...
        uint64_t seen = 0;
        std::string flow = "instances";
        for (size_t i = 2; i < words.size(); ++i) {
            const auto found = std::find(outcomeNames.begin(), outcomeNames.end(), words[i]);
            const uint64_t ended = ledger.requests.at(static_cast<size_t>(found - outcomeNames.begin()));
            seen += ended;
            flow = ended > 0 ? words[i] : flow;
        }
        std::string text = std::to_string(seen) + " requests ended so;";
        for (const auto &[reason, count] : ledger.refusals) {
            text += " [" + reason + "] " + std::to_string(count);
        }
        require((seen == 0) == (what == "none"), text, flow);
    } else {
        reject("unknown expectation " + what);
    }
}

void Interpreter::expectOrders(const std::string &what)
{
    size_t executed = 0;
    for (const auto &[identity, order] : this->world.ledger().orders) {
        executed += order.executions;
        const std::string seen = identity + " ran " + std::to_string(order.executions) + " times, its caller was told "
            + (order.isTold ? std::string(outcomeNames.at(static_cast<size_t>(order.told))) : "nothing");
        if (what == "at-most-once") {
            require(order.executions <= 1, seen, order.flow);
            require(order.told != Outcome::Answered || order.executions == 1, seen, order.flow);
        } else if (what == "not-run-true") {
            require(!order.isTold || order.told != Outcome::NotRun || order.executions == 0, seen, order.flow);
        } else {
            require(!order.isTold || order.told == Outcome::Answered, seen, order.flow);
        }
    }
    require(executed > 0, "no order ran at all");
}

/** expect feeds unbroken [GAP] | feeds fresh: no update gap above GAP, none ended, none registered again, states never back. */
void Interpreter::expectFeeds(const Words &words)
{
    const Duration most = words.size() > 3 ? durationOf(words[3]) : seconds(3);
    require(!this->world.ledger().feeds.empty(), "there are no feeds");
    for (const auto &[flow, feed] : this->world.ledger().feeds) {
        require(feed.isOpen, flow + " never opened", flow);
        if (words.at(2) == "fresh") {
            require(feed.statesBack == 0, flow + " went back " + std::to_string(feed.statesBack) + " times", flow);
            continue;
        }
        const auto gap = std::chrono::duration_cast<milliseconds>(std::max(feed.longestGap, this->world.time().now() - feed.lastUpdate)).count();
        require(!feed.isEnded && feed.reregistered == 0 && milliseconds(gap) <= most,
                flow + " longest_gap_ms=" + std::to_string(gap) + " ended=" + std::to_string(feed.isEnded)
                    + " reregistered=" + std::to_string(feed.reregistered),
                flow);
    }
}

void Interpreter::expectTargets(const Words &words)
{
    uint64_t count = 0;
    const std::string &what = words.at(1);
    for (const auto &target : this->world.targets()) {
        const TargetReport &report = target->model->report();
        const std::string name = target->options.name;
        if (what == "no-late-work") {
            require(report.lateWork == 0, name + " got " + std::to_string(report.lateWork) + " new requests over 2 s after its drain began");
        } else if (what == "no-misdelivery") {
            require(report.misdelivered == 0, name + " got " + std::to_string(report.misdelivered) + " requests of another service");
        } else if (what == "busy") {
            require(report.peakBusy + report.shed <= std::stoul(words.at(2)),
                    name + " peak " + std::to_string(report.peakBusy) + " shed " + std::to_string(report.shed));
        } else if (name == words.at(2)) {
            count += report.reads + report.executions;
        }
    }
    require(what != "work-at" || count > 0, words.back() + " had no work");
    require(this->world.ledger().strangers == 0, std::to_string(this->world.ledger().strangers) + " packets reached callers from another service");
}

/** expect in-force SERVICE [DURATION] | versions-rise */
void Interpreter::expectTables(const Words &words)
{
    if (words[1] == "versions-rise") {
        require(this->world.ledger().versionFalls == 0, std::to_string(this->world.ledger().versionFalls) + " versions fell", "tables");
        return;
    }
    const Duration most = words.size() > 3 ? durationOf(words[3]) : Duration::zero();
    const std::string service = words.at(2);
    require(this->world.acceptedVersion(service) > 0, "no edit was accepted", "tables");
    this->world.runUntil(most, [&] { return this->world.findLaggard(service).empty(); });
    const std::string laggard = this->world.findLaggard(service);
    require(laggard.empty(), laggard, "tables");
}

struct NumberedLine
{
    size_t number = 0;
    std::string text;
};

/** The lines to run, those between `repeat N` and `done` N times with `#` in names replaced by the turn. */
std::vector<NumberedLine> unrolled(const std::vector<std::string> &lines)
{
    std::vector<NumberedLine> all;
    for (size_t i = 0; i < lines.size(); ++i) {
        if (!lines[i].starts_with("repeat ")) {
            all.push_back({ i + 1, lines[i] });
            continue;
        }
        const auto end = std::find(lines.begin() + static_cast<ptrdiff_t>(i), lines.end(), "done");
        const auto last = static_cast<size_t>(end - lines.begin());
        const size_t turns = std::stoul(lines[i].substr(std::string("repeat ").size()));
        for (size_t turn = 1; turn <= turns; ++turn) {
            for (size_t inner = i + 1; inner < last; ++inner) {
                std::string text = lines[inner];
                std::replace(text.begin(), text.end(), '#', static_cast<char>('0' + turn));
                all.push_back({ inner + 1, text });
            }
        }
        i = last;
    }
    std::erase_if(all, [](const NumberedLine &line) { return split(line.text).empty(); });
    return all;
}

} // namespace

//--- Files

Scenario readScenario(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    Scenario scenario;
    scenario.name = path.substr(path.rfind('/') + 1);
    scenario.name.erase(scenario.name.rfind('.'));
    for (std::string line; std::getline(file, line);) {
        const size_t arrow = line.find(" -> ");
        if (line.starts_with("without ") && arrow != std::string::npos) {
            const size_t begin = std::string("without ").size();
            scenario.counters.push_back({ line.substr(begin, arrow - begin), line.substr(arrow + 4) });
            line.clear();
        }
        scenario.lines.push_back(line);
    }
    return scenario;
}

std::optional<ScenarioFailure> runScenario(const Scenario &scenario, uint64_t seed, const std::string &mechanism)
{
    WorldSettings settings;
    settings.seed = seed;
    if (!mechanism.empty() && !removeMechanism(mechanism, settings)) {
        throw std::runtime_error(scenario.name + ": no mechanism " + mechanism);
    }
    Interpreter interpreter(settings);
    for (const auto &[line, text] : unrolled(scenario.lines)) {
        const Words words = split(text);
        const std::string where = scenario.name + ":" + std::to_string(line) + " seed " + std::to_string(seed) + ": " + text;
        try {
            interpreter.runLine(words);
        } catch (const Failed &failed) {
            return ScenarioFailure{ line, text,
                                    where + "\n  " + failed.what() + "\n  trace of " + failed.flow + ":\n" + interpreter.traceOf(failed.flow) + "  instances:\n"
                                        + interpreter.world.trace().of("instances") };
        } catch (const std::exception &malformed) {
            throw std::runtime_error(where + ": malformed: " + malformed.what());
        }
    }
    return std::nullopt;
}
