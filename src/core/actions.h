#pragma once

// What decision code asks its surroundings to do. Decisions append actions; the caller of the decision carries them out
// after every lock is released.

#include "core/types.h"

#include <vector>

namespace hornbeam {

enum class ActionKind : uint8_t {
    ToCaller, // send `packet` to `endpoint` from the address of `service`
    ToTarget, // send `packet` to `endpoint` from the target socket
    ToPeer,   // send `packet` (an encoded peer message) to member `peer` as a datagram
    ToStream, // send `packet` (an encoded peer message) to member `peer` over its stream
};

struct Action
{
    ActionKind kind = ActionKind::ToCaller;
    ServiceId service = 0;
    MemberId peer = 0;
    Endpoint endpoint;
    Bytes packet;
};

using Actions = std::vector<Action>;

} // namespace hornbeam
