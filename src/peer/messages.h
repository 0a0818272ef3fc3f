#pragma once

// Messages between the system's processes (docs/PROTOCOL.md, "Inner protocol"). Each message lists its fields once, in wire
// order; src/peer/codec.h encodes them as CBOR. New fields must be appended at the end: a decoder uses the default for fields
// that an older sender omits and ignores additional fields of a newer sender.

#include "peer/loadmessages.h"
#include "peer/membermessages.h"
#include "peer/storemessages.h"
#include "peer/workmessages.h"

#include <variant>

namespace hornbeam {

/** All messages, in the order of their wire numbers. New messages must be appended. */
using PeerMessage = std::variant<Ping, PingAck, PingRequest, ZoneDigest, SlotRequest, SlotGrant, SlotRefusal, SlotRelease, HeldSlotsQuery, HeldSlotsReport,
                                 TargetNotice, Relay, RecordHandover, FeedMove, FeedCopy, FeedMoveAck, FeedDrop, TableVersions, TablePull, TableText,
                                 StoreQuery, StoreResponse, RotationReport, LoadReport, ZoneLoad, AnswerQuery, AnswerResponse>;

} // namespace hornbeam
