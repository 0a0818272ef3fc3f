#include "targetmodel.h"

#include "coapoptions.h"

#include <algorithm>
#include <cstdio>

using namespace hornbeam;

namespace {

constexpr size_t answersKept = 20000;
constexpr uint32_t coldFactor = 3;
constexpr seconds newWorkGrace(2);
constexpr uint32_t blockExponent = 5; // blocks of 512 bytes
constexpr uint16_t optionBlock2 = 23;
constexpr uint32_t maxAgeSeconds = 30;

uint64_t boardMillis(const Clock &clock, uint32_t publishMs)
{
    return clock.wallMillis() / publishMs;
}

} // namespace

TargetModel::TargetModel(TargetOptions options, const Clock &clock, TargetPort &port)
    : options(std::move(options)), clock(clock), port(port), started(clock.now())
{
}

void TargetModel::begin()
{
    this->publish();
}

void TargetModel::beginDrain()
{
    this->draining = true;
    this->drainStarted = this->clock.now();
}

bool TargetModel::isDrained() const
{
    return this->draining && this->clock.now() - this->drainStarted >= milliseconds(this->options.drainMs) && this->busy == 0;
}

uint32_t TargetModel::busySlots() const
{
    return this->busy;
}

size_t TargetModel::observerCount() const
{
    return this->observers.size();
}

TargetOptions &TargetModel::tunables()
{
    return this->options;
}

const TargetReport &TargetModel::report() const
{
    return this->counts;
}

bool TargetModel::isCold() const
{
    return this->clock.now() - this->started < milliseconds(this->options.coldMs);
}

//--- Requests

void TargetModel::onPacket(const Endpoint &from, const Bytes &packet)
{
    const auto message = parseCoap(packet);
    if (!message) {
        return;
    }
    if (message->type == CoapType::Reset) {
        const auto rejected = std::find_if(this->observers.begin(), this->observers.end(),
                                           [&](const auto &entry) { return entry.second.source == from && entry.second.lastMessageId == message->messageId; });
        if (rejected != this->observers.end()) {
            this->observers.erase(rejected);
        }
        return;
    }
    if (!message->isRequest()) {
        return;
    }
    const auto key = std::make_pair(from, message->messageId);
    const auto known = this->answers.find(key);
    if (known != this->answers.end()) {
        if (!known->second.empty()) {
            this->port.send(from, known->second);
        }
        return;
    }
    this->answers.emplace(key, Bytes());
    this->answerOrder.push_back(key);
    if (this->answerOrder.size() > answersKept) {
        this->answers.erase(this->answerOrder.front());
        this->answerOrder.pop_front();
    }
    this->dispatch(from, *message, packet);
}

void TargetModel::dispatch(const Endpoint &from, const CoapMessage &request, const Bytes &packet)
{
    const std::string path = readRequestOptions(packet).path;
    if (path == "health") {
        this->answerProbe(from, request);
        return;
    }
    if (path.rfind(this->options.service + "/", 0) != 0) {
        ++this->counts.misdelivered;
        this->reply(from, request, CoapCode::BadRequest, {}, "not a resource of " + this->options.service);
        return;
    }
    if (this->draining && this->clock.now() - this->drainStarted > newWorkGrace && request.observe != 1U) {
        ++this->counts.lateWork;
    }
    const bool isBoard = path == this->options.service + "/board";
    if (isBoard && request.observe.has_value()) {
        this->observe(from, request);
    } else if (path == this->options.service + "/brochure") {
        this->answerBrochure(from, request, packet);
    } else {
        this->run(from, request, packet);
    }
}

void TargetModel::answerProbe(const Endpoint &from, const CoapMessage &request)
{
    if (this->options.lie == HealthLie::AlwaysBad) {
        return;
    }
    const bool lies = this->options.lie == HealthLie::AlwaysUp;
    char body[160];
    std::snprintf(body, sizeof(body), R"({"load":%.3f,"busy":%u,"draining":%s,"cold":%s})", lies ? 0.0 : static_cast<double>(this->busy) / this->options.slots,
                  lies ? 0 : this->busy, this->draining && !lies ? "true" : "false", this->isCold() && !lies ? "true" : "false");
    this->reply(from, request, CoapCode::Content, {}, body);
}

void TargetModel::run(const Endpoint &from, const CoapMessage &request, const Bytes &packet)
{
    if (this->busy >= this->options.slots) {
        ++this->counts.shed;
        this->reply(from, request, CoapCode::ServiceUnavailable, { { optionMaxAge, optionValue(1U) } }, "busy");
        return;
    }
    ++this->busy;
    this->counts.peakBusy = std::max<uint64_t>(this->counts.peakBusy, this->busy);
    const uint32_t holdMs = this->options.serviceMs * (this->isCold() ? coldFactor : 1);
    this->port.runAfter(milliseconds(holdMs), [this, from, request, packet] {
        --this->busy;
        this->finish(from, request, packet);
    });
}

void TargetModel::finish(const Endpoint &from, const CoapMessage &request, const Bytes &packet)
{
    if (request.code != static_cast<uint8_t>(CoapCode::Post)) {
        ++this->counts.reads;
        this->reply(from, request, CoapCode::Content, {}, readRequestOptions(packet).query + " " + this->boardState());
        return;
    }
    const std::string identity = readPayload(packet);
    ++this->counts.executions;
    if (++this->executed[identity] > 1) {
        ++this->counts.doubled;
    }
    this->port.onExecuted(identity);
    this->reply(from, request, CoapCode::Changed, {}, identity);
}

void TargetModel::answerBrochure(const Endpoint &from, const CoapMessage &request, const Bytes &packet)
{
    const RequestOptions wanted = readRequestOptions(packet);
    const uint32_t number = wanted.block.value_or(0) >> 4U;
    const uint32_t exponent = std::min(wanted.block.value_or(blockExponent) & 7U, blockExponent);
    const uint32_t blockBytes = 16U << exponent;
    const uint32_t offset = number * blockBytes;
    if (offset >= this->options.brochureBytes) {
        this->reply(from, request, CoapCode::BadRequest, {}, "no such block");
        return;
    }
    const uint32_t length = std::min(blockBytes, this->options.brochureBytes - offset);
    const bool more = offset + length < this->options.brochureBytes;
    std::string body(length, ' ');
    for (uint32_t i = 0; i < length; ++i) {
        body[i] = static_cast<char>('a' + (offset + i) % 26);
    }
    ++this->counts.reads;
    const Bytes tag{ 1, 2, 3, 4 };
    this->reply(from, request, CoapCode::Content, { { 4, tag }, { optionBlock2, optionValue((number << 4U) | (more ? 8U : 0U) | exponent) } }, body);
}

void TargetModel::reply(const Endpoint &from, const CoapMessage &request, CoapCode code, const std::vector<CoapOption> &options, const std::string &payload)
{
    const bool confirmable = request.type == CoapType::Confirmable;
    const uint16_t messageId = confirmable ? request.messageId : this->nextMessageId++;
    const Bytes packet = buildCoap(confirmable ? CoapType::Acknowledgement : CoapType::NonConfirmable, code, messageId, request.token, options, payload);
    const auto known = this->answers.find(std::make_pair(from, request.messageId));
    if (known != this->answers.end()) {
        known->second = packet;
    }
    this->port.send(from, packet);
}

//--- Feeds

std::string TargetModel::boardState() const
{
    return "state=" + std::to_string(boardMillis(this->clock, this->options.publishMs)) + " from=" + this->options.name;
}

void TargetModel::observe(const Endpoint &from, const CoapMessage &request)
{
    const ObserverKey key(from, request.token);
    if (request.observe == 1U) {
        this->observers.erase(key);
        this->reply(from, request, CoapCode::Content, {}, this->boardState());
        return;
    }
    if (this->observers.size() >= this->options.connections && this->observers.count(key) == 0) {
        ++this->counts.shed;
        this->reply(from, request, CoapCode::ServiceUnavailable, { { optionMaxAge, optionValue(1U) } }, "no connection place");
        return;
    }
    Observer &observer = this->observers[key];
    observer.source = from;
    observer.token = request.token;
    observer.lastMessageId = request.messageId;
    this->counts.observersPeak = std::max<uint64_t>(this->counts.observersPeak, this->observers.size());
    this->reply(from, request, CoapCode::Content, { { optionObserve, optionValue(observer.sequence++) }, { optionMaxAge, optionValue(maxAgeSeconds) } },
                this->boardState());
}

void TargetModel::publish()
{
    for (auto &[key, observer] : this->observers) {
        observer.lastMessageId = this->nextMessageId++;
        const std::vector<CoapOption> options{ { optionObserve, optionValue(observer.sequence++) }, { optionMaxAge, optionValue(maxAgeSeconds) } };
        this->port.send(observer.source,
                        buildCoap(CoapType::NonConfirmable, CoapCode::Content, observer.lastMessageId, observer.token, options, this->boardState()));
    }
    this->port.runAfter(milliseconds(this->options.publishMs), [this] { this->publish(); });
}
