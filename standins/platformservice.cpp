// Sections: reading requests | objects | instances | faults and calls | dispatch

#include "platformservice.h"

#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace hornbeam::standins {

namespace {
namespace http = boost::beast::http;
using nlohmann::json;

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

std::string etag(uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

// the version that a write asks for; 0 stands for "must not exist"
std::optional<uint64_t> conditionOf(const HttpRequest &request)
{
    if (request[http::field::if_none_match] == "*") {
        return 0;
    }
    const std::string match(request[http::field::if_match]);
    if (match.size() < 3) {
        return std::nullopt;
    }
    return readNumber(std::string_view(match).substr(1, match.size() - 2));
}

http::status statusOf(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Created:
        return http::status::created;
    case WriteOutcome::Replaced:
        return http::status::ok;
    case WriteOutcome::Conflict:
        return http::status::precondition_failed;
    case WriteOutcome::TooLarge:
        return http::status::payload_too_large;
    case WriteOutcome::NotFound:
        return http::status::not_found;
    }
    return http::status::internal_server_error;
}

std::string objectsBody(uint64_t revision, const std::vector<StoredObject> &objects)
{
    json entries = json::array();
    for (const StoredObject &object : objects) {
        json entry{ { "key", object.key }, { "version", object.version } };
        if (object.isDeleted) {
            entry["deleted"] = true;
        } else {
            entry["value"] = object.value;
        }
        entries.push_back(std::move(entry));
    }
    return json{ { "revision", revision }, { "objects", std::move(entries) } }.dump(-1, ' ', false, json::error_handler_t::replace);
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
    if (request.method() == http::verb::get) {
        const StoredObject *object = this->store.find(key);
        if (object == nullptr) {
            return makeResponse(http::status::not_found);
        }
        HttpResponse response = makeResponse(http::status::ok, object->value);
        response.set(http::field::etag, etag(object->version));
        return response;
    }
    if (request.method() != http::verb::put && request.method() != http::verb::delete_) {
        return makeResponse(http::status::method_not_allowed);
    }
    const std::optional<uint64_t> condition = conditionOf(request);
    const uint64_t *ifVersion = condition.has_value() ? &*condition : nullptr;
    const bool isPut = request.method() == http::verb::put;
    const WriteOutcome outcome = isPut ? this->store.put(key, request.body(), ifVersion) : this->store.remove(key, ifVersion);
    isWritten = outcome == WriteOutcome::Created || outcome == WriteOutcome::Replaced;
    HttpResponse response = makeResponse(statusOf(outcome));
    if (isWritten) {
        response.set(http::field::etag, etag(this->store.revision()));
    }
    return response;
}

HttpResponse PlatformService::handleList(const HttpTarget &target) const
{
    const auto prefix = target.query.find("prefix");
    const std::string wanted = prefix == target.query.end() ? "" : prefix->second;
    return makeResponse(http::status::ok, objectsBody(this->store.revision(), this->store.list(wanted, 0, false)));
}

bool PlatformService::isReady(const WatchQuestion &watch) const
{
    return this->faults.outage || !this->store.list(watch.prefix, watch.after, true).empty();
}

HttpResponse PlatformService::answerWatch(const WatchQuestion &watch) const
{
    if (this->faults.outage) {
        return makeResponse(http::status::service_unavailable);
    }
    return makeResponse(http::status::ok, objectsBody(this->store.revision(), this->store.list(watch.prefix, watch.after, true)));
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

HttpResponse PlatformService::handleInstances(std::chrono::steady_clock::time_point now)
{
    while (!this->pending.empty() && this->pending.front().at <= now) {
        const InstanceChange &change = this->pending.front();
        if (change.isRemoved) {
            this->shown.erase(change.instance.name);
        } else {
            this->shown[change.instance.name] = change.instance;
        }
        this->pending.pop_front();
    }
    json entries = json::array();
    for (const auto &[name, instance] : this->shown) {
        entries.push_back({ { "name", name }, { "zone", instance.zone }, { "address", instance.address }, { "state", instance.state } });
    }
    return makeResponse(http::status::ok, json{ { "instances", std::move(entries) } }.dump());
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
    return makeResponse(http::status::ok);
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
    const HttpTarget target = readTarget(request);
    ServiceDecision decision;
    if (isFaultPath(target.path)) {
        decision.response = target.path == "/calls" ? this->handleCalls() : this->handleFaults(request);
        return decision;
    }
    decision.delay = std::chrono::milliseconds(this->faults.delayMs);
    const bool isWatch = target.path == "/watch";
    const bool isList = target.path == "/objects";
    ++this->calls[isWatch ? "watch" : isList ? "list" : std::string(request.method_string())];
    if (this->mustFail()) {
        decision.response = makeResponse(http::status::service_unavailable);
        return decision;
    }
    bool isWritten = false;
    if (isWatch) {
        const auto prefix = target.query.find("prefix");
        const std::chrono::milliseconds timeout(target.number("timeout_ms"));
        decision.watch = WatchQuestion{ prefix == target.query.end() ? "" : prefix->second, target.number("after"), timeout };
    } else if (isList) {
        decision.response = this->handleList(target);
    } else if (target.path.starts_with("/objects/")) {
        decision.response = this->handleObject(request, target.path.substr(std::string_view("/objects/").size()), isWritten);
    } else if (target.path == "/instances") {
        decision.response = this->handleInstances(now);
    } else if (target.path.starts_with("/instances/")) {
        decision.response = this->handleInstance(request, target.path.substr(std::string_view("/instances/").size()), now);
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
