#include "worldcaller.h"

#include "coapoptions.h"

#include <algorithm>

namespace hornbeam::bench {

namespace {

constexpr std::array<std::string_view, 4> resourceNames{ "item", "order", "brochure", "board" };
constexpr uint16_t optionUriQuery = 15;
constexpr uint16_t optionBlock2 = 23;
constexpr uint32_t blockExponent = 5; // blocks of 512 bytes
constexpr uint32_t mostChallenges = 4;
constexpr uint32_t numberHalf = 1U << 23U;
constexpr seconds numberLifetime(128); // RFC 7641, 3.4
constexpr seconds feedCheckInterval(1);
constexpr size_t tokenBytes = 4;
constexpr seconds longGap(3);

std::optional<uint64_t> stateOf(const std::string &payload)
{
    const std::string mark = "state=";
    const size_t at = payload.find(mark);
    return at == std::string::npos ? std::nullopt : std::optional<uint64_t>(std::strtoull(payload.c_str() + at + mark.size(), nullptr, 10));
}

} // namespace

WorldCaller::WorldCaller(CallerSettings settings, CallerPort &port, EventQueue &queue, const Clock &clock, Ledger &ledger, Trace &trace, uint64_t seed)
    : options(std::move(settings))
    , port(port)
    , queue(queue)
    , clock(clock)
    , ledger(ledger)
    , trace(trace)
    , random(seed)
    , service(serviceIdOf(this->options.service))
    , messageId(static_cast<uint16_t>(this->random()))
{
}

const CallerSettings &WorldCaller::settings() const
{
    return this->options;
}

bool WorldCaller::isBusy() const
{
    return !this->identity.empty();
}

void WorldCaller::begin()
{
    std::uniform_int_distribution<Duration::rep> first(0, this->options.think.count());
    this->queue.add(Duration(first(this->random)), [this] {
        if (this->options.kind == CallerKind::Feed) {
            this->beginFeed();
            this->checkFeed();
        } else {
            this->beginRequest();
        }
    });
}

void WorldCaller::end()
{
    this->isEnding = true;
}

//--- Requests

void WorldCaller::scheduleNext()
{
    std::uniform_int_distribution<Duration::rep> pause(this->options.think.count() / 2, this->options.think.count() * 3 / 2);
    this->queue.add(Duration(pause(this->random)), [this] { this->beginRequest(); });
}

void WorldCaller::beginRequest()
{
    if (this->isEnding) {
        return;
    }
    this->identity = this->options.name + "-" + std::to_string(this->nextIdentity++);
    this->startedAt = this->clock.now();
    this->echo.clear();
    this->challenges = 0;
    this->block = 0;
    this->body.clear();
    if (this->options.kind == CallerKind::Order) {
        this->ledger.orders[this->identity].flow = this->options.name;
    }
    this->sendRequest();
}

void WorldCaller::sendRequest()
{
    const bool isOrder = this->options.kind == CallerKind::Order;
    const std::string_view resource = resourceNames.at(static_cast<size_t>(this->options.kind));
    std::vector<CoapOption> list{ { optionUriPath, optionValue(this->options.service) }, { optionUriPath, optionValue(resource) } };
    if (this->options.kind == CallerKind::Read) {
        list.push_back({ optionUriQuery, optionValue("id=" + this->identity) });
    }
    if (this->options.kind == CallerKind::Brochure) {
        list.push_back({ optionBlock2, optionValue((this->block << 4U) | blockExponent) });
    }
    if (!this->echo.empty()) {
        list.push_back({ optionEcho, this->echo });
    }
    ++this->messageId;
    ++this->generation;
    this->token = Bytes(tokenBytes);
    std::generate(this->token.begin(), this->token.end(), [this] { return static_cast<uint8_t>(this->random()); });
    this->packet = buildCoap(CoapType::Confirmable, isOrder ? CoapCode::Post : CoapCode::Get, this->messageId, this->token, list,
                             isOrder ? this->identity : std::string());
    const double stretch = 1.0 + 0.5 * static_cast<double>(this->random() % 1000) / 1000.0;
    const auto wait = Duration(static_cast<Duration::rep>(static_cast<double>(this->options.ackTimeout.count()) * stretch));
    this->trace.add(this->options.name, "caller sends " + this->identity + (this->echo.empty() ? "" : " with echo"));
    this->transmit(this->generation, wait, this->options.repeats);
}

void WorldCaller::transmit(uint32_t sentGeneration, Duration wait, uint32_t repeatsLeft)
{
    this->port.sendFromCaller(this->options.service, this->options.endpoint, this->packet);
    this->queue.add(wait, [this, sentGeneration, wait, repeatsLeft] {
        if (this->generation != sentGeneration || this->identity.empty()) {
            return;
        }
        if (repeatsLeft == 0 || this->clock.now() - this->startedAt > this->options.requestPatience) {
            if (this->options.kind == CallerKind::Feed) {
                this->identity.clear(); // checkFeed registers again
            } else {
                this->endRequest(Outcome::Lost);
            }
            return;
        }
        ++this->ledger.repeats;
        this->trace.add(this->options.name, "caller repeats " + this->identity);
        this->transmit(sentGeneration, 2 * wait, repeatsLeft - 1);
    });
}

void WorldCaller::onPacket(ServiceId from, const Bytes &bytes)
{
    if (from != this->service) {
        ++this->ledger.strangers;
        this->trace.add(this->options.name, "packet from another service");
    }
    const auto message = parseCoap(bytes);
    if (!message || !message->isResponse()) {
        return;
    }
    if (this->options.kind == CallerKind::Feed) {
        this->onUpdate(*message, bytes);
    } else if (!this->identity.empty() && message->token == this->token) {
        this->onAnswer(*message, bytes);
    }
}

void WorldCaller::onAnswer(const CoapMessage &message, const Bytes &bytes)
{
    const std::string payload = readPayload(bytes);
    if (message.code == static_cast<uint8_t>(CoapCode::Unauthorized) && !message.echo.empty()) {
        this->onChallenge(message);
    } else if (message.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable) || message.code == static_cast<uint8_t>(CoapCode::GatewayTimeout)) {
        ++this->ledger.refusals[payload];
        this->trace.add(this->options.name, "caller is refused " + this->identity + " " + payload);
        this->endRequest(message.code == static_cast<uint8_t>(CoapCode::ServiceUnavailable) ? Outcome::NotRun : Outcome::MayHaveRun);
    } else if (message.code >= static_cast<uint8_t>(CoapCode::BadRequest)) {
        ++this->ledger.refusals[payload];
        this->endRequest(Outcome::Failed);
    } else if (this->options.kind == CallerKind::Brochure) {
        this->onBlock(message, bytes);
    } else {
        this->endRequest(this->isOwn(payload) ? Outcome::Answered : Outcome::Torn);
    }
}

void WorldCaller::onChallenge(const CoapMessage &message)
{
    if (++this->challenges > mostChallenges) {
        this->endRequest(Outcome::Failed);
        return;
    }
    this->echo = message.echo;
    this->sendRequest();
}

void WorldCaller::onBlock(const CoapMessage &, const Bytes &bytes)
{
    const auto option = readRequestOptions(bytes).block;
    if (!option || (*option >> 4U) != this->block) {
        this->endRequest(Outcome::Torn);
        return;
    }
    this->body += readPayload(bytes);
    if ((*option & 8U) != 0) {
        ++this->block;
        this->sendRequest();
        return;
    }
    this->endRequest(this->isOwn(this->body) ? Outcome::Answered : Outcome::Torn);
}

bool WorldCaller::isOwn(const std::string &payload) const
{
    switch (this->options.kind) {
    case CallerKind::Order:
        return payload == this->identity;
    case CallerKind::Read:
        return payload.starts_with("id=" + this->identity + " state=");
    default:
        break;
    }
    bool isWhole = payload.size() == this->options.brochureBytes;
    for (size_t i = 0; isWhole && i < payload.size(); ++i) {
        isWhole = payload[i] == static_cast<char>('a' + i % 26);
    }
    return isWhole;
}

void WorldCaller::endRequest(Outcome outcome)
{
    this->trace.add(this->options.name, "caller ends " + this->identity + " " + std::string(outcomeNames.at(static_cast<size_t>(outcome))));
    ++this->ledger.requests.at(static_cast<size_t>(outcome));
    if (outcome == Outcome::Answered) {
        this->ledger.latencies.push_back(this->clock.now() - this->startedAt);
    } else {
        this->keepTrace(std::string(outcomeNames.at(static_cast<size_t>(outcome))));
    }
    if (this->options.kind == CallerKind::Order) {
        OrderEntry &order = this->ledger.orders[this->identity];
        order.isTold = true;
        order.told = outcome;
    }
    this->identity.clear();
    this->scheduleNext();
}

/** Keeps this flow's trace as it is now, the first time for a reason. */
void WorldCaller::keepTrace(const std::string &reason)
{
    if (!this->ledger.firstTraces.contains(reason)) {
        this->ledger.firstTraces[reason] = this->trace.of(this->options.name);
    }
}

//--- Feeds

void WorldCaller::beginFeed()
{
    FeedEntry &feed = this->ledger.feeds[this->options.name];
    feed.lastUpdate = this->clock.now();
    if (this->token.empty()) {
        this->token = Bytes(tokenBytes);
        std::generate(this->token.begin(), this->token.end(), [this] { return static_cast<uint8_t>(this->random()); });
    }
    ++this->messageId;
    ++this->generation;
    this->identity = "feed";
    this->startedAt = this->clock.now();
    const std::vector<CoapOption> list{ { optionObserve, {} },
                                        { optionUriPath, optionValue(this->options.service) },
                                        { optionUriPath, optionValue(resourceNames.at(static_cast<size_t>(CallerKind::Feed))) } };
    this->packet = buildCoap(CoapType::Confirmable, CoapCode::Get, this->messageId, this->token, list, "");
    this->trace.add(this->options.name, "caller registers");
    this->transmit(this->generation, this->options.ackTimeout, this->options.repeats);
}

bool WorldCaller::isFresh(uint32_t number) const
{
    const uint32_t last = this->lastNumber;
    return !this->hasNumber || (last < number && number - last < numberHalf) || (last > number && last - number > numberHalf)
        || this->clock.now() > this->lastNumberAt + numberLifetime;
}

void WorldCaller::onUpdate(const CoapMessage &message, const Bytes &bytes)
{
    if (message.token != this->token || this->isEnding) {
        if (message.type == CoapType::Confirmable || message.type == CoapType::NonConfirmable) {
            this->port.sendFromCaller(this->options.service, this->options.endpoint, withHeader(CoapType::Reset, 0, message.messageId, {}, nullptr, 0));
        }
        return;
    }
    this->identity.clear(); // the registration was answered
    if (message.type == CoapType::Confirmable) {
        this->port.sendFromCaller(this->options.service, this->options.endpoint, withHeader(CoapType::Acknowledgement, 0, message.messageId, {}, nullptr, 0));
    }
    FeedEntry &feed = this->ledger.feeds[this->options.name];
    if (message.code >= static_cast<uint8_t>(CoapCode::BadRequest) || !message.observe) {
        const std::string payload = readPayload(bytes);
        ++this->ledger.refusals[payload];
        this->trace.add(this->options.name, "feed is refused or ended: " + payload);
        feed.isEnded = feed.isEnded || feed.isOpen;
        this->queue.add(seconds(1), [this] { this->beginFeed(); });
        return;
    }
    if (!this->isFresh(*message.observe)) {
        ++feed.stale;
        return;
    }
    const uint64_t state = stateOf(readPayload(bytes)).value_or(0);
    this->trace.add(this->options.name, "update " + std::to_string(*message.observe) + " " + readPayload(bytes));
    feed.statesBack += state < this->lastState ? 1 : 0;
    if (feed.isOpen) {
        feed.longestGap = std::max(feed.longestGap, this->clock.now() - feed.lastUpdate);
        if (feed.longestGap > longGap) {
            this->keepTrace(this->options.name);
        }
    }
    feed.isOpen = true;
    ++feed.updates;
    feed.lastUpdate = this->clock.now();
    this->hasNumber = true;
    this->lastNumber = *message.observe;
    this->lastNumberAt = this->clock.now();
    this->lastState = std::max(state, this->lastState);
}

void WorldCaller::checkFeed()
{
    FeedEntry &feed = this->ledger.feeds[this->options.name];
    if (this->isEnding) {
        return;
    }
    if (feed.isOpen) {
        feed.longestGap = std::max(feed.longestGap, this->clock.now() - feed.lastUpdate);
    }
    if (this->clock.now() - feed.lastUpdate > this->options.feedPatience) {
        ++feed.reregistered;
        this->beginFeed();
    }
    this->queue.add(feedCheckInterval, [this] { this->checkFeed(); });
}

} // namespace hornbeam::bench
