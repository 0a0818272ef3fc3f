#include "coapoptions.h"

#include <coap3/coap.h>
#include <memory>

namespace {

using PduOwner = std::unique_ptr<coap_pdu_t, decltype(&coap_delete_pdu)>;

PduOwner parse(const hornbeam::Bytes &packet)
{
    PduOwner pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, packet.size()), &coap_delete_pdu);
    coap_pdu_parse(COAP_PROTO_UDP, packet.data(), packet.size(), pdu.get());
    return pdu;
}

std::string joinOptions(const coap_pdu_t *pdu, uint16_t number, char separator)
{
    std::string joined;
    coap_opt_filter_t filter;
    coap_option_filter_clear(&filter);
    coap_option_filter_set(&filter, number);
    coap_opt_iterator_t iterator;
    coap_option_iterator_init(pdu, &iterator, &filter);
    while (const coap_opt_t *option = coap_option_next(&iterator)) {
        if (!joined.empty()) {
            joined.push_back(separator);
        }
        joined.append(reinterpret_cast<const char *>(coap_opt_value(option)), coap_opt_length(option));
    }
    return joined;
}

} // namespace

RequestOptions readRequestOptions(const hornbeam::Bytes &packet)
{
    const PduOwner pdu = parse(packet);
    RequestOptions options;
    options.path = joinOptions(pdu.get(), COAP_OPTION_URI_PATH, '/');
    options.query = joinOptions(pdu.get(), COAP_OPTION_URI_QUERY, '&');
    coap_opt_iterator_t iterator;
    if (const coap_opt_t *block = coap_check_option(pdu.get(), COAP_OPTION_BLOCK2, &iterator)) {
        options.block = coap_decode_var_bytes(coap_opt_value(block), coap_opt_length(block));
    }
    return options;
}

std::string readPayload(const hornbeam::Bytes &packet)
{
    const PduOwner pdu = parse(packet);
    size_t length = 0;
    const uint8_t *data = nullptr;
    if (coap_get_data(pdu.get(), &length, &data) == 0) {
        return {};
    }
    return { reinterpret_cast<const char *>(data), length };
}
