#include "callers.h"

#include "core/coap.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>

using namespace hornbeam;

namespace {

constexpr const char *resourceNames[] = { "item", "order", "brochure", "board" };
constexpr uint32_t pollMs = 5;
constexpr seconds reregisterAfter(30); // the Max-Age of the board's states
constexpr uint32_t numberHalf = 1U << 23U;
constexpr seconds numberLifetime(128); // RFC 7641, 3.4

std::string payloadOf(const coap_pdu_t *pdu)
{
    size_t length = 0;
    size_t offset = 0;
    size_t total = 0;
    const uint8_t *data = nullptr;
    if (coap_get_data_large(pdu, &length, &data, &offset, &total) == 0) {
        return {};
    }
    return { reinterpret_cast<const char *>(data), length };
}

/** Whether notification `number`, which arrived `age` after the last one, is newer (RFC 7641, 3.4). */
bool isNewer(uint32_t last, uint32_t number, Duration age)
{
    return (last < number && number - last < numberHalf) || (last > number && last - number > numberHalf) || age > numberLifetime;
}

} // namespace

Callers::Callers(CallerOptions options) : options(std::move(options)), random(this->options.seed)
{
    coap_startup();
    coap_set_log_level(LOG_EMERG);
    this->context = coap_new_context(nullptr);
    coap_set_app_data(this->context, this);
    coap_context_set_block_mode(this->context, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
    coap_register_response_handler(this->context, &Callers::onResponse);
    coap_register_nack_handler(this->context, &Callers::onNack);
}

Callers::~Callers()
{
    for (const auto &caller : this->callers) {
        coap_session_release(caller->session);
    }
    coap_free_context(this->context);
    coap_cleanup();
}

const CallerReport &Callers::report() const
{
    return this->counts;
}

//--- Running

bool Callers::run(uint32_t graceSeconds)
{
    const std::pair<CallerKind, uint32_t> wanted[] = { { CallerKind::Read, this->options.reads },
                                                       { CallerKind::Order, this->options.orders },
                                                       { CallerKind::Brochure, this->options.brochures },
                                                       { CallerKind::Feed, this->options.feeds } };
    for (const auto &[kind, count] : wanted) {
        for (uint32_t i = 0; i < count; ++i) {
            if (!this->addCaller(kind)) {
                return false;
            }
        }
    }
    const TimePoint end = this->clock.now() + seconds(this->options.seconds);
    const TimePoint lastEnd = end + seconds(graceSeconds);
    while (this->clock.now() < lastEnd) {
        this->finishing = this->clock.now() >= end;
        bool waiting = false;
        for (const auto &caller : this->callers) {
            const bool due = caller->identity.empty() && !caller->ended && this->clock.now() >= caller->nextAt;
            if (due && !this->finishing) {
                this->send(*caller);
            }
            waiting = waiting || (!caller->identity.empty() && caller->kind != CallerKind::Feed);
        }
        this->checkFeeds();
        if (this->finishing && !waiting) {
            break;
        }
        coap_io_process(this->context, pollMs);
    }
    for (const auto &caller : this->callers) {
        if (!caller->identity.empty() && caller->kind != CallerKind::Feed) {
            ++this->counts.lost;
            this->endRequest(*caller, "lost");
        }
    }
    this->closeFeeds();
    return true;
}

bool Callers::addCaller(CallerKind kind)
{
    coap_address_t server;
    coap_address_init(&server);
    server.addr.sin.sin_family = AF_INET;
    server.addr.sin.sin_addr.s_addr = htonl(this->options.address.address);
    server.addr.sin.sin_port = htons(this->options.address.port);
    server.size = sizeof(server.addr.sin);
    auto caller = std::make_unique<Caller>();
    caller->kind = kind;
    caller->session = coap_new_client_session(this->context, nullptr, &server, COAP_PROTO_UDP);
    if (caller->session == nullptr) {
        return false;
    }
    coap_session_set_app_data(caller->session, caller.get());
    caller->nextAt = this->clock.now() + milliseconds(this->random() % (this->options.thinkMs + 1));
    this->callers.push_back(std::move(caller));
    return true;
}

void Callers::send(Caller &caller)
{
    const auto method = caller.kind == CallerKind::Order ? COAP_REQUEST_CODE_POST : COAP_REQUEST_CODE_GET;
    caller.identity = "id-" + std::to_string(this->options.seed) + "-" + std::to_string(this->nextIdentity++);
    coap_pdu_t *pdu = coap_new_pdu(COAP_MESSAGE_CON, method, caller.session);
    uint8_t token[8];
    size_t tokenBytes = 0;
    coap_session_new_token(caller.session, &tokenBytes, token);
    coap_add_token(pdu, tokenBytes, token);
    if (caller.kind == CallerKind::Feed) {
        coap_add_option(pdu, COAP_OPTION_OBSERVE, 0, nullptr);
        caller.lastUpdate = this->clock.now();
    }
    const char *resource = resourceNames[static_cast<size_t>(caller.kind)];
    coap_add_option(pdu, COAP_OPTION_URI_PATH, this->options.service.size(), reinterpret_cast<const uint8_t *>(this->options.service.data()));
    coap_add_option(pdu, COAP_OPTION_URI_PATH, std::char_traits<char>::length(resource), reinterpret_cast<const uint8_t *>(resource));
    if (caller.kind == CallerKind::Read) {
        coap_add_option(pdu, COAP_OPTION_URI_QUERY, caller.identity.size(), reinterpret_cast<const uint8_t *>(caller.identity.data()));
    }
    if (this->options.deadlineMs > 0) {
        const Bytes value = optionValue(this->options.deadlineMs);
        coap_add_option(pdu, optionDeadline, value.size(), value.data());
    }
    if (caller.kind == CallerKind::Order) {
        coap_add_data(pdu, caller.identity.size(), reinterpret_cast<const uint8_t *>(caller.identity.data()));
    }
    caller.sentAt = this->clock.now();
    ++this->counts.sent;
    if (coap_send(caller.session, pdu) == COAP_INVALID_MID) {
        ++this->counts.lost;
        this->endRequest(caller, "lost");
    }
}

//--- Answers

coap_response_t Callers::onResponse(coap_session_t *session, const coap_pdu_t *, const coap_pdu_t *received, coap_mid_t)
{
    auto *caller = static_cast<Caller *>(coap_session_get_app_data(session));
    auto *callers = static_cast<Callers *>(coap_get_app_data(coap_session_get_context(session)));
    callers->onAnswer(*caller, received);
    return COAP_RESPONSE_OK;
}

void Callers::onNack(coap_session_t *session, const coap_pdu_t *, coap_nack_reason_t, coap_mid_t)
{
    auto *caller = static_cast<Caller *>(coap_session_get_app_data(session));
    auto *callers = static_cast<Callers *>(coap_get_app_data(coap_session_get_context(session)));
    if (!caller->identity.empty()) {
        ++callers->counts.lost;
        callers->endRequest(*caller, "lost");
    }
}

void Callers::onAnswer(Caller &caller, const coap_pdu_t *received)
{
    const auto code = static_cast<uint8_t>(coap_pdu_get_code(received));
    const std::string payload = payloadOf(received);
    if (caller.identity.empty()) {
        return;
    }
    if (code >= 4 * 32) {
        this->onRefusal(caller, code);
        return;
    }
    if (caller.kind == CallerKind::Feed) {
        this->onUpdate(caller, received, payload);
        return;
    }
    if (!this->isWhole(caller, payload)) {
        ++this->counts.torn;
        this->endRequest(caller, "torn");
        return;
    }
    ++this->counts.answered;
    this->counts.latenciesUs.push_back(static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(this->clock.now() - caller.sentAt).count()));
    this->endRequest(caller, "answered");
}

bool Callers::isWhole(const Caller &caller, const std::string &payload) const
{
    switch (caller.kind) {
    case CallerKind::Read:
        return payload.rfind(caller.identity + " ", 0) == 0;
    case CallerKind::Order:
        return payload == caller.identity;
    case CallerKind::Brochure:
        for (size_t i = 0; i < payload.size(); ++i) {
            if (payload[i] != static_cast<char>('a' + i % 26)) {
                return false;
            }
        }
        return payload.size() == this->options.brochureBytes;
    case CallerKind::Feed:
        break;
    }
    return true;
}

void Callers::onRefusal(Caller &caller, uint8_t code)
{
    if (code == static_cast<uint8_t>(CoapCode::ServiceUnavailable)) {
        ++this->counts.refused;
        this->endRequest(caller, "not_run");
    } else if (code == static_cast<uint8_t>(CoapCode::GatewayTimeout)) {
        ++this->counts.mayHaveRun;
        this->endRequest(caller, "may_have_run");
    } else {
        ++this->counts.failed;
        this->endRequest(caller, "failed");
    }
}

void Callers::endRequest(Caller &caller, const char *outcome)
{
    if (caller.kind == CallerKind::Order) {
        std::printf("outcome %s %s\n", outcome, caller.identity.c_str());
    }
    caller.identity.clear();
    const uint64_t pause = this->options.thinkMs / 2 + this->random() % (this->options.thinkMs + 1);
    caller.nextAt = this->clock.now() + milliseconds(pause);
}

//--- Feeds

void Callers::onUpdate(Caller &caller, const coap_pdu_t *received, const std::string &payload)
{
    coap_opt_iterator_t iterator;
    const coap_opt_t *observe = coap_check_option(received, COAP_OPTION_OBSERVE, &iterator);
    if (observe == nullptr) {
        caller.ended = !this->finishing;
        return;
    }
    const TimePoint now = this->clock.now();
    const uint32_t number = coap_decode_var_bytes(coap_opt_value(observe), coap_opt_length(observe));
    if (caller.opened && !isNewer(caller.lastNumber, number, now - caller.lastNumberAt)) {
        ++this->counts.staleUpdates;
        return;
    }
    const uint64_t state = payload.rfind("state=", 0) == 0 ? std::strtoull(payload.c_str() + 6, nullptr, 10) : 0;
    if (state < caller.lastState) {
        ++this->counts.stateBack;
    }
    ++this->counts.updates;
    const auto gap = static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(now - caller.lastUpdate).count());
    this->counts.longestGapMs = std::max(this->counts.longestGapMs, gap);
    caller.opened = true;
    caller.lastNumber = number;
    caller.lastNumberAt = now;
    caller.lastState = std::max(caller.lastState, state);
    caller.lastUpdate = now;
}

void Callers::checkFeeds()
{
    const TimePoint now = this->clock.now();
    for (const auto &caller : this->callers) {
        if (caller->kind != CallerKind::Feed || caller->identity.empty()) {
            continue;
        }
        const Duration silent = now - caller->lastUpdate;
        if (silent > milliseconds(this->options.feedGapMs) && !caller->stalled) {
            caller->stalled = true;
            ++this->counts.stalledFeeds;
        }
        if (silent > reregisterAfter && !this->finishing) {
            ++this->counts.reregistered;
            this->send(*caller);
        }
    }
}

void Callers::closeFeeds()
{
    for (const auto &caller : this->callers) {
        const bool silent = this->clock.now() - caller->lastUpdate > milliseconds(this->options.feedGapMs);
        if (caller->kind == CallerKind::Feed && (caller->ended || silent || !caller->opened)) {
            ++this->counts.brokenFeeds;
        }
    }
}
