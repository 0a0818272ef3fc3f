#include "requests/responses.h"

#include <algorithm>
#include <string>

namespace hornbeam {

namespace {

constexpr size_t tokenlessHeaderBytes = 4; // the messages built here have no token

MessageContent buildContent(CoapCode code, const std::vector<CoapOption> &options, std::string_view payload)
{
    const Bytes packet = buildCoap(CoapType::Acknowledgement, code, 0, {}, options, payload);
    // the last header byte is replaced by the code
    MessageContent content(packet.begin() + tokenlessHeaderBytes - 1, packet.end());
    content.front() = static_cast<uint8_t>(code);
    return content;
}

uint32_t roundUpToSeconds(Duration duration)
{
    const auto rounded = std::chrono::ceil<seconds>(duration).count();
    return static_cast<uint32_t>(std::max<int64_t>(1, rounded));
}

} // namespace

MessageContent extractContent(const CoapMessage &message, const uint8_t *data, size_t size)
{
    MessageContent content;
    content.reserve(1 + size - message.tailOffset);
    content.push_back(message.code);
    content.insert(content.end(), data + message.tailOffset, data + size);
    return content;
}

MessageContent refusalContent(Verdict verdict, Reason reason, Duration retryAfter)
{
    const std::string text = std::string(nameOf(verdict)) + ": " + std::string(nameOf(reason));
    if (verdictOf(reason) == Verdict::NotRun) {
        return buildContent(CoapCode::ServiceUnavailable, { { optionMaxAge, optionValue(roundUpToSeconds(retryAfter)) } }, text);
    }
    return buildContent(CoapCode::GatewayTimeout, {}, text);
}

MessageContent tooLargeContent()
{
    return buildContent(CoapCode::TooLarge, {}, std::string(nameOf(Verdict::NotRun)) + ": " + std::string(nameOf(Reason::MessageTooLarge)));
}

MessageContent challengeContent(const Bytes &echo)
{
    return buildContent(CoapCode::Unauthorized, { { optionEcho, echo } }, "");
}

void sendResponse(const CallerExchange &exchange, const MessageContent &content, uint16_t messageId, Actions &out)
{
    const bool isPiggybacked = exchange.type == CoapType::Confirmable;
    const CoapType type = isPiggybacked ? CoapType::Acknowledgement : CoapType::NonConfirmable;
    const uint16_t responseId = isPiggybacked ? exchange.messageId : messageId;
    out.sendToCaller(exchange.service, exchange.caller, withHeader(type, content.front(), responseId, exchange.token, content.data() + 1, content.size() - 1));
}

} // namespace hornbeam
