#include "core/coap.h"

#include <coap3/coap.h>
#include <cstring>
#include <memory>

namespace hornbeam {

namespace {

using PduOwner = std::unique_ptr<coap_pdu_t, decltype(&coap_delete_pdu)>;

constexpr size_t headerBytes = 4;

/** Reads an unsigned option value of at most four bytes. */
std::optional<uint32_t> readNumber(const coap_pdu_t *pdu, uint16_t option)
{
    coap_opt_iterator_t iterator;
    const coap_opt_t *found = coap_check_option(pdu, option, &iterator);
    if (found == nullptr || coap_opt_length(found) > sizeof(uint32_t)) {
        return std::nullopt;
    }
    return coap_decode_var_bytes(coap_opt_value(found), coap_opt_length(found));
}

} // namespace

//--- Reading

std::optional<CoapMessage> parseCoap(const uint8_t *data, size_t size)
{
    if (size < headerBytes) {
        return std::nullopt;
    }
    // Allocate the datagram's size so that the parser never has to grow the buffer.
    const PduOwner pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, size), &coap_delete_pdu);
    if (!pdu || coap_pdu_parse(COAP_PROTO_UDP, data, size, pdu.get()) == 0) {
        return std::nullopt;
    }
    CoapMessage message;
    message.type = static_cast<CoapType>(coap_pdu_get_type(pdu.get()));
    message.code = static_cast<uint8_t>(coap_pdu_get_code(pdu.get()));
    message.messageId = static_cast<uint16_t>(coap_pdu_get_mid(pdu.get()));
    const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
    message.token.assign(data + headerBytes, data + headerBytes + token.length);
    message.tailOffset = headerBytes + token.length;
    message.observe = readNumber(pdu.get(), optionObserve);
    message.maxAge = readNumber(pdu.get(), optionMaxAge);
    message.deadlineMs = readNumber(pdu.get(), optionDeadline);
    coap_opt_iterator_t iterator;
    if (const coap_opt_t *echo = coap_check_option(pdu.get(), optionEcho, &iterator)) {
        message.echo.assign(coap_opt_value(echo), coap_opt_value(echo) + coap_opt_length(echo));
    }
    if (const coap_opt_t *observe = coap_check_option(pdu.get(), optionObserve, &iterator)) {
        message.observeOffset = headerBytes + static_cast<size_t>(observe - token.s);
        message.observeBytes = coap_opt_size(observe);
    }
    return message;
}

uint64_t requestHash(const uint8_t *data, size_t size)
{
    const PduOwner pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, size), &coap_delete_pdu);
    if (!pdu || coap_pdu_parse(COAP_PROTO_UDP, data, size, pdu.get()) == 0) {
        return 0;
    }
    uint64_t hash = static_cast<uint64_t>(coap_pdu_get_code(pdu.get()));
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL);
    while (const coap_opt_t *option = coap_option_next(&iterator)) {
        if (iterator.number == optionEcho || iterator.number == optionDeadline) {
            continue;
        }
        const std::string_view value(reinterpret_cast<const char *>(coap_opt_value(option)), coap_opt_length(option));
        hash = mixHash(hash, mixHash(iterator.number, hashName(value)));
    }
    size_t payloadBytes = 0;
    const uint8_t *payload = nullptr;
    if (coap_get_data(pdu.get(), &payloadBytes, &payload) != 0) {
        hash = mixHash(hash, hashName({ reinterpret_cast<const char *>(payload), payloadBytes }));
    }
    return hash;
}

//--- Writing

Bytes withHeader(CoapType type, uint8_t code, uint16_t messageId, const Bytes &token, const uint8_t *tail, size_t tailBytes)
{
    Bytes packet(headerBytes + token.size() + tailBytes);
    packet[0] = static_cast<uint8_t>(0x40U | (static_cast<unsigned>(type) << 4U) | token.size());
    packet[1] = code;
    packet[2] = static_cast<uint8_t>(messageId >> 8U);
    packet[3] = static_cast<uint8_t>(messageId & 0xFFU);
    if (!token.empty()) {
        std::memcpy(packet.data() + headerBytes, token.data(), token.size());
    }
    if (tailBytes > 0) {
        std::memcpy(packet.data() + headerBytes + token.size(), tail, tailBytes);
    }
    return packet;
}

Bytes replaceObserve(const CoapMessage &message, const uint8_t *data, size_t size, uint32_t sequence)
{
    const size_t afterObserve = message.observeOffset + message.observeBytes;
    Bytes tail(data + message.tailOffset, data + message.observeOffset);
    // The option delta is unchanged and the length becomes three, so both fit the one-byte option header.
    tail.push_back(static_cast<uint8_t>((data[message.observeOffset] & 0xF0U) | 3U));
    tail.push_back(static_cast<uint8_t>(sequence >> 16U));
    tail.push_back(static_cast<uint8_t>(sequence >> 8U));
    tail.push_back(static_cast<uint8_t>(sequence));
    tail.insert(tail.end(), data + afterObserve, data + size);
    return tail;
}

Bytes optionValue(uint32_t number)
{
    uint8_t buffer[sizeof(number)];
    const unsigned length = coap_encode_var_safe(buffer, sizeof(buffer), number);
    return { buffer, buffer + length };
}

Bytes optionValue(std::string_view text)
{
    return { text.begin(), text.end() };
}

Bytes buildCoap(CoapType type, CoapCode code, uint16_t messageId, const Bytes &token, const std::vector<CoapOption> &options, std::string_view payload)
{
    size_t capacity = headerBytes + token.size() + payload.size() + 1;
    for (const CoapOption &option : options) {
        capacity += option.value.size() + 5; // an option header has at most five bytes
    }
    const PduOwner pdu(coap_pdu_init(static_cast<coap_pdu_type_t>(type), static_cast<coap_pdu_code_t>(code), messageId, capacity), &coap_delete_pdu);
    coap_add_token(pdu.get(), token.size(), token.data());
    for (const CoapOption &option : options) {
        coap_add_option(pdu.get(), option.number, option.value.size(), option.value.data());
    }
    if (!payload.empty()) {
        coap_add_data(pdu.get(), payload.size(), reinterpret_cast<const uint8_t *>(payload.data()));
    }
    // The encoded options and payload follow the token in the library's buffer.
    const coap_bin_const_t tokenInPdu = coap_pdu_get_token(pdu.get());
    const uint8_t *tail = tokenInPdu.s + tokenInPdu.length;
    size_t dataLength = 0;
    const uint8_t *data = nullptr;
    size_t tailBytes = 0;
    if (coap_get_data(pdu.get(), &dataLength, &data) != 0) {
        tailBytes = static_cast<size_t>(data - tail) + dataLength;
    } else {
        coap_opt_iterator_t iterator;
        coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL);
        while (const coap_opt_t *option = coap_option_next(&iterator)) {
            tailBytes = static_cast<size_t>(option - tail) + coap_opt_size(option);
        }
    }
    return withHeader(type, static_cast<uint8_t>(code), messageId, token, tail, tailBytes);
}

} // namespace hornbeam
