// Sections: reading requests | objects | instances | faults and calls | dispatch

#include "platformservice.h"

#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hornbeam::standins {

namespace {
namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::string_view objectsPath = "/api/objects/";
constexpr std::string_view instancesPath = "/instances/"; // where the instances' own supervisor reports them
constexpr std::string_view eraHeader = "Store-Era";
constexpr std::string_view rawPath = "/raw/"; // takes any text as an object's content, as another writer might leave it

//--- Reading requests

uint64_t readNumber(std::string_view text)
{
    uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpTarget readTarget(const HttpRequest &request)
{
    HttpTarget target;
    const std::string text(request.target());
    const size_t mark = text.find('?');
    target.path = text.substr(0, mark);
    size_t begin = mark == std::string::npos ? text.size() : mark + 1;
    while (begin < text.size()) {
        const size_t end = std::min(text.find('&', begin), text.size());
        const std::string pair = text.substr(begin, end - begin);
        const size_t equals = std::min(pair.find('='), pair.size() - 1);
        target.query[pair.substr(0, equals)] = pair.substr(equals + 1);
        begin = end + 1;
    }
    return target;
}

HttpResponse makeResponse(http::status status, const std::string &body = "")
{
    constexpr unsigned httpVersion = 11;
    HttpResponse response(status, httpVersion);
    response.set(http::field::content_type, "application/json");
    response.body() = body;
    return response;
}

/** A write as its body states it. */
struct WriteBody
{
    std::string name;
    std::string spec;                  // as JSON text
    std::optional<uint64_t> condition; // version that the object must have
};

std::optional<WriteBody> readWrite(const HttpRequest &request)
{
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("meta") || !body["meta"].is_object() || !body.contains("spec")) {
        return std::nullopt;
    }
    WriteBody write;
    write.name = body["meta"].value("name", "");
    write.spec = body["spec"].dump(-1, ' ', false, json::error_handler_t::replace);
    if (body["meta"].contains("rev")) {
        write.condition = body["meta"].value("rev", uint64_t{ 0 });
    }
    return write;
}

http::status statusOf(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Created:
        return http::status::created;
    case WriteOutcome::Replaced:
        return http::status::ok;
    case WriteOutcome::Conflict:
        return http::status::conflict;
    case WriteOutcome::TooLarge:
        return http::status::payload_too_large;
    case WriteOutcome::NotFound:
        return http::status::not_found;
    }
    return http::status::internal_server_error;
}

std::string textOf(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The content stands in the body as it was written, also if it isn't valid JSON.
std::string objectBody(const StoredObject &object)
{
    const std::string name = object.key.substr(object.key.find('/') + 1);
    const json meta{
        { "name", name }, { "rev", object.version }, { "createRevision", object.version }, { "finalizers", json::array() }, { "deleting", false }
    };
    return R"({"meta":)" + textOf(meta) + R"(,"spec":)" + (object.value.empty() ? "null" : object.value) + R"(,"status":null})";
}

std::string listBody(const std::string &field, const std::string &entries, const std::string &more, uint64_t revision)
{
    return "{\"" + field + "\":[" + entries + "]" + more + ",\"currentRev\":" + std::to_string(revision) + "}";
}

bool isFaultPath(const std::string &path)
{
    return path == "/faults" || path == "/calls";
}
}

uint64_t HttpTarget::number(const std::string &key) const
{
    const auto found = this->query.find(key);
    return found == this->query.end() ? 0 : readNumber(found->second);
}

PlatformService::PlatformService(uint64_t seed, std::chrono::milliseconds instanceLag) : instanceLag(instanceLag)
{
    this->faults.random.seed(static_cast<std::minstd_rand::result_type>(seed));
}

//--- Objects

HttpResponse PlatformService::handleObject(const HttpRequest &request, const std::string &key, bool &isWritten)
{
    const bool isKind = key.find('/') == std::string::npos;
    if (request.method() == http::verb::get) {
        const StoredObject *object = this->store.find(key);
        return object == nullptr ? makeResponse(http::status::not_found) : makeResponse(http::status::ok, objectBody(*object));
    }
    if (request.method() == http::verb::delete_) {
        const WriteOutcome outcome = this->store.remove(key, nullptr);
        isWritten = outcome == WriteOutcome::Replaced;
        return makeResponse(statusOf(outcome));
    }
    const std::optional<WriteBody> write = readWrite(request);
    const bool isCreation = request.method() == http::verb::post && isKind;
    if (!write.has_value() || (!isCreation && (request.method() != http::verb::put || isKind))) {
        return makeResponse(http::status::bad_request);
    }
    const std::string target = isCreation ? key + "/" + write->name : key;
    if (!isCreation && this->store.find(target) == nullptr) {
        return makeResponse(http::status::not_found);
    }
    constexpr uint64_t mustNotExist = 0;
    const uint64_t *condition = isCreation ? &mustNotExist : write->condition.has_value() ? &*write->condition : nullptr;
    const WriteOutcome outcome = this->store.put(target, write->spec, condition);
    isWritten = outcome == WriteOutcome::Created || outcome == WriteOutcome::Replaced;
    const StoredObject *object = this->store.find(target);
    return makeResponse(statusOf(outcome), object == nullptr ? "" : objectBody(*object));
}

HttpResponse PlatformService::handleList(const std::string &kind) const
{
    std::string items;
    for (const StoredObject &object : this->store.list(kind + "/", 0, false)) {
        items += (items.empty() ? "" : ",") + objectBody(object);
    }
    return makeResponse(http::status::ok, listBody("items", items, R"(,"hasMore":false)", this->store.revision()));
}

// A watch that waits while a backup is restored has lost its history, too: revisions after its own may be given out again.
bool PlatformService::isHistoryGone(const WatchQuestion &watch) const
{
    return watch.era != this->era || watch.after > this->store.revision();
}

bool PlatformService::isReady(const WatchQuestion &watch) const
{
    return this->faults.outage || this->isHistoryGone(watch) || !this->store.list(watch.prefix, watch.after, true).empty();
}

HttpResponse PlatformService::answerWatch(const WatchQuestion &watch) const
{
    if (this->faults.outage) {
        return this->withEra(makeResponse(http::status::service_unavailable));
    }
    if (this->isHistoryGone(watch)) {
        return this->withEra(makeResponse(http::status::gone));
    }
    std::string events;
    for (const StoredObject &object : this->store.list(watch.prefix, watch.after, true)) {
        events +=
            (events.empty() ? "" : ",") + (R"({"removed":)" + std::string(object.isDeleted ? "true" : "false")) + R"(,"object":)" + objectBody(object) + "}";
    }
    return this->withEra(makeResponse(http::status::ok, listBody("events", events, "", this->store.revision())));
}

//--- Instances

HttpResponse PlatformService::handleInstance(const HttpRequest &request, const std::string &name, std::chrono::steady_clock::time_point now)
{
    const json body = json::parse(request.body(), nullptr, false);
    const bool isRemoval = request.method() == http::verb::delete_;
    if (!isRemoval && (request.method() != http::verb::put || !body.is_object())) {
        return makeResponse(http::status::bad_request);
    }
    StoredInstance instance;
    instance.name = name;
    if (!isRemoval) {
        instance.zone = body.value("zone", "");
        instance.address = body.value("address", "");
        instance.state = body.value("state", "live");
    }
    this->pending.push_back({ now + this->instanceLag, instance, isRemoval });
    return makeResponse(http::status::ok);
}

void PlatformService::showInstances(std::chrono::steady_clock::time_point now)
{
    while (!this->pending.empty() && this->pending.front().at <= now) {
        const InstanceChange &change = this->pending.front();
        const std::string key = "instances/" + change.instance.name;
        if (change.isRemoved) {
            this->store.remove(key, nullptr);
        } else {
            const json spec{ { "zone", change.instance.zone }, { "address", change.instance.address }, { "state", change.instance.state } };
            this->store.put(key, spec.dump(), nullptr);
        }
        this->pending.pop_front();
    }
}

//--- Faults and calls

HttpResponse PlatformService::handleFaults(const HttpRequest &request)
{
    const json body = json::parse(request.body(), nullptr, false);
    if (request.method() != http::verb::post || !body.is_object()) {
        return makeResponse(http::status::bad_request);
    }
    this->faults.outage = body.value("outage", this->faults.outage);
    this->faults.delayMs = body.value("delay_ms", this->faults.delayMs);
    this->faults.loseAnswers = body.value("lose_answer_after_write", this->faults.loseAnswers);
    this->faults.failRate = body.value("fail_rate", this->faults.failRate);
    this->faults.statedEra = body.value("stated_era", this->faults.statedEra);
    if (body.value("take_backup", false)) {
        this->backup = this->store;
    }
    const bool mustRestore = body.value("restore_backup", false);
    return makeResponse(mustRestore && !this->restoreBackup() ? http::status::bad_request : http::status::ok);
}

bool PlatformService::restoreBackup()
{
    if (!this->backup.has_value()) {
        return false;
    }
    this->store = *this->backup;
    this->pending.clear();
    ++this->era;
    return true;
}

HttpResponse PlatformService::handleCalls() const
{
    return makeResponse(http::status::ok, json(this->calls).dump());
}

bool PlatformService::mustFail()
{
    if (this->faults.outage) {
        return true;
    }
    std::uniform_real_distribution<double> share(0, 1);
    return this->faults.failRate > 0 && share(this->faults.random) < this->faults.failRate;
}

//--- Dispatch

ServiceDecision PlatformService::handle(const HttpRequest &request, std::chrono::steady_clock::time_point now)
{
    ServiceDecision decision = this->decide(request, now);
    decision.response = this->withEra(std::move(decision.response));
    return decision;
}

HttpResponse PlatformService::withEra(HttpResponse response) const
{
    response.set(eraHeader, this->faults.statedEra.empty() ? std::to_string(this->era) : this->faults.statedEra);
    return response;
}

ServiceDecision PlatformService::decide(const HttpRequest &request, std::chrono::steady_clock::time_point now)
{
    const HttpTarget target = readTarget(request);
    ServiceDecision decision;
    if (isFaultPath(target.path)) {
        decision.response = target.path == "/calls" ? this->handleCalls() : this->handleFaults(request);
        return decision;
    }
    decision.delay = std::chrono::milliseconds(this->faults.delayMs);
    const bool isInstance = target.path.starts_with(instancesPath);
    const std::string key = target.path.starts_with(objectsPath) ? target.path.substr(objectsPath.size()) : "";
    const bool isRead = request.method() == http::verb::get && !key.empty();
    const bool isWatch = isRead && target.query.contains("watch");
    const bool isList = isRead && !isWatch && key.find('/') == std::string::npos;
    ++this->calls[isWatch ? "watch" : isList ? "list" : std::string(request.method_string())];
    if (this->mustFail()) {
        decision.response = makeResponse(http::status::service_unavailable);
        return decision;
    }
    this->showInstances(now);
    bool isWritten = false;
    if (isWatch) {
        decision.watch = WatchQuestion{ key + "/", target.number("watch"), std::chrono::milliseconds(target.number("waitMs")), this->era };
    } else if (isList) {
        decision.response = this->handleList(key);
    } else if (isInstance) {
        decision.response = this->handleInstance(request, target.path.substr(instancesPath.size()), now);
    } else if (target.path.starts_with(rawPath)) {
        const WriteOutcome outcome = this->store.put(target.path.substr(rawPath.size()), request.body(), nullptr);
        isWritten = outcome == WriteOutcome::Created || outcome == WriteOutcome::Replaced;
        decision.response = makeResponse(statusOf(outcome));
    } else if (!key.empty()) {
        decision.response = this->handleObject(request, key, isWritten);
    } else {
        decision.response = makeResponse(http::status::not_found);
    }
    if (isWritten && this->faults.loseAnswers > 0) {
        --this->faults.loseAnswers;
        decision.isLost = true;
    }
    return decision;
}

} // namespace hornbeam::standins
