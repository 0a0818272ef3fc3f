#pragma once

// Reads the options that only stand-ins for targets look at: path, query and block number.

#include "core/types.h"

#include <optional>

struct RequestOptions
{
    std::string path;              // segments joined by '/'
    std::string query;             // queries joined by '&'
    std::optional<uint32_t> block; // Block2 (RFC 7959): number << 4 | more << 3 | size exponent
};

/** Reads a request's options. Precondition: `packet` parses as CoAP. */
RequestOptions readRequestOptions(const hornbeam::Bytes &packet);

/** Payload of a message; empty when there is none. Precondition: `packet` parses as CoAP. */
std::string readPayload(const hornbeam::Bytes &packet);
